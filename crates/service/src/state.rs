//! Replicated state machine: plan, evacuated zones, weight versions, usage windows and jobs.
//!
//! [`ServiceState::apply`] is deterministic and reads no clock, so that all replicas agree. The state
//! holds references to bodies and texts, which are in the log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::jobs::ItemResult;
use crate::jobs::JobSubmission;
use crate::jobs::JobTable;
use crate::plan::RoutingPlan;
use crate::software::SoftwareBuild;
use crate::streams::StreamKey;
use crate::streams::StreamTable;

/// Number of requests by customer in one usage window.
pub type UsageCounts = BTreeMap<String, u64>;

/// Number of closed usage windows that the state retains.
const MAX_CLOSED_WINDOWS: usize = 64;

/// Number of leaving targets that the state retains, of those whose service was in the plan and of the
/// others.
const MAX_LEAVING_TARGETS: usize = 1_024;

/// Command that changes the replicated state.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum StateCommand {
    /// Puts a plan in force, unless the plan in force has the same or a higher version.
    ReplacePlan {
        /// Validated plan.
        plan: Box<RoutingPlan>,
        /// Document that the operator sent, which is read back unchanged.
        #[serde(with = "crate::payload")]
        document: Bytes,
    },
    /// Evacuates a zone: its targets get no new requests.
    Evacuate(String),
    /// Ends the evacuation of a zone.
    Restore(String),
    /// Makes a weight version the newest of its model, unless a newer one is known.
    NameVersion {
        /// Name of the model.
        model: String,
        /// Weight version.
        version: u64,
    },
    /// Adds a batch job; a repeated submission changes nothing.
    Submit(Box<JobSubmission>),
    /// Appends results to the lists of their jobs, each with the ID of its job.
    List(Vec<(String, ItemResult)>),
    /// Ends the batch job with this ID.
    EndJob(String),
    /// Removes batch jobs past their retention time, by ID.
    ForgetJobs(Vec<String>),
    /// Closes a usage window with its final counts; those of a closed window don't change.
    CloseWindow {
        /// Number of the window.
        window: u64,
        /// Final counts.
        counts: UsageCounts,
    },
    /// Marks the closed window of this number as reported.
    WindowReported(u64),
    /// Marks the instance of this name as one to be drained.
    Retire(String),
    /// Records which build begins a stream that its caller may take up.
    BeginStream {
        /// Identity of the stream.
        stream: StreamKey,
        /// Build of the target that begins it.
        build: SoftwareBuild,
    },
    /// Records that a target drains or is gone, so that every later leader knows it.
    LeaveTarget {
        /// ID of the target.
        id: String,
        /// Start time of the target's process, in milliseconds since 1970.
        born: u64,
        /// Whether the target is gone; otherwise it drains.
        departed: bool,
        /// Whether an earlier start of the target is known.
        #[serde(default)]
        follows: bool,
        /// Whether the target is unknown, or its service is not in the plan in force.
        #[serde(default)]
        unserved: bool,
        /// Whether the target's start is unknown, so that `born` says nothing.
        #[serde(default)]
        any_start: bool,
    },
    /// Records that a start of a target runs although a departure was recorded for it.
    ReturnTarget {
        /// ID of the target.
        id: String,
        /// Start time of the target's process, in milliseconds since 1970.
        born: u64,
    },
}

/// Target that drains or is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingTarget {
    /// Start time of the target's process, in milliseconds since 1970.
    pub born: u64,
    /// Whether the target is gone; otherwise it drains.
    pub departed: bool,
    /// Index of the log entry that recorded it last.
    pub index: u64,
    /// Whether the departure may have been that of an earlier start: one is known, and this start had
    /// not said that it drains.
    #[serde(default)]
    pub may_return: bool,
    /// Whether the target was unknown or its service not in the plan when this was recorded. Such
    /// targets don't take the place of others.
    #[serde(default)]
    pub unserved: bool,
    /// Whether a start departed that was not known, which may be any later one than `born`.
    #[serde(default)]
    pub any_start: bool,
}

