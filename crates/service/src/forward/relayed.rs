//! Requests that go through another entry while this instance has no path to the targets.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use futures_util::future::join_all;

use super::Forwarder;
use super::attempt::TryOutcome;
use super::progress::ForwardProgress;
use super::progress::beside_another_copy;
use crate::dialect::TargetDialect;
use crate::metrics::METRICS;
use crate::plain::PlainRequest;
use crate::reach::ReachWatch;
use crate::relay::RelayClient;
use crate::relay::RelayEnd;
use bergamotlane_storage::clock::now;

/// Number of targets to which a connection is tried to learn whether the path to them is back.
const PROBED_TARGETS: usize = 2;

impl<D: TargetDialect> Forwarder<D> {
    /// Returns this forwarder with a way through other entries, for when targets can't be reached.
    pub fn with_relay(self, relay: RelayClient) -> Self {
        Self {
            relay: Some(relay),
            ..self
        }
    }

    /// Returns what this instance knows of its path to the targets.
    pub fn reach(&self) -> &Arc<ReachWatch> {
        &self.reach
    }

    /// Opens connections to a few targets, to learn whether the path to them is back.
    pub async fn probe_targets(&self) {
        let round = self.probes.fetch_add(1, Ordering::Relaxed);
        let addresses = self.chooser().sample(round, PROBED_TARGETS);
        // What is silent now may stay so after the path is back.
        self.pool.clear();
        let probes = addresses.into_iter().map(|it| self.pool.warm_up(it));
        if join_all(probes).await.contains(&true) {
            self.reach.record_success();
        }
    }

    /// Returns whether a request may be relayed beside `running` tries, if there is a reason.
    pub(super) fn may_relay(&self, progress: &ForwardProgress, running: usize) -> bool {
        self.relay.is_some() && progress.may_relay(running)
    }

    /// Returns whether a request is to be relayed now beside `running` tries.
    pub(super) fn wants_relay(&self, progress: &ForwardProgress, running: usize) -> bool {
        let has_reason = self.reach.is_lost() || progress.has_no_path();
        has_reason && self.may_relay(progress, running)
    }

    /// Sends a request through another entry, which may try `attempts` targets.
    pub(super) async fn try_relay(&self, request: &PlainRequest, attempts: u32) -> TryOutcome {
        let started = now();
        let end = match &self.relay {
            Some(relay) => relay.send(request, attempts).await,
            None => RelayEnd::NoHelper { cuts: 0 },
        };
        let (label, cuts) = match &end {
            RelayEnd::Replied { cuts, .. } => ("sent", *cuts),
            RelayEnd::NoHelper { cuts } => ("no helper", *cuts),
        };
        METRICS.relays.with_label_values(&[label]).inc();
        spdlog::info!("request: relayed", kv: {
            request = request.id.as_str(),
            outcome = label,
            cuts,
            path_lost = self.reach.is_lost(),
            took_ms = now().since(started),
        });
        match end {
            RelayEnd::Replied { outcome, cuts: 0 } => TryOutcome::Relayed(outcome),
            RelayEnd::Replied { outcome, .. } => TryOutcome::Relayed(beside_another_copy(outcome)),
            RelayEnd::NoHelper { cuts } => TryOutcome::NoHelper { cuts },
        }
    }
}
