//! Stand-in for the platform: records all target orders and usage reports that it accepts.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::StatusCode;
use serde_json::json;

use crate::reply;
use bergamotlane_wire::http::TargetOrderBody;
use bergamotlane_wire::http::UsageReportBody;

/// Settings and records of the platform.
#[derive(Debug, Default)]
pub struct PlatformState {
    /// Whether orders and reports with an outdated fencing token are refused.
    pub checks_fence: bool,
    /// Highest fencing token seen.
    fence: AtomicU64,
    /// Number of accepted requests that are still to go without an answer.
    answers_to_lose: AtomicU32,
    orders: Mutex<Vec<TargetOrderBody>>,
    reports: Mutex<Vec<UsageReportBody>>,
}

impl PlatformState {
    /// Creates a platform that checks fencing tokens or ignores them.
    pub fn new(checks_fence: bool) -> Arc<Self> {
        Arc::new(Self {
            checks_fence,
            ..Self::default()
        })
    }

    /// Records a fencing token and returns whether to refuse it as outdated.
    fn is_outdated(&self, fence: u64) -> bool {
        let newest = self.fence.fetch_max(fence, Ordering::Relaxed);
        self.checks_fence && fence < newest
    }
}

/// HTTP handler of the platform: `/v1/orders` and `/v1/usage`, `/audit` to read the
/// records, and `/lose-answers` to leave the next accepted requests without an answer.
pub struct PlatformHandler {
    /// Settings and records.
    pub state: Arc<PlatformState>,
}

#[salvo::async_trait]
impl Handler for PlatformHandler {
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
            "/v1/orders" => match reply::read::<TargetOrderBody>(req).await {
                Some(order) if state.is_outdated(order.fence) => refuse(res),
                Some(order) => {
                    record(&state.orders, order);
                    accept(state, res).await;
                }
                None => reply::write(res, StatusCode::BAD_REQUEST, &json!({})),
            },
            "/v1/usage" => match reply::read::<UsageReportBody>(req).await {
                Some(report) if state.is_outdated(report.fence) => refuse(res),
                Some(report) => {
                    record(&state.reports, report);
                    accept(state, res).await;
                }
                None => reply::write(res, StatusCode::BAD_REQUEST, &json!({})),
            },
            "/lose-answers" => {
                let count = reply::read::<u32>(req).await.unwrap_or(1);
                state.answers_to_lose.store(count, Ordering::Relaxed);
                reply::write(res, StatusCode::OK, &json!({ "losing": count }));
            }
            "/audit" => {
                let orders = state.orders.lock().unwrap_or_else(PoisonError::into_inner);
                let reports = state.reports.lock().unwrap_or_else(PoisonError::into_inner);
                let body = json!({ "orders": *orders, "reports": *reports });
                reply::write(res, StatusCode::OK, &body);
            }
            _ => reply::write(res, StatusCode::NOT_FOUND, &json!({})),
        }
    }
}

fn record<T>(list: &Mutex<Vec<T>>, item: T) {
    list.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(item);
}

fn refuse(res: &mut Response) {
    reply::write(res, StatusCode::CONFLICT, &json!({ "code": "old-fence" }));
}

/// Answers an accepted request, or never answers it if its answer is to be lost.
async fn accept(state: &PlatformState, res: &mut Response) {
    let decrement = |count: u32| count.checked_sub(1);
    let is_lost = state
        .answers_to_lose
        .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
        .is_ok();
    if is_lost {
        std::future::pending::<()>().await;
    }
    reply::write(res, StatusCode::OK, &json!({ "taken": true }));
}
