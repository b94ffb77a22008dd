//! Scheduler that assigns the items of batch jobs to engines.
//!
//! Items of all jobs start in the order of their latest start times, see [`crate::order`], each at
//! the engine that is expected to complete it first. Runs on an engine that has become much slower
//! than the others are moved while faster engines have free slots. An engine that fails gets no
//! runs for exponentially growing pauses (circuit breaker).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use crate::closed_texts::ClosedTexts;
use crate::engine_load::EngineLoad;
use crate::jobs::ItemFault;
use crate::jobs::ItemResult;
use crate::order::ItemRank;
use crate::order::latest_start;
use crate::order::start_order;
use crate::placement::PlacementQuery;
use crate::placement::choose_engine;
use crate::placement::typical_pace_ms;
use crate::work::EngineSlot;
use crate::work::JobConstraints;
use crate::work::PartialText;
use crate::work::RunEnd;
use crate::work::RunKey;
use crate::work::RunStart;
use bergamotlane_coordination::clock::ClockTime;

/// Ratio of an engine's pace to the median from which on the engine counts as slow.
const SLOW_FACTOR: f64 = 2.2;

/// Age from which a run may be moved to another engine, in milliseconds.
const MIN_MOVE_AGE_MS: u64 = 400;

/// Items of a job, all by their index in the submission.
#[derive(Debug)]
struct JobQueue {
    constraints: JobConstraints,
    /// Group of each item.
    groups: Vec<u32>,
    /// Number of tokens that each item is expected to need.
    expected_tokens: Vec<u64>,
    /// Items that wait for an engine, in the order in which they should start.
    waiting: VecDeque<u32>,
    /// Texts from which the next runs of items resume.
    partials: HashMap<u32, PartialText>,
    /// Ends of items' streams by a close alone.
    closed: ClosedTexts,
    /// Number of failures of each item, as engines reported them.
    failures: HashMap<u32, u32>,
    /// ID of the engine that last got an item of each group.
    group_engine: HashMap<u32, String>,
}

#[derive(Debug)]
struct ActiveRun {
    job: String,
    item: u32,
    engine: String,
    started: ClockTime,
    /// Whether the scheduler asked for the run to be stopped.
    stopping: bool,
}

impl JobQueue {
    /// Returns the latest start time of the first waiting item.
    fn next_start(&self) -> Option<ClockTime> {
        let item = *self.waiting.front()?;
        Some(latest_start(
            self.constraints.due,
            self.expected_tokens[item as usize],
        ))
    }
}

/// Scheduler of all open batch jobs.
#[derive(Debug, Default)]
pub struct ItemScheduler {
    jobs: BTreeMap<String, JobQueue>,
    runs: BTreeMap<RunKey, ActiveRun>,
    loads: HashMap<String, EngineLoad>,
    next_run: u64,
}

impl ItemScheduler {
    /// Adds a job, unless it is known. `groups` holds the group number of each item of the
    /// submission, and `open` the items that still have to run.
    pub fn admit(
        &mut self,
        id: &str,
        constraints: JobConstraints,
        groups: Vec<u32>,
        open: Vec<ItemRank>,
    ) {
        let mut expected_tokens = vec![0; groups.len()];
        for rank in &open {
            expected_tokens[rank.item as usize] = rank.expected_tokens;
        }
        let queue = JobQueue {
            constraints,
            groups,
            expected_tokens,
            waiting: start_order(open).into(),
            partials: HashMap::new(),
            closed: ClosedTexts::default(),
            failures: HashMap::new(),
            group_engine: HashMap::new(),
        };
        self.jobs.entry(id.to_owned()).or_insert(queue);
    }

    /// Sets the text from which the next run of an item resumes, if the weights of its engine allow
    /// that.
    pub fn resume(&mut self, job: &str, item: u32, text: PartialText) {
        if let Some(queue) = self.jobs.get_mut(job) {
            queue.partials.insert(item, text);
        }
    }

    /// Makes an item wait for a run again, ahead of the others of its job, since its text is of no
    /// use.
    pub fn requeue(&mut self, job: &str, item: u32) {
        if let Some(queue) = self.jobs.get_mut(job) {
            queue.waiting.push_front(item);
        }
    }

