//! Choice of the runs that move to another engine, where they complete sooner.
//!
//! A step of a trainer lasts as long as its longest item, so that only runs that may decide when
//! their job is complete are worth a move. Those that end latest, measured by the due times of
//! their jobs, come first. If fast engines have no free slot, such a run changes places with a short
//! run that its job does not wait for.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::engine_speed::loaded_event_ms;
use crate::placement::is_usable;
use crate::work::EngineSlot;
use crate::work::JobConstraints;
use crate::work::RunKey;
use crate::work::TextOrigin;
use bergamotlane_coordination::clock::ClockTime;

/// Largest number of moves of an item.
pub const MAX_ITEM_MOVES: usize = 3;

/// Largest number of runs that one call of the planner moves.
pub const MAX_MOVES: usize = 8;

/// Time that a move costs an item, in milliseconds: a stop, a new connection and the prompt.
const MOVE_COST_MS: f64 = 50.0;

/// Least gain of a move, in milliseconds.
const MIN_GAIN_MS: f64 = 150.0;

/// Least gain of a move, as a share of the remaining time of the run: speeds and lengths are only
/// estimated. A run alone on an engine is assumed to be a tenth faster than one of eight, which by
/// itself is no reason to move.
const MIN_GAIN_SHARE: f64 = 0.15;

/// Factor by which a run may last longer than expected.
const LENGTH_ERROR: f64 = 1.4;

/// Share of the time until its job is complete within which a run that makes room must end, although
/// it may be longer than expected.
const DISPLACED_SHARE: f64 = 0.8;

/// Remaining time up to which a run is not worth displacing, since its slot is free soon, in
/// milliseconds.
const SOON_FREE_MS: f64 = 400.0;

/// Run in progress, as far as it matters for moves.
#[derive(Debug, Clone)]
pub(crate) struct MovableRun<'a> {
    pub(crate) key: RunKey,
    pub(crate) job: &'a str,
    pub(crate) item: u32,
    pub(crate) engine: &'a str,
    pub(crate) constraints: &'a JobConstraints,
    pub(crate) origin: TextOrigin<'a>,
    /// Number of events that are expected to come.
    pub(crate) remaining_events: f64,
    /// Time for an event on the run's engine under its load, in milliseconds.
    pub(crate) event_ms: f64,
    /// IDs of the engines that the item was moved off.
    pub(crate) left_engines: &'a [String],
    /// Whether the run is old enough to move, and not stopping.
    pub(crate) is_settled: bool,
}

impl MovableRun<'_> {
    /// Returns the expected time until the run is complete, in milliseconds.
    fn remaining_ms(&self) -> f64 {
        self.remaining_events * self.event_ms
    }

    /// Returns the least gain that a move must have, in milliseconds.
    fn min_gain_ms(&self) -> f64 {
        MIN_GAIN_MS.max(self.remaining_ms() * MIN_GAIN_SHARE)
    }

    fn may_move(&self) -> bool {
        self.is_settled && self.left_engines.len() < MAX_ITEM_MOVES
    }
}

/// Engine to which runs may move.
#[derive(Debug)]
pub(crate) struct MoveTarget<'a> {
    pub(crate) slot: &'a EngineSlot,
    /// Time for an event of a single run, in milliseconds.
    pub(crate) alone_ms: f64,
    /// Number of runs, including those for which a slot is kept.
    pub(crate) runs: u32,
}

impl MoveTarget<'_> {
    fn has_room(&self) -> bool {
        self.runs < self.slot.capacity
    }

    /// Returns the time until a run would be complete that moves to the engine, in milliseconds.
    fn completion_ms(&self, run: &MovableRun<'_>, runs: u32) -> f64 {
        MOVE_COST_MS + run.remaining_events * loaded_event_ms(self.alone_ms, runs)
    }

    /// Returns whether a run may continue its text on the engine.
    fn accepts(&self, run: &MovableRun<'_>) -> bool {
        let id = self.slot.id.as_str();
        if id == run.engine || run.left_engines.iter().any(|it| it == id) {
            return false;
        }
        let version = self.slot.models.get(&run.constraints.model);
        is_usable(self.slot, run.constraints)
            && version.is_some_and(|it| {
                let build = self.slot.build.as_ref();
                run.origin.can_resume(run.constraints, *it, build)
            })
    }
}

