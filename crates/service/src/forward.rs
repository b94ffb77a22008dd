//! Forwarding of callers' requests to targets of plain services.
//!
//! An idempotent request is retried at another target after a failure, and also sent to a second
//! target if the first is slow to answer (hedged request). All tries share one deadline. The
//! outcome distinguishes a request that certainly did not run from one that may have run.

mod attempt;
mod progress;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::future::Either;
use futures_util::future::join_all;
use futures_util::stream::FuturesUnordered;
use tokio::time::sleep;

use self::attempt::ChosenTarget;
use self::attempt::TryOutcome;
use self::progress::ForwardProgress;
use self::progress::RelayStage;
use crate::choice::ChoiceQuery;
use crate::choice::TargetChooser;
use crate::dialect::TargetDialect;
use crate::leader_client::LeaderClient;
use crate::metrics::METRICS;
use crate::permits::PermitClient;
use crate::permits::PermitQuery;
use crate::plain::ForwardReport;
use crate::plain::PlainOutcome;
use crate::plain::PlainRequest;
use crate::plan::RouteRule;
use crate::pool::TargetPool;
use crate::reach::ReachWatch;
use crate::relay::RelayClient;
use crate::software::SoftwareBuild;
use crate::streams::ResumeRefusal;
use crate::streams::StreamClient;
use crate::streams::StreamKey;
use crate::streams::StreamRecord;
use crate::suspects::SuspectWatch;
use crate::usage::UsageSums;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::PermitClaim;
use bergamotlane_policy::rate::PermitReply;
use bergamotlane_policy::suspect::RequestDigest;
use bergamotlane_storage::clock::now;
use bergamotlane_storage::clock::unix_ms;

/// Share of the latency target after which an idempotent request is hedged, in percent.
const HEDGE_TARGET_PERCENT: u64 = 50;

/// Shortest wait before a request is hedged, in milliseconds.
const MIN_HEDGE_MS: u64 = 40;

/// Shortest time left before the deadline for which a further try is made, in milliseconds.
const MIN_TRY_MS: u64 = 20;

/// Number of targets to which a connection is tried to learn whether the path to them is back.
const PROBED_TARGETS: usize = 2;

/// Divisor of the latency target that yields the longest wait for a permit.
const PERMIT_WAIT_DIVISOR: u64 = 2;

