//! Choice of the engine for an item: list scheduling on machines of different speeds.
//!
//! An item goes to the engine that is expected to complete it first. A long item therefore goes to
//! a fast engine even if a slow one is idle, while short items are spread by load. All things
//! being equal, an item goes to the engine that last got an item of its group, since that engine
//! has processed the shared prompt.

use std::collections::HashMap;

use crate::engine_load::EngineLoad;
use crate::order::expected_ms;
use crate::work::EngineSlot;
use crate::work::JobConstraints;
use crate::work::PartialText;
use bergamotlane_coordination::clock::ClockTime;

/// Number of tokens assumed for an item without an estimate.
const DEFAULT_TOKENS: u64 = 1_000;

/// Share by which a fully loaded engine generates more slowly than an idle one.
const LOAD_SLOWDOWN: f64 = 0.15;

/// Cost of a full engine over an idle one, in milliseconds: an engine that fails takes its runs
/// along, and its memory is shared among them.
const LOAD_COST_MS: f64 = 500.0;

/// Cost of processing the shared prompt of an item's group at another engine, in milliseconds.
const PROMPT_COST_MS: f64 = 500.0;

/// Time to generate an event again on an engine without an observed pace, in milliseconds.
const DEFAULT_PACE_MS: f64 = 30.0;

/// Properties of an item that decide its engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PlacementQuery<'a> {
    pub(crate) constraints: &'a JobConstraints,
    /// Text that earlier runs of the item generated.
    pub(crate) partial: Option<&'a PartialText>,
    /// Number of tokens that the item is expected to need; zero if unknown.
    pub(crate) expected_tokens: u64,
    /// ID of the engine that last got an item of the same group.
    pub(crate) preferred: Option<&'a str>,
    /// Time between two events on a typical engine, in milliseconds, if known.
    pub(crate) typical_pace_ms: Option<f64>,
}

/// Returns the median pace of the engines that have had runs, in milliseconds between two events,
/// or `None` if there are fewer than three.
pub(crate) fn typical_pace_ms(
    loads: &HashMap<String, EngineLoad>,
    engines: &[EngineSlot],
) -> Option<f64> {
    let observed = engines.iter().filter_map(|it| loads.get(&it.id)?.pace_ms);
    let mut paces: Vec<f64> = observed.collect();
    if paces.len() < 3 {
        return None;
    }
    paces.sort_by(f64::total_cmp);
    Some(paces[paces.len() / 2])
}

/// Returns the engine with the least cost for an item, if one has a free slot.
pub(crate) fn choose_engine<'a>(
    loads: &mut HashMap<String, EngineLoad>,
    now: ClockTime,
    engines: &'a [EngineSlot],
    query: PlacementQuery<'_>,
) -> Option<&'a EngineSlot> {
    let constraints = query.constraints;
    let mut best: Option<(f64, &EngineSlot)> = None;
    for engine in engines {
        if engine.service != constraints.service {
            continue;
        }
        let version = engine.models.get(&constraints.model);
        if version.is_none_or(|it| *it < constraints.min_version) {
            continue;
        }
        if !loads.contains_key(&engine.id) {
            loads.insert(engine.id.clone(), EngineLoad::default());
        }
        let Some(load) = loads.get_mut(&engine.id) else {
            continue;
        };
        if !load.has_room(now, engine) {
            continue;
        }
        let cost = cost_ms(load, engine, query);
        if best.as_ref().is_none_or(|(best_cost, _)| cost < *best_cost) {
            best = Some((cost, engine));
        }
    }
    best.map(|(_, engine)| engine)
}

/// Returns the expected time of an item on an engine, with the costs of its load, in milliseconds.
fn cost_ms(load: &EngineLoad, engine: &EngineSlot, query: PlacementQuery<'_>) -> f64 {
    let tokens = match query.expected_tokens {
        0 => DEFAULT_TOKENS,
        tokens => tokens,
    };
    let slowness = match (load.pace_ms, query.typical_pace_ms) {
        (Some(pace), Some(typical)) if typical > 0.0 => pace / typical,
        _ => 1.0,
    };
    let share = f64::from(load.running + 1) / f64::from(engine.capacity.max(1));
    let run_ms = expected_ms(tokens) as f64 * slowness * (1.0 + LOAD_SLOWDOWN * share);
    let prompt_ms = match query.preferred == Some(engine.id.as_str()) {
        true => 0.0,
        false => PROMPT_COST_MS,
    };
    run_ms + LOAD_COST_MS * share + prompt_ms + repeated_ms(load, engine, query)
}

/// Returns the time for the events that an engine would have to generate again because it can't
/// resume from them, in milliseconds.
fn repeated_ms(load: &EngineLoad, engine: &EngineSlot, query: PlacementQuery<'_>) -> f64 {
    let Some(partial) = query.partial else {
        return 0.0;
    };
    let version = engine.models.get(&query.constraints.model);
    let version = version.copied().unwrap_or_default();
    if partial.can_resume(query.constraints, version, engine.build.as_ref()) {
        return 0.0;
    }
    let pace_ms = load.pace_ms.or(query.typical_pace_ms);
    partial.events.len() as f64 * pace_ms.unwrap_or(DEFAULT_PACE_MS)
}
