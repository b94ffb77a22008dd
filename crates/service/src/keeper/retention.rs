//! Retention of batch jobs: the leader proposes to forget those whose retention is over, and gives up
//! items whose route has been gone for as long.

use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::agenda::Agenda;
use crate::dialect::TargetDialect;
use crate::jobs::ItemResult;
use crate::metrics::METRICS;
use crate::retention::expired;
use crate::retention::open_jobs;
use crate::state::StateCommand;
use bergamotlane_coordination::clock::ClockTime;

/// Interval of the search for jobs whose retention is over, and of the metrics on open jobs, in
/// milliseconds.
const FORGET_INTERVAL_MS: u64 = 5_000;

/// Divisor that yields seconds from milliseconds.
const MS_PER_S: u64 = 1_000;

/// Time for which a job is kept after callers can no longer read it, in milliseconds. A caller may
/// count from the answer to its submission, which comes later than the job itself.
const FORGET_MARGIN_MS: u64 = 5_000;

impl<D: TargetDialect> KeeperCore<D> {
    /// Notes which jobs have no route in the plan in force.
    pub(super) fn watch_retention(&mut self, time: ClockTime) {
        let agenda = Agenda {
            state: &self.state,
            routes: self.routes.as_deref(),
            ages: &self.ages,
            now: time,
        };
        if let Some(lead) = &mut self.lead {
            lead.retention.observe(time, &agenda);
        }
    }

    /// Proposes to drop the jobs whose retention is over, and to give up items without a route.
    pub(super) fn forget_jobs(&mut self, time: ClockTime) {
        if self.lead.as_ref().is_none_or(|it| time < it.forget_due) {
            return;
        }
        self.watch_retention(time);
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.forget_due = time + FORGET_INTERVAL_MS;
        let retention_ms = self.settings.job_retention_ms + FORGET_MARGIN_MS;
        let stranded = lead.retention.stranded(time, retention_ms);
        let expired = expired(time, &self.agenda(), retention_ms);
        self.report_open_jobs(time, retention_ms);
        for job in stranded {
            self.give_up_items(&job);
        }
        for job in &expired {
            spdlog::info!("job: retention over", kv: { job = job.as_str() });
        }
        if !expired.is_empty() {
            self.propose(&StateCommand::ForgetJobs(expired), CallOrigin::Leader);
        }
    }

    /// Proposes to list the open items of a job as given up, unless some of them are still at a target.
    fn give_up_items(&mut self, job: &str) {
        let (Some(lead), Some(record)) = (&self.lead, self.state.jobs.get(job)) else {
            return;
        };
        let is_busy = lead.runs.values().any(|it| it.job == job)
            || lead.scores.tasks().any(|it| it.job == job)
            || lead.listing.held_of(job) > 0
            || lead.results.iter().any(|it| it.job == job);
        if is_busy {
            return;
        }
        let items = (0..record.listed.len() as u32).filter(|it| record.is_open(*it));
        let results = items.map(|it| (job.to_owned(), ItemResult::terminated(it)));
        let results: Vec<_> = results.collect();
        spdlog::warn!("job: items given up, no route for longer than the retention", kv: {
            job,
            items = results.len(),
        });
        self.propose(&StateCommand::List(results), CallOrigin::Leader);
    }

    /// Sets the metrics on open jobs, and logs those that have become older than the retention.
    fn report_open_jobs(&mut self, time: ClockTime, retention_ms: u64) {
        let agenda = Agenda {
            state: &self.state,
            routes: self.routes.as_deref(),
            ages: &self.ages,
            now: time,
        };
        METRICS.jobs_open.reset();
        METRICS.oldest_open_job_seconds.reset();
        for (customer, open) in open_jobs(time, &agenda) {
            let labels = [customer.as_str()];
            let oldest_s = open.oldest_ms / MS_PER_S;
            METRICS
                .jobs_open
                .with_label_values(&labels)
                .set(open.count as i64);
            METRICS
                .oldest_open_job_seconds
                .with_label_values(&labels)
                .set(oldest_s as i64);
        }
        let Some(lead) = &mut self.lead else {
            return;
        };
        for job in lead.retention.newly_overdue(time, &agenda, retention_ms) {
            let record = self.state.jobs.get(&job);
            spdlog::warn!("job: open past the retention, kept until its caller ends it", kv: {
                job = job.as_str(),
                customer = record.and_then(|it| it.submission.owner()).unwrap_or_default(),
                age_ms = self.ages.age_ms(time, &job).unwrap_or(0),
                items = record.map_or(0, |it| it.listed.len()),
                listed = record.map_or(0, |it| it.results.len()),
            });
        }
    }
}
