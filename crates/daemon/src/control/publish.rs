//! Publishes the view that the traffic threads read, and computes the slots, shares and demand
//! that this instance reports to the leader.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;

use slotmap::SecondaryMap;

use super::thread::ControlCore;
use crate::gate::ServiceGate;
use crate::shared::ConfigView;
use crate::shared::CustomerLimiter;
use crate::shared::GateMap;
use crate::shared::ServicePool;
use crate::shared::TrafficView;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::arrival::ArrivalRate;
use bergamotlane_policy::control::PriceClass;
use bergamotlane_policy::control::UsageKey;
use bergamotlane_policy::meter::UsageCounter;
use bergamotlane_policy::route::CustomerRoute;
use bergamotlane_policy::route::RouteTable;
use bergamotlane_policy::targets::ChoiceTarget;
use bergamotlane_policy::targets::GrantTracker;
use bergamotlane_policy::targets::TargetChooser;
use bergamotlane_policy::targets::TargetCounters;
use bergamotlane_policy::targets::TargetLife;
use bergamotlane_policy::targets::TargetName;
use bergamotlane_wire::TargetNameWire;
use bergamotlane_wire::peer::DemandReport;
use bergamotlane_wire::peer::ShareAllocation;
use bergamotlane_wire::peer::ShareDemand;
use bergamotlane_wire::peer::SlotAllocation;
use bergamotlane_wire::peer::SlotDemand;

/// Minimum number of idle slots requested at a warm target of a service in use.
const MIN_READY_SLOTS: u32 = 2;

/// Concurrent requests of a customer demanded beyond twice the current number.
const CONCURRENCY_HEADROOM: u32 = 8;

/// Requests per second of a customer demanded beyond twice the current rate.
const RATE_HEADROOM_PER_S: u32 = 20;

/// Counters and grants of one process run of a target.
#[derive(Debug, Clone)]
struct TargetEntry {
    /// Boot number that the target announced.
    boot: u64,
    /// Identity of the target's process run in choosers; unique on this instance.
    identity: u64,
    counters: Arc<TargetCounters>,
    grants: GrantTracker,
}

/// What the published view is built from, in addition to the control state.
#[derive(Debug, Default)]
pub(super) struct PublishState {
    /// Whether the configuration or the set of live instances has changed since the last view.
    pub(super) changed: bool,
    /// Whether targets have changed since the last view.
    pub(super) targets_changed: bool,
    target_entries: BTreeMap<TargetName, TargetEntry>,
    gates: GateMap,
    config: Arc<ConfigView>,
    usage: BTreeMap<UsageKey, Arc<UsageCounter>>,
    customers: HashMap<String, Arc<CustomerLimiter>>,
    /// Arrival rates of requests by service.
    arrivals: HashMap<String, ArrivalRate>,
    /// Arrival rates of requests by customer.
    customer_arrivals: HashMap<String, ArrivalRate>,
    next_identity: u64,
    /// Whether a first view has been published.
    has_published: bool,
}

impl PublishState {
    /// Returns the entry of a target's process run, and whether it is new.
    fn target_entry(&mut self, target: &TargetName, boot: u64) -> (TargetEntry, bool) {
        let known = self.target_entries.get(target);
        if let Some(entry) = known.filter(|entry| entry.boot == boot) {
            return (entry.clone(), false);
        }
        self.next_identity += 1;
        let entry = TargetEntry {
            boot,
            identity: self.next_identity,
            counters: Arc::default(),
            grants: GrantTracker::default(),
        };
        self.target_entries.insert(target.clone(), entry.clone());
        (entry, true)
    }

    /// Returns a customer's limiter on this instance.
    ///
    /// Until the leader grants a share, a new customer gets an even share of its limits.
    fn customer_limiter(&mut self, customer: &CustomerRoute, count: u32) -> Arc<CustomerLimiter> {
        let limiter = self
            .customers
            .entry(customer.id.clone())
            .or_insert_with(|| {
                let concurrency = (customer.row.concurrency / count).max(1);
                let rate = (customer.row.rate_per_s / count).max(1);
                Arc::new(CustomerLimiter::new(concurrency, rate))
            });
        Arc::clone(limiter)
    }

