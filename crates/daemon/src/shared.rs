//! What traffic threads read: an immutable view, and a few atomic numbers.

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
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::meter::UsageCounter;
use bergamotlane_policy::retry::RetryBudget;
use bergamotlane_policy::route::CustomerKey;
use bergamotlane_policy::route::RouteTable;
use bergamotlane_policy::route::ServiceKey;
use bergamotlane_policy::targets::AffinityTable;
use bergamotlane_policy::targets::TargetChooser;

/// Targets of a service, and the queue in front of them.
#[derive(Debug, Clone)]
pub struct ServicePool {
    /// Targets that may get new work.
    pub chooser: TargetChooser,
    /// Queue.
    pub gate: Arc<ServiceGate>,
}

/// What a configuration gives to traffic; kept while only targets change.
#[derive(Debug, Default)]
pub struct ConfigView {
    /// Routes.
    pub routes: RouteTable,
    /// Limits by customer.
    pub customers: SecondaryMap<CustomerKey, Arc<CustomerLimiter>>,
    /// Process runs that are there.
    pub live: BTreeSet<RunId>,
    /// Usage by customer and service.
    pub usage: SecondaryMap<CustomerKey, SecondaryMap<ServiceKey, Arc<UsageCounter>>>,
}

impl ConfigView {
    /// Returns the counters of a customer's usage of a service.
    pub fn usage_counter(
        &self,
        customer: CustomerKey,
        service: ServiceKey,
    ) -> Option<&UsageCounter> {
        let cells = self.usage.get(customer)?;
        cells.get(service).map(|it| &**it)
    }
}

/// Everything a request needs to know; replaced as a whole.
#[derive(Debug, Default)]
pub struct TrafficView {
    /// Configuration.
    pub config: Arc<ConfigView>,
    /// Pools by service.
    pub pools: SecondaryMap<ServiceKey, ServicePool>,
}

impl TrafficView {
    /// Returns the routes.
    pub fn routes(&self) -> &RouteTable {
        &self.config.routes
    }
}

/// This instance's share of one customer's limits.
#[derive(Debug, Default)]
pub struct CustomerLimiter {
    in_flight: AtomicU32,
    concurrency: AtomicU32,
    rate_per_s: AtomicU32,
    arrived: AtomicU32,
    /// Requests that may start now, in thousandths.
    credit: AtomicU64,
    credited_at: AtomicU64,
}

impl CustomerLimiter {
    /// Creates a cell with a first share.
    pub fn new(concurrency: u32, rate_per_s: u32) -> Self {
        let cell = Self::default();
        cell.set_share(concurrency, rate_per_s);
        cell.credit
            .store(u64::from(rate_per_s) * 1_000, Ordering::Relaxed);
        cell
    }

    /// Sets the share.
    pub fn set_share(&self, concurrency: u32, rate_per_s: u32) {
        self.concurrency.store(concurrency, Ordering::Relaxed);
        self.rate_per_s.store(rate_per_s, Ordering::Relaxed);
    }

    /// Returns the requests in progress.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the share: requests in progress, and requests a second.
    pub fn share(&self) -> (u32, u32) {
        let concurrency = self.concurrency.load(Ordering::Relaxed);
        (concurrency, self.rate_per_s.load(Ordering::Relaxed))
    }

    /// Returns the requests that arrived since the last call.
    pub fn take_arrived(&self) -> u32 {
        self.arrived.swap(0, Ordering::Relaxed)
    }

    /// Admits a request, if the share allows it.
    pub fn admit(self: &Arc<Self>, now: ClockTime) -> Option<CustomerGuard> {
        self.arrived.fetch_add(1, Ordering::Relaxed);
        let limit = self.concurrency.load(Ordering::Relaxed);
        let taken = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < limit).then_some(count + 1)
            });
        taken.ok()?;
        let guard = CustomerGuard {
            cell: Arc::clone(self),
        };
        self.spend(now).then_some(guard)
    }

    /// Takes one request off the rate's credit.
    fn spend(&self, now: ClockTime) -> bool {
        let rate = u64::from(self.rate_per_s.load(Ordering::Relaxed));
        let before = self.credited_at.swap(now.0, Ordering::Relaxed);
        let earned = now.0.saturating_sub(before).min(1_000) * rate;
        let total = |credit: u64| (credit + earned).min(rate * 1_000);
        // What was earned is kept even if it isn't enough.
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

/// A request in progress; dropping it ends it.
#[derive(Debug)]
pub struct CustomerGuard {
    cell: Arc<CustomerLimiter>,
}

impl Drop for CustomerGuard {
    fn drop(&mut self) {
        self.cell.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What the control thread and the traffic threads share.
#[derive(Debug)]
pub struct TrafficShared {
    view: ArcSwap<TrafficView>,
    published: watch::Sender<u64>,
    fresh_until: AtomicU64,
    draining: AtomicBool,
    busy: AtomicU32,
    /// Prefixes seen.
    pub affinity: AffinityTable,
    /// Credit for retries.
    pub retries: RetryBudget,
    /// Metrics.
    pub metrics: DaemonMetrics,
}

impl TrafficShared {
    /// Creates it with an empty view.
    pub fn new(metrics: DaemonMetrics) -> Arc<Self> {
        Arc::new(Self {
            view: ArcSwap::default(),
            published: watch::Sender::new(0),
            fresh_until: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            busy: AtomicU32::new(0),
            affinity: AffinityTable::default(),
            retries: RetryBudget::default(),
            metrics,
        })
    }

    /// Returns the view of now.
    pub fn view(&self) -> Arc<TrafficView> {
        self.view.load_full()
    }

    /// Replaces the view and wakes those who wait for it.
    pub fn publish(&self, view: TrafficView) {
        self.view.store(Arc::new(view));
        self.published.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that wakes with each new view.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.published.subscribe()
    }

    /// Returns whether the view is confirmed at `now`.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        now.0 < self.fresh_until.load(Ordering::Relaxed)
    }

    /// Sets until when the view is confirmed.
    pub fn set_fresh_until(&self, until: ClockTime) {
        self.fresh_until.store(until.0, Ordering::Relaxed);
    }

    /// Returns whether the instance finishes up.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Starts to finish up.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns the number of requests in progress.
    pub fn busy(&self) -> u32 {
        self.busy.load(Ordering::Relaxed)
    }

    /// Counts a request until the guard is dropped.
    pub fn begin(self: &Arc<Self>) -> BusyGuard {
        self.busy.fetch_add(1, Ordering::Relaxed);
        BusyGuard {
            shared: Arc::clone(self),
        }
    }
}

/// A request that a shutdown waits for.
#[derive(Debug)]
pub struct BusyGuard {
    shared: Arc<TrafficShared>,
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.shared.busy.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Keeps gates and cells across views.
pub type GateMap = HashMap<String, Arc<ServiceGate>>;
