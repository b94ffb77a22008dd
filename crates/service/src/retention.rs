//! Retention of batch jobs: which ones may be forgotten, and which items are given up since their route
//! is gone.
//!
//! What counts is the committed state and the plan in force, not what a leader's scheduler happens
//! to hold, so that a leader that has just begun does no more than one that lived through all. A job is
//! open until its caller ends it, whatever has become of its items, and an open job is never forgotten.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::agenda::Agenda;
use crate::agenda::AgendaPlace;
use bergamotlane_coordination::clock::ClockTime;

/// Jobs without a route, each with the time since when no plan had one for it.
#[derive(Debug, Default)]
pub struct RetentionWatch {
    unrouted: BTreeMap<String, ClockTime>,
    /// Open jobs past the retention that were reported as such.
    overdue: BTreeSet<String>,
}

/// Open jobs of a customer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OpenJobs {
    /// Number of jobs.
    pub count: u64,
    /// Age of the oldest job, in milliseconds.
    pub oldest_ms: u64,
}

impl RetentionWatch {
    /// Notes which jobs have no route. Must be called after every change of the plan, and before
    /// [`Self::stranded`].
    pub fn observe(&mut self, now: ClockTime, agenda: &Agenda) {
        let mut unrouted = std::mem::take(&mut self.unrouted);
        for (id, _) in agenda.state.jobs.iter() {
            if agenda.place(id) == AgendaPlace::OnHold {
                let since = unrouted.remove(id).unwrap_or(now);
                self.unrouted.insert(id.clone(), since);
            }
        }
    }

    /// Returns the jobs whose items have had no route for longer than the retention. They are given
    /// up; their jobs stay.
    pub fn stranded(&self, now: ClockTime, retention_ms: u64) -> Vec<String> {
        let unrouted = self.unrouted.iter();
        let stranded = unrouted.filter(|(_, since)| now.since(**since) > retention_ms);
        stranded.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the open jobs that are older than the retention and that no earlier call returned.
    pub fn newly_overdue(
        &mut self,
        now: ClockTime,
        agenda: &Agenda,
        retention_ms: u64,
    ) -> Vec<String> {
        let jobs = agenda.state.jobs.iter();
        let old = jobs.filter(|(id, job)| !job.ended && is_older(now, agenda, id, retention_ms));
        let old: BTreeSet<String> = old.map(|(id, _)| id.clone()).collect();
        let new = old.difference(&self.overdue).cloned().collect();
        self.overdue = old;
        new
    }
}

/// Returns whether a job is known to be older than the retention.
fn is_older(now: ClockTime, agenda: &Agenda, id: &str, retention_ms: u64) -> bool {
    let age_ms = agenda.ages.age_ms(now, id);
    age_ms.is_some_and(|it| it > retention_ms)
}

/// Returns the jobs whose retention is over: their callers ended them, and can't read them any more by
/// their age.
pub fn expired(now: ClockTime, agenda: &Agenda, retention_ms: u64) -> Vec<String> {
    let jobs = agenda.state.jobs.iter();
    let ended = jobs.filter(|(_, job)| job.ended).map(|(id, _)| id);
    ended
        .filter(|id| is_older(now, agenda, id, retention_ms))
        .cloned()
        .collect()
}

/// Returns the open jobs of each customer; the jobs of none are those of the empty name.
pub fn open_jobs(now: ClockTime, agenda: &Agenda) -> BTreeMap<String, OpenJobs> {
    let mut by_customer: BTreeMap<String, OpenJobs> = BTreeMap::new();
    for (id, job) in agenda.state.jobs.iter().filter(|(_, job)| !job.ended) {
        let customer = job.submission.owner().unwrap_or_default();
        let open = by_customer.entry(customer.to_owned()).or_default();
        open.count += 1;
        let age_ms = agenda.ages.age_ms(now, id).unwrap_or(0);
        open.oldest_ms = open.oldest_ms.max(age_ms);
    }
    by_customer
}
