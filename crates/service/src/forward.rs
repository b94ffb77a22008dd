//! Forwarding of callers' requests to targets of plain services.
//!
//! An idempotent request is retried at another target after a failure, and also sent to a second
//! target if the first is slow to answer (hedged request). All tries share one deadline. The
//! outcome distinguishes a request that certainly did not run from one that may have run.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use spdlog::Level;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::choice::ChoiceQuery;
use crate::choice::TargetChooser;
use crate::dialect::RequestMetadata;
use crate::dialect::TargetDialect;
use crate::leader_client::LeaderClient;
use crate::metrics::METRICS;
use crate::permits::PermitClient;
use crate::permits::PermitQuery;
use crate::permits::return_ms;
use crate::plain::ForwardReport;
use crate::plain::PlainAnswer;
use crate::plain::PlainOutcome;
use crate::plain::PlainRequest;
use crate::plan::RouteKind;
use crate::pool::SendError;
use crate::pool::TargetPool;
use crate::registry::TargetAnnouncement;
use crate::registry::TargetEntry;
use crate::suspects::SuspectWatch;
use crate::usage::UsageSums;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::PermitClaim;
use bergamotlane_policy::rate::PermitReply;
use bergamotlane_policy::rate::RequestRate;
use bergamotlane_policy::suspect::RequestDigest;
use bergamotlane_storage::clock::now;
use bergamotlane_storage::clock::unix_ms;

/// Share of the latency target after which an idempotent request is hedged, in percent.
const HEDGE_TARGET_PERCENT: u64 = 50;

/// Shortest wait before a request is hedged, in milliseconds.
const MIN_HEDGE_MS: u64 = 40;

/// Shortest time left before the deadline for which a further try is made, in milliseconds.
const MIN_TRY_MS: u64 = 20;

/// Number of the first rejection of a request by a target that counts as an attempt, as all later
/// ones do.
const MAX_REJECTIONS: usize = 6;

/// Divisor of the latency target that yields the longest wait for a permit.
const PERMIT_WAIT_DIVISOR: u64 = 2;

/// Largest body of an answer, in bytes; the complete body is buffered.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// What the tries of a request have shown so far.
#[derive(Debug, Default)]
struct ForwardTally {
    may_have_run: bool,
    server_errors: u32,
}

impl ForwardTally {
    fn record_status(&mut self, status: StatusCode) {
        if status == StatusCode::INTERNAL_SERVER_ERROR {
            self.server_errors += 1;
        }
    }
}

/// Outcome of one try at a target.
enum TryOutcome {
    Answered(PlainAnswer),
    /// The target refused the request without running it.
    NotRun,
    /// No connection could be made.
    Unsent,
    /// The connection broke after the request may have run.
    Broken,
    /// The try failed after the request may have run.
    Failed,
    /// The target crashed while the request may have run.
    Crashed,
}

/// Target for the next try of a request.
enum NextTarget {
    Chosen(Box<TargetEntry>),
    /// All targets that could take the request are at their limits for this time, in milliseconds.
    Limited(u64),
    None,
}

/// Forwards an instance's requests and counts usage by customer.
pub struct Forwarder<D> {
    dialect: D,
    pool: Arc<TargetPool>,
    permits: PermitClient,
    suspects: SuspectWatch,
    chooser: Mutex<TargetChooser>,
    usage: Mutex<UsageSums>,
    window_ms: u64,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Counts a request as outstanding at its target until it is dropped.
struct OutstandingGuard<'a> {
    chooser: &'a Mutex<TargetChooser>,
    target: String,
    started: ClockTime,
    recorded: bool,
}