/// Move of a run to another engine. The caller must stop the run; its item resumes there.
#[derive(Debug, Clone, PartialEq)]
pub struct RunMove {
    /// Run to stop.
    pub run: RunKey,
    /// ID of the job.
    pub job: String,
    /// Index of the item in its submission.
    pub item: u32,
    /// ID of the engine that the run is on.
    pub from: String,
    /// ID of the engine where the item resumes.
    pub to: String,
    /// Time by which the item is expected to complete sooner, in milliseconds; negative if the run
    /// makes room for another one.
    pub gain_ms: f64,
    /// Number of events that are expected to come.
    pub remaining_events: f64,
    /// Time for an event on the engine that the run is on, in milliseconds.
    pub from_event_ms: f64,
    /// Time for an event on the engine where the item resumes, in milliseconds.
    pub to_event_ms: f64,
}

/// Planner of the moves of one moment.
#[derive(Debug)]
pub(crate) struct MovePlanner<'a> {
    runs: Vec<MovableRun<'a>>,
    /// Engines to which runs may move, the fastest first.
    targets: Vec<MoveTarget<'a>>,
    /// Time until each job can be complete if its runs move to the fastest engines, in milliseconds.
    bounds: BTreeMap<&'a str, f64>,
    /// Indices of the runs on each engine.
    by_engine: HashMap<&'a str, Vec<usize>>,
    /// Models of the items that wait for an engine.
    waiting_models: HashSet<&'a str>,
    moved: HashSet<usize>,
    moves: Vec<RunMove>,
}

impl<'a> MovePlanner<'a> {
    /// Creates a planner. `waiting` holds the job, model and expected events of waiting items.
    pub(crate) fn new(
        runs: Vec<MovableRun<'a>>,
        mut targets: Vec<MoveTarget<'a>>,
        waiting: &[(&'a str, &'a str, f64)],
    ) -> Self {
        targets.sort_by(|a, b| a.alone_ms.total_cmp(&b.alone_ms));
        let mut by_engine: HashMap<&str, Vec<usize>> = HashMap::new();
        for (index, run) in runs.iter().enumerate() {
            by_engine.entry(run.engine).or_default().push(index);
        }
        let mut planner = Self {
            runs,
            targets,
            bounds: BTreeMap::new(),
            by_engine,
            waiting_models: waiting.iter().map(|(_, model, _)| *model).collect(),
            moved: HashSet::new(),
            moves: Vec::new(),
        };
        planner.bounds = planner.job_bounds(waiting);
        planner
    }

