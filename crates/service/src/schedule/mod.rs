//! Scheduler that assigns the items of batch jobs to engines.
//!
//! Items of all jobs start in the order of their latest start times, see [`crate::order`], each at
//! the engine that is expected to complete it first. Runs that decide when their job is complete
//! move to engines that complete them sooner, see [`crate::migration`]. An engine that fails gets
//! no runs for exponentially growing pauses (circuit breaker).

mod assign;
mod moves;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::engine_load::EngineLoad;
use crate::item_queue::ItemQueue;
use crate::jobs::ItemFault;
use crate::jobs::ItemResult;
use crate::length_model::LengthModel;
use crate::order::ItemRank;
use crate::software::SoftwareBuild;
use crate::work::JobConstraints;
use crate::work::PartialText;
use crate::work::RunEnd;
use crate::work::RunKey;
use crate::work::RunMark;
use bergamotlane_coordination::clock::ClockTime;

#[derive(Debug)]
struct ActiveRun {
    job: String,
    item: u32,
    engine: String,
    started: ClockTime,
    /// Whether the scheduler asked for the run to be stopped.
    stopping: bool,
    /// Weight versions of the text that the run resumed from, and of the engine.
    versions: Vec<u64>,
    /// Software of the engine, if known.
    build: Option<SoftwareBuild>,
    /// Number of events that the run resumed from.
    resumed_events: u32,
    /// Number of events that the item was expected to have when the run began.
    expected_events: f64,
    /// Latest observed progress.
    mark: Option<RunMark>,
}

impl ActiveRun {
    /// Returns the number of events of the item so far, as last observed.
    fn events(&self) -> u32 {
        self.resumed_events + self.mark.map_or(0, |it| it.events)
    }
}

/// Scheduler of all open batch jobs.
#[derive(Debug, Default)]
pub struct ItemScheduler {
    jobs: BTreeMap<String, ItemQueue>,
    runs: BTreeMap<RunKey, ActiveRun>,
    loads: HashMap<String, EngineLoad>,
    lengths: LengthModel,
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
        let queue = ItemQueue::new(constraints, groups, open);
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
    /// runs are not used again, and learned lengths stay.
    pub fn clear(&mut self) {
        *self = Self {
            next_run: self.next_run,
            lengths: std::mem::take(&mut self.lengths),
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
            queue.planned.clear();
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

    /// Removes a run and frees its slot on the engine.
    fn remove_run(&mut self, key: RunKey) -> Option<ActiveRun> {
        let run = self.runs.remove(&key)?;
        if let Some(load) = self.loads.get_mut(&run.engine) {
            load.running = load.running.saturating_sub(1);
        }
        Some(run)
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
        let end = queue.closed.confirm(run.item, end);
        if matches!(
            end,
            RunEnd::Completed(_) | RunEnd::Failed | RunEnd::Rejected
        ) {
            queue.planned.remove(&run.item);
            queue.partials.remove(&run.item);
        }
        match end {
            RunEnd::Completed(partial) => {
                let constraints = &queue.constraints;
                let events = partial.events.len() as u32;
                let query = queue.length_query(run.item, events);
                self.lengths.record(&constraints.model, query);
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
            // The next run resumes from the same text as this one.
            RunEnd::Refused | RunEnd::Misdirected | RunEnd::Unreachable => {}
        }
        queue.waiting.push_front(run.item);
        None
    }
}
