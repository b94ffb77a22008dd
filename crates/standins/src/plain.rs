//! Stand-in of a plain service: lookups, calls that may not be repeated, and scores.

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
use crate::faults::FaultBox;
use crate::faults::FaultKind;
use crate::faults::FaultOrder;
use crate::reply;

/// Time for which a stalled or silent answer stays open.
const STALL: Duration = Duration::from_secs(600);

/// Time between the first half of a cut answer and the cut.
const CUT_PAUSE: Duration = Duration::from_millis(100);

/// State of a plain service.
#[derive(Debug, Default)]
pub struct PlainState {
    /// Time to answer.
    pub work: Duration,
    /// Faults ordered.
    pub faults: FaultBox,
    in_flight: AtomicU32,
    served: AtomicU64,
    keys_seen: AtomicU64,
    /// Runs by request ID.
    runs: Mutex<HashMap<String, u32>>,
}

impl PlainState {
    /// Creates a service that takes `work` to answer.
    pub fn new(work: Duration) -> Arc<Self> {
        Arc::new(Self {
            work,
            ..Self::default()
        })
    }

    /// Returns what an announcement says.
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

/// Handler of a plain service.
pub struct PlainHandler {
    /// State.
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
            "/faults" => match reply::read::<FaultOrder>(req).await {
                Some(order) => {
                    state.faults.order(order);
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
            _ => work(state, &path, req, res).await,
        }
    }
}

async fn work(state: &Arc<PlainState>, path: &str, req: &Request, res: &mut Response) {
    let leaks = ["authorization", "x-api-key", "api-key"];
    if leaks.iter().any(|name| req.headers().contains_key(*name)) {
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
    let fault = state.faults.take(&kinds);
    match fault {
        Some(FaultKind::Crash) => std::process::exit(9),
        Some(FaultKind::Stall | FaultKind::Silent) => sleep(STALL).await,
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
            let half = Bytes::from_static(b"{\"path\":");
            let rest = stream::once(async {
                // The first half is on its way before the end comes.
                sleep(CUT_PAUSE).await;
                Err(std::io::Error::other("cut off on request"))
            });
            let body = stream::once(async { Ok(half) }).chain(rest);
            res.replace_body(ResBody::stream(body));
        }
        Some(FaultKind::Wrong) => reply::write(res, status, &json!({ "wrong": true })),
        _ => reply::write(res, status, &body),
    }
}
