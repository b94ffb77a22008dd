//! Effects of applied changes on the leader's work, besides the change of the state.

use super::core::KeeperCore;
use crate::agenda::AgendaScope;
use crate::dialect::TargetDialect;
use crate::state::StateCommand;
use bergamotlane_storage::clock::now;

/// Effect of an applied change on the leader's work, besides the change of the state.
#[derive(Debug)]
pub(super) enum ChangeEffect {
    /// No effect.
    Nothing,
    /// The plan or the evacuated zones changed.
    ViewChanged,
    /// Results of these jobs were listed.
    ResultsListed(Vec<String>),
    /// The caller ended a job.
    JobEnded(String),
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Returns the effect that a change will have on the leader's work.
    pub(super) fn effect_of(&self, command: &StateCommand) -> ChangeEffect {
        match command {
            StateCommand::ReplacePlan { .. }
            | StateCommand::Evacuate(_)
            | StateCommand::Restore(_) => ChangeEffect::ViewChanged,
            StateCommand::List(results) => {
                let mut jobs: Vec<String> = results.iter().map(|(job, _)| job.clone()).collect();
                jobs.dedup();
                ChangeEffect::ResultsListed(jobs)
            }
            StateCommand::EndJob(job) => ChangeEffect::JobEnded(job.clone()),
            _ => ChangeEffect::Nothing,
        }
    }

    /// Applies the effect of a change that is in the state, which concerns the jobs of a scope.
    pub(super) fn apply_effect(&mut self, effect: ChangeEffect, scope: &AgendaScope) {
        if !self.lead.as_ref().is_some_and(|it| it.active) {
            return;
        }
        if let ChangeEffect::JobEnded(job) = &effect {
            self.log_ended(job);
        }
        self.update_agenda(scope);
        match effect {
            ChangeEffect::Nothing => {}
            ChangeEffect::ViewChanged => {
                if let Some(lead) = &mut self.lead {
                    lead.changes.plan = true;
                    lead.changes.zones = true;
                }
                self.update_score_terms();
                self.update_chooser(now());
                self.push_views();
            }
            ChangeEffect::ResultsListed(jobs) => {
                for job in jobs {
                    self.answer_waiters(Some(&job));
                }
            }
            ChangeEffect::JobEnded(job) => {
                self.answer_waiters(Some(&job));
            }
        }
    }
}
