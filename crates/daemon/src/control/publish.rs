//! The view that traffic reads, and what this instance asks of the leader for it.

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

/// Slots kept ready at a warm target that gets requests.
const READY_SLOTS: u32 = 2;

/// Requests in progress asked for beside those that are there.
const SHARE_HEADROOM: u32 = 8;

/// Requests a second asked for beside those that came.
const RATE_HEADROOM: u32 = 20;

/// Counters of one target, for one of its process runs.
#[derive(Debug, Clone)]
struct KnownCell {
    boot: u64,
    identity: u64,
    cell: Arc<TargetCounters>,
    asked: GrantTracker,
}

/// What the published view is made from, beside the control state.
#[derive(Debug, Default)]
pub(super) struct PublishState {
    /// The configuration or the set of instances changed.
    pub(super) changed: bool,
    /// Targets changed.
    pub(super) targets_changed: bool,
    cells: BTreeMap<TargetName, KnownCell>,
    gates: GateMap,
    config: Arc<ConfigView>,
    usage: BTreeMap<UsageKey, Arc<UsageCounter>>,
    customers: HashMap<String, Arc<CustomerLimiter>>,
    /// Arrivals by service.
    arrivals: HashMap<String, ArrivalRate>,
    /// Arrivals by customer.
    customer_arrivals: HashMap<String, ArrivalRate>,
    next_identity: u64,
    started: bool,
}

impl PublishState {
    /// Returns the counters of a target's process run, and whether they are new.
    fn cell_of(&mut self, target: &TargetName, boot: u64) -> (KnownCell, bool) {
        let known = self.cells.get(target);
        if let Some(cell) = known.filter(|it| it.boot == boot) {
            return (cell.clone(), false);
        }
        self.next_identity += 1;
        let cell = KnownCell {
            boot,
            identity: self.next_identity,
            cell: Arc::default(),
            asked: GrantTracker::default(),
        };
        self.cells.insert(target.clone(), cell.clone());
        (cell, true)
    }

    /// Returns the limits of a customer; a new one starts with an even part of them.
    fn customer_cell(&mut self, customer: &CustomerRoute, count: u32) -> Arc<CustomerLimiter> {
        let cell = self
            .customers
            .entry(customer.id.clone())
            .or_insert_with(|| {
                let concurrency = (customer.row.concurrency / count).max(1);
                let rate = (customer.row.rate_per_s / count).max(1);
                Arc::new(CustomerLimiter::new(concurrency, rate))
            });
        Arc::clone(cell)
    }

    /// Returns the shares of customers.
    pub(super) fn customer_cells(&self) -> impl Iterator<Item = (&str, &Arc<CustomerLimiter>)> {
        self.customers.iter().map(|(id, cell)| (id.as_str(), cell))
    }

    /// Returns the counters of a target.
    pub(super) fn cell(&self, target: &TargetName) -> Option<&Arc<TargetCounters>> {
        self.cells.get(target).map(|known| &known.cell)
    }
}

