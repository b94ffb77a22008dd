//! What a leader's scheduler holds, derived from the committed state and the plan in force.
//!
//! The scheduler starts items of exactly the jobs that have open items and a route, each with the
//! constraints that its route sets. A leader applies [`Agenda::changes`] to it when it begins and after
//! every command, so that it starts the same items as a leader that begins at that moment. Runs in
//! progress go on when the route of their job is removed.

use std::collections::BTreeSet;

use crate::ages::JobAges;
use crate::plan::RouteIndex;
use crate::schedule::ItemScheduler;
use crate::state::ServiceState;
use crate::state::StateCommand;
use crate::work::JobConstraints;
use bergamotlane_coordination::clock::ClockTime;

/// Jobs whose place in the scheduler may have changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgendaScope {
    /// The jobs with these IDs.
    Jobs(BTreeSet<String>),
    /// All jobs in the state or in the scheduler.
    All,
}

impl AgendaScope {
    /// Returns the jobs that a command may concern.
    pub fn of(command: &StateCommand) -> Self {
        let jobs = match command {
            StateCommand::ReplacePlan { .. } => return Self::All,
            StateCommand::Submit(submission) => BTreeSet::from([submission.id.clone()]),
            StateCommand::List(results) => results.iter().map(|(job, _)| job.clone()).collect(),
            StateCommand::EndJob(job) => BTreeSet::from([job.clone()]),
            StateCommand::ForgetJobs(jobs) => jobs.iter().cloned().collect(),
            // What these change is read anew whenever items are assigned.
            StateCommand::Evacuate(_)
            | StateCommand::Restore(_)
            | StateCommand::NameVersion { .. }
            | StateCommand::CloseWindow { .. }
            | StateCommand::WindowReported(_)
            | StateCommand::Retire(_)
            | StateCommand::BeginStream { .. }
            | StateCommand::LeaveTarget { .. }
            | StateCommand::ReturnTarget { .. } => BTreeSet::new(),
        };
        Self::Jobs(jobs)
    }
}

/// Change that brings a scheduler up to date.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgendaChange {
    /// Adds the job with this ID and its open items.
    Admit(String, JobConstraints),
    /// Replaces the constraints on the later runs of a job.
    Constrain(String, JobConstraints),
    /// Starts no more runs of a job, which has no route at the moment.
    Hold(String),
    /// Drops a job, which has no open items.
    Drop(String),
}

/// Place of a job in the scheduler.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AgendaPlace {
    /// The job is unknown or settled.
    Absent,
    /// No route matches the job, so that none of its items may start.
    OnHold,
    /// Its items may start under these constraints.
    Scheduled(JobConstraints),
}

/// Inputs that decide what the scheduler holds.
#[derive(Debug, Clone, Copy)]
pub struct Agenda<'a> {
    /// Committed state.
    pub state: &'a ServiceState,
    /// Index of the plan in force, if any.
    pub routes: Option<&'a RouteIndex>,
    /// Ages of the jobs.
    pub ages: &'a JobAges,
    /// Time that stands for the first sight of a job of unknown age.
    pub now: ClockTime,
}

impl Agenda<'_> {
    /// Returns the place that a job must have in the scheduler.
    pub fn place(&self, job: &str) -> AgendaPlace {
        let record = self.state.jobs.get(job).filter(|it| !it.is_settled());
        let Some(submission) = record.map(|it| &it.submission) else {
            return AgendaPlace::Absent;
        };
        let route = self
            .routes
            .and_then(|it| it.route(&submission.host, &submission.path));
        let Some(route) = route else {
            return AgendaPlace::OnHold;
        };
        let digest = blake3::hash(submission.id.as_bytes());
        // The hash of the job ID spreads jobs over the services of a traffic split.
        let split_point = f64::from(digest.as_bytes()[0]) / 256.0;
        let first_seen = self.ages.first_seen_at(job).unwrap_or(self.now);
        AgendaPlace::Scheduled(JobConstraints {
            due: first_seen + route.result_deadline_ms,
            expires: first_seen + route.item_ttl_ms,
            service: route.service_at(split_point).unwrap_or_default().to_owned(),
            model: submission.model.clone(),
            min_version: submission.min_version,
            single_version: route.single_version,
            max_attempts: route.max_attempts.max(1),
        })
    }

    /// Returns the changes that bring the jobs of a scope in a scheduler up to date.
    pub fn changes(&self, scope: &AgendaScope, scheduler: &ItemScheduler) -> Vec<AgendaChange> {
        let change_of = |job: &String| {
            let id = job.clone();
            match (self.place(job), scheduler.constraints(job)) {
                (AgendaPlace::Scheduled(wanted), None) => Some(AgendaChange::Admit(id, wanted)),
                (AgendaPlace::Scheduled(wanted), Some(held)) if wanted != *held => {
                    Some(AgendaChange::Constrain(id, wanted))
                }
                (AgendaPlace::OnHold, Some(held)) if !held.is_on_hold() => {
                    Some(AgendaChange::Hold(id))
                }
                (AgendaPlace::Absent, Some(_)) => Some(AgendaChange::Drop(id)),
                _ => None,
            }
        };
        match scope {
            AgendaScope::Jobs(jobs) => jobs.iter().filter_map(change_of).collect(),
            AgendaScope::All => {
                let known = self.state.jobs.iter().map(|(id, _)| id);
                let held = scheduler.jobs().map(|(id, _)| id);
                let jobs: BTreeSet<&String> = known.chain(held).collect();
                jobs.into_iter().filter_map(change_of).collect()
            }
        }
    }
}