impl OutstandingGuard<'_> {
    /// Records the outcome of the try with the chooser.
    fn record(&mut self, ok: bool) {
        let time = now();
        let latency = ok.then(|| time.since(self.started));
        lock(self.chooser).finish_request(time, &self.target, latency);
        self.recorded = true;
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        if !self.recorded {
            lock(self.chooser).release_request(&self.target);
        }
    }
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
            permits: PermitClient::new(leader.clone()),
            suspects: SuspectWatch::new(leader),
            chooser: Mutex::new(TargetChooser::new(instance, zone)),
            usage: Mutex::default(),
            window_ms,
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
    pub async fn forward(&self, request: &PlainRequest) -> ForwardReport {
        let started_ms = unix_ms();
        let suspect = self.suspects.find(request);
        if let Some(left_ms) = suspect.and_then(|it| self.quarantine_left_ms(it)) {
            return self.refuse_quarantined(request, left_ms);
        }
        let mut tally = ForwardTally::default();
        let outcome = self.try_targets(request, &mut tally).await;
        if tally.may_have_run
            && let Some(customer) = &request.customer
        {
            lock(&self.usage).count(started_ms / self.window_ms.max(1), customer);
        }
        ForwardReport {
            outcome,
            server_errors: tally.server_errors,
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

    async fn try_targets(&self, request: &PlainRequest, tally: &mut ForwardTally) -> PlainOutcome {
        let idempotent = request.kind == RouteKind::Safe;
        let mut suspect = self.suspects.find(request);
        // A request that may crash its target gets one try at a time, and one alone if it has crashed
        // one before.
        let max_attempts = match suspect {
            Some(_) => 1,
            None => request.max_attempts,
        };
        let hedge_ms = (request.latency_target_ms * HEDGE_TARGET_PERCENT / 100).max(MIN_HEDGE_MS);
        let mut tried: Vec<String> = Vec::new();
        let mut rejections = 0;
        let mut attempts = 0;
        // Set once a try failed after the request may have run, with the error answer if any.
        let mut failed: Option<Option<PlainAnswer>> = None;
        let mut free_in_ms = None;
        let mut running = FuturesUnordered::new();
        loop {
            let left_ms = request.limit.since(now());
            let may_try = attempts < max_attempts
                && (idempotent || attempts == 0)
                && left_ms >= MIN_TRY_MS
                && (suspect.is_none() || running.is_empty())
                && suspect.is_none_or(|it| self.quarantine_left_ms(it).is_none());
            if may_try {
                match self.next_target(request, &tried, running.is_empty()).await {
                    NextTarget::Chosen(target) => {
                        tried.push(target.announcement.id.clone());
                        attempts += 1;
                        let left_ms = request.limit.since(now());
                        running.push(self.try_target(request, *target, left_ms));
                    }
                    NextTarget::Limited(wait_ms) => free_in_ms = Some(wait_ms),
                    NextTarget::None => {}
                }
            }
            if running.is_empty() {
                tally.may_have_run |= failed.is_some();
                return match failed {
                    Some(Some(answer)) => PlainOutcome::Answered(answer),
                    Some(None) if left_ms < MIN_TRY_MS => PlainOutcome::Late,
                    Some(None) => PlainOutcome::Failed,
                    None => match free_in_ms {
                        Some(wait_ms) => PlainOutcome::Limited(return_ms(wait_ms)),
                        None => PlainOutcome::NotRun,
                    },
                };
            }
            let can_hedge =
                idempotent && suspect.is_none() && attempts < max_attempts && running.len() == 1;
            let wait_ms = if can_hedge {
                left_ms.min(hedge_ms)
            } else {
                left_ms
            };
            let end = tokio::select! {
                end = running.next() => end,
                () = sleep(Duration::from_millis(wait_ms)) => None,
            };
            match end {
                Some(TryOutcome::Answered(answer)) if is_final(&answer, idempotent) => {
                    tally.may_have_run = true;
                    tally.record_status(answer.status);
                    if let Some(digest) = suspect {
                        self.suspects.record_answer(digest);
                    }
                    return PlainOutcome::Answered(answer);
                }
                Some(TryOutcome::Answered(answer)) => {
                    tally.record_status(answer.status);
                    failed = Some(Some(answer));
                }
                Some(TryOutcome::Broken | TryOutcome::Failed) => failed = failed.or(Some(None)),
                Some(TryOutcome::Crashed) => {
                    failed = failed.or(Some(None));
                    suspect = self.suspects.find(request);
                }
                Some(TryOutcome::NotRun | TryOutcome::Unsent) => {
                    rejections += 1;
                    if rejections < MAX_REJECTIONS {
                        attempts -= 1;
                    }
                }
                None if request.limit.since(now()) == 0 => {
                    tally.may_have_run = true;
                    return PlainOutcome::Late;
                }
                None => {}
            }
        }
    }

    /// Chooses the next target of a request. `with_limited` allows targets that name a limit, for
    /// which the request must have a permit.
    async fn next_target(
        &self,
        request: &PlainRequest,
        tried: &[String],
        with_limited: bool,
    ) -> NextTarget {
        let claim = permit_claim(request);
        let mut free_in_ms: Option<u64> = None;
        loop {
            let query = ChoiceQuery {
                service: &request.service,
                tried,
                cold_pause_ms: request.cold_pause_ms,
                reserved_slots: request.reserved_slots,
                with_limited,
            };
            let chosen = self.chooser().choose(now(), query);
            let Some(target) = chosen else {
                let denied_ms = || self.chooser().denied_ms(now(), &request.service);
                return match free_in_ms.or_else(denied_ms) {
                    Some(wait_ms) => NextTarget::Limited(wait_ms),
                    None => NextTarget::None,
                };
            };
            let Some(rate) = target.rate_limit else {
                return NextTarget::Chosen(Box::new(target));
            };
            let id = target.announcement.id.as_str();
            let permit = self.permits.acquire(PermitQuery {
                target: id,
                rate,
                claim,
                sharers: request.sharers,
            });
            match permit.await {
                PermitReply::Granted(wait_ms) => {
                    sleep(Duration::from_millis(wait_ms)).await;
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
                    self.chooser().deny_request(id, until);
                    free_in_ms = Some(free_in_ms.map_or(wait_ms, |it| it.min(wait_ms)));
                }
            }
        }
    }

    async fn try_target(
        &self,
        request: &PlainRequest,
        target: TargetEntry,
        left_ms: u64,
    ) -> TryOutcome {
        let mut guard = OutstandingGuard {
            chooser: &self.chooser,
            target: target.announcement.id.clone(),
            started: now(),
            recorded: false,
        };
        let sent = self.send(request, &target, left_ms);
        let limit = Duration::from_millis(left_ms);
        let mut end = match timeout(limit, sent).boxed().await {
            Ok(end) => end,
            Err(_) => TryOutcome::Failed,
        };
        if matches!(end, TryOutcome::Broken) {
            end = self.classify_break(request, &target.announcement).await;
        }
        match &end {
            TryOutcome::Answered(answer) => guard.record(!answer.status.is_server_error()),
            TryOutcome::NotRun => {}
            TryOutcome::Unsent | TryOutcome::Broken | TryOutcome::Failed | TryOutcome::Crashed => {
                guard.record(false)
            }
        }
        METRICS
            .tries
            .with_label_values(&[outcome_label(&end)])
            .inc();
        let level = match &end {
            TryOutcome::Answered(answer) if answer.status.is_success() => Level::Debug,
            _ => Level::Info,
        };
        spdlog::log!(level, "request: target tried", kv: {
            request = request.id.as_str(),
            target = target.announcement.id.as_str(),
            outcome = outcome_label(&end),
            took_ms = now().since(guard.started),
        });
        end
    }

    async fn send(&self, request: &PlainRequest, target: &TargetEntry, left_ms: u64) -> TryOutcome {
        let mut headers = request.headers.clone();
        let metadata = RequestMetadata {
            request_id: &request.id,
            target: &target.announcement.id,
            time_left_ms: Some(left_ms),
            customer: request.customer.as_deref(),
            version: None,
            last_event: None,
        };
        self.dialect.write_metadata(&mut headers, &metadata);
        let message = Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .body(Full::new(request.body.clone()));
        let Ok(mut message) = message else {
            return TryOutcome::NotRun;
        };
        *message.headers_mut() = headers;
        let idempotent = request.kind == RouteKind::Safe;
        let sent_at = now();
        let may_repeat = idempotent && self.suspects.find(request).is_none();
        let sent = self
            .pool
            .send(target.announcement.address, message, may_repeat);
        let (response, connection) = match sent.await {
            Ok(answer) => answer,
            Err(SendError::Connect) => return TryOutcome::Unsent,
            Err(SendError::Gone | SendError::Broken(_)) => return TryOutcome::Broken,
        };
        let (head, body) = response.into_parts();
        let metadata = self.dialect.read_metadata(&head.headers);
        if metadata
            .request_id
            .as_ref()
            .is_some_and(|it| *it != request.id)
        {
            return TryOutcome::Failed;
        }
        self.record_limit(&target.announcement.id, metadata.rate_limit, sent_at);
        let limited = http_body_util::Limited::new(body, MAX_ANSWER_BYTES);
        let Ok(body) = limited.collect().await else {
            return TryOutcome::Broken;
        };
        connection.keep();
        if metadata.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
            return TryOutcome::NotRun;
        }
        if head.status.is_success() && (metadata.stamp.is_none() || metadata.request_id.is_none()) {
            return TryOutcome::Failed;
        }
        TryOutcome::Answered(PlainAnswer {
            status: head.status,
            stamp: metadata.stamp,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }

    /// Returns how a try ended whose connection broke, and records it if the target crashed.
    async fn classify_break(
        &self,
        request: &PlainRequest,
        target: &TargetAnnouncement,
    ) -> TryOutcome {
        if !self.pool.is_abandoned(target.address).await {
            return TryOutcome::Failed;
        }
        self.suspects.record_crash(request, target);
        TryOutcome::Crashed
    }

    /// Records the limit that a target names in its answer, and tells the leader if that is news.
    fn record_limit(&self, target: &str, rate: Option<RequestRate>, sent_at: ClockTime) {
        if self.chooser().name_limit(now(), target, rate, sent_at) {
            self.permits.report(target, rate, sent_at);
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

/// Returns the outcome's metric label.
fn outcome_label(end: &TryOutcome) -> &'static str {
    match end {
        TryOutcome::Answered(_) => "answered",
        TryOutcome::NotRun => "not run",
        TryOutcome::Unsent => "not sent",
        TryOutcome::Broken | TryOutcome::Failed => "failed",
        TryOutcome::Crashed => "crashed",
    }
}

/// Returns whether an answer goes to the caller without a further try.
fn is_final(answer: &PlainAnswer, idempotent: bool) -> bool {
    !(idempotent && answer.status.is_server_error())
}
