//! Decides which results of batch jobs are listed now, and which are held until their group is
//! complete.
//!
//! A trainer uses complete groups only, and each listed result wakes it. A completed item is
//! therefore held until all items of its group have ended, and complete groups of a job wait up to
//! [`LISTING_WINDOW_MS`] for others until its caller has those that it waits for. Items that were given
//! up are listed at once: engines' faults count over jobs only once they are listed.

use std::collections::BTreeMap;

use crate::job_listing::GroupProgress;
use crate::job_listing::JobListing;
use crate::job_listing::JobOutline;
use crate::jobs::ItemEnd;
use crate::jobs::ItemResult;
use crate::payload::PayloadRef;
use crate::texts::TextDelta;
use crate::texts::TextKey;
use crate::texts::event_bytes;
use crate::work::JobConstraints;
use crate::work::PartialText;
use bergamotlane_coordination::clock::ClockTime;

/// Longest time for which a complete group waits for others while its caller waits for more groups, in
/// milliseconds. Readers wait at most a second for results, so that a trainer is woken about once a
/// second until its step is decided.
pub const LISTING_WINDOW_MS: u64 = 1_000;

/// Longest time for which a complete group waits for others if its job doesn't say how many groups
/// its caller waits for, in milliseconds. The leader looks at what is due every 20 ms, so that such a
/// group is listed within 50 ms.
pub const SHORT_WINDOW_MS: u64 = 30;

/// Time before its job is due from which no result is held, in milliseconds. A longer
/// margin would wake trainers by single results: the last items of a step often end a few hundred
/// milliseconds before the deadline, and a trainer whose read was answered early comes back only half a
/// second after that read began.
pub const DUE_MARGIN_MS: u64 = 250;

/// Time for which a result is held before its text is sent to the other voters, in milliseconds: texts
/// of groups that are listed sooner would cross zones twice. Longer than [`LISTING_WINDOW_MS`], so that
/// complete groups are listed first.
pub const REPLICATION_DELAY_MS: u64 = 1_600;

/// Interval at which voters are told again that they have a complete text, in milliseconds, so that
/// they don't drop it as one that no longer grows.
const REFRESH_INTERVAL_MS: u64 = 8_000;

/// Why a result is listed before its group is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForceCause {
    /// The job is due or past its time to live.
    Due,
    /// The job has no route at the moment.
    NoRoute,
    /// The texts that are held take too much memory.
    Memory,
    /// Another keeper is about to lead.
    Handover,
}

impl ForceCause {
    /// Returns the value of the cause in metric labels and log lines.
    pub fn label(self) -> &'static str {
        match self {
            Self::Due => "due",
            Self::NoRoute => "no route",
            Self::Memory => "memory",
            Self::Handover => "handover",
        }
    }
}

/// Complete text of an item whose result is not listed yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompleteText {
    /// Identity under which the text is replicated.
    pub key: TextKey,
    /// ID of the run that generated the text, unique across leaders.
    pub run: u64,
    /// Text.
    pub text: PartialText,
    /// Number of events of the text that were sent to the other voters.
    pub replicated_events: u32,
}

/// Result of an item that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedItem {
    /// Result; its text is taken from `text`, if there is one.
    pub result: ItemResult,
    /// Text of the result, unless the log has it or the item was given up.
    pub text: Option<CompleteText>,
}

impl EndedItem {
    /// Returns the result of an item whose text is complete.
    pub fn completed(item: u32, complete: CompleteText, score: Option<String>) -> Self {
        let result = ItemResult {
            item,
            end: ItemEnd::Completed,
            text: PayloadRef::default(),
            versions: complete.text.versions.clone(),
            score,
            fault: None,
        };
        Self {
            result,
            text: Some(complete),
        }
    }

    /// Returns the result together with its text.
    pub(crate) fn into_result(self) -> ItemResult {
        let mut result = self.result;
        if let Some(complete) = self.text {
            result.text = complete.text.text().into();
        }
        result
    }

    /// Returns the memory that the text takes, in bytes.
    pub(crate) fn text_bytes(&self) -> usize {
        let text = self.text.as_ref();
        text.map_or(0, |it| event_bytes(&it.text.events))
    }
}

impl From<ItemResult> for EndedItem {
    fn from(result: ItemResult) -> Self {
        Self { result, text: None }
    }
}

/// Results of a job that belong into one change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListingUnit {
    /// ID of the job.
    pub job: String,
    /// Results, each of another item.
    pub results: Vec<ItemResult>,
}

/// Listing of held results for another reason than that their groups are complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForcedListing {
    /// ID of the job.
    pub job: String,
    /// Why the results are listed.
    pub cause: ForceCause,
    /// Number of results.
    pub results: usize,
    /// Whether results of the job were not listed for the same reason before.
    pub is_first: bool,
}

/// What has to be listed now.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct DueResults {
    /// Results by job and group.
    pub units: Vec<ListingUnit>,
    /// Number of complete groups among them.
    pub complete_groups: u64,
    /// Jobs whose results are listed for another reason.
    pub forced: Vec<ForcedListing>,
}

/// Results of all jobs that wait to be listed.
#[derive(Debug, Default)]
pub struct ListingQueue {
    jobs: BTreeMap<String, JobListing>,
    is_closing: bool,
}

impl ListingQueue {
    /// Adds a job, unless it is known. Results of jobs that were not added are ignored.
    pub fn admit(&mut self, job: &str, outline: JobOutline) {
        let listing = || JobListing::new(outline);
        self.jobs.entry(job.to_owned()).or_insert_with(listing);
    }