    /// Returns the IDs of all customers, each with its limiter on this instance.
    pub(super) fn customers(&self) -> impl Iterator<Item = (&str, &Arc<CustomerLimiter>)> {
        self.customers
            .iter()
            .map(|(id, limiter)| (id.as_str(), limiter))
    }

    /// Returns the traffic counters of a target's current process run.
    pub(super) fn target_counters(&self, target: &TargetName) -> Option<&Arc<TargetCounters>> {
        self.target_entries.get(target).map(|entry| &entry.counters)
    }
}

impl ControlCore {
    /// Updates the metrics and the freshness deadline, and publishes a new view after changes.
    pub(super) fn publish_tick(&mut self, time: ClockTime) {
        let until = self.follower.freshness.fresh_until().unwrap_or_default();
        self.shared.set_fresh_until(until);
        let metrics = &self.shared.metrics;
        metrics
            .fresh
            .set(i64::from(self.follower.freshness.is_fresh(time)));
        metrics.applied.set(self.state.index as i64);
        metrics.config_number.set(self.state.config.number as i64);
        metrics.leads.set(i64::from(self.leader_state.is_some()));
        if let Some(voter) = &self.voter {
            metrics.term.set(voter.node.term() as i64);
        }
        if !self.follower.freshness.is_fresh(time) {
            self.raise_fallback_grants();
        }
        let first = !std::mem::replace(&mut self.publish.has_published, true);
        if !first && !self.publish.changed && !self.publish.targets_changed {
            return;
        }
        if first || self.publish.changed {
            self.publish.config = Arc::new(self.build_config_view());
        }
        self.publish.changed = false;
        self.publish.targets_changed = false;
        let view = self.build_traffic_view();
        self.shared.publish(view);
        for gate in self.publish.gates.values() {
            gate.wake();
        }
    }

    /// Builds a view from the configuration view and the current targets.
    fn build_traffic_view(&mut self) -> TrafficView {
        let config = Arc::clone(&self.publish.config);
        let mut choosers = self.build_choosers(&config.routes);
        let targets = &self.follower.targets;
        self.publish
            .target_entries
            .retain(|name, _| targets.contains_key(name));
        let mut pools = SecondaryMap::new();
        for (key, service) in config.routes.services() {
            let gate = self.gate(&service.id);
            let chooser = choosers.remove(&service.id).unwrap_or_default();
            pools.insert(key, ServicePool { chooser, gate });
        }
        TrafficView { config, pools }
    }

    /// Returns the targets that may receive new requests, by service.
    ///
    /// A target's first appearance triggers an ask, which requests its first slots.
    fn build_choosers(&mut self, routes: &RouteTable) -> HashMap<String, TargetChooser> {
        let mut has_new = false;
        let mut choosers: HashMap<String, TargetChooser> = HashMap::new();
        for known in self.follower.targets.values() {
            let announcement = &known.announcement;
            let service = &announcement.target.service;
            let Some((_, route)) = routes.service(service) else {
                continue;
            };
            let is_serving = matches!(known.life, TargetLife::Cold | TargetLife::Warm);
            if !is_serving || !route.zones.contains(&announcement.zone) {
                continue;
            }
            let (entry, is_new) = self
                .publish
                .target_entry(&announcement.target, announcement.boot);
            has_new |= is_new;
            let is_warm = known.life == TargetLife::Warm;
            let target = ChoiceTarget {
                identity: entry.identity,
                address: announcement.address.as_str().into(),
                local: announcement.zone == self.config.zone,
                reclaimable: announcement.class == PriceClass::Reclaimable,
                version: announcement.version,
                software: announcement.software,
                others_load: announcement.load.saturating_sub(entry.counters.in_flight()),
                capacity: match is_warm {
                    true => route.target_slots,
                    false => route.cold_slots,
                },
                counters: entry.counters,
            };
            choosers.entry(service.clone()).or_default().insert(target);
        }
        if has_new {
            self.follower.ask_now();
        }
        choosers
    }

