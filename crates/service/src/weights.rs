//! Orders that bring engines to the newest weights, a few at a time.
//!
//! An engine accepts an order only at the count of orders that the order names, so one that is
//! carried out late can't undo a newer one. Where the count is unknown, the engine is asked.
//!
//! Which engine loads next is decided in `load_order.rs`.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::load_order::LoadTarget;
use crate::load_order::ModelNeeds;
use crate::load_order::next_load;
use bergamotlane_coordination::clock::ClockTime;

/// Time that a change of weights keeps an engine busy, in milliseconds.
const LOAD_TIME_MS: u64 = 910;

/// Pause before an engine is asked again after an unclear answer, in milliseconds.
const UNCLEAR_PAUSE_MS: u64 = 1_200;

/// Pause after an engine refused an order, in milliseconds.
const REFUSED_PAUSE_MS: u64 = 400;

/// Pause after an engine showed that a newer holder gives orders, in milliseconds.
const LONG_FENCE_PAUSE_MS: u64 = 60_000;

/// Engines for each one that may load at a time.
const ENGINES_PER_LOAD: usize = 5;

/// Engines that may load at a time in a small fleet.
const LEAST_LOADS: usize = 2;

/// An engine that shall have the newest weights.
#[derive(Debug, Clone)]
pub struct WeightTarget {
    /// ID.
    pub id: String,
    /// Start of the engine.
    pub born: u64,
    /// Model.
    pub model: String,
    /// Version that it has.
    pub version: u64,
    /// Whether runs of the model are on it, which a load would hold up.
    pub is_busy: bool,
}

/// What an engine said to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order is being carried out.
    Taken,
    /// The engine has that version.
    Holds,
    /// Another order is in progress, or the count differs.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The engine refused the order.
    Refused,
    /// No answer: the order may be carried out, also late.
    Unclear,
}

/// State of an engine's orders as it reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReport {
    /// Whether an order is in progress.
    pub busy: bool,
    /// Orders accepted since its start.
    pub accepted: u64,
    /// Version by model.
    pub models: BTreeMap<String, u64>,
}

/// What to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WeightStep {
    /// Order a version.
    Order {
        /// Engine.
        id: String,
        /// Its start.
        born: u64,
        /// Model.
        model: String,
        /// Version.
        version: u64,
        /// Orders that the engine must have accepted before.
        expect: u64,
    },
    /// Ask an engine for its state.
    Inspect {
        /// Engine.
        id: String,
        /// Its start.
        born: u64,
    },
}

#[derive(Debug, Default)]
struct OrderState {
    born: u64,
    accepted: Option<u64>,
    asked: bool,
    loading_until: ClockTime,
    loading_model: String,
    held_until: ClockTime,
}

impl OrderState {
    /// Returns whether the engine loads weights or is being asked.
    fn is_occupied(&self, now: ClockTime) -> bool {
        self.asked || now < self.loading_until
    }
}

/// Plans the orders.
#[derive(Debug, Default)]
pub struct WeightPlanner {
    engines: HashMap<String, OrderState>,
    needs: ModelNeeds,
    fenced_until: ClockTime,
}

impl WeightPlanner {
    /// Returns the model that an engine is loading.
    pub fn loading(&self, now: ClockTime, id: &str) -> Option<&str> {
        let state = self.engines.get(id)?;
        (now < state.loading_until).then_some(state.loading_model.as_str())
    }

    /// Returns the next steps. `least` is the oldest version that open jobs allow, by model.
    pub fn next_steps(
        &mut self,
        now: ClockTime,
        targets: &[WeightTarget],
        named: &BTreeMap<String, u64>,
        least: &BTreeMap<String, u64>,
    ) -> Vec<WeightStep> {
        self.needs.update(named, least);
        if now < self.fenced_until {
            return Vec::new();
        }
        self.follow(targets);
        let share = (self.engines.len() + ENGINES_PER_LOAD / 2) / ENGINES_PER_LOAD;
        let limit = LEAST_LOADS.max(share);
        let states = self.engines.values();
        let busy = states.filter(|it| it.is_occupied(now)).count();
        let mut loads: Vec<LoadTarget<'_>> = targets
            .iter()
            .map(|it| self.load_target(now, it, named))
            .collect();
        let mut steps = Vec::new();
        for _ in busy..limit {
            let Some(place) = next_load(&loads, &self.needs, self.engines.len()) else {
                break;
            };
            for load in loads.iter_mut().filter(|it| it.id == targets[place].id) {
                load.can_load = false;
            }
            loads[place].is_loading = true;
            steps.extend(self.step_for(&targets[place], named));
        }
        steps
    }

