//! Which item of which batch job runs on which engine, and when.
//!
//! Items go by the time by which they have to start, whatever their job (`order.rs`). Among the
//! engines that may run an item, one that runs its group is preferred, since it has read the
//! shared prompt; else the one with the least expected time (outstanding runs weighted by the
//! engine's pace). Runs on an engine that has become much slower than the
//! others are moved on while faster engines have room. An engine that fails is held back with
//! growing pauses (circuit breaking).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use bytes::Bytes;

use crate::engine_load::EngineLoad;
use crate::jobs::ItemEnd;
use crate::jobs::ItemResult;
use crate::order::ItemRank;
use crate::order::latest_start;
use crate::order::start_order;
use crate::work::EngineSlot;
use crate::work::JobConstraints;
use crate::work::PartialText;
use crate::work::RunEnd;
use crate::work::RunKey;
use crate::work::RunStart;
use bergamotlane_coordination::clock::ClockTime;

/// Pace against the median from which an engine counts as slow.
const SLOW_FACTOR: f64 = 2.2;

/// Time that a run gets before it may be moved, in milliseconds.
const SETTLED_RUN_MS: u64 = 400;

/// Extra running share that makes up for the lost shared prompt.
const GROUP_BONUS: f64 = 1.0;

#[derive(Debug)]
struct JobQueue {
    terms: JobConstraints,
    groups: Vec<u32>,
    /// Tokens that each item is expected to need.
    expected: Vec<u64>,
    waiting: VecDeque<u32>,
    partials: HashMap<u32, PartialText>,
    failures: HashMap<u32, u32>,
    group_engine: HashMap<u32, String>,
}

#[derive(Debug)]
struct ActiveRun {
    job: String,
    item: u32,
    engine: String,
    started: ClockTime,
    stopping: bool,
}

impl JobQueue {
    /// Returns by when the next waiting item has to start.
    fn head_start(&self) -> Option<ClockTime> {
        let item = *self.waiting.front()?;
        Some(latest_start(self.terms.due, self.expected[item as usize]))
    }
}

/// The scheduler.
#[derive(Debug, Default)]
pub struct ItemScheduler {
    jobs: BTreeMap<String, JobQueue>,
    runs: BTreeMap<RunKey, ActiveRun>,
    loads: HashMap<String, EngineLoad>,
    next_run: u64,
}

impl ItemScheduler {
    /// Takes a job; `groups` names the group of each item, `open` the items still to run.
    pub fn admit(
        &mut self,
        id: &str,
        terms: JobConstraints,
        groups: Vec<u32>,
        open: Vec<ItemRank>,
    ) {
        let mut expected = vec![0; groups.len()];
        for rank in &open {
            expected[rank.item as usize] = rank.expected_tokens;
        }
        let queue = JobQueue {
            terms,
            groups,
            expected,
            waiting: start_order(open).into(),
            partials: HashMap::new(),
            failures: HashMap::new(),
            group_engine: HashMap::new(),
        };
        self.jobs.entry(id.to_owned()).or_insert(queue);
    }

    /// Lets the next run of an item go on from a text, if the engine that it gets allows that.
    pub fn resume(&mut self, job: &str, item: u32, text: PartialText) {
        if let Some(queue) = self.jobs.get_mut(job) {
            queue.partials.insert(item, text);
        }
    }

    /// Returns whether a job is known.
    pub fn contains(&self, job: &str) -> bool {
        self.jobs.contains_key(job)
    }

    /// Sends a job's later runs to another service.
    pub fn set_service(&mut self, job: &str, service: &str) {
        if let Some(queue) = self.jobs.get_mut(job)
            && queue.terms.service != service
        {
            service.clone_into(&mut queue.terms.service);
            queue.group_engine.clear();
        }
    }