    /// Builds the part of the view that changes only with the configuration or the instances.
    fn build_config_view(&mut self) -> ConfigView {
        let routes = RouteTable::build(&self.state.config);
        let count = self.follower.instances.len().max(1) as u32;
        let mut customers = SecondaryMap::new();
        let mut usage = SecondaryMap::new();
        for (key, customer) in routes.customers() {
            let limiter = self.publish.customer_limiter(customer, count);
            customers.insert(key, limiter);
            let allowed = routes.services().filter(|(_, service)| {
                let listed = service.customers.as_ref();
                service.open || listed.is_none_or(|customers| customers.contains(&key))
            });
            let counters: SecondaryMap<_, _> = allowed
                .map(|(service_key, service)| {
                    let usage_key = UsageKey {
                        customer: customer.id.clone(),
                        service: service.id.clone(),
                    };
                    let counter = self.publish.usage.entry(usage_key).or_default();
                    (service_key, Arc::clone(counter))
                })
                .collect();
            usage.insert(key, counters);
        }
        let live = self.follower.instances.iter();
        ConfigView {
            routes,
            customers,
            live: live.map(|instance| RunId(instance.run)).collect(),
            usage,
        }
    }

    /// Raises the grant at each warm target to an even share of its slots while the view
    /// isn't confirmed, so that requests on open routes continue without a leader.
    ///
    /// Slots of a cold target are granted by the leader only.
    fn raise_fallback_grants(&mut self) {
        let count = self.follower.instances.len().max(1) as u32;
        for (name, entry) in &self.publish.target_entries {
            let service = self.publish.config.routes.service(&name.service);
            let target = self.follower.targets.get(name);
            let (Some((_, service)), Some(target)) = (service, target) else {
                continue;
            };
            let share = (service.target_slots / count).max(1);
            if target.life == TargetLife::Warm {
                entry.counters.raise(share);
            }
        }
        for gate in self.publish.gates.values() {
            gate.wake();
        }
    }

    /// Moves the usage counted by the traffic threads into the meter.
    pub(super) fn collect_usage(&mut self) {
        for (key, counter) in &self.publish.usage {
            self.meter.count(key.clone(), &counter.take());
        }
    }

    /// Returns the gate of a service; starts it at the first call.
    fn gate(&mut self, service: &str) -> Arc<ServiceGate> {
        if let Some(gate) = self.publish.gates.get(service) {
            return Arc::clone(gate);
        }
        let _runtime = self.runtime.enter();
        let gate = ServiceGate::start(service, &self.shared, self.handle.wakeup());
        self.publish
            .gates
            .insert(service.to_owned(), Arc::clone(&gate));
        gate
    }

    /// Returns the slots that this instance needs at each target.
    ///
    /// A grant above the need is lowered before the demand is sent, so that the leader may
    /// grant the difference to another instance at once.
    pub(super) fn slot_demands(&mut self, time: ClockTime, sequence: u64) -> Vec<SlotDemand> {
        let mut rates: HashMap<&str, u32> = HashMap::new();
        for (service, gate) in &self.publish.gates {
            let arrivals = self.publish.arrivals.entry(service.clone()).or_default();
            rates.insert(service, arrivals.add(time, gate.take_arrived()));
        }
        let mut counts: HashMap<String, u32> = HashMap::new();
        for name in self.publish.target_entries.keys() {
            *counts.entry(name.service.clone()).or_default() += 1;
        }
        let mut demands = Vec::new();
        for (name, entry) in &mut self.publish.target_entries {
            let Some(target) = self.follower.targets.get(name) else {
                continue;
            };
            let gate = self.publish.gates.get(&name.service);
            let waiting = gate.map_or(0, |gate| gate.waiting());
            let targets = counts.get(&name.service).copied().unwrap_or(1);
            let rate = rates.get(name.service.as_str());
            let in_use = rate.copied().unwrap_or_default() > 0;
            let in_flight = entry.counters.in_flight();
            let is_warm = target.life == TargetLife::Warm;
            let ready = match is_warm && in_use {
                true => MIN_READY_SLOTS.max(in_flight / 2),
                false => 0,
            };
            let want = in_flight + waiting.div_ceil(targets).max(ready);
            let held = entry.counters.lower(want);
            let granted = entry.counters.granted(time);
            if want > 0 || held > 0 || granted > 0 {
                entry.grants.ask(sequence, want);
                demands.push(SlotDemand {
                    target: TargetNameWire::from(name),
                    held,
                    want,
                });
            }
        }
        demands
    }

