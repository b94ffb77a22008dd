//! Retention of batch jobs: the leader proposes to forget those whose retention is over.

use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::agenda::Agenda;
use crate::dialect::TargetDialect;
use crate::jobs::JobRecord;
use crate::state::StateCommand;
use bergamotlane_coordination::clock::ClockTime;

/// Interval of the search for jobs whose retention is over, in milliseconds.
const FORGET_INTERVAL_MS: u64 = 5_000;

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

    /// Proposes to drop the jobs whose retention is over.
    pub(super) fn forget_jobs(&mut self, time: ClockTime) {
        if self.lead.as_ref().is_none_or(|it| time < it.forget_due) {
            return;
        }
        self.watch_retention(time);
        let Some(lead) = &self.lead else {
            return;
        };
        let retention_ms = self.settings.job_retention_ms + FORGET_MARGIN_MS;
        let expired = lead.retention.expired(time, &self.agenda(), retention_ms);
        if let Some(lead) = &mut self.lead {
            lead.forget_due = time + FORGET_INTERVAL_MS;
        }
        for job in &expired {
            let is_settled = self.state.jobs.get(job).is_some_and(JobRecord::is_settled);
            spdlog::info!("job: retention over", kv: { job = job.as_str(), is_settled });
        }
        if !expired.is_empty() {
            self.propose(&StateCommand::ForgetJobs(expired), CallOrigin::Leader);
        }
    }
}