    /// Returns whether the job was added and not dropped since.
    pub fn contains(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Returns the constraints of a job that was added and not dropped since.
    pub fn constraints(&self, job: &str) -> Option<&JobConstraints> {
        self.jobs.get(job).map(|it| &it.constraints)
    }

    /// Replaces the constraints on the later runs of a job; runs in progress continue.
    pub fn set_constraints(&mut self, job: &str, constraints: JobConstraints) {
        let Some(queue) = self.jobs.get_mut(job) else {
            return;
        };
        if queue.constraints.service != constraints.service {
            queue.group_engine.clear();
        }
        queue.constraints = constraints;
    }

    /// Starts no more runs of a job until its constraints are replaced; runs in progress continue.
    pub fn hold(&mut self, job: &str) {
        if let Some(queue) = self.jobs.get_mut(job) {
            queue.constraints.service.clear();
            queue.group_engine.clear();
        }
    }

    /// Returns the IDs and constraints of all jobs, in the order of the IDs.
    pub fn jobs(&self) -> impl Iterator<Item = (&String, &JobConstraints)> {
        self.jobs.iter().map(|(id, queue)| (id, &queue.constraints))
    }

    /// Returns the number of runs in progress on an engine.
    pub fn running(&self, engine: &str) -> u32 {
        self.loads.get(engine).map_or(0, |it| it.running)
    }

    /// Returns the pairs of engine and model for which runs are in progress.
    pub fn busy_models(&self) -> HashSet<(&str, &str)> {
        let runs = self.runs.values();
        runs.filter_map(|run| {
            let queue = self.jobs.get(&run.job)?;
            Some((run.engine.as_str(), queue.constraints.model.as_str()))
        })
        .collect()
    }

    /// Returns the number of items that wait for an engine.
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(|it| it.waiting.len()).sum()
    }

    /// Returns the number of items of a job that wait for an engine.
    pub fn waiting_of(&self, job: &str) -> usize {
        self.jobs.get(job).map_or(0, |it| it.waiting.len())
    }

    /// Removes a job and returns its runs, which the caller must stop.
    pub fn drop_job(&mut self, job: &str) -> Vec<RunKey> {
        self.jobs.remove(job);
        let runs = self.runs.iter().filter(|(_, run)| run.job == job);
        let keys: Vec<RunKey> = runs.map(|(key, _)| *key).collect();
        for key in &keys {
            self.remove_run(*key);
        }
        keys
    }

    /// Removes all jobs, runs and engine loads, for example when leadership ends. Keys of earlier
    /// runs are not used again.
    pub fn clear(&mut self) {
        *self = Self {
            next_run: self.next_run,
            ..Self::default()
        };
    }

    /// Returns a new key, for a text that needs no run.
    pub fn new_run_key(&mut self) -> RunKey {
        self.next_run += 1;
        RunKey(self.next_run)
    }

    /// Gives up the items of jobs that are past their time to live. Returns their results, and the
    /// runs that the caller must stop.
    pub fn expire(&mut self, now: ClockTime) -> (Vec<(String, ItemResult)>, Vec<RunKey>) {
        let mut results = Vec::new();
        let mut stopped = Vec::new();
        for (id, queue) in &mut self.jobs {
            if now < queue.constraints.expires {
                continue;
            }
            let items: Vec<u32> = queue.waiting.drain(..).collect();
            results.extend(
                items
                    .into_iter()
                    .map(|it| (id.clone(), ItemResult::terminated(it))),
            );
            for (key, run) in self.runs.iter().filter(|(_, run)| run.job == *id) {
                results.push((id.clone(), ItemResult::terminated(run.item)));
                stopped.push(*key);
            }
        }
        for key in &stopped {
            self.remove_run(*key);
        }
        (results, stopped)
    }

    /// Assigns waiting items to engines and returns the runs to start.
    pub fn assign(&mut self, now: ClockTime, engines: &[EngineSlot]) -> Vec<RunStart> {
        let mut starts = Vec::new();
        for load in self.loads.values_mut() {
            load.used_permits = 0;
        }
        let typical_pace_ms = typical_pace_ms(&self.loads, engines);
        // Jobs by the latest start time of their next item.
        let mut next_starts: BTreeSet<(ClockTime, String)> = self
            .jobs
            .iter()
            .filter_map(|(id, queue)| Some((queue.next_start()?, id.clone())))
            .collect();
        while let Some((_, id)) = next_starts.pop_first() {
            // A job that finds no engine with a free slot waits for the next call.
            let Some(start) = self.start_next(now, &id, engines, typical_pace_ms) else {
                continue;
            };
            starts.push(start);
            if let Some(next) = self.jobs.get(&id).and_then(JobQueue::next_start) {
                next_starts.insert((next, id));
            }
        }
        starts
    }