impl ControlCore {
    pub(super) fn publish_tick(&mut self, time: ClockTime) {
        let until = self.follow.freshness.fresh_until().unwrap_or_default();
        self.shared.set_fresh_until(until);
        let metrics = &self.shared.metrics;
        metrics
            .fresh
            .set(i64::from(self.follow.freshness.is_fresh(time)));
        metrics.applied.set(self.state.index as i64);
        metrics.config_number.set(self.state.config.number as i64);
        metrics.leads.set(i64::from(self.lead.is_some()));
        if let Some(voter) = &self.voter {
            metrics.term.set(voter.node.term() as i64);
        }
        if !self.follow.freshness.is_fresh(time) {
            self.go_on_alone();
        }
        let first = !std::mem::replace(&mut self.publish.started, true);
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

    fn build_traffic_view(&mut self) -> TrafficView {
        let config = Arc::clone(&self.publish.config);
        let mut choosers = self.build_choosers(&config.routes);
        let targets = &self.follow.targets;
        self.publish.cells.retain(|it, _| targets.contains_key(it));
        let mut pools = SecondaryMap::new();
        for (key, service) in config.routes.services() {
            let gate = self.gate(&service.id);
            let chooser = choosers.remove(&service.id).unwrap_or_default();
            pools.insert(key, ServicePool { chooser, gate });
        }
        TrafficView { config, pools }
    }

    /// Returns the targets that may get new work, by service.
    fn build_choosers(&mut self, routes: &RouteTable) -> HashMap<String, TargetChooser> {
        let mut unknown = false;
        let mut choosers: HashMap<String, TargetChooser> = HashMap::new();
        for known in self.follow.targets.values() {
            let announcement = &known.announcement;
            let service = &announcement.target.service;
            let Some((_, route)) = routes.service(service) else {
                continue;
            };
            let serves = matches!(known.life, TargetLife::Cold | TargetLife::Warm);
            if !serves || !route.zones.contains(&announcement.zone) {
                continue;
            }
            let (cell, is_new) = self
                .publish
                .cell_of(&announcement.target, announcement.boot);
            unknown |= is_new;
            let warm = known.life == TargetLife::Warm;
            let target = ChoiceTarget {
                identity: cell.identity,
                address: announcement.address.as_str().into(),
                local: announcement.zone == self.config.zone,
                reclaimable: announcement.class == PriceClass::Reclaimable,
                version: announcement.version,
                others_load: announcement.load.saturating_sub(cell.cell.in_flight()),
                capacity: match warm {
                    true => route.target_slots,
                    false => route.cold_slots,
                },
                counters: cell.cell,
            };
            choosers.entry(service.clone()).or_default().insert(target);
        }
        if unknown {
            self.follow.ask_now();
        }
        choosers
    }

    fn build_config_view(&mut self) -> ConfigView {
        let routes = RouteTable::build(&self.state.config);
        let count = self.follow.instances.len().max(1) as u32;
        let mut customers = SecondaryMap::new();
        let mut usage = SecondaryMap::new();
        for (key, customer) in routes.customers() {
            let cell = self.publish.customer_cell(customer, count);
            customers.insert(key, cell);
            let allowed = routes.services().filter(|(_, service)| {
                let listed = service.customers.as_ref();
                service.open || listed.is_none_or(|it| it.contains(&key))
            });
            let cells: SecondaryMap<_, _> = allowed
                .map(|(service_key, service)| {
                    let usage_key = UsageKey {
                        customer: customer.id.clone(),
                        service: service.id.clone(),
                    };
                    let cell = self.publish.usage.entry(usage_key).or_default();
                    (service_key, Arc::clone(cell))
                })
                .collect();
            usage.insert(key, cells);
        }
        let live = self.follow.instances.iter();
        ConfigView {
            routes,
            customers,
            live: live.map(|it| RunId(it.run)).collect(),
            usage,
        }
    }

    /// Lets open routes use an even part of warm targets while no leader grants slots.
    ///
    /// A cold target's slots are only ever the leader's to give.
    fn go_on_alone(&mut self) {
        let count = self.follow.instances.len().max(1) as u32;
        for (name, known) in &self.publish.cells {
            let service = self.publish.config.routes.service(&name.service);
            let target = self.follow.targets.get(name);
            let (Some((_, service)), Some(target)) = (service, target) else {
                continue;
            };
            let part = (service.target_slots / count).max(1);
            if target.life == TargetLife::Warm {
                known.cell.raise(part);
            }
        }
        for gate in self.publish.gates.values() {
            gate.wake();
        }
    }

    /// Moves what traffic counted into the meter.
    pub(super) fn gather_usage(&mut self) {
        for (key, cell) in &self.publish.usage {
            self.meter.count(key.clone(), &cell.take());
        }
    }

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

    /// Returns the slots that this instance wants; lowers its own grants first where it
    /// wants less.
    pub(super) fn slot_wishes(&mut self, time: ClockTime, sequence: u64) -> Vec<SlotDemand> {
        let mut rates: HashMap<&str, u32> = HashMap::new();
        for (service, gate) in &self.publish.gates {
            let arrivals = self.publish.arrivals.entry(service.clone()).or_default();
            rates.insert(service, arrivals.add(time, gate.take_arrived()));
        }
        let mut counts: HashMap<String, u32> = HashMap::new();
        for name in self.publish.cells.keys() {
            *counts.entry(name.service.clone()).or_default() += 1;
        }
        let mut wishes = Vec::new();
        for (name, known) in &mut self.publish.cells {
            let Some(target) = self.follow.targets.get(name) else {
                continue;
            };
            let gate = self.publish.gates.get(&name.service);
            let waiting = gate.map_or(0, |gate| gate.waiting());
            let targets = counts.get(&name.service).copied().unwrap_or(1);
            let rate = rates.get(name.service.as_str());
            let in_use = rate.copied().unwrap_or_default() > 0;
            let in_flight = known.cell.in_flight();
            let warm = target.life == TargetLife::Warm;
            let ready = match warm && in_use {
                true => READY_SLOTS.max(in_flight / 2),
                false => 0,
            };
            let want = in_flight + waiting.div_ceil(targets).max(ready);
            let held = known.cell.lower(want);
            let granted = known.cell.granted(time);
            if want > 0 || held > 0 || granted > 0 {
                known.asked.ask(sequence, want);
                wishes.push(SlotDemand {
                    target: TargetNameWire::from(name),
                    held,
                    want,
                });
            }
        }
        wishes
    }

    pub(super) fn take_slots(
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
            let target = self.follow.targets.get(&name);
            let (Some(known), Some(target)) = (self.publish.cells.get_mut(&name), target) else {
                continue;
            };
            let lasting = target.life == TargetLife::Warm;
            let count = known.asked.answer(sequence, answer.count);
            known.cell.grant(count, until, lasting);
            services.push(name.service);
        }
        for service in services {
            if let Some(gate) = self.publish.gates.get(&service) {
                gate.wake();
            }
        }
    }

