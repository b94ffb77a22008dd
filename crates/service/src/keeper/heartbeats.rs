//! Heartbeats of targets at a keeper: a follower takes those that tell nothing new, and the leader reads
//! its batches.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::LeaderCall;
use crate::frames::LeaderReply;
use crate::frames::LinkFrame;
use crate::heartbeats::HeartbeatBatch;
use crate::leader_client::CallRequest;
use crate::leader_client::CallResult;
use crate::link::LinkId;
use crate::metrics::METRICS;
use crate::registry::BeatEffect;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;

impl<D: TargetDialect> KeeperCore<D> {
    /// Returns the control addresses over which the targets are spread: those of the linked keepers that
    /// take heartbeats and stay, or this one's if there are none.
    pub(super) fn heartbeat_keepers(&self) -> BTreeSet<SocketAddr> {
        let hellos = self.links.values().map(|(hello, _)| hello);
        let keepers: BTreeSet<SocketAddr> = hellos
            .filter(|it| it.batches_heartbeats && !self.state.retiring.contains(&it.name))
            .filter_map(|it| it.control)
            .collect();
        match keepers.is_empty() {
            true => BTreeSet::from([self.settings.control]),
            false => keepers,
        }
    }

    /// Returns the reply to an announcement that the leader or this keeper has taken.
    pub(super) fn announced(&self, id: &str) -> LeaderReply {
        let address = self.heartbeats.address_of(id);
        LeaderReply::Announced(Some(address.unwrap_or(self.settings.control)))
    }

    /// Answers an announcement if it tells the leader nothing but that its target lives; otherwise
    /// returns the request.
    pub(super) fn take_heartbeat(&mut self, request: CallRequest) -> Option<CallRequest> {
        let LeaderCall::Announce(announcement) = &request.call else {
            return Some(request);
        };
        let leader_term = self.leader.map(|(term, _)| term);
        let id = announcement.id.as_str();
        let known = self.last_targets.get(id);
        let is_taken = self
            .heartbeats
            .take(now(), announcement, known, leader_term);
        if !is_taken {
            METRICS.heartbeats.with_label_values(&["forwarded"]).inc();
            return Some(request);
        }
        METRICS.heartbeats.with_label_values(&["taken"]).inc();
        let reply = self.announced(id);
        // The send fails if the caller no longer waits.
        request.reply.send(CallResult::Answered(reply)).ok();
        None
    }

    /// Sends the leader which targets live, at the interval of the batches.
    pub(super) fn send_heartbeats(&mut self, time: ClockTime) {
        let leader_term = self.leader.map(|(term, _)| term);
        let Some(link) = self.heartbeats.link(leader_term) else {
            return;
        };
        if let Some(batch) = self.heartbeats.take_batch(time, leader_term) {
            self.hub.send(link, &LinkFrame::Heartbeats(batch));
        }
    }

    /// Applies a batch of a following keeper, and tells it which targets have to announce themselves.
    pub(super) fn on_heartbeats(&mut self, link: LinkId, batch: &HeartbeatBatch) {
        let time = now();
        let node = self.links.get(&link).and_then(|(hello, _)| hello.node);
        if !self.is_confirmed_leader() {
            return;
        }
        let has_term = self.lead.as_ref().is_some_and(|it| it.term == batch.term);
        let (Some(reporter), Some(mut starts)) = (node.filter(|_| has_term), self.target_starts())
        else {
            return;
        };
        starts.registry.record_report(time, reporter);
        let mut unknown = Vec::new();
        for beat in &batch.beats {
            let effect = starts.beat(time, beat, reporter);
            let label = match effect {
                BeatEffect::Taken => "batched",
                BeatEffect::Late => "late",
                BeatEffect::Unknown => "refused",
            };
            METRICS.heartbeats.with_label_values(&[label]).inc();
            if effect == BeatEffect::Unknown {
                unknown.push(beat.id.clone());
            }
        }
        if !unknown.is_empty() {
            self.hub.send(link, &LinkFrame::HeartbeatsRefused(unknown));
        }
    }
}
