//! State of an entry that its request handlers share with its event loop.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::bodies::AnswerBudget;
use crate::bodies::BodyBudget;
use crate::budget::ResourceBudget;
use crate::dialect::TargetDialect;
use crate::forward::Forwarder;
use crate::leader_client::LeaderClient;
use crate::metrics::METRICS;
use crate::plain::PlainOutcome;
use crate::plain::PlainRequest;
use crate::plan::RouteIndex;
use crate::plan::RoutingPlan;
use crate::relay::RelayReply;
use crate::relay::RelayRequest;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;

/// Most requests of other entries that are served at the same time.
const MAX_RELAYED: usize = 64;

/// State that an entry's request handlers share with its event loop.
pub struct EntryShared<D> {
    /// Client for calls to the leader.
    pub leader: LeaderClient,
    /// Forwards requests to targets of plain services.
    pub forwarder: Forwarder<D>,
    index: Mutex<Option<Arc<RouteIndex>>>,
    has_routes: watch::Sender<bool>,
    entry_count: AtomicU32,
    draining: AtomicBool,
    /// Budget of request bodies.
    pub bodies: BodyBudget,
    /// Budget of answers that callers have not read yet.
    pub answers: Arc<AnswerBudget>,
    /// Places for requests of other entries.
    relay_slots: Semaphore,
    /// Monotonic time of the last view, in milliseconds.
    view_at: AtomicU64,
}

impl<D: TargetDialect> EntryShared<D> {
    /// Returns the state before the first view.
    pub(crate) fn new(
        leader: LeaderClient,
        forwarder: Forwarder<D>,
        budget: &ResourceBudget,
    ) -> Self {
        let answers = Arc::new(AnswerBudget::new(budget.replies_bytes));
        Self {
            leader,
            forwarder: forwarder.with_answers(Arc::clone(&answers)),
            index: Mutex::new(None),
            has_routes: watch::Sender::new(false),
            entry_count: AtomicU32::new(1),
            draining: AtomicBool::new(false),
            bodies: BodyBudget::new(budget.bodies_bytes),
            answers,
            relay_slots: Semaphore::new(MAX_RELAYED),
            view_at: AtomicU64::new(0),
        }
    }

    /// Records that a view arrived, which names the number of live entries.
    pub(crate) fn record_view(&self, now: ClockTime, entries: u32) {
        self.view_at.store(now.0, Ordering::Relaxed);
        self.entry_count.store(entries.max(1), Ordering::Relaxed);
    }

    /// Puts a plan in force, unless it is older than the one in force. Returns whether it is.
    pub(crate) fn install_plan(&self, plan: RoutingPlan) -> bool {
        let mut index = self.index.lock().unwrap_or_else(PoisonError::into_inner);
        let known_version = index.as_ref().map(|it| it.plan().version);
        if known_version.is_some_and(|it| it >= plan.version) {
            return false;
        }
        *index = Some(Arc::new(RouteIndex::new(plan)));
        drop(index);
        self.has_routes.send_replace(true);
        true
    }

    /// Returns the routes in force, or `None` before the first plan has arrived.
    pub fn routes(&self) -> Option<Arc<RouteIndex>> {
        self.index
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the routes in force, waiting up to `limit` for the first plan after a start.
    pub async fn wait_for_routes(&self, limit: Duration) -> Option<Arc<RouteIndex>> {
        if let Some(routes) = self.routes() {
            return Some(routes);
        }
        let mut has_routes = self.has_routes.subscribe();
        timeout(limit, has_routes.wait_for(|it| *it))
            .await
            .ok()?
            .ok()?;
        self.routes()
    }

    /// Returns whether the entry accepts new requests: it knows the routes and is not draining.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.routes().is_some()
    }

    /// Returns whether the entry is draining before its process ends.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts draining: the entry stops accepting new requests.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests of other entries in progress.
    pub fn relayed(&self) -> usize {
        MAX_RELAYED - self.relay_slots.available_permits()
    }

    /// Serves a request of another entry, which has no path to the targets.
    pub(crate) async fn serve_relayed(&self, request: RelayRequest) -> RelayReply {
        let Ok(_slot) = self.relay_slots.try_acquire() else {
            return RelayReply::Refused;
        };
        let Some(_permit) = self.bodies.reserve(request.body_bytes()) else {
            return RelayReply::Refused;
        };
        if self.is_draining() || self.forwarder.reach().is_lost() {
            return RelayReply::Refused;
        }
        let Some(routes) = self.routes() else {
            return RelayReply::Refused;
        };
        let Some(spec) = routes.service(request.service()) else {
            return RelayReply::NotRun;
        };
        let takes_cold = spec.cold_per_s > 0.0;
        let request = match PlainRequest::try_from(request) {
            Ok(request) => PlainRequest {
                takes_cold,
                sharers: self.sharers(),
                ..request
            },
            Err(error) => {
                spdlog::warn!("relay: malformed request", kv: { error = error.to_string() });
                return RelayReply::NotRun;
            }
        };
        METRICS.relays.with_label_values(&["served"]).inc();
        let outcome = self.forwarder.forward_relayed(&request).await.outcome;
        match outcome {
            // Another entry may have a path.
            PlainOutcome::NotRun if self.forwarder.reach().is_lost() => RelayReply::Refused,
            outcome => RelayReply::from(outcome),
        }
    }

    /// Returns the time since the last view arrived, in milliseconds.
    pub fn view_age_ms(&self) -> u64 {
        now().0.saturating_sub(self.view_at.load(Ordering::Relaxed))
    }

    /// Returns the number of processes that share what a target takes, at least 1.
    pub fn sharers(&self) -> u32 {
        self.entry_count.load(Ordering::Relaxed).max(1)
    }
}
