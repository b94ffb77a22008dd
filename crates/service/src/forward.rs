//! Forwarding of callers' requests to targets of plain services.
//!
//! An idempotent request is retried at another target after a failure, and also sent to a second
//! target if the first is slow to answer (hedged request). All tries share one deadline. The
//! outcome distinguishes a request that certainly did not run from one that may have run.

mod attempt;
mod next_target;
mod progress;
mod relayed;
mod stream;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::Either;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;

use self::attempt::TryOutcome;
use self::next_target::NextTarget;
use self::progress::ForwardProgress;
use self::progress::RelayStage;
use crate::bodies::AnswerBudget;
use crate::choice::TargetChooser;
use crate::dialect::TargetDialect;
use crate::leader_client::LeaderClient;
use crate::metrics::METRICS;
use crate::permits::PermitClient;
use crate::plain::ForwardReport;
use crate::plain::PlainOutcome;
use crate::plain::PlainRequest;
use crate::pool::TargetPool;
use crate::reach::ReachWatch;
use crate::relay::RelayClient;
use crate::streams::StreamClient;
use crate::suspects::SuspectWatch;
use crate::usage::UsageSums;
use bergamotlane_policy::suspect::RequestDigest;
use bergamotlane_storage::clock::now;
use bergamotlane_storage::clock::unix_ms;

/// Share of the latency target after which an idempotent request is hedged, in percent.
const HEDGE_TARGET_PERCENT: u64 = 50;

/// Shortest wait before a request is hedged, in milliseconds.
const MIN_HEDGE_MS: u64 = 40;

/// Shortest time left before the deadline for which a further try is made, in milliseconds.
const MIN_TRY_MS: u64 = 20;

/// Forwards an instance's requests and counts usage by customer.
pub struct Forwarder<D> {
    dialect: D,
    pool: Arc<TargetPool>,
    leader: LeaderClient,
    permits: PermitClient,
    suspects: SuspectWatch,
    streams: StreamClient,
    reach: Arc<ReachWatch>,
    /// Way through other entries; `None` at a keeper.
    relay: Option<RelayClient>,
    /// Budget of answers; `None` at a keeper.
    answers: Option<Arc<AnswerBudget>>,
    probes: AtomicUsize,
    chooser: Mutex<TargetChooser>,
    usage: Mutex<UsageSums>,
    window_ms: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl<D: TargetDialect> Forwarder<D> {
    /// Returns a forwarder for the named instance in `zone`, which gets permits from the leader; usage
    /// windows last `window_ms` milliseconds.
    pub fn new(
        dialect: D,
        leader: LeaderClient,
        instance: &str,
        zone: &str,
        window_ms: u64,
    ) -> Self {
        Self {
            dialect,
            pool: TargetPool::new(),
            leader: leader.clone(),
            permits: PermitClient::new(leader.clone()),
            streams: StreamClient::new(leader.clone()),
            suspects: SuspectWatch::new(leader),
            reach: Arc::default(),
            relay: None,
            answers: None,
            probes: AtomicUsize::new(0),
            chooser: Mutex::new(TargetChooser::new(instance, zone)),
            usage: Mutex::default(),
            window_ms,
        }
    }

    /// Returns the forwarder with a budget that the answers which it reads are in.
    pub fn with_answers(self, answers: Arc<AnswerBudget>) -> Self {
        Self {
            answers: Some(answers),
            ..self
        }
    }

    /// Locks and returns the chooser, to update its targets.
    pub fn chooser(&self) -> MutexGuard<'_, TargetChooser> {
        lock(&self.chooser)
    }

    /// Returns the requests under which targets crashed.
    pub fn suspects(&self) -> &SuspectWatch {
        &self.suspects
    }

    /// Returns the usage sums counted so far.
    pub fn usage(&self) -> UsageSums {
        lock(&self.usage).clone()
    }

    /// Drops pooled connections that have been idle for too long.
    pub fn prune(&self) {
        self.pool.prune();
    }

    /// Forwards a request until it is answered or given up. A request that may have run counts as
    /// usage of its customer.
    ///
    /// If the path to the targets is lost, another entry forwards the request and counts its usage.
    pub async fn forward(&self, request: &PlainRequest) -> ForwardReport {
        let progress = ForwardProgress::new(request);
        self.forward_from(request, progress).await
    }

    /// Forwards a request of another entry, which is not relayed again.
    pub async fn forward_relayed(&self, request: &PlainRequest) -> ForwardReport {
        let mut progress = ForwardProgress::new(request);
        progress.relay = RelayStage::Done;
        self.forward_from(request, progress).await
    }

    async fn forward_from(
        &self,
        request: &PlainRequest,
        mut progress: ForwardProgress,
    ) -> ForwardReport {
        let started_ms = unix_ms();
        let suspect = self.suspects.find(request);
        if let Some(left_ms) = suspect.and_then(|it| self.quarantine_left_ms(it)) {
            return self.refuse_quarantined(request, left_ms);
        }
        progress.set_suspect(suspect);
        let outcome = self.try_targets(request, &mut progress).await;
        if let PlainOutcome::Overloaded(return_ms) = outcome {
            METRICS.requests_shed.inc();
            spdlog::info!("request: no target has room", kv: {
                request = request.id.as_str(),
                service = request.service.as_str(),
                tried = progress.tried.len(),
                return_ms,
            });
        }
        let outcome = self.record_stream(request, outcome).await;
        if progress.may_have_run
            && let Some(customer) = &request.customer
        {
            lock(&self.usage).count(started_ms / self.window_ms.max(1), customer);
        }
        ForwardReport {
            outcome,
            server_errors: progress.server_errors,
        }
    }

