//! Stand-in for a model engine.
//!
//! The text of a token depends only on the prompt, the seed and the token's index, so that
//! a client can verify that an answer is complete. Each token carries the weight version
//! that was loaded when it was generated.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use futures_util::stream;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use salvo::http::header::HeaderValue;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::announce::TargetCondition;
use crate::faults::FaultInjector;
use crate::faults::FaultKind;
use crate::faults::FaultRequest;
use crate::reply;
use bergamotlane_wire::http::LoadBody;

/// Time for which a stalled or silent answer keeps its connection open.
const STALL_DURATION: Duration = Duration::from_secs(600);

/// Number of tokens that a stream generates before its fault is injected.
const TOKENS_BEFORE_FAULT: u32 = 3;

/// Speed and capacity of an engine.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Time to generate a token.
    pub token_time: Duration,
    /// Number of tokens of an answer, unless the request's `max_tokens` is lower.
    pub token_count: u32,
    /// Time from the start of the process until the engine is warm.
    pub cold_start: Duration,
    /// Time to load a weight version after it was fetched.
    pub load_time: Duration,
    /// Share of answers, in thousandths, whose tokens take 20 times as long.
    pub straggler_per_mille: u64,
    /// Number of requests in progress that the engine can take while cold; above it, a
    /// request counts as an overload.
    pub cold_capacity: u32,
    /// Address of the weight store to fetch versions from, `IP:PORT`. If empty, weights are
    /// loaded without a fetch.
    pub store: String,
}

/// Settings, loaded weights and counters of an engine.
#[derive(Debug)]
pub struct EngineState {
    settings: EngineSettings,
    started: Instant,
    /// Fault to inject.
    pub faults: FaultInjector,
    /// Weight version that is loaded.
    version: AtomicU64,
    /// Highest fencing token of a weight order.
    fence: AtomicU64,
    in_flight: AtomicU32,
    /// Number of requests in progress with the highest priority, 0.
    urgent: AtomicU32,
    /// Highest number of requests in progress while the engine was cold.
    max_cold_load: AtomicU32,
    /// Number of requests above the capacity of the cold engine.
    overloads: AtomicU32,
    served: AtomicU64,
    leaving: Mutex<bool>,
    /// Number of requests that asked to go on with a generation of another engine.
    resumed: AtomicU64,
    /// Number of requests that carried a caller's key; entries must remove them all.
    keys_seen: AtomicU64,
}

impl EngineState {
    /// Creates a cold engine with weight version 1 loaded.
    pub fn new(settings: EngineSettings) -> Arc<Self> {
        Arc::new(Self {
            settings,
            started: Instant::now(),
            faults: FaultInjector::default(),
            version: AtomicU64::new(1),
            fence: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            urgent: AtomicU32::new(0),
            max_cold_load: AtomicU32::new(0),
            overloads: AtomicU32::new(0),
            served: AtomicU64::new(0),
            leaving: Mutex::new(false),
            resumed: AtomicU64::new(0),
            keys_seen: AtomicU64::new(0),
        })
    }

    fn is_warm(&self) -> bool {
        self.started.elapsed() >= self.settings.cold_start
    }

    /// Returns the state to announce.
    pub fn condition(&self) -> TargetCondition {
        TargetCondition {
            warm: self.is_warm(),
            leaving: *self.leaving.lock().unwrap_or_else(PoisonError::into_inner),
            version: self.version.load(Ordering::Relaxed),
            load: self.in_flight.load(Ordering::Relaxed),
        }
    }

    /// Counts a request as in progress until the returned guard is dropped.
    fn begin_request(self: &Arc<Self>, priority: u32) -> RequestGuard {
        let urgent = priority == 0;
        self.urgent.fetch_add(u32::from(urgent), Ordering::Relaxed);
        let load = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        if !self.is_warm() {
            self.max_cold_load.fetch_max(load, Ordering::Relaxed);
            if load > self.settings.cold_capacity {
                self.overloads.fetch_add(1, Ordering::Relaxed);
            }
        }
        RequestGuard {
            state: Arc::clone(self),
            urgent,
        }
    }
}

