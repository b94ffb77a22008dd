//! Retention of batch jobs: which ones may be forgotten.
//!
//! What counts is the committed state and the plan in force, not what a leader's scheduler happens
//! to hold, so that a leader that has just begun forgets no more than one that lived through all. A
//! job that no route matches is kept for as long as callers may read a job, since its route may
//! come back.

use std::collections::BTreeMap;

use crate::agenda::Agenda;
use crate::agenda::AgendaPlace;
use bergamotlane_coordination::clock::ClockTime;

/// Jobs without a route, each with the time since when no plan had one for it.
#[derive(Debug, Default)]
pub struct RetentionWatch {
    unrouted: BTreeMap<String, ClockTime>,
}

impl RetentionWatch {
    /// Notes which jobs have no route. Must be called after every change of the plan, and before
    /// [`Self::expired`].
    pub fn observe(&mut self, now: ClockTime, agenda: &Agenda) {
        let mut unrouted = std::mem::take(&mut self.unrouted);
        for (id, _) in agenda.state.jobs.iter() {
            if agenda.place(id) == AgendaPlace::OnHold {
                let since = unrouted.remove(id).unwrap_or(now);
                self.unrouted.insert(id.clone(), since);
            }
        }
    }

    /// Returns the jobs whose retention is over: callers can't read them any more by their age, and
    /// their items are settled or had no route for as long.
    pub fn expired(&self, now: ClockTime, agenda: &Agenda, retention_ms: u64) -> Vec<String> {
        let is_expired = |id: &str| {
            let age_ms = agenda.ages.age_ms(now, id);
            if age_ms.is_none_or(|it| it <= retention_ms) {
                return false;
            }
            match agenda.place(id) {
                AgendaPlace::Absent => true,
                AgendaPlace::OnHold => {
                    let since = self.unrouted.get(id);
                    since.is_some_and(|it| now.since(*it) > retention_ms)
                }
                AgendaPlace::Scheduled(_) => false,
            }
        };
        let ids = agenda.state.jobs.iter().map(|(id, _)| id);
        ids.filter(|id| is_expired(id)).cloned().collect()
    }
}