/// Closed usage window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRecord {
    /// Final counts.
    pub counts: UsageCounts,
    /// Whether the platform has accepted the report of the window.
    pub reported: bool,
}

/// Plan in force, with the document that it came from.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct PlanRecord {
    /// Decoded plan.
    pub plan: RoutingPlan,
    /// Document that the operator sent.
    #[serde(with = "crate::payload")]
    pub document: Bytes,
}

/// State that all keepers replicate.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ServiceState {
    /// Index of the last applied log entry.
    pub index: u64,
    /// Plan in force, if any.
    pub plan: Option<PlanRecord>,
    /// Names of the evacuated zones.
    pub evacuated: BTreeSet<String>,
    /// Newest weight version by model.
    pub weights: BTreeMap<String, u64>,
    /// Batch jobs with their results.
    pub jobs: JobTable,
    /// Closed usage windows by number, the latest ones only.
    pub windows: BTreeMap<u64, WindowRecord>,
    /// Names of the instances to be drained.
    pub retiring: BTreeSet<String>,
    /// Targets that drain or are gone by ID, the latest ones only.
    #[serde(default)]
    pub leaving: BTreeMap<String, LeavingTarget>,
    /// Builds that began the latest streams.
    #[serde(default)]
    pub streams: StreamTable,
    /// Age of each job when the snapshot that holds this state was taken, in milliseconds, as the
    /// keeper that took it knew; empty in a state that is applied to.
    #[serde(default)]
    pub ages_ms: BTreeMap<String, u64>,
}

impl ServiceState {
    /// Returns the version of the plan in force, if any.
    pub fn plan_version(&self) -> Option<u64> {
        self.plan.as_ref().map(|it| it.plan.version)
    }

    /// Returns whether the plan in force has a service; without a plan, all count.
    pub fn has_service(&self, name: &str) -> bool {
        self.plan.as_ref().is_none_or(|record| {
            let mut services = record.plan.services.iter();
            services.any(|it| it.name == name)
        })
    }

    /// Returns the index of the first log entry that the state may refer to, or of the next one if it
    /// refers to none.
    pub fn first_needed_entry(&self) -> u64 {
        let next = self.index + 1;
        self.jobs.first_entry().map_or(next, |it| it.min(next))
    }

    /// Sets the index of a state that was decoded from the snapshot at `index`.
    pub fn adopt(&mut self, index: u64) {
        self.index = index;
        self.jobs.set_first_entries(index + 1);
    }

    /// Advances the index past a log entry without a command.
    pub fn skip(&mut self, index: u64) {
        self.index = index;
    }

    /// Applies the command of the log entry at `index`.
    pub fn apply(&mut self, index: u64, command: StateCommand) {
        self.index = index;
        match command {
            StateCommand::ReplacePlan { plan, document } => self.replace_plan(*plan, document),
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
                self.jobs.submit(index, *submission);
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
            StateCommand::BeginStream { stream, build } => self.streams.insert(stream, build),
            StateCommand::LeaveTarget {
                id,
                born,
                departed,
                follows,
                unserved,
                any_start: false,
            } => self.record_leaving(
                id,
                follows,
                LeavingTarget {
                    born,
                    departed,
                    index,
                    may_return: false,
                    unserved,
                    any_start: false,
                },
            ),
            StateCommand::LeaveTarget { id, .. } => self.record_unknown_departure(index, id),
            StateCommand::ReturnTarget { id, born } => self.record_return(index, &id, born),
        }
    }

    /// Returns whether a change is in force and no entry that is still to be applied can undo it, so
    /// that it can be confirmed without an entry of its own.
    ///
    /// An evacuation and its end undo each other, and the other one may have been proposed before.
    pub fn has_for_good(&self, command: &StateCommand) -> bool {
        match command {
            StateCommand::ReplacePlan { plan, .. } => {
                self.plan_version().is_some_and(|it| it >= plan.version)
            }
            StateCommand::NameVersion { model, version } => {
                self.weights.get(model).is_some_and(|it| it >= version)
            }
            StateCommand::Retire(instance) => self.retiring.contains(instance),
            _ => false,
        }
    }