/// Request that counts as in progress until the guard is dropped.
struct RequestGuard {
    state: Arc<EngineState>,
    urgent: bool,
}

impl RequestGuard {
    /// Returns the factor on the time to generate a token. Tokens of lower priority take
    /// twice as long while a request of the highest priority is in progress.
    fn token_time_factor(&self) -> u32 {
        let is_preempted = !self.urgent && self.state.urgent.load(Ordering::Relaxed) > 0;
        if is_preempted { 2 } else { 1 }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
        let urgent = u32::from(self.urgent);
        self.state.urgent.fetch_sub(urgent, Ordering::Relaxed);
    }
}

/// Returns the text of a token: six hex digits, which are a hash of the arguments, and a
/// space.
pub fn token_text(messages: &Value, seed: u64, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(messages.to_string().as_bytes());
    hasher.update(&seed.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    let hash = hasher.finalize();
    format!("{} ", &hash.to_hex()[..6])
}

/// Body of a request to `/v1/chat/completions`.
///
/// `resume` holds the tokens that another engine generated before; the answer starts after
/// them.
#[derive(Debug, Deserialize)]
struct ChatRequest {
    messages: Value,
    max_tokens: Option<u32>,
    seed: Option<u64>,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    resume: Vec<String>,
}

/// HTTP handler of an engine: `/v1/chat/completions`, `/v1/load` for weight orders,
/// `/faults`, `/leave` to announce a shutdown, and `/audit` to read the counters.
pub struct EngineHandler {
    /// Settings, weights and counters, also read by the announcer.
    pub state: Arc<EngineState>,
}

#[salvo::async_trait]
impl Handler for EngineHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let state = &self.state;
        if req.headers().contains_key("authorization") || req.headers().contains_key("x-api-key") {
            state.keys_seen.fetch_add(1, Ordering::Relaxed);
        }
        match req.uri().path() {
            "/v1/chat/completions" => chat(state, req, res).await,
            "/v1/load" => load_weights(state, req, res).await,
            "/faults" => match reply::read::<FaultRequest>(req).await {
                Some(request) => {
                    state.faults.set(request);
                    reply::write(res, StatusCode::OK, &json!({ "ordered": true }));
                }
                None => reply::write(res, StatusCode::BAD_REQUEST, &json!({})),
            },
            "/leave" => {
                *state.leaving.lock().unwrap_or_else(PoisonError::into_inner) = true;
                reply::write(res, StatusCode::OK, &json!({ "leaving": true }));
            }
            "/audit" => reply::write(
                res,
                StatusCode::OK,
                &json!({
                    "served": state.served.load(Ordering::Relaxed),
                    "in_flight": state.in_flight.load(Ordering::Relaxed),
                    "version": state.version.load(Ordering::Relaxed),
                    "warm": state.is_warm(),
                    "max_cold_load": state.max_cold_load.load(Ordering::Relaxed),
                    "overloads": state.overloads.load(Ordering::Relaxed),
                    "resumed": state.resumed.load(Ordering::Relaxed),
                    "keys_seen": state.keys_seen.load(Ordering::Relaxed),
                }),
            ),
            _ => reply::write(res, StatusCode::NOT_FOUND, &json!({})),
        }
    }
}

/// Accepts a weight order and loads the version in the background. Refuses an order with an
/// outdated fencing token.
async fn load_weights(state: &Arc<EngineState>, req: &mut Request, res: &mut Response) {
    let Some(order) = reply::read::<LoadBody>(req).await else {
        reply::write(res, StatusCode::BAD_REQUEST, &json!({}));
        return;
    };
    if order.fence < state.fence.fetch_max(order.fence, Ordering::Relaxed) {
        reply::write(res, StatusCode::CONFLICT, &json!({ "code": "old-fence" }));
        return;
    }
    let failed = state.faults.take(&[FaultKind::FailedSwap]).is_some();
    if !failed {
        let state = Arc::clone(state);
        tokio::spawn(async move {
            if fetch_weights(&state.settings.store, order.version).await {
                sleep(state.settings.load_time).await;
                state.version.fetch_max(order.version, Ordering::Relaxed);
            }
        });
    }
    reply::write(
        res,
        StatusCode::ACCEPTED,
        &json!({ "loading": order.version }),
    );
}

