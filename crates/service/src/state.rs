//! The replicated state: plan, zones taken out, weight versions, usage windows and jobs.
//!
//! [`ServiceState::apply`] is deterministic and reads no clock.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::jobs::ItemResult;
use crate::jobs::JobSubmission;
use crate::jobs::JobTable;
use crate::plan::RoutingPlan;

/// Requests by customer in one usage window.
pub type UsageCounts = BTreeMap<String, u64>;

/// Closed usage windows that are kept.
const WINDOWS_KEPT: usize = 64;

/// A change of the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StateCommand {
    /// Puts a plan in force, unless one of the same or a higher version is.
    ReplacePlan {
        /// Plan.
        plan: Box<RoutingPlan>,
        /// What the operator sent, to be read back unchanged.
        #[serde(with = "crate::payload")]
        document: Bytes,
    },
    /// Takes a zone out.
    Evacuate(String),
    /// Takes a zone in again.
    Restore(String),
    /// Names a weight version of a model.
    NameVersion {
        /// Model.
        model: String,
        /// Version.
        version: u64,
    },
    /// Takes a batch job.
    Submit(Box<JobSubmission>),
    /// Lists results, each with its job.
    List(Vec<(String, ItemResult)>),
    /// Ends a batch job.
    EndJob(String),
    /// Drops batch jobs that nobody may ask for any more.
    ForgetJobs(Vec<String>),
    /// Fixes the figures of a usage window.
    CloseWindow {
        /// Number of the window.
        window: u64,
        /// Figures.
        counts: UsageCounts,
    },
    /// Notes that a window has been reported.
    WindowReported(u64),
    /// Marks an instance as one to be emptied.
    Retire(String),
}

/// A usage window whose figures are fixed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRecord {
    /// Figures.
    pub counts: UsageCounts,
    /// Whether the platform has taken them.
    pub reported: bool,
}

/// The plan in force.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PlanRecord {
    /// Plan.
    pub plan: RoutingPlan,
    /// What the operator sent.
    #[serde(with = "crate::payload")]
    pub document: Bytes,
}

/// What all keepers agree on.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceState {
    /// Log index of the last change.
    pub index: u64,
    /// Plan in force, if any.
    pub plan: Option<PlanRecord>,
    /// Zones taken out.
    pub evacuated: BTreeSet<String>,
    /// Newest named version by model.
    pub weights: BTreeMap<String, u64>,
    /// Batch jobs.
    pub jobs: JobTable,
    /// Closed usage windows.
    pub windows: BTreeMap<u64, WindowRecord>,
    /// Instances to be emptied.
    pub retiring: BTreeSet<String>,
}

impl ServiceState {
    /// Returns the version of the plan in force.
    pub fn plan_version(&self) -> Option<u64> {
        self.plan.as_ref().map(|it| it.plan.version)
    }

    /// Notes that an entry without a command was applied.
    pub fn skip(&mut self, index: u64) {
        self.index = index;
    }

    /// Applies a command.
    pub fn apply(&mut self, index: u64, command: StateCommand) {
        self.index = index;
        match command {
            StateCommand::ReplacePlan { plan, document } => {
                if self.plan_version().is_none_or(|it| it < plan.version) {
                    let plan = *plan;
                    self.plan = Some(PlanRecord { plan, document });
                }
            }
            StateCommand::Evacuate(zone) => {
                self.evacuated.insert(zone);
            }
            StateCommand::Restore(zone) => {
                self.evacuated.remove(&zone);
            }
            StateCommand::NameVersion { model, version } => {
                let newest = self.weights.entry(model).or_default();
                *newest = version.max(*newest);
            }
            StateCommand::Submit(submission) => {
                self.jobs.submit(*submission);
            }
            StateCommand::List(results) => {
                for (job, result) in results {
                    self.jobs.list(&job, result);
                }
            }
            StateCommand::EndJob(job) => {
                self.jobs.end(&job);
            }
            StateCommand::ForgetJobs(jobs) => self.jobs.forget(&jobs),
            StateCommand::CloseWindow { window, counts } => self.close_window(window, counts),
            StateCommand::WindowReported(window) => {
                if let Some(record) = self.windows.get_mut(&window) {
                    record.reported = true;
                }
            }
            StateCommand::Retire(instance) => {
                self.retiring.insert(instance);
            }
        }
    }

    fn close_window(&mut self, window: u64, counts: UsageCounts) {
        let oldest = self.windows.keys().next().copied();
        let full = self.windows.len() >= WINDOWS_KEPT;
        if full && oldest.is_some_and(|it| window < it) {
            return;
        }
        // The first figures stand: they may have been reported.
        self.windows.entry(window).or_insert(WindowRecord {
            counts,
            reported: false,
        });
        while self.windows.len() > WINDOWS_KEPT {
            self.windows.pop_first();
        }
    }
}
