//! Retention of batch jobs: which ones the leader proposes to forget.

use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::state::StateCommand;
use bergamotlane_coordination::clock::ClockTime;

/// Interval of the search for jobs whose retention is over, in milliseconds.
const FORGET_INTERVAL_MS: u64 = 5_000;

/// Time for which a job is kept after callers can no longer read it, in milliseconds. A caller may
/// count from the answer to its submission, which comes later than the job itself.
const FORGET_MARGIN_MS: u64 = 5_000;

impl<D: TargetDialect> KeeperCore<D> {
    /// Proposes to drop jobs whose retention is over, unless their items still run. A job that no
    /// route matches has none that do.
    pub(super) fn forget_jobs(&mut self, time: ClockTime) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if time < lead.forget_due {
            return;
        }
        lead.forget_due = time + FORGET_INTERVAL_MS;
        let retention_ms = self.settings.job_retention_ms + FORGET_MARGIN_MS;
        let expired: Vec<String> = self
            .state
            .jobs
            .iter()
            .filter(|(id, job)| job.is_settled() || !lead.scheduler.contains(id))
            .filter(|(id, _)| {
                let age_ms = self.ages.age_ms(time, id);
                age_ms.is_some_and(|it| it > retention_ms)
            })
            .map(|(id, _)| id.clone())
            .collect();
        if !expired.is_empty() {
            self.propose(&StateCommand::ForgetJobs(expired), CallOrigin::Leader);
        }
    }
}