    /// Returns the time for which a request is not sent on because targets crashed under it, in
    /// milliseconds.
    fn quarantine_left_ms(&self, digest: RequestDigest) -> Option<u64> {
        self.suspects.table().quarantine_left_ms(now(), digest)
    }

    fn refuse_quarantined(&self, request: &PlainRequest, left_ms: u64) -> ForwardReport {
        METRICS.quarantined.inc();
        spdlog::info!("request: in quarantine", kv: { request = request.id.as_str(), left_ms });
        ForwardReport {
            outcome: PlainOutcome::Quarantined(left_ms),
            server_errors: 0,
        }
    }

    async fn try_targets(
        &self,
        request: &PlainRequest,
        progress: &mut ForwardProgress,
    ) -> PlainOutcome {
        let hedge_ms = self.hedge_ms(request);
        let mut running = FuturesUnordered::new();
        loop {
            let left_ms = request.limit.since(now());
            if left_ms >= MIN_TRY_MS && self.wants_relay(progress, running.len()) {
                progress.relay = RelayStage::Running;
                let attempts = progress.attempts_left();
                running.push(Either::Right(self.try_relay(request, attempts)));
            } else if left_ms >= MIN_TRY_MS && self.may_try(progress, running.len()) {
                let is_alone = running.is_empty();
                match self.next_target(request, &progress.tried, is_alone).await {
                    NextTarget::Chosen(target) => {
                        progress.record_start(&target.entry);
                        let left_ms = request.limit.since(now());
                        running.push(Either::Left(self.try_target(request, *target, left_ms)));
                    }
                    NextTarget::Limited(wait_ms) => progress.free_in_ms = Some(wait_ms),
                    NextTarget::Overloaded(room_in_ms) if is_alone => {
                        if let Some(wait_ms) = progress.wait_for_room(room_in_ms, left_ms) {
                            sleep(Duration::from_millis(wait_ms)).await;
                            continue;
                        }
                        progress.room_in_ms = Some(room_in_ms);
                    }
                    NextTarget::Overloaded(_) => {}
                    NextTarget::None => {
                        progress.record_no_target();
                        if self.wants_relay(progress, running.len()) {
                            continue;
                        }
                    }
                }
            }
            if running.is_empty() {
                return progress.give_up(left_ms < MIN_TRY_MS);
            }
            let wait_ms = match progress.can_hedge(running.len()) {
                true => left_ms.min(hedge_ms),
                false => left_ms,
            };
            let may_relay = left_ms >= MIN_TRY_MS && self.may_relay(progress, running.len());
            let end = tokio::select! {
                end = running.next() => end,
                () = sleep(Duration::from_millis(wait_ms)) => None,
                () = self.reach.wait_lost(), if may_relay => None,
            };
            let Some(end) = end else {
                if request.limit.since(now()) == 0 {
                    progress.may_have_run |= progress.relay != RelayStage::Running;
                    return PlainOutcome::Late;
                }
                continue;
            };
            if let TryOutcome::Relayed(outcome) = end {
                if let PlainOutcome::Answered(answer) = &outcome
                    && let Some(start) = &answer.leaving
                {
                    self.record_leaving(start);
                }
                return progress.relayed(outcome, !running.is_empty());
            }
            if matches!(end, TryOutcome::Crashed) {
                progress.suspect = self.suspects.find(request);
            }
            if let Some(answer) = progress.record_end(end) {
                if let Some(digest) = progress.suspect {
                    self.suspects.record_answer(digest);
                }
                return PlainOutcome::Answered(answer);
            }
        }
    }

    /// Returns the time after which a request is hedged, in milliseconds. One of a class that often takes
    /// longer is hedged later, but not after its latency target: its second try would mostly do the
    /// same work again.
    fn hedge_ms(&self, request: &PlainRequest) -> u64 {
        let target_ms = request.latency_target_ms;
        let hedge_ms = (target_ms * HEDGE_TARGET_PERCENT / 100).max(MIN_HEDGE_MS);
        let class = request.cost_class();
        let costs = self.chooser().request_costs(now(), &request.service, class);
        let high_ms = costs.map_or(0, |it| it.own.high_ms as u64);
        hedge_ms.max(high_ms.min(target_ms))
    }

    /// Returns whether another try may be made beside `running` ones.
    fn may_try(&self, progress: &ForwardProgress, running: usize) -> bool {
        if progress.relay == RelayStage::Running {
            return false;
        }
        let suspect = progress.suspect;
        let is_quarantined = suspect.is_some_and(|it| self.quarantine_left_ms(it).is_some());
        progress.may_try(running) && !is_quarantined
    }
}