    /// Returns the jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&String, &JobConstraints)> {
        self.jobs.iter().map(|(id, queue)| (id, &queue.terms))
    }

    /// Returns how many runs an engine has.
    pub fn running(&self, engine: &str) -> u32 {
        self.loads.get(engine).map_or(0, |it| it.running)
    }

    /// Returns the engines that run items, each with the model of a run.
    pub fn busy_models(&self) -> HashSet<(&str, &str)> {
        let runs = self.runs.values();
        runs.filter_map(|run| {
            let queue = self.jobs.get(&run.job)?;
            Some((run.engine.as_str(), queue.terms.model.as_str()))
        })
        .collect()
    }

    /// Returns how many items wait for an engine.
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(|it| it.waiting.len()).sum()
    }

    /// Returns how many items of a job wait for an engine.
    pub fn waiting_of(&self, job: &str) -> usize {
        self.jobs.get(job).map_or(0, |it| it.waiting.len())
    }

    /// Drops a job and returns its runs, which must be stopped.
    pub fn drop_job(&mut self, job: &str) -> Vec<RunKey> {
        self.jobs.remove(job);
        let runs = self.runs.iter().filter(|(_, run)| run.job == job);
        let keys: Vec<RunKey> = runs.map(|(key, _)| *key).collect();
        for key in &keys {
            self.remove_run(*key);
        }
        keys
    }

    /// Drops everything, as when the lead is lost.
    pub fn clear(&mut self) {
        *self = Self {
            next_run: self.next_run,
            ..Self::default()
        };
    }

    /// Removes items that are past their time to live, with the runs to stop.
    pub fn expire(&mut self, now: ClockTime) -> (Vec<(String, ItemResult)>, Vec<RunKey>) {
        let mut results = Vec::new();
        let mut stopped = Vec::new();
        for (id, queue) in &mut self.jobs {
            if now < queue.terms.expires {
                continue;
            }
            let items: Vec<u32> = queue.waiting.drain(..).collect();
            results.extend(items.into_iter().map(|it| (id.clone(), given_up(it))));
            for (key, run) in self.runs.iter().filter(|(_, run)| run.job == *id) {
                results.push((id.clone(), given_up(run.item)));
                stopped.push(*key);
            }
        }
        for key in &stopped {
            self.remove_run(*key);
        }
        (results, stopped)
    }

    /// Assigns waiting items to engines.
    pub fn assign(&mut self, now: ClockTime, engines: &[EngineSlot]) -> Vec<RunStart> {
        let mut starts = Vec::new();
        // The next item of each job by the time by which it has to start.
        let mut heads: BTreeSet<(ClockTime, String)> = self
            .jobs
            .iter()
            .filter_map(|(id, queue)| Some((queue.head_start()?, id.clone())))
            .collect();
        while let Some((_, id)) = heads.pop_first() {
            // A job none of whose engines has room waits for the next round.
            let Some(start) = self.start_head(now, &id, engines) else {
                continue;
            };
            starts.push(start);
            if let Some(next) = self.jobs.get(&id).and_then(JobQueue::head_start) {
                heads.insert((next, id));
            }
        }
        starts
    }

    /// Starts the next item of a job if an engine has room for it.
    fn start_head(&mut self, now: ClockTime, id: &str, engines: &[EngineSlot]) -> Option<RunStart> {
        let queue = self.jobs.get_mut(id)?;
        let item = *queue.waiting.front()?;
        let group = queue.groups[item as usize];
        let preferred = queue.group_engine.get(&group).map(String::as_str);
        let engine = choose(&mut self.loads, now, &queue.terms, engines, preferred)?;
        queue.waiting.pop_front();
        let version = engine.models.get(&queue.terms.model);
        let version = version.copied().unwrap_or_default();
        let partial = queue.partials.remove(&item).unwrap_or_default();
        let partial = match partial.fits(&queue.terms, version) {
            true => partial,
            false => PartialText::default(),
        };
        queue.group_engine.insert(group, engine.id.clone());
        self.next_run += 1;
        let run = RunKey(self.next_run);
        let load = self.loads.entry(engine.id.clone()).or_default();
        load.running += 1;
        load.starts.push_back(now);
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
        })
    }

    fn remove_run(&mut self, key: RunKey) -> Option<ActiveRun> {
        let run = self.runs.remove(&key)?;
        if let Some(load) = self.loads.get_mut(&run.engine) {
            load.running = load.running.saturating_sub(1);
        }
        Some(run)
    }

    /// Notes how fast a run gets its events.
    pub fn observe(&mut self, key: RunKey, pace_ms: f64) {
        let Some(run) = self.runs.get(&key) else {
            return;
        };
        if let Some(load) = self.loads.get_mut(&run.engine) {
            load.observe(pace_ms);
        }
    }

    /// Returns the runs on slow engines that a faster one with room could take over.
    pub fn slow_runs(&mut self, now: ClockTime, engines: &[EngineSlot]) -> Vec<RunKey> {
        let mut paces: Vec<f64> = engines
            .iter()
            .filter_map(|it| self.loads.get(&it.id))
            .map(|it| it.pace_ms)
            .collect();
        if paces.len() < 3 {
            return Vec::new();
        }
        paces.sort_by(f64::total_cmp);
        let limit = paces[paces.len() / 2] * SLOW_FACTOR;
        let is_slow = |id: &str| self.loads.get(id).is_some_and(|it| it.pace_ms > limit);
        let mut room: u32 = engines
            .iter()
            .filter(|it| !is_slow(&it.id))
            .map(|it| it.capacity.saturating_sub(self.running(&it.id)))
            .sum();
        let mut moved = Vec::new();
        for (key, run) in &mut self.runs {
            let slow = self
                .loads
                .get(&run.engine)
                .is_some_and(|it| it.pace_ms > limit);
            let settled = now.since(run.started) >= SETTLED_RUN_MS;
            if slow && settled && !run.stopping && room > 0 {
                run.stopping = true;
                room -= 1;
                moved.push(*key);
            }
        }
        moved
    }

    /// Takes the end of a run; returns the result to list, if the item is done with.
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
        match end {
            RunEnd::Completed(partial) => {
                let fresh = partial
                    .versions
                    .iter()
                    .all(|it| *it >= queue.terms.min_version);
                let single = !queue.terms.single_version || partial.versions.len() == 1;
                if !fresh || !single || partial.versions.is_empty() {
                    queue.waiting.push_front(run.item);
                    return None;
                }
                let result = ItemResult {
                    item: run.item,
                    end: ItemEnd::Completed,
                    text: partial.text(),
                    versions: partial.versions,
                };
                return Some((run.job, result));
            }
            RunEnd::Broken(partial) => {
                queue.partials.insert(run.item, partial);
            }
            RunEnd::Failed => {
                let failures = queue.failures.entry(run.item).or_default();
                *failures += 1;
                if *failures >= queue.terms.max_attempts {
                    return Some((run.job, given_up(run.item)));
                }
            }
            RunEnd::Rejected => return Some((run.job, given_up(run.item))),
            RunEnd::Refused | RunEnd::Misdirected | RunEnd::Unreachable => {}
        }
        queue.waiting.push_front(run.item);
        None
    }
}

fn given_up(item: u32) -> ItemResult {
    ItemResult {
        item,
        end: ItemEnd::Terminated,
        text: Bytes::new(),
        versions: Vec::new(),
    }
}

/// Returns the engine that an item of a job should run on, if one has room.
fn choose<'a>(
    loads: &mut HashMap<String, EngineLoad>,
    now: ClockTime,
    terms: &JobConstraints,
    engines: &'a [EngineSlot],
    preferred: Option<&str>,
) -> Option<&'a EngineSlot> {
    let mut best: Option<(f64, &EngineSlot)> = None;
    for engine in engines {
        if engine.service != terms.service {
            continue;
        }
        let version = engine.models.get(&terms.model);
        if version.is_none_or(|it| *it < terms.min_version) {
            continue;
        }
        let load = loads.entry(engine.id.clone()).or_default();
        if !load.has_room(now, engine) {
            continue;
        }
        let share = f64::from(load.running + 1) / f64::from(engine.capacity.max(1));
        let bonus = match preferred == Some(engine.id.as_str()) {
            true => GROUP_BONUS,
            false => 0.0,
        };
        let cost = (1.0 + share - bonus) * load.pace_ms;
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, engine));
        }
    }
    best.map(|(_, engine)| engine)
}
