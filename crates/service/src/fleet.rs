//! Engines as the scheduler and the weight planner see them, kept up to date with the registry.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashSet;

use crate::cold::cold_start;
use crate::cold::run_permits;
use crate::plan::RouteKind;
use crate::plan::RoutingPlan;
use crate::registry::TargetEntry;
use crate::registry::TargetRegistry;
use crate::registry::TargetStage;
use crate::weights::WeightPlanner;
use crate::weights::WeightTarget;
use crate::work::EngineSlot;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::RateLedger;

/// Slots of a target that runs of items and reward calls leave free for callers' requests, if its
/// service has any.
pub const NON_ROLLOUT_SLOTS: u32 = 2;

/// Weight order that an engine accepted.
#[derive(Debug, Clone)]
pub struct AcceptedOrder {
    /// Start time of the engine's process, in milliseconds since 1970.
    pub born: u64,
    /// Name of the model.
    pub model: String,
    /// Weight version of the order.
    pub version: u64,
    /// Time at which the engine accepted it.
    pub accepted_at: ClockTime,
}

/// Time after which items that found no engine are looked at again although nothing has changed, in
/// milliseconds: engines end their backoffs.
const BLOCKED_INTERVAL_MS: u64 = 20;

/// Number of engines for each millisecond between two assignments, since one goes through all engines.
const ENGINES_PER_MS: usize = 100;

/// What decides whether waiting items may find an engine that they did not find before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetLoad {
    /// Number of waiting items.
    pub waiting: usize,
    /// Number of runs in progress.
    pub runs: usize,
    /// Revision of the engines, see [`EngineFleet::revision`].
    pub revision: u64,
}

/// Times of the assignments of items to engines.
#[derive(Debug, Default)]
pub struct AssignmentClock {
    /// Earliest time of the next assignment.
    next_at: ClockTime,
    /// Load under which the last assignment started nothing.
    blocked: Option<FleetLoad>,
    /// Time at which it is tried again under that load.
    retry_at: ClockTime,
}

impl AssignmentClock {
    /// Returns whether items are assigned now.
    pub fn is_due(&self, now: ClockTime, load: FleetLoad) -> bool {
        now >= self.next_at && (self.blocked != Some(load) || now >= self.retry_at)
    }

    /// Records an assignment over a number of engines.
    pub fn record(&mut self, now: ClockTime, load: FleetLoad, engines: usize, is_blocked: bool) {
        self.next_at = now + (engines / ENGINES_PER_MS) as u64;
        self.blocked = is_blocked.then_some(load);
        self.retry_at = now + BLOCKED_INTERVAL_MS;
    }
}

/// State that the slots of the engines follow from.
#[derive(Debug, Clone, Copy)]
pub struct FleetSources<'a> {
    /// Known targets.
    pub registry: &'a TargetRegistry,
    /// Loads in progress.
    pub weights: &'a WeightPlanner,
    /// Permits of cold targets and of those that name a limit.
    pub rates: &'a RateLedger,
    /// Last weight order that each engine accepted.
    pub accepted_orders: &'a BTreeMap<String, AcceptedOrder>,
    /// Plan in force, if any.
    pub plan: Option<&'a RoutingPlan>,
    /// Names of the evacuated zones.
    pub evacuated: &'a BTreeSet<String>,
}

/// What decides for all targets whether and how far they get items.
#[derive(Debug, Default, PartialEq, Eq)]
struct FleetRules {
    /// Names of the services in the plan in force, if any.
    services: Option<BTreeSet<String>>,
    /// Names of the services that callers' requests may go to.
    caller_services: BTreeSet<String>,
    evacuated: BTreeSet<String>,
}

impl FleetRules {
    fn new(sources: &FleetSources<'_>) -> Self {
        let routes = sources.plan.iter().flat_map(|it| &it.routes);
        let plain = routes.filter(|it| it.kind != RouteKind::Rollout);
        let shares = plain.flat_map(|it| &it.shares).filter(|it| it.weight > 0);
        Self {
            services: sources
                .plan
                .map(|plan| plan.services.iter().map(|it| it.name.clone()).collect()),
            caller_services: shares.map(|it| it.service.clone()).collect(),
            evacuated: sources.evacuated.clone(),
        }
    }

    /// Returns whether the plan in force has a service; without a plan, all count.
    fn has_service(&self, name: &str) -> bool {
        self.services.as_ref().is_none_or(|it| it.contains(name))
    }
}

/// Engines as the scheduler and the weight planner see them. An update costs time for what has
/// changed, not for all targets.
#[derive(Debug, Default)]
pub struct EngineFleet {
    rules: FleetRules,
    /// Engines that may get items, in the order of their IDs.
    slots: Vec<EngineSlot>,
    /// Models of all ready engines, in the order of the engines' IDs and models.
    weight_targets: Vec<WeightTarget>,
    /// Engines whose state changed other than by the registry.
    touched: BTreeSet<String>,
    /// Engines whose slots change with time: cold ones, those that name a limit or load weights.
    timed: BTreeSet<String>,
    revision: u64,
}

impl EngineFleet {
    /// Has the next update look at an engine that took an order or answered a query.
    pub fn touch(&mut self, id: &str) {
        self.touched.insert(id.to_owned());
    }

    /// Brings the engines up to date. `changed` holds the IDs of the targets that changed in the registry
    /// since the last update.
    pub fn update(
        &mut self,
        time: ClockTime,
        sources: &FleetSources<'_>,
        changed: BTreeSet<String>,
    ) {
        let rules = FleetRules::new(sources);
        if rules != self.rules {
            self.rebuild(time, sources, rules);
            return;
        }
        let mut ids = std::mem::take(&mut self.touched);
        ids.extend(changed);
        ids.append(&mut self.timed);
        for id in ids {
            self.refresh(time, sources, &id);
        }
    }

