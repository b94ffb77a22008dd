//! Queue of reward calls: the requests that score the complete texts of items.
//!
//! Calls share the targets of a service with callers' requests. A service gets no more calls at a
//! time than its slots allow (bulkhead), and the items that are due first go first (earliest
//! deadline first). A call that fails without a server error is made again after an exponential
//! backoff, since it may be repeated; too many server errors give the item up.

use std::collections::BTreeMap;
use std::collections::HashMap;

use crate::jobs::ItemResult;
use crate::texts::TextKey;
use crate::work::PartialText;
use bergamotlane_coordination::clock::ClockTime;

/// First backoff after a failed call, in milliseconds; each further failure doubles it.
const FIRST_BACKOFF_MS: u64 = 60;

/// Longest backoff after a failed call, in milliseconds.
const MAX_BACKOFF_MS: u64 = 960;

/// ID of a task, unique within a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ScoreKey(pub u64);

/// What the plan in force sets for the reward calls of an item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScoreTerms {
    /// Deadline for all results of the job.
    pub due: ClockTime,
    /// Time from which the item may be given up.
    pub expires: ClockTime,
    /// Number of server errors after which the item is given up.
    pub max_errors: u32,
    /// Name of the service that scores the item, or `None` while no route leads to one.
    pub service: Option<String>,
}

/// Item with a complete text that needs a score.
#[derive(Debug, Clone)]
pub struct ScoreTask {
    /// ID of the job.
    pub job: String,
    /// Index of the item in its submission.
    pub item: u32,
    /// Terms of its reward calls.
    pub terms: ScoreTerms,
    /// Complete text.
    pub text: PartialText,
    /// Identity under which the text is replicated.
    pub text_key: TextKey,
    /// ID of the run that generated the text, unique across leaders.
    pub run: u64,
    /// Number of events of the text that were sent to the other voters.
    pub replicated_events: u32,
}

/// Outcome of a reward call.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ScoreEnd {
    /// Score, if the call succeeded.
    pub score: Option<String>,
    /// Number of server errors that the call met.
    pub server_errors: u32,
}

#[derive(Debug)]
struct QueuedTask {
    task: ScoreTask,
    added_at: ClockTime,
    is_calling: bool,
    /// Whether the other voters know that the text is complete.
    is_replicated: bool,
    retry_at: ClockTime,
    failures: u32,
    server_errors: u32,
}

/// Items that wait for a score, and calls in progress.
#[derive(Debug, Default)]
pub struct ScoreQueue {
    tasks: BTreeMap<ScoreKey, QueuedTask>,
    next_key: u64,
}

impl ScoreQueue {
    /// Adds an item and returns its key.
    pub fn add(&mut self, now: ClockTime, task: ScoreTask) -> ScoreKey {
        self.next_key += 1;
        let key = ScoreKey(self.next_key);
        let queued = QueuedTask {
            task,
            added_at: now,
            is_calling: false,
            is_replicated: false,
            retry_at: now,
            failures: 0,
            server_errors: 0,
        };
        self.tasks.insert(key, queued);
        key
    }

    /// Returns the item with a key, unless it is done.
    pub fn get(&self, key: ScoreKey) -> Option<&ScoreTask> {
        self.tasks.get(&key).map(|it| &it.task)
    }

    /// Returns the number of events of an item's text that were sent to the other voters.
    pub fn replicated_events(&self, key: ScoreKey) -> u32 {
        self.tasks.get(&key).map_or(0, |it| match it.is_replicated {
            true => it.task.text.events.len() as u32,
            false => it.task.replicated_events,
        })
    }

    /// Returns all items, in the order in which they were added.
    pub fn tasks(&self) -> impl Iterator<Item = &ScoreTask> {
        self.tasks.values().map(|it| &it.task)
    }

    /// Returns whether no item waits for a score.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the number of items that wait for a call, and the number of calls in progress.
    pub fn counts(&self) -> (usize, usize) {
        let calling = self.tasks.values().filter(|it| it.is_calling).count();
        (self.tasks.len() - calling, calling)
    }

    /// Returns the number of further server errors that an item may meet.
    pub fn errors_left(&self, key: ScoreKey) -> u32 {
        let queued = self.tasks.get(&key);
        queued.map_or(0, |it| {
            it.task.terms.max_errors.saturating_sub(it.server_errors)
        })
    }

    /// Returns the time since an item was added, in milliseconds.
    pub fn age_ms(&self, now: ClockTime, key: ScoreKey) -> u64 {
        self.tasks.get(&key).map_or(0, |it| now.since(it.added_at))
    }

