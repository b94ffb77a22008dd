//! Stand-in for a plain service: lookups, calls that must not be repeated, and scores.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use crate::announce::TargetCondition;
use crate::faults::FaultInjector;
use crate::faults::FaultKind;
use crate::faults::FaultRequest;
use crate::reply;

/// Time for which a stalled or silent answer keeps its connection open.
const STALL_DURATION: Duration = Duration::from_secs(600);

/// Time between the first part of a truncated body and the connection error, so that the
/// first part is sent before the error.
const TRUNCATION_DELAY: Duration = Duration::from_millis(100);

/// End of the paths whose calls always crash the service.
const POISON_END: &str = "/poison";

/// Settings and counters of a plain service.
#[derive(Debug, Default)]
pub struct PlainState {
    /// Processing time of a call.
    pub work: Duration,
    /// Fault to inject.
    pub faults: FaultInjector,
    in_flight: AtomicU32,
    served: AtomicU64,
    /// Number of calls that carried a caller's key; entries must remove them all.
    keys_seen: AtomicU64,
    /// Number of executions by request ID.
    runs: Mutex<HashMap<String, u32>>,
}

impl PlainState {
    /// Creates a service that processes each call for `work`.
    pub fn new(work: Duration) -> Arc<Self> {
        Arc::new(Self {
            work,
            ..Self::default()
        })
    }

    /// Returns the state to announce; a plain service is warm from the start.
    pub fn condition(&self) -> TargetCondition {
        TargetCondition {
            warm: true,
            leaving: false,
            version: 0,
            load: self.in_flight.load(Ordering::Relaxed),
        }
    }

    fn count_run(&self, id: &str) {
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(id.to_owned()).or_default() += 1;
    }
}

/// HTTP handler of a plain service: `/faults`, `/audit` to read the counters, `/v1/score`,
/// and any other path as a call.
pub struct PlainHandler {
    /// Settings and counters, also read by the announcer.
    pub state: Arc<PlainState>,
}

#[salvo::async_trait]
impl Handler for PlainHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let state = &self.state;
        let path = req.uri().path().to_owned();
        match path.as_str() {
            "/faults" => match reply::read::<FaultRequest>(req).await {
                Some(request) => {
                    state.faults.set(request);
                    reply::write(res, StatusCode::OK, &json!({ "ordered": true }));
                }
                None => reply::write(res, StatusCode::BAD_REQUEST, &json!({})),
            },
            "/audit" => {
                let runs = state.runs.lock().unwrap_or_else(PoisonError::into_inner);
                let body = json!({
                    "served": state.served.load(Ordering::Relaxed),
                    "keys_seen": state.keys_seen.load(Ordering::Relaxed),
                    "runs": *runs,
                });
                reply::write(res, StatusCode::OK, &body);
            }
            "/v1/score" => {
                let body = reply::read::<Value>(req).await.unwrap_or_default();
                let text = body["text"].as_str().unwrap_or_default();
                let score = (text.len() % 100) as f64 / 100.0;
                reply::write(res, StatusCode::OK, &json!({ "score": score }));
            }
            _ => answer_call(state, &path, req, res).await,
        }
    }
}

async fn answer_call(state: &Arc<PlainState>, path: &str, req: &Request, res: &mut Response) {
    let key_headers = ["authorization", "x-api-key", "api-key"];
    if key_headers
        .iter()
        .any(|name| req.headers().contains_key(*name))
    {
        state.keys_seen.fetch_add(1, Ordering::Relaxed);
    }
    state.in_flight.fetch_add(1, Ordering::Relaxed);
    let id = req.headers().get("x-request-id");
    let id = id.and_then(|it| it.to_str().ok()).unwrap_or_default();
    if !id.is_empty() {
        state.count_run(id);
    }
    let kinds = [
        FaultKind::Crash,
        FaultKind::Stall,
        FaultKind::Silent,
        FaultKind::Late,
        FaultKind::Error,
        FaultKind::Truncate,
        FaultKind::Wrong,
    ];
    let fault = match path.ends_with(POISON_END) {
        true => Some(FaultKind::Crash),
        false => state.faults.take(&kinds),
    };
    match fault {
        Some(FaultKind::Crash) => std::process::exit(9),
        Some(FaultKind::Stall | FaultKind::Silent) => sleep(STALL_DURATION).await,
        Some(FaultKind::Late) => sleep(Duration::from_secs(1)).await,
        _ => {}
    }
    if !state.work.is_zero() {
        sleep(state.work).await;
    }
    state.in_flight.fetch_sub(1, Ordering::Relaxed);
    let served = state.served.fetch_add(1, Ordering::Relaxed) + 1;
    let status = match fault {
        Some(FaultKind::Error) => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::OK,
    };
    let query = req.uri().query().unwrap_or_default();
    let body = json!({ "path": path, "query": query, "served": served, "request_id": id });
    match fault {
        Some(FaultKind::Truncate) => {
            let first_part = Bytes::from_static(b"{\"path\":");
            let rest = stream::once(async {
                sleep(TRUNCATION_DELAY).await;
                Err(std::io::Error::other("body truncated by fault injection"))
            });
            let body = stream::once(async { Ok(first_part) }).chain(rest);
            res.replace_body(ResBody::stream(body));
        }
        Some(FaultKind::Wrong) => reply::write(res, status, &json!({ "wrong": true })),
        _ => reply::write(res, status, &body),
    }
}