    /// Starts the next item of a job if an engine has a free slot for it.
    fn start_next(
        &mut self,
        now: ClockTime,
        id: &str,
        engines: &[EngineSlot],
        typical_pace_ms: Option<f64>,
    ) -> Option<RunStart> {
        let queue = self.jobs.get_mut(id)?;
        let item = *queue.waiting.front()?;
        let group = queue.groups[item as usize];
        let query = PlacementQuery {
            constraints: &queue.constraints,
            partial: queue.partials.get(&item),
            expected_tokens: queue.expected_tokens[item as usize],
            preferred: queue.group_engine.get(&group).map(String::as_str),
            typical_pace_ms,
        };
        let engine = choose_engine(&mut self.loads, now, engines, query)?;
        queue.waiting.pop_front();
        let version = engine.models.get(&queue.constraints.model);
        let version = version.copied().unwrap_or_default();
        let partial = queue.partials.remove(&item).unwrap_or_default();
        let can_resume = partial.can_resume(&queue.constraints, version, engine.build.as_ref());
        let discarded_events = match can_resume {
            true => 0,
            false => partial.events.len() as u32,
        };
        let partial = match can_resume {
            true => partial,
            false => PartialText::default(),
        };
        let partial = PartialText {
            build: engine.build.clone(),
            ..partial
        };
        queue.group_engine.insert(group, engine.id.clone());
        self.next_run += 1;
        let run = RunKey(self.next_run);
        let load = self.loads.entry(engine.id.clone()).or_default();
        load.running += 1;
        load.used_permits += 1;
        let active = ActiveRun {
            job: id.to_owned(),
            item,
            engine: engine.id.clone(),
            started: now,
            stopping: false,
        };
        self.runs.insert(run, active);
        Some(RunStart {
            run,
            job: id.to_owned(),
            item,
            engine: engine.id.clone(),
            version,
            partial,
            discarded_events,
        })
    }

    /// Removes a run and frees its slot on the engine.
    fn remove_run(&mut self, key: RunKey) -> Option<ActiveRun> {
        let run = self.runs.remove(&key)?;
        if let Some(load) = self.loads.get_mut(&run.engine) {
            load.running = load.running.saturating_sub(1);
        }
        Some(run)
    }

    /// Adds an observed time between two events of a run, in milliseconds, to its engine's pace.
    pub fn observe(&mut self, key: RunKey, pace_ms: f64) {
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        if let Some(load) = self.loads.get_mut(&run.engine) {
            load.observe(pace_ms);
        }
    }

    /// Returns the runs on slow engines that free slots of faster engines could take over. The
    /// caller must stop them; they resume elsewhere. Returns none while fewer than three engines
    /// have had runs.
    pub fn slow_runs(&mut self, now: ClockTime, engines: &[EngineSlot]) -> Vec<RunKey> {
        let Some(typical_ms) = typical_pace_ms(&self.loads, engines) else {
            return Vec::new();
        };
        let is_slow = |id: &str| {
            let pace_ms = self.loads.get(id).and_then(|it| it.pace_ms);
            pace_ms.is_some_and(|it| it > typical_ms * SLOW_FACTOR)
        };
        let mut free_slots: u32 = engines
            .iter()
            .filter(|it| !is_slow(&it.id))
            .map(|it| it.capacity.saturating_sub(self.running(&it.id)))
            .sum();
        let slow_engines: HashSet<String> = engines
            .iter()
            .filter(|it| is_slow(&it.id))
            .map(|it| it.id.clone())
            .collect();
        let mut moved = Vec::new();
        for (key, run) in &mut self.runs {
            let slow = slow_engines.contains(&run.engine);
            let settled = now.since(run.started) >= MIN_MOVE_AGE_MS;
            if slow && settled && !run.stopping && free_slots > 0 {
                run.stopping = true;
                free_slots -= 1;
                moved.push(*key);
            }
        }
        moved
    }

    /// Records the end of a run. Returns the job and result if the item is done; otherwise the item
    /// goes to the front of its job's queue.
    pub fn finish_run(
        &mut self,
        now: ClockTime,
        key: RunKey,
        end: RunEnd,
    ) -> Option<(String, ItemResult)> {
        let run = self.remove_run(key)?;
        if let Some(load) = self.loads.get_mut(&run.engine) {
            load.record_end(now, &end, run.stopping);
        }
        let queue = self.jobs.get_mut(&run.job)?;
        match queue.closed.confirm(run.item, end) {
            RunEnd::Completed(partial) => {
                let constraints = &queue.constraints;
                let fits = partial.fits(constraints.min_version, constraints.single_version);
                if !fits || partial.versions.is_empty() {
                    queue.waiting.push_front(run.item);
                    return None;
                }
                let result = ItemResult::completed(run.item, partial, None);
                return Some((run.job, result));
            }
            RunEnd::Broken(partial) | RunEnd::Closed(partial) => {
                queue.partials.insert(run.item, partial);
            }
            RunEnd::Failed => {
                let failures = queue.failures.entry(run.item).or_default();
                *failures += 1;
                if *failures >= queue.constraints.max_attempts {
                    return Some((run.job, ItemResult::faulty(run.item, ItemFault::Failed)));
                }
            }
            RunEnd::Rejected => {
                return Some((run.job, ItemResult::faulty(run.item, ItemFault::Rejected)));
            }
            RunEnd::Refused | RunEnd::Misdirected | RunEnd::Unreachable => {}
        }
        queue.waiting.push_front(run.item);
        None
    }
}
