//! State shared by the control thread and the traffic threads: an immutable view, which is
//! replaced as a whole, and atomic counters.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use arc_swap::ArcSwap;
use slotmap::SecondaryMap;
use tokio::sync::watch;

use crate::gate::ServiceGate;
use crate::metrics::DaemonMetrics;
use crate::suspects::SuspectBoard;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::meter::UsageCounter;
use bergamotlane_policy::retry::RetryBudget;
use bergamotlane_policy::route::CustomerKey;
use bergamotlane_policy::route::RouteTable;
use bergamotlane_policy::route::ServiceKey;
use bergamotlane_policy::targets::AffinityTable;
use bergamotlane_policy::targets::TargetChooser;

/// Targets of one service, and the queue of requests for them.
#[derive(Debug, Clone)]
pub struct ServicePool {
    /// Chooses among the targets that may get new requests.
    pub chooser: TargetChooser,
    /// Queue of the requests that wait for a slot of a target.
    pub gate: Arc<ServiceGate>,
}

/// Part of a view that depends on the configuration only; successive views share it while
/// only targets change.
#[derive(Debug, Default)]
pub struct ConfigView {
    /// Services, customers and keys, for routing and authorization.
    pub routes: RouteTable,
    /// This instance's share of each customer's limits.
    pub customers: SecondaryMap<CustomerKey, Arc<CustomerLimiter>>,
    /// Process runs of the live instances; only these are asked for samples.
    pub live: BTreeSet<RunId>,
    /// Usage counters by customer and service, which the control thread collects.
    pub usage: SecondaryMap<CustomerKey, SecondaryMap<ServiceKey, Arc<UsageCounter>>>,
}

impl ConfigView {
    /// Returns the counter of a customer's usage of a service.
    pub fn usage_counter(
        &self,
        customer: CustomerKey,
        service: ServiceKey,
    ) -> Option<&UsageCounter> {
        let counters = self.usage.get(customer)?;
        counters.get(service).map(|counter| &**counter)
    }
}

/// Configuration and targets at one moment, by which requests are admitted and routed.
#[derive(Debug, Default)]
pub struct TrafficView {
    /// Part that depends on the configuration only.
    pub config: Arc<ConfigView>,
    /// Targets and queue of each service.
    pub pools: SecondaryMap<ServiceKey, ServicePool>,
}

impl TrafficView {
    /// Returns the services, customers and keys.
    pub fn routes(&self) -> &RouteTable {
        &self.config.routes
    }
}

/// Enforces this instance's share of one customer's limits: a concurrency limit, and a token
/// bucket that holds the requests of up to one second.
#[derive(Debug, Default)]
pub struct CustomerLimiter {
    in_flight: AtomicU32,
    concurrency: AtomicU32,
    rate_per_s: AtomicU32,
    /// Requests since the control thread last read the count, including refused ones.
    arrived: AtomicU32,
    /// Content of the token bucket, in thousandths of a request.
    credit: AtomicU64,
    /// Time of the last refill of the bucket, in milliseconds.
    credited_at: AtomicU64,
}

impl CustomerLimiter {
    /// Creates a limiter with a first share and a full token bucket.
    pub fn new(concurrency: u32, rate_per_s: u32) -> Self {
        let limiter = Self::default();
        limiter.set_share(concurrency, rate_per_s);
        limiter
            .credit
            .store(u64::from(rate_per_s) * 1_000, Ordering::Relaxed);
        limiter
    }

    /// Sets the share: requests in progress, and requests per second. The leader divides a
    /// customer's limits among the instances by their demand.
    pub fn set_share(&self, concurrency: u32, rate_per_s: u32) {
        self.concurrency.store(concurrency, Ordering::Relaxed);
        self.rate_per_s.store(rate_per_s, Ordering::Relaxed);
    }

    /// Returns the number of the customer's requests in progress at this instance.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the share: requests in progress, and requests per second.
    pub fn share(&self) -> (u32, u32) {
        let concurrency = self.concurrency.load(Ordering::Relaxed);
        (concurrency, self.rate_per_s.load(Ordering::Relaxed))
    }

    /// Returns the number of requests since the last call, including refused ones, and resets
    /// it.
    pub fn take_arrived(&self) -> u32 {
        self.arrived.swap(0, Ordering::Relaxed)
    }