    /// Makes all engines anew.
    fn rebuild(&mut self, time: ClockTime, sources: &FleetSources<'_>, rules: FleetRules) {
        *self = Self {
            rules,
            revision: self.revision + 1,
            ..Self::default()
        };
        for (id, entry) in sources.registry.iter() {
            self.slots.extend(self.slot(time, sources, id, entry));
            self.weight_targets
                .extend(self.model_targets(sources, id, entry));
            if is_timed(time, sources, id, entry) {
                self.timed.insert(id.clone());
            }
        }
    }

    /// Brings one engine up to date.
    fn refresh(&mut self, time: ClockTime, sources: &FleetSources<'_>, id: &str) {
        let entry = sources.registry.get(id);
        let slot = entry.and_then(|it| self.slot(time, sources, id, it));
        let place = self.slots.binary_search_by(|it| it.id.as_str().cmp(id));
        let is_same = match place {
            Ok(index) => slot.as_ref() == Some(&self.slots[index]),
            Err(_) => slot.is_none(),
        };
        if !is_same {
            self.revision += 1;
        }
        match (place, slot) {
            (Ok(index), Some(slot)) => self.slots[index] = slot,
            (Ok(index), None) => drop(self.slots.remove(index)),
            (Err(index), Some(slot)) => self.slots.insert(index, slot),
            (Err(_), None) => {}
        }
        let targets = entry.map(|it| self.model_targets(sources, id, it));
        let first = self
            .weight_targets
            .partition_point(|it| it.id.as_str() < id);
        let old = self.weight_targets[first..]
            .iter()
            .take_while(|it| it.id == id)
            .count();
        let targets = targets.unwrap_or_default();
        self.weight_targets.splice(first..first + old, targets);
        if entry.is_some_and(|it| is_timed(time, sources, id, it)) {
            self.timed.insert(id.to_owned());
        }
    }

    /// Returns the slot of a target, or `None` if it gets no items.
    fn slot(
        &self,
        time: ClockTime,
        sources: &FleetSources<'_>,
        id: &str,
        entry: &TargetEntry,
    ) -> Option<EngineSlot> {
        let announcement = &entry.announcement;
        if self.rules.services.is_none()
            || entry.stage != TargetStage::Ready
            || announcement.models.is_empty()
            || self.rules.evacuated.contains(&announcement.zone)
        {
            return None;
        }
        let has_callers = self.rules.caller_services.contains(&announcement.service);
        let reserved = if has_callers { NON_ROLLOUT_SLOTS } else { 0 };
        let loading = sources.weights.loading(time, id);
        let models = announcement.models.iter();
        let usable = models.filter(|(model, _)| loading != Some(model.as_str()));
        Some(EngineSlot {
            id: id.to_owned(),
            service: announcement.service.clone(),
            capacity: announcement.capacity.saturating_sub(reserved).max(1),
            models: usable
                .map(|(model, version)| (model.clone(), *version))
                .collect(),
            build: announcement.build(),
            permits: run_permits(sources.rates, time, id, entry, has_callers),
        })
    }

    /// Returns the models of an engine, as targets of weight orders; none unless it is ready and the plan
    /// has its service.
    fn model_targets(
        &self,
        sources: &FleetSources<'_>,
        id: &str,
        entry: &TargetEntry,
    ) -> Vec<WeightTarget> {
        let announcement = &entry.announcement;
        if entry.stage != TargetStage::Ready || !self.rules.has_service(&announcement.service) {
            return Vec::new();
        }
        let born = announcement.born;
        let order = sources.accepted_orders.get(id);
        let order = order.filter(|it| it.born == born);
        let models = announcement.models.iter();
        models
            .map(|(model, version)| {
                let ordered = order.filter(|it| it.model == *model);
                WeightTarget {
                    id: id.to_owned(),
                    born,
                    model: model.clone(),
                    version: ordered.map_or(0, |it| it.version).max(*version),
                    is_busy: false,
                }
            })
            .collect()
    }

    /// Returns the ready engines outside evacuated zones, with their limits and usable models, in the
    /// order of their IDs; none while there is no plan.
    pub fn slots(&self) -> &[EngineSlot] {
        &self.slots
    }

    /// Returns a number that changes whenever the slots do.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the models of all ready engines, each with its announced version or the one that the
    /// engine accepted an order for, whichever is newer. `busy` holds the pairs of engine and model
    /// for which runs are in progress.
    pub fn weight_targets(&mut self, busy: &HashSet<(&str, &str)>) -> &[WeightTarget] {
        for target in &mut self.weight_targets {
            target.is_busy = false;
        }
        for (id, model) in busy {
            let place = self
                .weight_targets
                .binary_search_by(|it| (it.id.as_str(), it.model.as_str()).cmp(&(id, model)));
            if let Ok(index) = place {
                self.weight_targets[index].is_busy = true;
            }
        }
        &self.weight_targets
    }

    /// Returns the number of models on ready engines.
    pub fn weight_target_count(&self) -> usize {
        self.weight_targets.len()
    }
}

/// Returns whether the slot of an engine may change without a change in the registry.
fn is_timed(time: ClockTime, sources: &FleetSources<'_>, id: &str, entry: &TargetEntry) -> bool {
    entry.rate_limit.is_some()
        || cold_start(time, entry).is_some()
        || sources.weights.loading(time, id).is_some()
}