/// Target for the next try of a request.
enum NextTarget<'a> {
    Chosen(Box<ChosenTarget<'a>>),
    /// All targets that could take the request are at their limits for this time, in milliseconds.
    Limited(u64),
    None,
}

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
            probes: AtomicUsize::new(0),
            chooser: Mutex::new(TargetChooser::new(instance, zone)),
            usage: Mutex::default(),
            window_ms,
        }
    }

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

    /// Locks and returns the chooser, to update its targets.
    pub fn chooser(&self) -> MutexGuard<'_, TargetChooser> {
        lock(&self.chooser)
    }

    /// Returns the requests under which targets crashed.
    pub fn suspects(&self) -> &SuspectWatch {
        &self.suspects
    }

    /// Returns the build that began a stream which a caller takes up on a route.
    ///
    /// # Errors
    ///
    /// Returns why the stream can't go on: no leader answers before `limit`, nobody knows which build
    /// began it, or the route no longer leads to its service.
    pub async fn find_origin(
        &self,
        route: &RouteRule,
        stream: StreamKey,
        limit: ClockTime,
    ) -> Result<SoftwareBuild, ResumeRefusal> {
        let build = self.streams.find(stream, limit).await?;
        match route.uses(&build.service) {
            true => Ok(build),
            false => Err(ResumeRefusal::OtherService),
        }
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
        let outcome = match progress.relay {
            RelayStage::NotTried => self.record_stream(request, outcome).await,
            RelayStage::Running | RelayStage::Done => outcome,
        };
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

    /// Records which build begins a stream that its caller may take up, before the caller gets the
    /// answer.
    async fn record_stream(&self, request: &PlainRequest, outcome: PlainOutcome) -> PlainOutcome {
        let (Some(stream), PlainOutcome::Answered(answer)) = (request.begins, &outcome) else {
            return outcome;
        };
        let Some(build) = answer.build.as_ref().filter(|_| answer.status.is_success()) else {
            return outcome;
        };
        let record = self.streams.record(stream, (**build).clone()).await;
        spdlog::info!("stream: begun", kv: {
            request = request.id.as_str(),
            service = build.service.as_str(),
            software = build.version.as_str(),
            record = format!("{record:?}"),
        });
        match record {
            StreamRecord::Durable | StreamRecord::Pending => outcome,
            StreamRecord::Conflict => PlainOutcome::Failed,
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
        let hedge_ms = (request.latency_target_ms * HEDGE_TARGET_PERCENT / 100).max(MIN_HEDGE_MS);
        let mut running = FuturesUnordered::new();
        loop {
            let left_ms = request.limit.since(now());
            if left_ms >= MIN_TRY_MS && self.wants_relay(progress, running.len()) {
                progress.relay = RelayStage::Running;
                running.push(Either::Right(self.try_relay(request)));
            } else if left_ms >= MIN_TRY_MS && self.may_try(progress, running.len()) {
                let with_limited = running.is_empty();
                match self
                    .next_target(request, &progress.tried, with_limited)
                    .await
                {
                    NextTarget::Chosen(target) => {
                        progress.record_start(&target.entry);
                        let left_ms = request.limit.since(now());
                        running.push(Either::Left(self.try_target(request, *target, left_ms)));
                    }
                    NextTarget::Limited(wait_ms) => progress.free_in_ms = Some(wait_ms),
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
                    progress.may_have_run = true;
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

    /// Returns whether a request may be relayed beside `running` tries, if there is a reason.
    fn may_relay(&self, progress: &ForwardProgress, running: usize) -> bool {
        self.relay.is_some() && progress.may_relay(running)
    }

    /// Returns whether a request is to be relayed now beside `running` tries.
    fn wants_relay(&self, progress: &ForwardProgress, running: usize) -> bool {
        let has_reason = self.reach.is_lost() || progress.has_no_path();
        has_reason && self.may_relay(progress, running)
    }

    /// Sends a request through another entry.
    async fn try_relay(&self, request: &PlainRequest) -> TryOutcome {
        let started = now();
        let outcome = match &self.relay {
            Some(relay) => relay.send(request).await,
            None => None,
        };
        let label = match &outcome {
            Some(_) => "sent",
            None => "no helper",
        };
        METRICS.relays.with_label_values(&[label]).inc();
        spdlog::info!("request: relayed", kv: {
            request = request.id.as_str(),
            outcome = label,
            path_lost = self.reach.is_lost(),
            took_ms = now().since(started),
        });
        outcome.map_or(TryOutcome::NoHelper, TryOutcome::Relayed)
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

    /// Chooses the next target of a request. `with_limited` allows targets that name a limit, for
    /// which the request must have a permit.
    async fn next_target(
        &self,
        request: &PlainRequest,
        tried: &[String],
        with_limited: bool,
    ) -> NextTarget<'_> {
        let claim = permit_claim(request);
        let mut free_in_ms: Option<u64> = None;
        loop {
            let query = ChoiceQuery {
                service: &request.service,
                tried,
                cold_pause_ms: request.cold_pause_ms,
                reserved_slots: request.reserved_slots,
                with_limited,
                build: request.resumes.as_ref(),
            };
            let Some(target) = ChosenTarget::choose(&self.chooser, query) else {
                let denied_ms = || self.chooser().denied_ms(now(), &request.service);
                return match free_in_ms.or_else(denied_ms) {
                    Some(wait_ms) => NextTarget::Limited(wait_ms),
                    None => NextTarget::None,
                };
            };
            let Some(rate) = target.entry.rate_limit else {
                return NextTarget::Chosen(Box::new(target));
            };
            let id = target.entry.announcement.id.as_str();
            let permit = self.permits.acquire(PermitQuery {
                target: id,
                rate,
                claim,
                sharers: request.sharers,
            });
            match permit.await {
                PermitReply::Granted(wait_ms) => {
                    sleep(Duration::from_millis(wait_ms)).await;
                    if self.chooser().is_leaving(&target.entry.announcement) {
                        continue;
                    }
                    return NextTarget::Chosen(Box::new(target));
                }
                PermitReply::Denied(wait_ms) => {
                    spdlog::info!("request: no permit", kv: {
                        request = request.id.as_str(),
                        target = id,
                        limit_per_s = rate.per_s(),
                        free_in_ms = wait_ms,
                    });
                    let earlier_ms = match claim {
                        PermitClaim::Caller(max_wait_ms) => max_wait_ms,
                        PermitClaim::Background => 0,
                    };
                    let until = now() + wait_ms.saturating_sub(earlier_ms);
                    target.deny(until);
                    free_in_ms = Some(free_in_ms.map_or(wait_ms, |it| it.min(wait_ms)));
                }
            }
        }
    }
}

/// Returns a request's claim on a permit. One that leaves slots to callers leaves permits as well.
fn permit_claim(request: &PlainRequest) -> PermitClaim {
    match request.reserved_slots {
        Some(_) => PermitClaim::Background,
        None => PermitClaim::Caller(request.latency_target_ms / PERMIT_WAIT_DIVISOR),
    }
}
