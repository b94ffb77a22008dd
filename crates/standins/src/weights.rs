//! Stand-in for the weight store, with a limit on concurrent fetches.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use salvo::Depot;
use salvo::FlowCtrl;
use salvo::Handler;
use salvo::Request;
use salvo::Response;
use salvo::http::StatusCode;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::sleep;

use crate::reply;

/// Settings and counters of the weight store.
#[derive(Debug)]
pub struct WeightState {
    slots: Semaphore,
    fetch_time: Duration,
    fetches: AtomicU64,
    refusals: AtomicU64,
}

impl WeightState {
    /// Creates a store that serves at most `limit` fetches at a time and takes `fetch_time`
    /// for each. Fetches above the limit are refused with status 429.
    pub fn new(limit: usize, fetch_time: Duration) -> Arc<Self> {
        Arc::new(Self {
            slots: Semaphore::new(limit),
            fetch_time,
            fetches: AtomicU64::new(0),
            refusals: AtomicU64::new(0),
        })
    }
}

/// HTTP handler of the weight store: `/audit` returns the counters, and any other path is a
/// fetch.
pub struct WeightHandler {
    /// Settings and counters.
    pub state: Arc<WeightState>,
}

#[salvo::async_trait]
impl Handler for WeightHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let state = &self.state;
        let path = req.uri().path();
        if path == "/audit" {
            let body = json!({
                "fetches": state.fetches.load(Ordering::Relaxed),
                "refusals": state.refusals.load(Ordering::Relaxed),
            });
            reply::write(res, StatusCode::OK, &body);
            return;
        }
        let Ok(_slot) = state.slots.try_acquire() else {
            state.refusals.fetch_add(1, Ordering::Relaxed);
            reply::write(res, StatusCode::TOO_MANY_REQUESTS, &json!({}));
            return;
        };
        sleep(state.fetch_time).await;
        state.fetches.fetch_add(1, Ordering::Relaxed);
        reply::write(res, StatusCode::OK, &json!({ "path": path }));
    }
}
