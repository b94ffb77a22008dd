//! Choice of the engine for an item: list scheduling on machines of different speeds.
//!
//! An item goes to the engine that is expected to complete it first. While slots on fast engines
//! are scarce, they have a price at which only items longer than the mean gain from them, so that short ones
//! leave them to the long ones that decide when their job is complete. Small costs spread items over
//! engines and keep those of a group together, where the engine has processed the shared prompt.

use std::collections::HashMap;

use crate::engine_load::EngineLoad;
use crate::engine_speed::loaded_event_ms;
use crate::work::EngineSlot;
use crate::work::JobConstraints;
use crate::work::PartialText;
use bergamotlane_coordination::clock::ClockTime;

/// Cost of a full engine over an idle one, in milliseconds: an engine that fails takes its runs
/// along.
const SPREAD_COST_MS: f64 = 30.0;

/// Cost of processing the shared prompt of an item's group at another engine, in milliseconds. It
/// delays the item by a few milliseconds only, but takes time from the other runs on the engine.
const PROMPT_COST_MS: f64 = 80.0;

/// Time for an event while no engine's speed is known, in milliseconds.
const DEFAULT_EVENT_MS: f64 = 45.0;

/// Number of engines whose speed must be known before one counts as typical.
const MIN_KNOWN_ENGINES: usize = 3;

/// Ratio of the time of the slowest to that of the fastest engine from which slots on fast engines
/// have a price.
const MIN_SPEED_RATIO: f64 = 1.15;

/// Ratio to the typical time for an event up to which an engine counts as one of the slow ones;
/// beyond, it is slowed down.
const MAX_SLOW_RATIO: f64 = 1.6;

/// Properties of an item that decide its engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementQuery<'a> {
    pub(crate) constraints: &'a JobConstraints,
    /// Text that earlier runs of the item generated.
    pub(crate) partial: Option<&'a PartialText>,
    /// Number of events that the complete text is expected to have.
    pub(crate) expected_events: f64,
    /// Mean number of events of an item of the same model.
    pub(crate) mean_events: f64,
    /// ID of the engine that last got an item of the same group.
    pub(crate) preferred: Option<&'a str>,
}

/// Price of the slots on fast engines that may run an item.
#[derive(Debug, Clone, Copy)]
struct SlotPrice {
    /// Time for an event on the slowest engines that are not slowed down, in milliseconds.
    slow_ms: f64,
    /// Number of events by which the time saved on an engine counts as its price.
    events: f64,
}

/// Engine as the assignment of items sees it.
#[derive(Debug)]
pub(crate) struct EngineEntry<'a> {
    pub(crate) slot: &'a EngineSlot,
    /// Time for an event of a single run, in milliseconds.
    event_ms: f64,
    /// Number of runs in progress.
    running: u32,
    /// Number of free slots that are kept for runs that move to the engine.
    reserved: u32,
    is_held: bool,
    /// Number of further runs that may start now, if limited.
    permits: Option<u32>,
}

impl EngineEntry<'_> {
    /// Returns the number of runs, with those that move to the engine.
    fn runs(&self) -> u32 {
        self.running + self.reserved
    }

    /// Returns whether the engine may get another run now: it has a free slot, is not backed off,
    /// and has not used up its permits.
    fn has_room(&self) -> bool {
        !self.is_held && self.runs() < self.slot.capacity && self.permits != Some(0)
    }

    /// Returns whether the engine has a slot for an item that moves to it, or `None` if the item's text
    /// can't continue there any more.
    pub(crate) fn has_kept_slot(
        &self,
        constraints: &JobConstraints,
        text: Option<&PartialText>,
    ) -> Option<bool> {
        let is_open = !self.is_held
            && self.permits.is_none()
            && is_usable(self.slot, constraints)
            && text.is_none_or(|it| can_resume_at(self.slot, constraints, it));
        is_open.then_some(self.running < self.slot.capacity)
    }

    /// Counts a run that starts.
    pub(crate) fn add_run(&mut self) {
        self.running += 1;
        self.permits = self.permits.map(|it| it.saturating_sub(1));
    }

    /// Counts a kept slot that is no longer needed.
    pub(crate) fn release_slot(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }
}

/// Engines during one assignment of items. Looked up once, since an assignment has many items.
#[derive(Debug)]
pub(crate) struct EngineTable<'a> {
    pub(crate) entries: Vec<EngineEntry<'a>>,
    /// Indices of the engines that may run the items of each job, by its ID.
    usable: HashMap<String, Vec<usize>>,
    /// Time for an event on a typical engine, in milliseconds.
    typical_ms: f64,
}

impl<'a> EngineTable<'a> {
    pub(crate) fn new(
        now: ClockTime,
        loads: &HashMap<String, EngineLoad>,
        engines: &'a [EngineSlot],
    ) -> Self {
        let typical_ms = typical_ms(now, loads, engines);
        let idle = EngineLoad::default();
        let entries = engines.iter().map(|slot| {
            let load = loads.get(&slot.id).unwrap_or(&idle);
            EngineEntry {
                slot,
                event_ms: load.speed.event_ms(now, typical_ms),
                running: load.running,
                reserved: load.reserved,
                is_held: load.is_held(now),
                permits: slot.permits,
            }
        });
        Self {
            entries: entries.collect(),
            usable: HashMap::new(),
            typical_ms,
        }
    }

