//! The leader's parts in simulated time.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::ANSWER_MS;
use crate::ITEMS;
use crate::MODELS;
use crate::SERVICE;
use crate::SIMULATED_MS;
use crate::STEP_MS;
use crate::TICK_MS;
use crate::TRAINERS;
use crate::events::LoadEvent;
use crate::times::PartTimes;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::RateLedger;
use bergamotlane_service::cold::ColdRates;
use bergamotlane_service::cold::update_budgets;
use bergamotlane_service::fleet::AcceptedOrder;
use bergamotlane_service::fleet::AssignmentClock;
use bergamotlane_service::fleet::EngineFleet;
use bergamotlane_service::fleet::FleetLoad;
use bergamotlane_service::fleet::FleetSources;
use bergamotlane_service::frames::LinkFrame;
use bergamotlane_service::frames::ViewFrame;
use bergamotlane_service::order::ItemRank;
use bergamotlane_service::plan::RoutingPlan;
use bergamotlane_service::registry::TargetAnnouncement;
use bergamotlane_service::registry::TargetRegistry;
use bergamotlane_service::schedule::ItemScheduler;
use bergamotlane_service::weights::WeightPlanner;
use bergamotlane_service::weights::WeightStep;
use bergamotlane_service::work::JobConstraints;
use bergamotlane_wire::codec;

/// The leader's parts, and the fleet that they work for.
pub struct LoadModel {
    pub registry: TargetRegistry,
    pub scheduler: ItemScheduler,
    pub weights: WeightPlanner,
    weights_due: ClockTime,
    pub fleet: EngineFleet,
    assignments: AssignmentClock,
    pub active_runs: usize,
    /// Whether heartbeats come as calls instead of batches.
    pub has_calls: bool,
    rates: RateLedger,
    plan: RoutingPlan,
    evacuated: BTreeSet<String>,
    pub accepted_orders: BTreeMap<String, AcceptedOrder>,
    newest: BTreeMap<String, u64>,
    pub events: BinaryHeap<Reverse<(ClockTime, LoadEvent)>>,
    pub targets: Vec<TargetAnnouncement>,
    pub times: PartTimes,
    runs: u64,
    pub loads: u64,
}

fn target(number: usize) -> TargetAnnouncement {
    TargetAnnouncement {
        id: format!("engine-{number:05}"),
        service: SERVICE.to_owned(),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 80).into(),
        zone: format!("zone-{}", number % 3),
        capacity: 8,
        is_draining: false,
        cold_left_ms: 0,
        models: (0..MODELS).map(|it| (format!("model-{it}"), 1)).collect(),
        software: Some("v1".to_owned()),
        sequence: 0,
        born: 1,
        is_reclaimable: false,
    }
}

impl LoadModel {
    pub fn new(targets: usize) -> Self {
        Self {
            registry: TargetRegistry::default(),
            scheduler: ItemScheduler::default(),
            weights: WeightPlanner::default(),
            weights_due: ClockTime(0),
            fleet: EngineFleet::default(),
            assignments: AssignmentClock::default(),
            active_runs: 0,
            has_calls: false,
            rates: RateLedger::of_new_owner(ClockTime(0)),
            plan: RoutingPlan::default(),
            evacuated: BTreeSet::new(),
            accepted_orders: BTreeMap::new(),
            newest: (0..MODELS).map(|it| (format!("model-{it}"), 1)).collect(),
            events: BinaryHeap::new(),
            targets: (0..targets).map(target).collect(),
            times: PartTimes::default(),
            runs: 0,
            loads: 0,
        }
    }

    /// Submits the job of each trainer whose step begins now; the first ones also name a version.
    fn submit_jobs(&mut self, time: ClockTime) {
        for trainer in 0..TRAINERS {
            let begins_ms = trainer * (STEP_MS / TRAINERS / TICK_MS * TICK_MS);
            if time.0 % STEP_MS != begins_ms {
                continue;
            }
            let model = format!("model-{}", trainer % MODELS);
            let newest = self.newest.entry(model.clone()).or_default();
            if trainer < MODELS {
                *newest += 1;
            }
            let constraints = JobConstraints {
                due: time + 7_500,
                expires: time + 20_000,
                service: SERVICE.to_owned(),
                model,
                min_version: newest.saturating_sub(2),
                single_version: false,
                max_attempts: 3,
            };
            let open = (0..ITEMS).map(|item| ItemRank {
                item,
                is_carried: false,
                expected_tokens: 500 + 13 * u64::from(item),
                max_tokens: None,
            });
            let groups = (0..ITEMS).map(|it| it / 16).collect();
            self.scheduler.drop_job(&format!("trainer-{trainer}"));
            let id = format!("trainer-{trainer}");
            self.scheduler
                .admit(&id, constraints, groups, open.collect());
        }
    }

