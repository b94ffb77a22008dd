//! Orders that bring engines to the newest weights, a few at a time.
//!
//! An engine accepts an order only at the count of orders that the order names, so one that is
//! carried out late can't undo a newer one. Where the count is unknown, the engine is asked.
//!
//! Engines can load only so fast. Where they serve several models, each engine is kept up to
//! date for one of them, so that the engines with fresh weights differ from model to model and
//! all of them have work.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;

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

/// Plans the orders.
#[derive(Debug, Default)]
pub struct WeightPlanner {
    engines: HashMap<String, OrderState>,
    homes: ModelHomes,
    fenced_until: ClockTime,
}

/// Which model each engine is kept up to date for.
#[derive(Debug, Default)]
struct ModelHomes {
    models: BTreeMap<String, String>,
}

impl ModelHomes {
    /// Shares the engines out anew: those that have a model keep it while the shares differ by
    /// one at most.
    fn update(&mut self, targets: &[WeightTarget], named: &BTreeMap<String, u64>) {
        let models: BTreeSet<&str> = targets.iter().map(|it| it.model.as_str()).collect();
        if models.len() < 2 {
            self.models.clear();
            return;
        }
        let mut lags: BTreeMap<&str, BTreeMap<&str, u64>> = BTreeMap::new();
        for target in targets {
            let newest = named.get(&target.model).copied().unwrap_or_default();
            let lag = newest.saturating_sub(target.version);
            let own = lags.entry(&target.id).or_default();
            own.insert(&target.model, lag);
        }
        self.models.retain(|id, model| {
            lags.get(id.as_str())
                .is_some_and(|own| own.contains_key(model.as_str()))
        });
        let quota = lags.len().div_ceil(models.len());
        for (id, own) in &lags {
            if self.models.contains_key(*id) {
                continue;
            }
            let rank = |model: &str| (self.count(model) >= quota, own[model], self.count(model));
            if let Some(model) = own.keys().min_by_key(|it| rank(it)) {
                self.models.insert((*id).to_owned(), (*model).to_owned());
            }
        }
        self.balance(&models, &lags);
    }

    fn count(&self, model: &str) -> usize {
        self.models.values().filter(|it| *it == model).count()
    }

    fn balance(&mut self, models: &BTreeSet<&str>, lags: &BTreeMap<&str, BTreeMap<&str, u64>>) {
        for _ in 0..lags.len() {
            let most = models.iter().max_by_key(|it| self.count(it));
            let least = models.iter().min_by_key(|it| self.count(it));
            let (Some(most), Some(least)) = (most, least) else {
                return;
            };
            if self.count(most) <= self.count(least) + 1 {
                return;
            }
            let candidates = self.models.iter().filter(|(_, model)| model == most);
            let moved = candidates
                .filter_map(|(id, _)| Some((lags.get(id.as_str())?.get(least)?, id)))
                .min()
                .map(|(_, id)| id.clone());
            let Some(id) = moved else {
                return;
            };
            self.models.insert(id, (*least).to_owned());
        }
    }

    fn allows(&self, target: &WeightTarget) -> bool {
        let home = self.models.get(&target.id);
        home.is_none_or(|it| *it == target.model)
    }
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
        if now < self.fenced_until {
            return Vec::new();
        }
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
        self.homes.update(targets, named);
        let share = (self.engines.len() + ENGINES_PER_LOAD / 2) / ENGINES_PER_LOAD;
        let limit = LEAST_LOADS.max(share);
        let states = self.engines.values();
        let busy = states
            .filter(|it| it.asked || now < it.loading_until)
            .count();
        let mut room = limit.saturating_sub(busy);
        let mut behind: Vec<&WeightTarget> = targets
            .iter()
            .filter(|it| self.homes.allows(it))
            .filter(|it| {
                named
                    .get(&it.model)
                    .is_some_and(|newest| it.version < *newest)
            })
            .collect();
        let is_usable = |it: &WeightTarget| least.get(&it.model).is_none_or(|v| it.version >= *v);
        behind.sort_by_key(|it| (is_usable(it), it.version));
        let mut steps = Vec::new();
        for target in behind {
            if room == 0 {
                break;
            }
            let Some(state) = self.engines.get_mut(&target.id) else {
                continue;
            };
            if state.asked || now < state.loading_until || now < state.held_until {
                continue;
            }
            state.asked = true;
            target.model.clone_into(&mut state.loading_model);
            room -= 1;
            steps.push(match state.accepted {
                Some(expect) => WeightStep::Order {
                    id: target.id.clone(),
                    born: target.born,
                    model: target.model.clone(),
                    version: named[&target.model],
                    expect,
                },
                None => WeightStep::Inspect {
                    id: target.id.clone(),
                    born: target.born,
                },
            });
        }
        steps
    }

    fn state(&mut self, id: &str, born: u64) -> Option<&mut OrderState> {
        self.engines.get_mut(id).filter(|it| it.born == born)
    }

    /// Takes an answer to an order.
    pub fn ordered(&mut self, now: ClockTime, id: &str, born: u64, answer: OrderAnswer) {
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
    pub fn inspected(&mut self, now: ClockTime, id: &str, born: u64, report: Option<&OrderReport>) {
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