    /// Admits a request, or returns `None` if it is above the concurrency or the rate limit.
    pub fn admit(self: &Arc<Self>, now: ClockTime) -> Option<CustomerGuard> {
        self.arrived.fetch_add(1, Ordering::Relaxed);
        let limit = self.concurrency.load(Ordering::Relaxed);
        let admitted = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < limit).then_some(count + 1)
            });
        admitted.ok()?;
        let guard = CustomerGuard {
            limiter: Arc::clone(self),
        };
        self.spend(now).then_some(guard)
    }

    /// Refills the token bucket and takes one request from it; returns whether there was one.
    fn spend(&self, now: ClockTime) -> bool {
        let rate = u64::from(self.rate_per_s.load(Ordering::Relaxed));
        let before = self.credited_at.swap(now.0, Ordering::Relaxed);
        let earned = now.0.saturating_sub(before).min(1_000) * rate;
        let total = |credit: u64| (credit + earned).min(rate * 1_000);
        // Store the refill even if it isn't enough for a request: `credited_at` has moved on.
        let spend = |credit: u64| {
            let total = total(credit);
            Some(total.checked_sub(1_000).unwrap_or(total))
        };
        let spent = self
            .credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend);
        spent.is_ok_and(|credit| total(credit) >= 1_000)
    }
}

/// Counts a request towards the customer's concurrency limit until it is dropped.
#[derive(Debug)]
pub struct CustomerGuard {
    limiter: Arc<CustomerLimiter>,
}

impl Drop for CustomerGuard {
    fn drop(&mut self) {
        self.limiter.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State shared by the control thread, which publishes views, and the traffic threads.
#[derive(Debug)]
pub struct TrafficShared {
    view: ArcSwap<TrafficView>,
    /// Number of views published, to wake subscribers.
    published: watch::Sender<u64>,
    /// Time until which the view is confirmed, in milliseconds.
    fresh_until: AtomicU64,
    draining: AtomicBool,
    /// Requests of callers and trainers in progress.
    busy: AtomicU32,
    /// Targets that served a prompt's prefix last, as they may still have it cached.
    pub affinity: AffinityTable,
    /// Budget that limits retries to a part of all requests.
    pub retries: RetryBudget,
    /// Requests under which targets crashed.
    pub suspects: SuspectBoard,
    /// Metrics of this process.
    pub metrics: DaemonMetrics,
}

impl TrafficShared {
    /// Creates the state with an empty view that isn't confirmed.
    pub fn new(metrics: DaemonMetrics) -> Arc<Self> {
        Arc::new(Self {
            view: ArcSwap::default(),
            published: watch::Sender::new(0),
            fresh_until: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            busy: AtomicU32::new(0),
            affinity: AffinityTable::default(),
            retries: RetryBudget::default(),
            suspects: SuspectBoard::default(),
            metrics,
        })
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<TrafficView> {
        self.view.load_full()
    }

    /// Replaces the view and wakes all subscribers.
    pub fn publish(&self, view: TrafficView) {
        self.view.store(Arc::new(view));
        self.published.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that changes whenever a view is published.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.published.subscribe()
    }

    /// Returns whether the view is confirmed as current at `now`. An instance without a
    /// confirmed view refuses all requests with keys.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        now.0 < self.fresh_until.load(Ordering::Relaxed)
    }

    /// Sets the time until which the view is confirmed.
    pub fn set_fresh_until(&self, until: ClockTime) {
        self.fresh_until.store(until.0, Ordering::Relaxed);
    }

    /// Returns whether the instance is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Marks the instance as shutting down: it reports that it isn't ready, and closes
    /// connections after their response.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests in progress, including streams.
    pub fn busy(&self) -> u32 {
        self.busy.load(Ordering::Relaxed)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn begin_request(self: &Arc<Self>) -> RequestGuard {
        self.busy.fetch_add(1, Ordering::Relaxed);
        RequestGuard {
            shared: Arc::clone(self),
        }
    }
}

/// Counts a request as in progress; a shutdown waits until all are dropped.
#[derive(Debug)]
pub struct RequestGuard {
    shared: Arc<TrafficShared>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.shared.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Gates by service ID; they outlive a view, so that requests stay queued when a new one is
/// published.
pub type GateMap = HashMap<String, Arc<ServiceGate>>;