/// Fetches a version from the weight store and returns whether that succeeded.
async fn fetch_weights(store: &str, version: u64) -> bool {
    if store.is_empty() {
        return true;
    }
    let answer = reqwest::get(format!("http://{store}/weights/{version}")).await;
    answer.is_ok_and(|it| it.status().is_success())
}

/// Streams an answer as server-sent events.
async fn chat(state: &Arc<EngineState>, req: &mut Request, res: &mut Response) {
    let Some(request) = reply::read::<ChatRequest>(req).await else {
        reply::write(res, StatusCode::BAD_REQUEST, &json!({}));
        return;
    };
    let guard = state.begin_request(request.priority);
    let kinds = [
        FaultKind::Crash,
        FaultKind::Stall,
        FaultKind::Truncate,
        FaultKind::Silent,
        FaultKind::Wrong,
        FaultKind::Late,
        FaultKind::Error,
    ];
    let fault = state.faults.take(&kinds);
    match fault {
        Some(FaultKind::Silent) => sleep(STALL_DURATION).await,
        Some(FaultKind::Late) => sleep(Duration::from_secs(1)).await,
        Some(FaultKind::Error) => {
            reply::write(res, StatusCode::INTERNAL_SERVER_ERROR, &json!({}));
            return;
        }
        _ => {}
    }
    let is_straggler = rand::random::<u64>() % 1_000 < state.settings.straggler_per_mille;
    let factor = if is_straggler { 20 } else { 1 };
    let first = request.resume.len() as u32;
    if first > 0 {
        state.resumed.fetch_add(1, Ordering::Relaxed);
    }
    let generation = TokenGenerator {
        guard,
        fault,
        token_time: state.settings.token_time * factor,
        next: first,
        first,
        end: request
            .max_tokens
            .unwrap_or(u32::MAX)
            .min(state.settings.token_count),
        seed: request.seed.unwrap_or_default(),
        messages: request.messages,
    };
    let kind = HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert(CONTENT_TYPE, kind);
    let events = stream::unfold(Some(generation), |generation| async move {
        generation?.next().await
    });
    res.replace_body(ResBody::stream(events));
}

/// Generates the events of one streamed answer.
struct TokenGenerator {
    guard: RequestGuard,
    fault: Option<FaultKind>,
    token_time: Duration,
    /// Index of the next token.
    next: u32,
    /// Index of the first token of this answer.
    first: u32,
    /// Index after the last token.
    end: u32,
    seed: u64,
    messages: Value,
}

/// Next event, and the generator unless the event is the last.
type NextEvent = (Result<Bytes, std::io::Error>, Option<TokenGenerator>);

impl TokenGenerator {
    async fn next(mut self) -> Option<NextEvent> {
        if !self.token_time.is_zero() {
            sleep(self.token_time * self.guard.token_time_factor()).await;
        }
        if self.next == self.first + TOKENS_BEFORE_FAULT {
            match self.fault {
                Some(FaultKind::Crash) => std::process::exit(9),
                Some(FaultKind::Stall) => sleep(STALL_DURATION).await,
                Some(FaultKind::Truncate) => return None,
                Some(FaultKind::Wrong) => self.next += 7,
                _ => {}
            }
        }
        if self.next >= self.end {
            self.guard.state.served.fetch_add(1, Ordering::Relaxed);
            let last_chunk = json!({
                "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
            });
            let text = format!("data: {last_chunk}\n\ndata: [DONE]\n\n");
            return Some((Ok(Bytes::from(text)), None));
        }
        let token = token_text(&self.messages, self.seed, self.next);
        let chunk = json!({
            "choices": [{ "index": 0, "delta": { "content": token }, "finish_reason": null }],
            "weight_version": self.guard.state.version.load(Ordering::Relaxed),
            "token_index": self.next,
        });
        self.next += 1;
        Some((Ok(Bytes::from(format!("data: {chunk}\n\n"))), Some(self)))
    }
}
