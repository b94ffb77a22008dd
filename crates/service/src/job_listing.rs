//! Progress of a job's groups, and the results of the job that are not listed yet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::mem;

use crate::group_listing::EndedItem;
use crate::group_listing::ForceCause;
use crate::group_listing::LISTING_WINDOW_MS;
use crate::group_listing::ListingUnit;
use crate::group_listing::SHORT_WINDOW_MS;
use crate::jobs::ItemEnd;
use crate::jobs::ItemResult;
use crate::jobs::JobRecord;
use crate::jobs::JobTable;
use crate::work::JobConstraints;
use bergamotlane_coordination::clock::ClockTime;

/// Items of a job as a leader finds them when it admits the job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobOutline {
    /// Number of the group of each item; groups are numbered from zero without gaps.
    pub groups: Vec<u32>,
    /// Ends of the listed items, by index of the item.
    pub listed: Vec<Option<ItemEnd>>,
    /// Numbers of the groups that are carried over from an earlier job. The caller waits for all of
    /// them.
    pub carried: BTreeSet<u32>,
    /// Number of complete groups that the caller waits for; zero if it doesn't say.
    pub desired: u32,
}

impl JobOutline {
    /// Returns the outline of a job in the table. An item without a group ID is a group of its own.
    pub fn of(jobs: &JobTable, record: &JobRecord) -> Self {
        let items = &record.submission.items;
        let mut listed = vec![None; items.len()];
        for result in &record.results {
            listed[result.item as usize] = Some(result.end);
        }
        let mut numbers: HashMap<&str, u32> = HashMap::new();
        let mut count = 0;
        let mut next = || {
            count += 1;
            count - 1
        };
        let groups = items.iter().map(|item| match item.group.as_str() {
            "" => next(),
            group => *numbers.entry(group).or_insert_with(&mut next),
        });
        let groups: Vec<u32> = groups.collect();
        let earlier: HashSet<&str> = jobs.earlier_job_items(record).collect();
        let numbered = items.iter().zip(&groups);
        let carried = numbered.filter(|(item, _)| earlier.contains(item.id.as_str()));
        Self {
            carried: carried.map(|(_, group)| *group).collect(),
            groups,
            listed,
            desired: record.submission.desired,
        }
    }
}

/// Result that waits for the rest of its group.
#[derive(Debug)]
pub(crate) struct HeldItem {
    pub(crate) item: EndedItem,
    /// Memory that the text takes, in bytes.
    pub(crate) bytes: usize,
    /// Time from which on the result is held.
    pub(crate) held_since: ClockTime,
    /// Time at which the other voters were last told that the text is complete.
    pub(crate) replicated_at: Option<ClockTime>,
}

/// Progress of a group.
#[derive(Debug, Clone, Default)]
pub(crate) struct GroupProgress {
    size: u32,
    /// Number of items without a result.
    pub(crate) unfinished: u32,
    /// Number of items that were given up.
    given_up: u32,
}

/// Results of a job that are not listed, and the progress of its groups.
#[derive(Debug)]
pub(crate) struct JobListing {
    outline: JobOutline,
    groups: Vec<GroupProgress>,
    /// Whether each item has a result, by index of the item.
    ended: Vec<bool>,
    pub(crate) held: BTreeMap<u32, HeldItem>,
    /// Results of items that were given up.
    pub(crate) given_up: Vec<ItemResult>,
    /// Time at which the first of the held groups that are complete became so.
    pub(crate) complete_since: Option<ClockTime>,
    /// Why held results were last listed before their groups were complete.
    pub(crate) last_cause: Option<ForceCause>,
}

impl JobListing {
    pub(crate) fn new(outline: JobOutline) -> Self {
        let count = outline.groups.iter().max().map_or(0, |it| it + 1);
        let mut groups = vec![GroupProgress::default(); count as usize];
        for (group, end) in outline.groups.iter().zip(&outline.listed) {
            let group = &mut groups[*group as usize];
            group.size += 1;
            match end {
                None => group.unfinished += 1,
                Some(ItemEnd::Terminated) => group.given_up += 1,
                Some(ItemEnd::Completed) => {}
            }
        }
        Self {
            ended: outline.listed.iter().map(Option::is_some).collect(),
            outline,
            groups,
            held: BTreeMap::new(),
            given_up: Vec::new(),
            complete_since: None,
            last_cause: None,
        }
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.held.is_empty() && self.given_up.is_empty()
    }

