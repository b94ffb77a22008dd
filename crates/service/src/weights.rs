//! Planner of the orders that make engines load the newest weights, a few engines at a time.
//!
//! Each order names the number of orders that the engine must have accepted before, and the
//! engine refuses it at any other number. A delayed order therefore can't undo a newer one. If
//! the number is unknown, the planner first queries the engine for it.
//!
//! [`crate::load_order`] decides which engine loads next.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::load_order::LoadTarget;
use crate::load_order::ModelNeeds;
use crate::load_order::next_loads;
use bergamotlane_coordination::clock::ClockTime;

/// Time for which a load of weights is assumed to occupy an engine, in milliseconds.
const LOAD_TIME_MS: u64 = 910;

/// Backoff after an engine gave no clear answer, in milliseconds; an order may still be carried
/// out meanwhile.
const UNCLEAR_BACKOFF_MS: u64 = 1_200;

/// Backoff after an engine refused an order, in milliseconds.
const REFUSED_BACKOFF_MS: u64 = 400;

/// Pause of all orders after an engine reported a higher fencing token, which shows that a newer
/// leader gives orders, in milliseconds.
const FENCED_PAUSE_MS: u64 = 60_000;

/// Number of engines for each one that may load at the same time.
const ENGINES_PER_CONCURRENT_LOAD: usize = 5;

/// Smallest limit of engines that may load at the same time, for small fleets.
const MIN_CONCURRENT_LOADS: usize = 2;

/// Model on an engine that is to have the newest weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightTarget {
    /// ID of the engine.
    pub id: String,
    /// Start time of the engine's process, in milliseconds since 1970.
    pub born: u64,
    /// Name of the model.
    pub model: String,
    /// Weight version of the model on the engine.
    pub version: u64,
    /// Whether the engine runs items of the model, which a load would delay.
    pub is_busy: bool,
}

/// Answer of an engine to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The engine accepted the order and loads the weights.
    Taken,
    /// The engine has the ordered version already.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The engine refused the order for another reason.
    Refused,
    /// There was no answer; the order may have been carried out or still be carried out later.
    Unclear,
}

/// Order state that an engine reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderReport {
    /// Whether an order is in progress.
    pub busy: bool,
    /// Number of orders that the engine has accepted since its start.
    pub accepted: u64,
    /// Weight version by model.
    pub models: BTreeMap<String, u64>,
}

/// Request that the caller should send to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WeightStep {
    /// Order a weight version.
    Order {
        /// ID of the engine.
        id: String,
        /// Start time of the engine's process.
        born: u64,
        /// Name of the model.
        model: String,
        /// Weight version to load.
        version: u64,
        /// Number of orders that the engine must have accepted before.
        expect: u64,
    },
    /// Query the order state of an engine.
    Inspect {
        /// ID of the engine.
        id: String,
        /// Start time of the engine's process.
        born: u64,
    },
}

/// Known state of an engine's orders.
#[derive(Debug, Default)]
struct OrderState {
    born: u64,
    /// Number of orders that the engine has accepted, if known.
    accepted: Option<u64>,
    /// Whether the answer to a step is outstanding.
    is_pending: bool,
    loading_until: ClockTime,
    loading_model: String,
    backoff_until: ClockTime,
}

impl OrderState {
    /// Returns whether the engine loads weights or has an outstanding step.
    fn is_occupied(&self, now: ClockTime) -> bool {
        self.is_pending || now < self.loading_until
    }
}

/// Planner of the orders to all engines.
#[derive(Debug, Default)]
pub struct WeightPlanner {
    engines: HashMap<String, OrderState>,
    needs: ModelNeeds,
    fenced_until: ClockTime,
}

impl WeightPlanner {
    /// Returns the name of the model whose weights an engine is loading, if it is.
    pub fn loading(&self, now: ClockTime, id: &str) -> Option<&str> {
        let state = self.engines.get(id)?;
        (now < state.loading_until).then_some(state.loading_model.as_str())
    }

    /// Returns the next steps, within the limit of engines that may load at the same time.
    ///
    /// By model, `newest` holds the newest weight version, and `oldest` the oldest version that
    /// all open jobs accept. The caller must record the answer to each step.
    pub fn next_steps(
        &mut self,
        now: ClockTime,
        targets: &[WeightTarget],
        newest: &BTreeMap<String, u64>,
        oldest: &BTreeMap<String, u64>,
    ) -> Vec<WeightStep> {
        self.needs.update(newest, oldest);
        if now < self.fenced_until {
            return Vec::new();
        }
        self.sync_engines(targets);
        let share =
            (self.engines.len() + ENGINES_PER_CONCURRENT_LOAD / 2) / ENGINES_PER_CONCURRENT_LOAD;
        let limit = MIN_CONCURRENT_LOADS.max(share);
        let states = self.engines.values();
        let busy = states.filter(|it| it.is_occupied(now)).count();
        if busy >= limit {
            return Vec::new();
        }
        let loads = self.load_targets(now, targets, newest);
        let due = next_loads(&loads, &self.needs, self.engines.len(), limit - busy);
        due.into_iter()
            .filter_map(|it| self.start_step(&targets[it], newest))
            .collect()
    }