    /// Applies the leader's slot grants.
    ///
    /// A cold target's grant ends at `until`; a warm target's grant stays until it is replaced.
    pub(super) fn apply_slot_allocations(
        &mut self,
        until: ClockTime,
        sequence: u64,
        slots: Vec<SlotAllocation>,
    ) {
        let mut services = Vec::new();
        for answer in slots {
            let Ok(name) = TargetName::try_from(answer.target) else {
                continue;
            };
            let target = self.follower.targets.get(&name);
            let (Some(entry), Some(target)) = (self.publish.target_entries.get_mut(&name), target)
            else {
                continue;
            };
            let lasting = target.life == TargetLife::Warm;
            let count = entry.grants.answer(sequence, answer.count);
            entry.counters.grant(count, until, lasting);
            services.push(name.service);
        }
        for service in services {
            if let Some(gate) = self.publish.gates.get(&service) {
                gate.wake();
            }
        }
    }

    /// Returns this instance's demand for each service that has requests.
    pub(super) fn demand_reports(&self) -> Vec<DemandReport> {
        let mut reports = Vec::new();
        for (service, gate) in &self.publish.gates {
            let running: u32 = self
                .publish
                .target_entries
                .iter()
                .filter(|(name, _)| name.service == *service)
                .map(|(_, entry)| entry.counters.in_flight())
                .sum();
            let rollouts = gate.rollouts();
            let lookups = (running + gate.waiting()).saturating_sub(rollouts);
            if lookups + rollouts > 0 {
                reports.push(DemandReport {
                    service: service.clone(),
                    lookups,
                    rollouts,
                });
            }
        }
        reports
    }

    /// Returns the shares that this instance needs of the limits of customers with traffic.
    pub(super) fn share_demands(&mut self, time: ClockTime) -> Vec<ShareDemand> {
        let mut reports = Vec::new();
        let count = self.follower.instances.len().max(1) as u32;
        for (customer, limiter) in &self.publish.customers {
            let Some(row) = self.state.config.plan.customers.get(customer) else {
                continue;
            };
            let arrivals = self
                .publish
                .customer_arrivals
                .entry(customer.clone())
                .or_default();
            let rate_per_s = arrivals.add(time, limiter.take_arrived());
            let in_flight = limiter.in_flight();
            if rate_per_s + in_flight > 0 {
                reports.push(ShareDemand {
                    customer: customer.clone(),
                    // The even share is the minimum, since a burst may start before its rate
                    // is known.
                    concurrency: (in_flight * 2 + CONCURRENCY_HEADROOM)
                        .max(row.concurrency / count),
                    rate_per_s: (rate_per_s * 2 + RATE_HEADROOM_PER_S).max(row.rate_per_s / count),
                });
            }
        }
        reports
    }

    /// Applies the leader's grants of shares of customer limits.
    pub(super) fn apply_share_allocations(&mut self, shares: Vec<ShareAllocation>) {
        for share in shares {
            if let Some(limiter) = self.publish.customers.get(&share.customer) {
                limiter.set_share(share.concurrency, share.rate_per_s);
            }
        }
    }
}