    /// Replaces the terms of the items for which `terms_of` has some. Must be called after every
    /// change of the plan. Calls in progress continue.
    pub fn set_terms(&mut self, terms_of: impl Fn(&ScoreTask) -> Option<ScoreTerms>) {
        for queued in self.tasks.values_mut() {
            if let Some(terms) = terms_of(&queued.task) {
                queued.task.terms = terms;
            }
        }
    }

    /// Removes the items whose texts don't fit and returns them, each as key, job and index; the
    /// caller must stop their calls.
    pub fn take_unfit(
        &mut self,
        fits: impl Fn(&ScoreTask) -> bool,
    ) -> Vec<(ScoreKey, String, u32)> {
        let unfit = self.tasks.extract_if(.., |_, it| !fits(&it.task));
        unfit
            .map(|(key, it)| (key, it.task.job, it.task.item))
            .collect()
    }

    /// Returns the items whose calls the caller must make now, at most `slots` at a time for each
    /// service. A service that is not in `slots` gets none.
    pub fn next_calls(&mut self, now: ClockTime, slots: &HashMap<String, u32>) -> Vec<ScoreKey> {
        let mut free = slots.clone();
        for queued in self.tasks.values().filter(|it| it.is_calling) {
            if let Some(free) = queued
                .task
                .terms
                .service
                .as_ref()
                .and_then(|it| free.get_mut(it))
            {
                *free = free.saturating_sub(1);
            }
        }
        let waiting = self
            .tasks
            .iter()
            .filter(|(_, it)| !it.is_calling && now >= it.retry_at);
        let mut order: Vec<(ClockTime, ScoreKey)> =
            waiting.map(|(key, it)| (it.task.terms.due, *key)).collect();
        order.sort_unstable();
        let mut calls = Vec::new();
        for (_, key) in order {
            let Some(queued) = self.tasks.get_mut(&key) else {
                continue;
            };
            let service = queued.task.terms.service.as_ref();
            let Some(free) = service.and_then(|it| free.get_mut(it)) else {
                continue;
            };
            if *free > 0 {
                *free -= 1;
                queued.is_calling = true;
                calls.push(key);
            }
        }
        calls
    }

    /// Records the end of a call. Returns the job and result if the item is done; otherwise the
    /// item waits for its next call.
    pub fn finish_call(
        &mut self,
        now: ClockTime,
        key: ScoreKey,
        end: ScoreEnd,
    ) -> Option<(String, ItemResult)> {
        let queued = self.tasks.get_mut(&key)?;
        queued.is_calling = false;
        queued.server_errors += end.server_errors;
        let is_given_up = queued.server_errors >= queued.task.terms.max_errors;
        if end.score.is_none() && !is_given_up {
            let backoff_ms = FIRST_BACKOFF_MS << queued.failures.min(4);
            queued.retry_at = now + backoff_ms.min(MAX_BACKOFF_MS);
            queued.failures += 1;
            return None;
        }
        let task = self.tasks.remove(&key)?.task;
        let result = match end.score {
            Some(score) => ItemResult::completed(task.item, task.text, Some(score)),
            None => ItemResult::terminated(task.item),
        };
        Some((task.job, result))
    }

    /// Removes the items of a job and returns their keys; the caller must stop their calls.
    pub fn drop_job(&mut self, job: &str) -> Vec<ScoreKey> {
        let dropped = self.tasks.extract_if(.., |_, it| it.task.job == job);
        dropped.map(|(key, _)| key).collect()
    }

    /// Gives up the items that are past their time to live, and those that wait although they have met
    /// all the server errors that they may. Returns their keys and results; the caller must stop
    /// their calls.
    pub fn expire(&mut self, now: ClockTime) -> Vec<(ScoreKey, String, ItemResult)> {
        let expired = self.tasks.extract_if(.., |_, it| {
            let terms = &it.task.terms;
            let has_failed = !it.is_calling && it.server_errors > 0;
            now >= terms.expires || (has_failed && it.server_errors >= terms.max_errors)
        });
        expired
            .map(|(key, it)| {
                let result = ItemResult::terminated(it.task.item);
                (key, it.task.job, result)
            })
            .collect()
    }

    /// Returns the items whose complete texts the other voters don't have yet, and marks them as
    /// replicated.
    pub fn take_unreplicated(&mut self) -> Vec<&ScoreTask> {
        let queued = self.tasks.values_mut().filter(|it| !it.is_replicated);
        queued
            .map(|it| {
                it.is_replicated = true;
                &it.task
            })
            .collect()
    }

    /// Makes the next replication send all texts from their start.
    pub fn restart_replication(&mut self) {
        for queued in self.tasks.values_mut() {
            queued.is_replicated = false;
            queued.task.replicated_events = 0;
        }
    }
}
