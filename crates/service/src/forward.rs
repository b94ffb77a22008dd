//! Requests of callers, passed on to targets of plain services.
//!
//! A request that may be repeated is tried at another target when one fails, and early when one
//! is slow to answer (hedged request). All tries share one time limit. What was certainly not
//! run is refused so.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::choice::ChoiceQuery;
use crate::choice::TargetChooser;
use crate::dialect::RequestMetadata;
use crate::dialect::TargetDialect;
use crate::metrics::METRICS;
use crate::plan::RouteKind;
use crate::pool::SendError;
use crate::pool::TargetPool;
use crate::registry::TargetEntry;
use crate::usage::UsageSums;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;
use bergamotlane_storage::clock::unix_ms;

/// Part of the latency target after which a repeatable request is tried at a second target.
const HEDGE_TARGET_PERCENT: u64 = 50;

/// Shortest wait before a second target is tried, in milliseconds.
const LEAST_HEDGE_MS: u64 = 40;

/// Time left below which no further try is made, in milliseconds.
const LEAST_TRY_MS: u64 = 20;

/// Targets that may turn a request away before it is refused.
const MAX_TURNED_AWAY: usize = 6;

/// Largest answer that is held until it is whole, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// A request to pass on.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// ID.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path: String,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Customer.
    pub customer: Option<String>,
    /// Service.
    pub service: String,
    /// Kind of the route.
    pub kind: RouteKind,
    /// Targets that may run it.
    pub max_attempts: u32,
    /// Latency target, in milliseconds.
    pub latency_target_ms: u64,
    /// Time by which it must be answered.
    pub limit: ClockTime,
    /// Time between two requests that a cold target gets from here, in milliseconds.
    pub cold_pause_ms: Option<u64>,
}

/// A whole answer of a target.
#[derive(Debug)]
pub struct PlainAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// What becomes of a request.
#[derive(Debug)]
pub enum PlainOutcome {
    /// A target answered.
    Answered(PlainAnswer),
    /// It did not run and never will.
    NotRun,
    /// Targets failed; it may have run.
    Failed,
    /// Its time is up; it may have run.
    Late,
}

enum TryEnd {
    Answered(PlainAnswer),
    NotRun,
    Unsent,
    Failed,
}

/// Passes requests on.
pub struct Forwarder<D> {
    dialect: D,
    pool: Arc<TargetPool>,
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
    told: bool,
}

impl OutstandingGuard<'_> {
    fn tell(&mut self, ok: bool) {
        let time = now();
        let latency = ok.then(|| time.since(self.started));
        lock(self.chooser).finish_request(time, &self.target, latency);
        self.told = true;
    }
}

impl Drop for OutstandingGuard<'_> {
    fn drop(&mut self) {
        if !self.told {
            lock(self.chooser).release_request(&self.target);
        }
    }
}

impl<D: TargetDialect> Forwarder<D> {
    /// Makes a forwarder for an instance in a zone; usage windows last `window_ms`.
    pub fn new(dialect: D, zone: &str, window_ms: u64) -> Self {
        Self {
            dialect,
            pool: TargetPool::new(),
            chooser: Mutex::new(TargetChooser::new(zone)),
            usage: Mutex::default(),
            window_ms,
        }
    }

