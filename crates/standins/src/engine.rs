//! Stand-in of a model engine.
//!
//! A token's text depends on prompt, seed and index only, so that a reader can tell
//! whether an answer is whole. Each token carries the weight version loaded when it was
//! made.

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
use crate::faults::FaultBox;
use crate::faults::FaultKind;
use crate::faults::FaultOrder;
use crate::reply;
use bergamotlane_wire::http::LoadBody;

/// Time for which a stalled or silent answer stays open.
const STALL: Duration = Duration::from_secs(600);

/// Token after which a fault shows.
const FAULT_TOKEN: u32 = 3;

/// How an engine behaves.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// Time to make a token.
    pub token: Duration,
    /// Tokens of an answer, before the caller's limit.
    pub tokens: u32,
    /// Time from start to full load.
    pub cold_start: Duration,
    /// Time to load a weight version.
    pub load_time: Duration,
    /// Answers in a thousand that take twenty times as long.
    pub straggler_per_mille: u64,
    /// Requests in progress that it bears while cold.
    pub cold_bears: u32,
    /// Weight store to fetch versions from, `ip:port`, or empty.
    pub store: String,
}

/// State of an engine.
#[derive(Debug)]
pub struct EngineState {
    settings: EngineSettings,
    started: Instant,
    /// Faults ordered.
    pub faults: FaultBox,
    version: AtomicU64,
    fence: AtomicU64,
    in_flight: AtomicU32,
    /// Requests in progress with the highest priority, zero.
    urgent: AtomicU32,
    max_cold_load: AtomicU32,
    overloads: AtomicU32,
    served: AtomicU64,
    leaving: Mutex<bool>,
    keys_seen: AtomicU64,
}

impl EngineState {
    /// Creates a fresh engine with version 1 loaded.
    pub fn new(settings: EngineSettings) -> Arc<Self> {
        Arc::new(Self {
            settings,
            started: Instant::now(),
            faults: FaultBox::default(),
            version: AtomicU64::new(1),
            fence: AtomicU64::new(0),
            in_flight: AtomicU32::new(0),
            urgent: AtomicU32::new(0),
            max_cold_load: AtomicU32::new(0),
            overloads: AtomicU32::new(0),
            served: AtomicU64::new(0),
            leaving: Mutex::new(false),
            keys_seen: AtomicU64::new(0),
        })
    }

    fn is_warm(&self) -> bool {
        self.started.elapsed() >= self.settings.cold_start
    }

    /// Returns what an announcement says.
    pub fn condition(&self) -> TargetCondition {
        TargetCondition {
            warm: self.is_warm(),
            leaving: *self.leaving.lock().unwrap_or_else(PoisonError::into_inner),
            version: self.version.load(Ordering::Relaxed),
            load: self.in_flight.load(Ordering::Relaxed),
        }
    }

    fn begin(self: &Arc<Self>, priority: u32) -> LoadGuard {
        let urgent = priority == 0;
        self.urgent.fetch_add(u32::from(urgent), Ordering::Relaxed);
        let load = self.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        if !self.is_warm() {
            self.max_cold_load.fetch_max(load, Ordering::Relaxed);
            if load > self.settings.cold_bears {
                self.overloads.fetch_add(1, Ordering::Relaxed);
            }
        }
        LoadGuard {
            state: Arc::clone(self),
            urgent,
        }
    }
}

/// A request in progress.
struct LoadGuard {
    state: Arc<EngineState>,
    urgent: bool,
}

impl LoadGuard {
    /// Returns by what the making of a token slows down: what has a lower priority gives
    /// way to what has the highest.
    fn slow_down(&self) -> u32 {
        let gives_way = !self.urgent && self.state.urgent.load(Ordering::Relaxed) > 0;
        if gives_way { 2 } else { 1 }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
        let urgent = u32::from(self.urgent);
        self.state.urgent.fetch_sub(urgent, Ordering::Relaxed);
    }
}