    fn job_bounds(&self, waiting: &[(&'a str, &'a str, f64)]) -> BTreeMap<&'a str, f64> {
        let mut fastest: HashMap<&str, f64> = HashMap::new();
        for run in &self.runs {
            if fastest.contains_key(run.job) {
                continue;
            }
            let mut usable = self.targets.iter();
            let first = usable.find(|it| is_usable(it.slot, run.constraints));
            fastest.insert(run.job, first.map_or(f64::INFINITY, |it| it.alone_ms));
        }
        let mut bounds: BTreeMap<&str, f64> = BTreeMap::new();
        for run in &self.runs {
            let moved_ms = MOVE_COST_MS + run.remaining_events * fastest[run.job];
            let bound = bounds.entry(run.job).or_default();
            *bound = bound.max(run.remaining_ms().min(moved_ms));
        }
        for (job, _, events) in waiting {
            if let Some(bound) = bounds.get_mut(job) {
                *bound = bound.max(events * fastest[job]);
            }
        }
        bounds
    }

    /// Returns the moves that let jobs complete sooner.
    pub(crate) fn plan(mut self, now: ClockTime) -> Vec<RunMove> {
        let mut order: Vec<(i64, Reverse<RunKey>, usize)> = Vec::new();
        for (index, run) in self.runs.iter().enumerate() {
            let may_decide = run.remaining_ms() * LENGTH_ERROR >= self.bounds[run.job];
            if run.may_move() && may_decide {
                let end = (now.0 as i64).saturating_add(run.remaining_ms() as i64);
                order.push((end - run.constraints.due.0 as i64, Reverse(run.key), index));
            }
        }
        order.sort_unstable();
        for (_, _, index) in order.into_iter().rev() {
            if self.moves.len() >= MAX_MOVES {
                break;
            }
            if !self.moved.contains(&index) && !self.move_to_free_slot(index) {
                self.exchange(index);
            }
        }
        self.moves
    }

    /// Moves a run to the free slot where it completes first, if that gains enough.
    fn move_to_free_slot(&mut self, index: usize) -> bool {
        let run = &self.runs[index];
        let latest_ms = run.remaining_ms() - run.min_gain_ms();
        let mut best: Option<(f64, usize)> = None;
        for (target_index, target) in self.targets.iter().enumerate() {
            if target.completion_ms(run, 1) > best.map_or(latest_ms, |(it, _)| it) {
                break;
            }
            let completion_ms = target.completion_ms(run, target.runs + 1);
            let is_better = completion_ms <= best.map_or(latest_ms, |(it, _)| it);
            if is_better && target.has_room() && target.accepts(run) {
                best = Some((completion_ms, target_index));
            }
        }
        let Some((_, target)) = best else {
            return false;
        };
        let runs = self.targets[target].runs + 1;
        self.add_move(index, target, runs);
        self.targets[target].runs = runs;
        true
    }

    /// Lets a run change places with a short one on a faster engine without a free slot, if that gains
    /// enough for both moves.
    fn exchange(&mut self, index: usize) {
        let run = &self.runs[index];
        let mut sources = self.targets.iter();
        let Some(source) = sources.position(|it| it.slot.id == run.engine) else {
            return;
        };
        let latest_ms = run.remaining_ms() - run.min_gain_ms() - MOVE_COST_MS;
        let mut pair = None;
        for (target_index, target) in self.targets.iter().enumerate() {
            if target.completion_ms(run, 1) > latest_ms {
                break;
            }
            let gains = target.completion_ms(run, target.runs) <= latest_ms;
            if gains && !target.has_room() && target.accepts(run) {
                pair = self
                    .displaced_run(target, &self.targets[source])
                    .map(|it| (target_index, it));
            }
            if pair.is_some() {
                break;
            }
        }
        if let Some((target, displaced)) = pair
            && self.moves.len() + 2 <= MAX_MOVES
        {
            self.add_move(index, target, self.targets[target].runs);
            self.add_move(displaced, source, self.targets[source].runs);
        }
    }

    /// Returns the run on an engine that can continue at `source` and still ends well before its job
    /// is complete, if any; the one with the least events to come.
    fn displaced_run(&self, engine: &MoveTarget<'_>, source: &MoveTarget<'_>) -> Option<usize> {
        let indices = self.by_engine.get(engine.slot.id.as_str())?;
        let is_contended =
            |run: &MovableRun<'_>| self.waiting_models.contains(run.constraints.model.as_str());
        let displaceable = indices.iter().copied().filter(|index| {
            let run = &self.runs[*index];
            let longest_ms = source.completion_ms(run, source.runs) * LENGTH_ERROR;
            let may_stay = !is_contended(run) && run.remaining_ms() < SOON_FREE_MS;
            run.may_move()
                && !self.moved.contains(index)
                && !may_stay
                && longest_ms <= self.bounds[run.job] * DISPLACED_SHARE
                && source.accepts(run)
        });
        displaceable.min_by(|a, b| {
            let (a, b) = (&self.runs[*a], &self.runs[*b]);
            a.remaining_events.total_cmp(&b.remaining_events)
        })
    }

    fn add_move(&mut self, index: usize, target: usize, runs: u32) {
        let (run, target) = (&self.runs[index], &self.targets[target]);
        self.moves.push(RunMove {
            run: run.key,
            job: run.job.to_owned(),
            item: run.item,
            from: run.engine.to_owned(),
            to: target.slot.id.clone(),
            gain_ms: run.remaining_ms() - target.completion_ms(run, runs),
            remaining_events: run.remaining_events,
            from_event_ms: run.event_ms,
            to_event_ms: loaded_event_ms(target.alone_ms, runs),
        });
        self.moved.insert(index);
    }
}