    /// Forgets engines that are gone, and what was known of an earlier start.
    fn follow(&mut self, targets: &[WeightTarget]) {
        self.engines
            .retain(|id, _| targets.iter().any(|it| it.id == *id));
        for target in targets {
            let state = self.engines.entry(target.id.clone()).or_default();
            if state.born != target.born {
                *state = OrderState {
                    born: target.born,
                    ..OrderState::default()
                };
            }
        }
    }

    fn load_target<'a>(
        &self,
        now: ClockTime,
        target: &'a WeightTarget,
        named: &BTreeMap<String, u64>,
    ) -> LoadTarget<'a> {
        let state = self.engines.get(&target.id);
        let occupied = state.is_some_and(|it| it.is_occupied(now));
        let held = state.is_some_and(|it| now < it.held_until);
        let newest = named.get(&target.model).copied().unwrap_or_default();
        LoadTarget {
            id: &target.id,
            model: &target.model,
            version: target.version,
            newest: newest.max(target.version),
            is_busy: target.is_busy,
            is_loading: occupied && state.is_some_and(|it| it.loading_model == target.model),
            can_load: !occupied && !held,
        }
    }

    fn step_for(
        &mut self,
        target: &WeightTarget,
        named: &BTreeMap<String, u64>,
    ) -> Option<WeightStep> {
        let state = self.engines.get_mut(&target.id)?;
        state.asked = true;
        target.model.clone_into(&mut state.loading_model);
        let (id, born) = (target.id.clone(), target.born);
        Some(match state.accepted {
            Some(expect) => WeightStep::Order {
                id,
                born,
                model: target.model.clone(),
                version: *named.get(&target.model)?,
                expect,
            },
            None => WeightStep::Inspect { id, born },
        })
    }

    fn state(&mut self, id: &str, born: u64) -> Option<&mut OrderState> {
        self.engines.get_mut(id).filter(|it| it.born == born)
    }

    /// Takes an answer to an order.
    pub fn record_answer(&mut self, now: ClockTime, id: &str, born: u64, answer: OrderAnswer) {
        let Some(state) = self.state(id, born) else {
            return;
        };
        state.asked = false;
        match answer {
            OrderAnswer::Taken => {
                state.accepted = state.accepted.map(|it| it + 1);
                state.loading_until = now + LOAD_TIME_MS;
            }
            OrderAnswer::Holds => {}
            OrderAnswer::Conflict => {
                state.accepted = None;
                state.held_until = now + REFUSED_PAUSE_MS;
            }
            OrderAnswer::Refused => state.held_until = now + REFUSED_PAUSE_MS,
            OrderAnswer::Unclear => {
                state.accepted = None;
                state.held_until = now + UNCLEAR_PAUSE_MS;
            }
            OrderAnswer::Fenced => self.fenced_until = now + LONG_FENCE_PAUSE_MS,
        }
    }

    /// Takes an engine's report; `None` if it did not answer.
    pub fn record_report(
        &mut self,
        now: ClockTime,
        id: &str,
        born: u64,
        report: Option<&OrderReport>,
    ) {
        let Some(state) = self.state(id, born) else {
            return;
        };
        state.asked = false;
        match report {
            Some(report) if report.busy => {
                state.loading_until = now + LOAD_TIME_MS / 2;
                state.accepted = Some(report.accepted);
            }
            Some(report) => state.accepted = Some(report.accepted),
            None => state.held_until = now + UNCLEAR_PAUSE_MS,
        }
    }
}