/// Returns the text of a token.
pub fn token_text(messages: &Value, seed: u64, index: u32) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(messages.to_string().as_bytes());
    hasher.update(&seed.to_le_bytes());
    hasher.update(&index.to_le_bytes());
    let hash = hasher.finalize();
    format!("{} ", &hash.to_hex()[..6])
}

#[derive(Debug, Deserialize)]
struct ChatOrder {
    messages: Value,
    max_tokens: Option<u32>,
    seed: Option<u64>,
    #[serde(default)]
    priority: u32,
    #[serde(default)]
    resume: Vec<String>,
}

/// Handler of an engine.
pub struct EngineHandler {
    /// State.
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
            "/v1/load" => load(state, req, res).await,
            "/faults" => match reply::read::<FaultOrder>(req).await {
                Some(order) => {
                    state.faults.order(order);
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
                    "keys_seen": state.keys_seen.load(Ordering::Relaxed),
                }),
            ),
            _ => reply::write(res, StatusCode::NOT_FOUND, &json!({})),
        }
    }
}

/// Loads a version after its order; an order with an old fencing number is refused.
async fn load(state: &Arc<EngineState>, req: &mut Request, res: &mut Response) {
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

/// Fetches a version from the store; returns whether it came.
async fn fetch_weights(store: &str, version: u64) -> bool {
    if store.is_empty() {
        return true;
    }
    let answer = reqwest::get(format!("http://{store}/weights/{version}")).await;
    answer.is_ok_and(|it| it.status().is_success())
}

async fn chat(state: &Arc<EngineState>, req: &mut Request, res: &mut Response) {
    let Some(order) = reply::read::<ChatOrder>(req).await else {
        reply::write(res, StatusCode::BAD_REQUEST, &json!({}));
        return;
    };
    let guard = state.begin(order.priority);
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
        Some(FaultKind::Silent) => sleep(STALL).await,
        Some(FaultKind::Late) => sleep(Duration::from_secs(1)).await,
        Some(FaultKind::Error) => {
            reply::write(res, StatusCode::INTERNAL_SERVER_ERROR, &json!({}));
            return;
        }
        _ => {}
    }
    let slow = rand::random::<u64>() % 1_000 < state.settings.straggler_per_mille;
    let factor = if slow { 20 } else { 1 };
    let first = order.resume.len() as u32;
    let making = TokenMaking {
        guard,
        fault,
        pause: state.settings.token * factor,
        next: first,
        first,
        end: order
            .max_tokens
            .unwrap_or(u32::MAX)
            .min(state.settings.tokens),
        seed: order.seed.unwrap_or_default(),
        messages: order.messages,
    };
    let kind = HeaderValue::from_static("text/event-stream");
    res.headers_mut().insert(CONTENT_TYPE, kind);
    let events = stream::unfold(Some(making), |making| async move { making?.next().await });
    res.replace_body(ResBody::stream(events));
}

/// An answer in the making.
struct TokenMaking {
    guard: LoadGuard,
    fault: Option<FaultKind>,
    pause: Duration,
    next: u32,
    first: u32,
    end: u32,
    seed: u64,
    messages: Value,
}

type MadeEvent = (Result<Bytes, std::io::Error>, Option<TokenMaking>);

impl TokenMaking {
    async fn next(mut self) -> Option<MadeEvent> {
        if !self.pause.is_zero() {
            sleep(self.pause * self.guard.slow_down()).await;
        }
        if self.next == self.first + FAULT_TOKEN {
            match self.fault {
                Some(FaultKind::Crash) => std::process::exit(9),
                Some(FaultKind::Stall) => sleep(STALL).await,
                Some(FaultKind::Truncate) => return None,
                Some(FaultKind::Wrong) => self.next += 7,
                _ => {}
            }
        }
        if self.next >= self.end {
            self.guard.state.served.fetch_add(1, Ordering::Relaxed);
            let last = json!({
                "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
            });
            let text = format!("data: {last}\n\ndata: [DONE]\n\n");
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