    /// Returns the index of the engine with an ID.
    pub(crate) fn position(&self, id: &str) -> Option<usize> {
        self.entries.iter().position(|it| it.slot.id == id)
    }

    /// Returns the index of the engine with the least cost for an item of a job, if one has a free
    /// slot.
    pub(crate) fn choose(&mut self, job: &str, query: PlacementQuery<'_>) -> Option<usize> {
        if !self.usable.contains_key(job) {
            let entries = self.entries.iter().enumerate();
            let usable = entries.filter(|(_, it)| is_usable(it.slot, query.constraints));
            let usable = usable.map(|(index, _)| index).collect();
            self.usable.insert(job.to_owned(), usable);
        }
        let indices = self.usable.get(job)?;
        let usable = || indices.iter().map(|it| (*it, &self.entries[*it]));
        let price = SlotPrice::of(usable().map(|(_, it)| it), self.typical_ms, query);
        let free = usable().filter(|(_, it)| it.has_room());
        let costs = free.map(|(index, it)| {
            let cost = cost_ms(it, query) + price.price_ms(it.event_ms);
            (index, cost)
        });
        costs
            .min_by(|(_, a), (_, b)| a.total_cmp(b))
            .map(|(index, _)| index)
    }
}

impl SlotPrice {
    /// Returns the price by the share of the slots on fast engines that are in use.
    fn of<'a>(
        usable: impl Iterator<Item = &'a EngineEntry<'a>> + Clone,
        typical_ms: f64,
        query: PlacementQuery<'_>,
    ) -> Self {
        let times = usable.clone().map(|it| it.event_ms);
        let fast_ms = times.clone().fold(f64::INFINITY, f64::min);
        let slow_ms = times.fold(0.0, f64::max);
        let slow_ms = slow_ms.min(typical_ms * MAX_SLOW_RATIO);
        if slow_ms < fast_ms * MIN_SPEED_RATIO {
            return Self {
                slow_ms,
                events: 0.0,
            };
        }
        let split_ms = (fast_ms * slow_ms).sqrt();
        let (mut used, mut slots) = (0, 0);
        for engine in usable.filter(|it| it.event_ms <= split_ms) {
            used += engine.runs();
            slots += engine.slot.capacity;
        }
        let share = f64::from(used) / f64::from(slots.max(1));
        Self {
            slow_ms,
            events: share.min(1.0) * query.mean_events,
        }
    }

    /// Returns the price of a slot on an engine with a time for an event, in milliseconds.
    fn price_ms(self, event_ms: f64) -> f64 {
        (self.slow_ms - event_ms).max(0.0) * self.events
    }
}

/// Returns the median time for an event on the engines that have had runs, in milliseconds, or `None`
/// if there are fewer than three.
pub(crate) fn known_typical_ms(
    now: ClockTime,
    loads: &HashMap<String, EngineLoad>,
    engines: &[EngineSlot],
) -> Option<f64> {
    let known = engines.iter().filter_map(|it| loads.get(&it.id));
    let known = known.filter(|it| it.speed.is_known());
    let mut times: Vec<f64> = known
        .map(|it| it.speed.usual_ms(now, DEFAULT_EVENT_MS))
        .collect();
    if times.len() < MIN_KNOWN_ENGINES {
        return None;
    }
    times.sort_by(f64::total_cmp);
    Some(times[times.len() / 2])
}

/// Returns the time for an event to assume for engines that have had no runs, in milliseconds.
pub(crate) fn typical_ms(
    now: ClockTime,
    loads: &HashMap<String, EngineLoad>,
    engines: &[EngineSlot],
) -> f64 {
    known_typical_ms(now, loads, engines).unwrap_or(DEFAULT_EVENT_MS)
}

/// Returns whether an engine may run the items of a job, if it has a free slot.
pub(crate) fn is_usable(engine: &EngineSlot, constraints: &JobConstraints) -> bool {
    let version = engine.models.get(&constraints.model);
    engine.service == constraints.service
        && version.is_some_and(|it| *it >= constraints.min_version)
}

/// Returns whether a run at an engine may resume from a text.
fn can_resume_at(engine: &EngineSlot, constraints: &JobConstraints, text: &PartialText) -> bool {
    let version = engine.models.get(&constraints.model);
    let version = version.copied().unwrap_or_default();
    text.can_resume(constraints, version, engine.build.as_ref())
}

/// Returns the expected time of an item on an engine, with the costs of its load, in milliseconds.
fn cost_ms(engine: &EngineEntry<'_>, query: PlacementQuery<'_>) -> f64 {
    let runs = engine.runs() + 1;
    let events = remaining_events(engine.slot, query);
    let run_ms = events * loaded_event_ms(engine.event_ms, runs);
    let share = f64::from(runs) / f64::from(engine.slot.capacity.max(1));
    let prompt_ms = match query.preferred == Some(engine.slot.id.as_str()) {
        true => 0.0,
        false => PROMPT_COST_MS,
    };
    run_ms + SPREAD_COST_MS * share + prompt_ms
}

/// Returns the number of events that an engine would have to generate, including those that it has to
/// generate again because it can't resume from them.
fn remaining_events(engine: &EngineSlot, query: PlacementQuery<'_>) -> f64 {
    let Some(partial) = query.partial else {
        return query.expected_events;
    };
    match can_resume_at(engine, query.constraints, partial) {
        true => query.expected_events - partial.events.len() as f64,
        false => query.expected_events,
    }
}