    pub(super) fn demand_reports(&self) -> Vec<DemandReport> {
        let mut reports = Vec::new();
        for (service, gate) in &self.publish.gates {
            let running: u32 = self
                .publish
                .cells
                .iter()
                .filter(|(name, _)| name.service == *service)
                .map(|(_, known)| known.cell.in_flight())
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

    pub(super) fn share_reports(&mut self, time: ClockTime) -> Vec<ShareDemand> {
        let mut reports = Vec::new();
        let count = self.follow.instances.len().max(1) as u32;
        for (customer, cell) in &self.publish.customers {
            let Some(row) = self.state.config.plan.customers.get(customer) else {
                continue;
            };
            let arrivals = self
                .publish
                .customer_arrivals
                .entry(customer.clone())
                .or_default();
            let rate_per_s = arrivals.add(time, cell.take_arrived());
            let busy = cell.in_flight();
            if rate_per_s + busy > 0 {
                reports.push(ShareDemand {
                    customer: customer.clone(),
                    // A burst may start before its rate is known, so an even part is
                    // the least.
                    concurrency: (busy * 2 + SHARE_HEADROOM).max(row.concurrency / count),
                    rate_per_s: (rate_per_s * 2 + RATE_HEADROOM).max(row.rate_per_s / count),
                });
            }
        }
        reports
    }

    pub(super) fn take_shares(&mut self, shares: Vec<ShareAllocation>) {
        for share in shares {
            if let Some(cell) = self.publish.customers.get(&share.customer) {
                cell.set_share(share.concurrency, share.rate_per_s);
            }
        }
    }
}