    /// Removes engines that are no longer targets, and resets those that were restarted.
    fn sync_engines(&mut self, targets: &[WeightTarget]) {
        let mut ids: HashSet<&str> = HashSet::new();
        for engine in targets.chunk_by(|left, right| left.id == right.id) {
            let Some(target) = engine.first() else {
                continue;
            };
            ids.insert(&target.id);
            match self.engines.get(&target.id) {
                Some(state) if state.born == target.born => continue,
                _ => {}
            }
            let state = OrderState {
                born: target.born,
                ..OrderState::default()
            };
            self.engines.insert(target.id.clone(), state);
        }
        if self.engines.len() > ids.len() {
            self.engines.retain(|id, _| ids.contains(id.as_str()));
        }
    }

    /// Describes the targets for the choice of the next loads.
    fn load_targets<'a>(
        &self,
        now: ClockTime,
        targets: &'a [WeightTarget],
        newest: &BTreeMap<String, u64>,
    ) -> Vec<LoadTarget<'a>> {
        let mut loads = Vec::with_capacity(targets.len());
        for engine in targets.chunk_by(|left, right| left.id == right.id) {
            let state = engine.first().and_then(|it| self.engines.get(&it.id));
            let occupied = state.is_some_and(|it| it.is_occupied(now));
            let held = state.is_some_and(|it| now < it.backoff_until);
            for target in engine {
                let newest = newest.get(&target.model).copied().unwrap_or_default();
                loads.push(LoadTarget {
                    id: &target.id,
                    model: &target.model,
                    version: target.version,
                    newest: newest.max(target.version),
                    is_busy: target.is_busy,
                    is_loading: occupied
                        && state.is_some_and(|it| it.loading_model == target.model),
                    can_load: !occupied && !held,
                });
            }
        }
        loads
    }

    /// Returns the step that brings a target closer to the newest version, and marks it as
    /// outstanding.
    fn start_step(
        &mut self,
        target: &WeightTarget,
        newest: &BTreeMap<String, u64>,
    ) -> Option<WeightStep> {
        let state = self.engines.get_mut(&target.id)?;
        state.is_pending = true;
        target.model.clone_into(&mut state.loading_model);
        let (id, born) = (target.id.clone(), target.born);
        Some(match state.accepted {
            Some(expect) => WeightStep::Order {
                id,
                born,
                model: target.model.clone(),
                version: *newest.get(&target.model)?,
                expect,
            },
            None => WeightStep::Inspect { id, born },
        })
    }

    fn state(&mut self, id: &str, born: u64) -> Option<&mut OrderState> {
        self.engines.get_mut(id).filter(|it| it.born == born)
    }

    /// Records an engine's answer to an order. It is ignored if the engine was restarted since.
    pub fn record_answer(&mut self, now: ClockTime, id: &str, born: u64, answer: OrderAnswer) {
        let Some(state) = self.state(id, born) else {
            return;
        };
        state.is_pending = false;
        match answer {
            OrderAnswer::Taken => {
                state.accepted = state.accepted.map(|it| it + 1);
                state.loading_until = now + LOAD_TIME_MS;
            }
            OrderAnswer::Holds => {}
            OrderAnswer::Conflict => {
                state.accepted = None;
                state.backoff_until = now + REFUSED_BACKOFF_MS;
            }
            OrderAnswer::Refused => state.backoff_until = now + REFUSED_BACKOFF_MS,
            OrderAnswer::Unclear => {
                state.accepted = None;
                state.backoff_until = now + UNCLEAR_BACKOFF_MS;
            }
            OrderAnswer::Fenced => self.fenced_until = now + FENCED_PAUSE_MS,
        }
    }

    /// Records that a step was not carried out, since none may be sent to the engine before `until`.
    /// It is ignored if the engine was restarted since.
    pub fn hold(&mut self, id: &str, born: u64, until: ClockTime) {
        if let Some(state) = self.state(id, born) {
            state.is_pending = false;
            state.backoff_until = until;
        }
    }

    /// Records an engine's order state, or `None` if it did not answer. It is ignored if the engine
    /// was restarted since.
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
        state.is_pending = false;
        match report {
            Some(report) if report.busy => {
                state.loading_until = now + LOAD_TIME_MS / 2;
                state.accepted = Some(report.accepted);
            }
            Some(report) => state.accepted = Some(report.accepted),
            None => state.backoff_until = now + UNCLEAR_BACKOFF_MS,
        }
    }
}