    fn assign_items(&mut self, time: ClockTime) {
        if self.scheduler.waiting() == 0 {
            return;
        }
        self.update_cold(time);
        self.update_fleet(time);
        let load = FleetLoad {
            waiting: self.scheduler.waiting(),
            runs: self.active_runs,
            revision: self.fleet.revision(),
        };
        if !self.assignments.is_due(time, load) {
            return;
        }
        let (scheduler, slots) = (&mut self.scheduler, self.fleet.slots());
        let starts = self
            .times
            .measure("assign", || scheduler.assign(time, slots));
        self.assignments
            .record(time, load, slots.len(), starts.is_empty());
        self.active_runs += starts.len();
        for start in starts {
            self.runs += 1;
            let took_ms = 600 + 25 * u64::from(start.item);
            let event = LoadEvent::RunEnded(start.run.0);
            self.events.push(Reverse((time + took_ms, event)));
        }
    }

    fn update_fleet(&mut self, time: ClockTime) {
        let changed = self.registry.take_engine_changes();
        let sources = FleetSources {
            registry: &self.registry,
            weights: &self.weights,
            rates: &self.rates,
            accepted_orders: &self.accepted_orders,
            plan: Some(&self.plan),
            evacuated: &self.evacuated,
        };
        let fleet = &mut self.fleet;
        self.times
            .measure("fleet", || fleet.update(time, &sources, changed));
    }

    fn update_cold(&mut self, time: ClockTime) {
        let (registry, rates, plan) = (&mut self.registry, &mut self.rates, &self.plan);
        self.times.measure("cold", || {
            registry.forget_warm(time);
            if registry.maybe_cold().next().is_some() {
                update_budgets(rates, time, registry, &ColdRates::new(plan, 10, 0));
            }
        });
    }

    fn order_weights(&mut self, time: ClockTime) {
        let mut oldest = BTreeMap::new();
        for (_, constraints) in self.scheduler.jobs() {
            let version = oldest.entry(constraints.model.clone()).or_insert(0);
            *version = constraints.min_version.max(*version);
        }
        self.update_fleet(time);
        let (fleet, scheduler) = (&mut self.fleet, &self.scheduler);
        let targets = self.times.measure("weight targets", || {
            fleet.weight_targets(&scheduler.busy_models())
        });
        let weights = &mut self.weights;
        let steps = self.times.measure("weight plan", || {
            weights.next_steps(time, targets, &self.newest, &oldest)
        });
        for step in steps {
            let event = match step {
                WeightStep::Inspect { id, .. } => LoadEvent::Inspected(id),
                WeightStep::Order {
                    id, model, version, ..
                } => LoadEvent::Ordered(id, model, version),
            };
            self.events.push(Reverse((time + ANSWER_MS, event)));
        }
        let expired = self
            .accepted_orders
            .extract_if(.., |_, it| time.since(it.accepted_at) >= 3_000);
        for (id, _) in expired {
            self.fleet.touch(&id);
        }
    }

    fn push_views(&mut self, time: ClockTime) {
        let registry = &mut self.registry;
        self.times.measure("views", || {
            let changes = registry.take_changes();
            let ids = changes.routing.iter().chain(&changes.versions);
            let changed: Vec<_> = ids
                .filter_map(|it| Some(registry.get(it)?.view(time)))
                .collect();
            if !changed.is_empty() {
                let view = ViewFrame {
                    changed,
                    ..ViewFrame::default()
                };
                codec::encode(&LinkFrame::View(Box::new(view)));
            }
        });
    }

    pub fn tick(&mut self, time: ClockTime) {
        self.handle_events(time);
        match self.has_calls {
            true => self.send_calls(time),
            false => self.send_batches(time),
        }
        self.submit_jobs(time);
        if time.0.is_multiple_of(100) {
            let registry = &mut self.registry;
            self.times.measure("expire", || registry.expire(time));
        }
        self.assign_items(time);
        if time >= self.weights_due {
            let spacing_ms = (self.fleet.weight_target_count() / 100) as u64;
            self.weights_due = time + spacing_ms.max(20);
            self.order_weights(time);
        }
        if time.0.is_multiple_of(60) {
            self.push_views(time);
        }
    }

    pub fn report(&self) {
        let seconds = SIMULATED_MS as f64 / 1_000.0;
        let total: Duration = self.times.parts.values().sum();
        println!(
            "{} targets: {:.1} ms of processor time a second, {} runs, {} loads",
            self.targets.len(),
            total.as_secs_f64() * 1_000.0 / seconds,
            self.runs,
            self.loads,
        );
        for (part, time) in &self.times.parts {
            println!("  {part}: {:.2}", time.as_secs_f64() * 1_000.0 / seconds);
        }
    }
}