    /// Removes a job and its results.
    pub fn drop_job(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Holds no result any more, since another keeper is about to lead.
    pub fn close(&mut self) {
        self.is_closing = true;
    }

    /// Adds the result of an item. A second result of the same item is ignored.
    pub fn add(&mut self, now: ClockTime, job: &str, item: EndedItem) {
        if let Some(listing) = self.jobs.get_mut(job) {
            listing.add(now, item);
        }
    }

    /// Returns the number of results that are held, and the memory that their texts take, in bytes.
    pub fn size(&self) -> (usize, usize) {
        let held = self.jobs.values().flat_map(|it| it.held.values());
        held.fold((0, 0), |(count, bytes), it| (count + 1, bytes + it.bytes))
    }

    /// Returns the number of results of a job that are held.
    pub fn held_of(&self, job: &str) -> usize {
        self.jobs.get(job).map_or(0, |it| it.held.len())
    }

    /// Returns the results that are held, without the texts that [`Self::texts`] returns.
    pub fn results(&self) -> impl Iterator<Item = &ItemResult> {
        let held = self.jobs.values().flat_map(|it| it.held.values());
        held.map(|it| &it.item.result)
    }

    /// Returns the texts of the results of `job` that are held, or of those of all jobs for `None`.
    pub fn texts(&self, job: Option<&str>) -> impl Iterator<Item = &CompleteText> {
        let jobs = self.jobs.iter();
        let wanted = jobs.filter(move |(id, _)| job.is_none_or(|it| it == id.as_str()));
        let held = wanted.flat_map(|(_, listing)| listing.held.values());
        held.filter_map(|it| it.item.text.as_ref())
    }

    /// Removes the results that have to be listed now and returns them. Texts that are held take
    /// at most `limit_bytes` afterwards.
    pub fn take_due<'a>(
        &mut self,
        now: ClockTime,
        constraints_of: impl Fn(&str) -> Option<&'a JobConstraints>,
        limit_bytes: usize,
    ) -> DueResults {
        let (_, bytes) = self.size();
        let lacks_memory = bytes > limit_bytes;
        let mut due = DueResults::default();
        for (id, listing) in self.jobs.iter_mut().filter(|(_, it)| !it.is_idle()) {
            let cause = match constraints_of(id) {
                _ if self.is_closing => Some(ForceCause::Handover),
                Some(it) if it.is_on_hold() => Some(ForceCause::NoRoute),
                Some(it) if now + DUE_MARGIN_MS >= it.due.min(it.expires) => Some(ForceCause::Due),
                Some(_) => lacks_memory.then_some(ForceCause::Memory),
                None => Some(ForceCause::NoRoute),
            };
            due.add(id, listing, now, cause);
        }
        due
    }

    /// Removes the results that don't fit the constraints of their job and returns each as job and
    /// index of the item, which has to run again.
    pub fn take_unfit<'a>(
        &mut self,
        constraints_of: impl Fn(&str) -> Option<&'a JobConstraints>,
    ) -> Vec<(String, u32)> {
        let mut unfit = Vec::new();
        for (id, listing) in &mut self.jobs {
            let Some(constraints) = constraints_of(id) else {
                continue;
            };
            let removed = listing.take_unfit(constraints);
            unfit.extend(removed.into_iter().map(|it| (id.clone(), it)));
        }
        unfit
    }

    /// Returns what the other voters have to be sent of the texts that have been held for
    /// [`REPLICATION_DELAY_MS`], about `limit_bytes` at a time, and counts it as sent.
    pub fn take_unreplicated(&mut self, now: ClockTime, limit_bytes: usize) -> Vec<TextDelta> {
        let mut bytes = 0;
        let mut deltas = Vec::new();
        for held in self.jobs.values_mut().flat_map(|it| it.held.values_mut()) {
            let is_fresh = |it: ClockTime| now.since(it) < REFRESH_INTERVAL_MS;
            let is_new = now.since(held.held_since) < REPLICATION_DELAY_MS;
            if is_new || held.replicated_at.is_some_and(is_fresh) || bytes >= limit_bytes {
                continue;
            }
            let Some(complete) = &mut held.item.text else {
                continue;
            };
            let offset = complete.replicated_events;
            let delta = TextDelta::since(&complete.key, complete.run, offset, &complete.text);
            bytes += delta.as_ref().map_or(0, |it| event_bytes(&it.events));
            deltas.extend(delta);
            complete.replicated_events = complete.text.events.len() as u32;
            held.replicated_at = Some(now);
        }
        deltas
    }

    /// Makes the next replication send all texts from their start.
    pub fn restart_replication(&mut self) {
        for held in self.jobs.values_mut().flat_map(|it| it.held.values_mut()) {
            held.replicated_at = None;
            if let Some(complete) = &mut held.item.text {
                complete.replicated_events = 0;
            }
        }
    }
}

impl DueResults {
    /// Moves the results of a job here that have to be listed now.
    fn add(
        &mut self,
        job: &str,
        listing: &mut JobListing,
        now: ClockTime,
        cause: Option<ForceCause>,
    ) {
        let is_complete = |it: &GroupProgress| it.unfinished == 0;
        let takes_complete = cause.is_some() || listing.is_urgent(now);
        if !takes_complete && listing.given_up.is_empty() {
            return;
        }
        if takes_complete {
            listing.complete_since = None;
            self.complete_groups += listing.complete_groups().len() as u64;
        }
        let taken = listing.take(job, |it| takes_complete && is_complete(it));
        self.units.extend(taken);
        let Some(cause) = cause.filter(|_| !listing.held.is_empty()) else {
            return;
        };
        self.forced.push(ForcedListing {
            job: job.to_owned(),
            cause,
            results: listing.held.len(),
            is_first: listing.last_cause != Some(cause),
        });
        listing.last_cause = Some(cause);
        self.units.extend(listing.take(job, |_| true));
    }
}