    /// Returns the chooser.
    pub fn chooser(&self) -> MutexGuard<'_, TargetChooser> {
        lock(&self.chooser)
    }

    /// Returns what was counted so far.
    pub fn usage(&self) -> UsageSums {
        lock(&self.usage).clone()
    }

    /// Drops connections that have been idle for too long.
    pub fn prune(&self) {
        self.pool.prune();
    }

    /// Passes a request on and returns what becomes of it.
    pub async fn forward(&self, request: &PlainRequest) -> PlainOutcome {
        let started_ms = unix_ms();
        let mut began = false;
        let outcome = self.try_targets(request, &mut began).await;
        if began && let Some(customer) = &request.customer {
            lock(&self.usage).count(started_ms / self.window_ms.max(1), customer);
        }
        outcome
    }

    async fn try_targets(&self, request: &PlainRequest, began: &mut bool) -> PlainOutcome {
        let repeatable = request.kind == RouteKind::Safe;
        let hedge_ms = (request.latency_target_ms * HEDGE_TARGET_PERCENT / 100).max(LEAST_HEDGE_MS);
        let mut tried: Vec<String> = Vec::new();
        let mut turned_away = 0;
        let mut attempts = 0;
        let mut failed: Option<Option<PlainAnswer>> = None;
        let mut running = FuturesUnordered::new();
        loop {
            let left = request.limit.since(now());
            let may_try = attempts < request.max_attempts
                && (repeatable || attempts == 0)
                && left >= LEAST_TRY_MS;
            if may_try && let Some(target) = self.choose(request, &tried) {
                tried.push(target.notice.id.clone());
                attempts += 1;
                running.push(self.try_target(request, target, left));
            }
            if running.is_empty() {
                *began |= failed.is_some();
                return match failed {
                    Some(Some(answer)) => PlainOutcome::Answered(answer),
                    Some(None) if left < LEAST_TRY_MS => PlainOutcome::Late,
                    Some(None) => PlainOutcome::Failed,
                    None => PlainOutcome::NotRun,
                };
            }
            let can_hedge = repeatable && attempts < request.max_attempts && running.len() == 1;
            let wait = if can_hedge { left.min(hedge_ms) } else { left };
            let end = tokio::select! {
                end = running.next() => end,
                () = sleep(Duration::from_millis(wait)) => None,
            };
            match end {
                Some(TryEnd::Answered(answer)) if is_final(&answer, repeatable) => {
                    *began = true;
                    return PlainOutcome::Answered(answer);
                }
                Some(TryEnd::Answered(answer)) => {
                    failed = Some(Some(answer));
                }
                Some(TryEnd::Failed) => failed = failed.or(Some(None)),
                Some(TryEnd::NotRun | TryEnd::Unsent) => {
                    turned_away += 1;
                    if turned_away < MAX_TURNED_AWAY {
                        attempts -= 1;
                    }
                }
                None if request.limit.since(now()) == 0 => {
                    *began = true;
                    return PlainOutcome::Late;
                }
                None => {}
            }
        }
    }

    fn choose(&self, request: &PlainRequest, tried: &[String]) -> Option<TargetEntry> {
        let query = ChoiceQuery {
            service: &request.service,
            tried,
            cold_pause_ms: request.cold_pause_ms,
        };
        self.chooser().choose(now(), query)
    }

    async fn try_target(&self, request: &PlainRequest, target: TargetEntry, left: u64) -> TryEnd {
        let mut guard = OutstandingGuard {
            chooser: &self.chooser,
            target: target.notice.id.clone(),
            started: now(),
            told: false,
        };
        let sent = self.send(request, &target, left);
        let limit = Duration::from_millis(left);
        let end = match timeout(limit, sent).boxed().await {
            Ok(end) => end,
            Err(_) => TryEnd::Failed,
        };
        match &end {
            TryEnd::Answered(answer) => guard.tell(!answer.status.is_server_error()),
            TryEnd::NotRun => {}
            TryEnd::Unsent | TryEnd::Failed => guard.tell(false),
        }
        METRICS.tries.with_label_values(&[end_name(&end)]).inc();
        spdlog::debug!("request: target tried", kv: {
            request = request.id.as_str(),
            target = target.notice.id.as_str(),
            outcome = end_name(&end),
            took_ms = now().since(guard.started),
        });
        end
    }

    async fn send(&self, request: &PlainRequest, target: &TargetEntry, left: u64) -> TryEnd {
        let mut headers = request.headers.clone();
        let marks = RequestMetadata {
            request_id: &request.id,
            target: &target.notice.id,
            time_left_ms: Some(left),
            customer: request.customer.as_deref(),
            version: None,
            last_event: None,
        };
        self.dialect.write_metadata(&mut headers, &marks);
        let message = Request::builder()
            .method(request.method.clone())
            .uri(&request.path)
            .body(Full::new(request.body.clone()));
        let Ok(mut message) = message else {
            return TryEnd::NotRun;
        };
        *message.headers_mut() = headers;
        let repeatable = request.kind == RouteKind::Safe;
        let sent = self.pool.send(target.notice.address, message, repeatable);
        let (response, lease) = match sent.await {
            Ok(answer) => answer,
            Err(SendError::Connect) => return TryEnd::Unsent,
            Err(SendError::Broken(_)) => return TryEnd::Failed,
        };
        let (head, body) = response.into_parts();
        let marks = self.dialect.read_metadata(&head.headers);
        if marks
            .request_id
            .as_ref()
            .is_some_and(|it| *it != request.id)
        {
            return TryEnd::Failed;
        }
        let limited = http_body_util::Limited::new(body, MAX_ANSWER_BYTES);
        let Ok(body) = limited.collect().await else {
            return TryEnd::Failed;
        };
        lease.keep();
        if marks.not_run || head.status == StatusCode::MISDIRECTED_REQUEST {
            return TryEnd::NotRun;
        }
        if head.status.is_success() && (!marks.is_stamped || marks.request_id.is_none()) {
            return TryEnd::Failed;
        }
        TryEnd::Answered(PlainAnswer {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

fn end_name(end: &TryEnd) -> &'static str {
    match end {
        TryEnd::Answered(_) => "answered",
        TryEnd::NotRun => "not run",
        TryEnd::Unsent => "not sent",
        TryEnd::Failed => "failed",
    }
}

fn is_final(answer: &PlainAnswer, repeatable: bool) -> bool {
    !(repeatable && answer.status.is_server_error())
}