    fn group_of(&self, item: u32) -> &GroupProgress {
        &self.groups[self.outline.groups[item as usize] as usize]
    }

    /// Adds the result of an item, unless the item has one.
    pub(crate) fn add(&mut self, now: ClockTime, item: EndedItem) {
        let index = item.result.item;
        match self.ended.get_mut(index as usize) {
            Some(ended) if !*ended => *ended = true,
            _ => return,
        }
        let group = &mut self.groups[self.outline.groups[index as usize] as usize];
        group.unfinished -= 1;
        if group.unfinished == 0 {
            self.complete_since.get_or_insert(now);
        }
        if item.result.end == ItemEnd::Terminated {
            group.given_up += 1;
            self.given_up.push(item.into_result());
            return;
        }
        let held = HeldItem {
            bytes: item.text_bytes(),
            item,
            held_since: now,
            replicated_at: None,
        };
        self.held.insert(index, held);
    }

    /// Returns whether the complete groups have to be listed without waiting for others.
    pub(crate) fn is_urgent(&self, now: ClockTime) -> bool {
        let Some(since) = self.complete_since else {
            return false;
        };
        let mut held = self.held.keys();
        let window_ms = match self.has_goal() {
            true => LISTING_WINDOW_MS,
            false => SHORT_WINDOW_MS,
        };
        now.since(since) >= window_ms
            || (self.has_goal() && self.has_desired_groups())
            || self.groups.iter().all(|it| it.unfinished == 0)
            || !self.given_up.is_empty()
            || held.any(|it| self.group_of(*it).size == 1)
    }

    /// Returns whether the job says how many complete groups its caller waits for.
    fn has_goal(&self) -> bool {
        (1..=self.groups.len()).contains(&(self.outline.desired as usize))
    }

    /// Returns whether the groups that the caller waits for are complete: as many as it desires, and
    /// all that are carried over.
    fn has_desired_groups(&self) -> bool {
        let is_usable = |it: &&GroupProgress| it.unfinished == 0 && it.given_up == 0;
        let usable = self.groups.iter().filter(is_usable).count();
        let mut carried = self.outline.carried.iter();
        usable >= self.outline.desired as usize
            && carried.all(|it| self.groups[*it as usize].unfinished == 0)
    }

    /// Returns the held groups that are complete.
    pub(crate) fn complete_groups(&self) -> BTreeSet<u32> {
        let held = self.held.keys();
        let complete = held.filter(|it| self.group_of(**it).unfinished == 0);
        complete
            .map(|it| self.outline.groups[*it as usize])
            .collect()
    }

    /// Removes the results of items that were given up, and the held ones whose groups satisfy a
    /// condition, and returns them by group.
    pub(crate) fn take(
        &mut self,
        job: &str,
        is_wanted: impl Fn(&GroupProgress) -> bool,
    ) -> Vec<ListingUnit> {
        let mut by_group: BTreeMap<u32, Vec<ItemResult>> = BTreeMap::new();
        for result in mem::take(&mut self.given_up) {
            let group = self.outline.groups[result.item as usize];
            by_group.entry(group).or_default().push(result);
        }
        let (numbers, groups) = (&self.outline.groups, &self.groups);
        let wanted = self.held.extract_if(.., |item, _| {
            is_wanted(&groups[numbers[*item as usize] as usize])
        });
        for (item, held) in wanted {
            let group = by_group.entry(numbers[item as usize]).or_default();
            group.push(held.item.into_result());
        }
        let units = by_group.into_values().map(|results| ListingUnit {
            job: job.to_owned(),
            results,
        });
        units.collect()
    }

    /// Removes the held results that don't fit a route and returns their items, which count as
    /// unfinished again.
    pub(crate) fn take_unfit(&mut self, constraints: &JobConstraints) -> Vec<u32> {
        let removed = self.held.extract_if(.., |_, held| {
            let versions = &held.item.result.versions;
            constraints.single_version && versions.len() > 1
        });
        let removed: Vec<u32> = removed.map(|(item, _)| item).collect();
        for item in &removed {
            self.ended[*item as usize] = false;
            let group = self.outline.groups[*item as usize];
            self.groups[group as usize].unfinished += 1;
        }
        if self.complete_groups().is_empty() {
            self.complete_since = None;
        }
        removed
    }
}