    /// Puts a plan in force if its version is higher.
    fn replace_plan(&mut self, mut plan: RoutingPlan, document: Bytes) {
        if self.plan_version().is_some_and(|it| it >= plan.version) {
            return;
        }
        match &self.plan {
            Some(earlier) => plan.retain_customers(&earlier.plan),
            None => plan.former_customers.clear(),
        }
        self.plan = Some(PlanRecord { plan, document });
    }

    /// Returns whether the state records that a target leaves, at least in the given way.
    pub fn is_leaving(&self, id: &str, born: u64, departed: bool) -> bool {
        let known = self.leaving.get(id);
        known.is_some_and(|it| it.born > born || (it.born == born && it.departed >= departed))
    }

    /// Returns whether the state records that a target leaves, and not because of a departure that may
    /// have been an earlier start's.
    pub fn has_left_for_good(&self, id: &str, born: u64) -> bool {
        let known = self.leaving.get(id);
        known.is_some_and(|it| it.born > born || (it.born == born && !it.may_return))
    }

    /// Returns whether a departure of a target is recorded that was that of an unknown start.
    pub fn has_departed_unknown(&self, id: &str) -> bool {
        self.leaving.get(id).is_some_and(|it| it.any_start)
    }

    /// Returns whether a departure is recorded that may have been that of this start.
    pub fn may_have_departed(&self, id: &str, born: u64) -> bool {
        self.is_leaving(id, born, true) || self.has_departed_unknown(id)
    }

    /// Records how a start leaves, unless that is known. `follows` tells whether the leader knew an
    /// earlier start.
    fn record_leaving(&mut self, id: String, follows: bool, mut target: LeavingTarget) {
        if self.is_leaving(&id, target.born, target.departed) {
            return;
        }
        let known = self.leaving.get(&id);
        let has_drained = known.is_some_and(|it| it.born == target.born);
        let follows = follows || known.is_some_and(|it| it.born < target.born);
        target.may_return = target.departed && follows && !has_drained;
        self.insert_leaving(id, target);
    }

    /// Records that an unknown start departed. What is known of an earlier one stays.
    fn record_unknown_departure(&mut self, index: u64, id: String) {
        if let Some(known) = self.leaving.get_mut(&id) {
            known.any_start = true;
            known.index = index;
            return;
        }
        let target = LeavingTarget {
            born: 0,
            departed: true,
            index,
            may_return: true,
            unserved: true,
            any_start: true,
        };
        self.insert_leaving(id, target);
    }

    /// Adds a leaving target, in place of the oldest one of its class if there are too many.
    fn insert_leaving(&mut self, id: String, target: LeavingTarget) {
        let unserved = target.unserved;
        self.leaving.insert(id, target);
        let class = || self.leaving.iter().filter(|it| it.1.unserved == unserved);
        if class().count() <= MAX_LEAVING_TARGETS {
            return;
        }
        let oldest = class().min_by_key(|(_, it)| it.index);
        if let Some(id) = oldest.map(|(id, _)| id.clone()) {
            self.leaving.remove(&id);
        }
    }

    /// Replaces the departure of a start by that of all earlier ones.
    fn record_return(&mut self, index: u64, id: &str, born: u64) {
        let known = self.leaving.get_mut(id);
        let is_undone = |it: &&mut LeavingTarget| {
            (it.born == born && it.may_return) || (it.any_start && it.born <= born)
        };
        if let Some(known) = known.filter(is_undone) {
            *known = LeavingTarget {
                born: born.saturating_sub(1),
                departed: true,
                index,
                may_return: false,
                any_start: false,
                ..*known
            };
        }
    }

    fn close_window(&mut self, window: u64, counts: UsageCounts) {
        let oldest = self.windows.keys().next().copied();
        let full = self.windows.len() >= MAX_CLOSED_WINDOWS;
        if full && oldest.is_some_and(|it| window < it) {
            return;
        }
        // The first counts of a window are final, since they may have been reported already.
        self.windows.entry(window).or_insert(WindowRecord {
            counts,
            reported: false,
        });
        while self.windows.len() > MAX_CLOSED_WINDOWS {
            self.windows.pop_first();
        }
    }
}
