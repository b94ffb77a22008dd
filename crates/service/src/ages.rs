//! Ages of batch jobs, which go on over restarts of a keeper.
//!
//! A keeper knows when it first saw a job in this run of the process. Snapshots carry how old each job
//! was by then, so that a keeper that restarts again and again still forgets jobs. The age that is
//! known is never more than the true one.

use std::collections::BTreeMap;
use std::collections::HashMap;

use bergamotlane_coordination::clock::ClockTime;

/// What a keeper knows of a job's age.
#[derive(Debug, Clone, Copy)]
struct JobAge {
    first_seen_at: ClockTime,
    /// Age at that time, in milliseconds.
    earlier_ms: u64,
}

/// Ages of the jobs in the state, by job ID.
#[derive(Debug, Default)]
pub struct JobAges {
    jobs: HashMap<String, JobAge>,
}

impl JobAges {
    /// Records that a job is in the state, and that it was this old at least, in milliseconds. What is
    /// known of a job that was seen before stays.
    pub fn record(&mut self, now: ClockTime, job: &str, earlier_ms: u64) {
        if self.jobs.contains_key(job) {
            return;
        }
        let age = JobAge {
            first_seen_at: now,
            earlier_ms,
        };
        self.jobs.insert(job.to_owned(), age);
    }

    /// Forgets a job.
    pub fn remove(&mut self, job: &str) {
        self.jobs.remove(job);
    }

    /// Forgets the jobs that are not in the state.
    pub fn retain(&mut self, is_known: impl Fn(&str) -> bool) {
        self.jobs.retain(|id, _| is_known(id));
    }

    /// Returns when this process first saw a job, if it has.
    pub fn first_seen_at(&self, job: &str) -> Option<ClockTime> {
        self.jobs.get(job).map(|it| it.first_seen_at)
    }

    /// Returns the age of a job in milliseconds, those of earlier runs of the process included.
    pub fn age_ms(&self, now: ClockTime, job: &str) -> Option<u64> {
        let age = self.jobs.get(job)?;
        Some(now.since(age.first_seen_at) + age.earlier_ms)
    }

    /// Returns the ages of all jobs in milliseconds.
    pub fn all(&self, now: ClockTime) -> BTreeMap<String, u64> {
        let ids = self.jobs.keys();
        ids.filter_map(|id| Some((id.clone(), self.age_ms(now, id)?)))
            .collect()
    }
}
