//! Handling of calls that entries and the control interface make to the leader.

use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::LeaderCall;
use crate::frames::LeaderReply;
use crate::jobs::JobRecord;
use crate::jobs::JobSubmission;
use crate::leaving::LeavingStart;
use crate::metrics::METRICS;
use crate::registry::AnnouncementEffect;
use crate::registry::TargetAnnouncement;
use crate::software::SoftwareBuild;
use crate::starts::TargetStarts;
use crate::state::StateCommand;
use crate::streams::StreamKey;
use bergamotlane_policy::rate::PermitClaim;
use bergamotlane_policy::rate::RequestRate;
use bergamotlane_policy::suspect::RequestDigest;
use bergamotlane_policy::suspect::TargetStart;
use bergamotlane_storage::clock::now;

/// Whether a caller may see a job.
#[derive(Debug)]
pub(super) enum JobAccess<'a> {
    /// It may.
    Granted(&'a JobRecord),
    /// There is no such job for this caller.
    Denied,
    /// The caller's entry knows another plan than this keeper, so that the caller's customer is not known.
    Unsure,
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Returns whether this keeper leads with a valid lease and has applied every entry that is
    /// known to be committed, those of earlier terms included.
    pub(super) fn is_confirmed_leader(&self) -> bool {
        let Some(voter) = &self.voter else {
            return false;
        };
        let confirmed = voter.node.confirmed_commit(now());
        confirmed.is_some_and(|index| self.state.index >= index) && self.lead.is_some()
    }

    pub(super) fn handle_call(&mut self, call: LeaderCall, origin: CallOrigin) {
        if !self.is_confirmed_leader() {
            let reply = self.replica_reply(&call, &origin);
            self.reply(origin, reply);
            return;
        }
        match call {
            LeaderCall::Change(command) => self.handle_change(&command, origin),
            LeaderCall::EndJob { job, customer } => self.end_job(job, customer.as_deref(), origin),
            LeaderCall::Announce(announcement) => self.announce(announcement, origin),
            LeaderCall::Depart(id) => self.depart(&id, origin),
            LeaderCall::ReadPlan => {
                let reply = match &self.state.plan {
                    Some(record) => LeaderReply::Document(record.document.clone()),
                    None => LeaderReply::Missing,
                };
                self.reply(origin, reply);
            }
            LeaderCall::ReadJob {
                job,
                customer,
                after,
                wait_ms,
            } => self.read_job(job, customer, after, wait_ms, origin),
            LeaderCall::ReadItem {
                job,
                customer,
                item,
            } => {
                let reply = self.read_item(&job, customer.as_deref(), &item);
                self.reply(origin, reply);
            }
            LeaderCall::Permit {
                target,
                rate,
                max_wait_ms,
                is_cold,
            } => {
                let claim = match max_wait_ms {
                    Some(max_wait_ms) => PermitClaim::Caller(max_wait_ms),
                    None => PermitClaim::Background,
                };
                let rate = (rate > 0).then_some(RequestRate(rate));
                self.give_permit(&target, rate, claim, is_cold, origin);
            }
            LeaderCall::ReportCrash {
                digest,
                target,
                born,
            } => self.record_crash(
                RequestDigest(digest),
                TargetStart { id: target, born },
                origin,
            ),
            LeaderCall::ClearSuspect(digest) => self.clear_suspect(RequestDigest(digest), origin),
            LeaderCall::NameLimit {
                target,
                rate,
                age_ms,
            } => {
                self.name_limit(&target, rate.map(RequestRate), now() - age_ms);
                self.reply(origin, LeaderReply::Done);
            }
            LeaderCall::TargetLeaving(start) => self.mark_leaving(start, origin),
            LeaderCall::BeginStream { stream, build } => self.begin_stream(stream, build, origin),
            LeaderCall::FindStream(stream) => {
                let reply = match self.state.streams.get(stream) {
                    Some(build) => LeaderReply::Stream(build.clone()),
                    None => LeaderReply::Missing,
                };
                self.reply(origin, reply);
            }
            LeaderCall::Retire(instance) => self.retire(instance, origin),
            LeaderCall::RetireState(instance) => self.report_retirement(&instance, origin),
        }
    }

    /// Returns the reply of a keeper that doesn't lead: to a read of results that it has applied, these
    /// results.
    fn replica_reply(&mut self, call: &LeaderCall, origin: &CallOrigin) -> LeaderReply {
        let LeaderCall::ReadJob {
            job,
            customer,
            after,
            ..
        } = call
        else {
            return LeaderReply::NotLeader;
        };
        let page = self.read_applied(job, customer.as_deref(), *after, origin);
        page.unwrap_or(LeaderReply::NotLeader)
    }

    /// Proposes a change; one that the state has for good is confirmed without an entry.
    fn handle_change(&mut self, command: &StateCommand, origin: CallOrigin) {
        if let StateCommand::Submit(submission) = command
            && let Some(reply) = self.known_submission(submission)
        {
            self.reply(origin, reply);
            return;
        }
        if self.state.has_for_good(command) {
            self.reply(origin, LeaderReply::Done);
            return;
        }
        match command {
            StateCommand::Submit(submission) => self.submit_job(command, submission, origin),
            _ => self.propose(command, origin),
        }
    }

    /// Records which build begins a stream, unless another one has begun it.
    fn begin_stream(&mut self, stream: StreamKey, build: SoftwareBuild, origin: CallOrigin) {
        match self.state.streams.get(stream) {
            Some(known) if *known == build => self.reply(origin, LeaderReply::Done),
            Some(_) => self.reply(origin, LeaderReply::Conflict),
            None => self.propose(&StateCommand::BeginStream { stream, build }, origin),
        }
    }

    /// Returns the reply to a submission whose ID is that of a known job, if it is: the job is accepted
    /// once, and another one can't have its ID.
    fn known_submission(&self, submission: &JobSubmission) -> Option<LeaderReply> {
        self.state.jobs.get(&submission.id)?;
        let reply = match self.customer_job(&submission.id, submission.owner()) {
            JobAccess::Granted(record)
                if record.submission.content_digest() == submission.content_digest() =>
            {
                LeaderReply::Done
            }
            JobAccess::Unsure => LeaderReply::NotLeader,
            JobAccess::Granted(_) | JobAccess::Denied => {
                spdlog::warn!("job: refused, another one has its ID", kv: {
                    job = submission.id.as_str(),
                    customer = submission.owner().unwrap_or_default(),
                });
                LeaderReply::Missing
            }
        };
        Some(reply)
    }

    /// Returns whether a caller of a customer, or of none, may see a job.
    ///
    /// A job without an owner is everybody's. While the plan names no customers, callers aren't told
    /// apart but by the keys that they last had; one without such a key may see every job.
    pub(super) fn customer_job(&self, job: &str, customer: Option<&str>) -> JobAccess<'_> {
        let Some(record) = self.state.jobs.get(job) else {
            return JobAccess::Denied;
        };
        let plan = self.state.plan.as_ref().map(|it| &it.plan);
        let names_customers = plan.is_some_and(|it| !it.customers.is_empty());
        match customer {
            _ if record.submission.is_open_to(customer) => JobAccess::Granted(record),
            Some(_) => JobAccess::Denied,
            None if names_customers => JobAccess::Unsure,
            None => JobAccess::Granted(record),
        }
    }

    fn end_job(&mut self, job: String, customer: Option<&str>, origin: CallOrigin) {
        match self.customer_job(&job, customer) {
            JobAccess::Denied => self.reply(origin, LeaderReply::Missing),
            JobAccess::Unsure => self.reply(origin, LeaderReply::NotLeader),
            JobAccess::Granted(record) if record.ended => self.reply(origin, LeaderReply::Done),
            JobAccess::Granted(_) => {
                self.stop_job(&job);
                self.propose(&StateCommand::EndJob(job), origin);
            }
        }
    }

    /// Records what a target announces, whether or not the plan in force has its service.
    fn announce(&mut self, announcement: TargetAnnouncement, origin: CallOrigin) {
        let is_served = self.state.has_service(&announcement.service);
        let Some(mut starts) = self.target_starts() else {
            return;
        };
        let start = announcement.leaving_start();
        let (id, born) = (start.id.as_str(), start.born);
        let draining = announcement.is_draining;
        let software = announcement.software.clone().unwrap_or_default();
        let outcome = starts.announce(now(), announcement);
        if outcome.is_refused {
            spdlog::warn!("target: announcement refused, it names a service out of the plan", kv: { target = id, born });
            self.reply(origin, LeaderReply::Missing);
            return;
        }
        if outcome.effect == AnnouncementEffect::Changed {
            spdlog::info!("target: changed", kv: {
                target = id,
                born,
                software = software.as_str(),
                draining,
                is_served,
            });
        }
        if outcome.is_back {
            spdlog::warn!("target: runs on after a departure that was not its own", kv: { target = id, born });
        }
        if draining {
            self.push_views();
            self.confirm(outcome.command, origin);
            return;
        }
        if let Some(command) = &outcome.command {
            self.propose(command, CallOrigin::Leader);
        }
        let reply = self.announced(id);
        self.reply(origin, reply);
    }

    /// Returns what this keeper knows of the targets' starts, if it leads.
    pub(super) fn target_starts(&mut self) -> Option<TargetStarts<'_>> {
        let lead = self.lead.as_mut()?;
        Some(TargetStarts {
            registry: &mut lead.registry,
            returns: &mut lead.returns,
            marks: &mut self.leaving,
            state: &self.state,
        })
    }

    /// Confirms a message about a target once every later leader will know what it said.
    fn confirm(&mut self, command: Option<StateCommand>, origin: CallOrigin) {
        match command {
            Some(command) => self.propose(&command, origin),
            None => self.reply(origin, LeaderReply::Done),
        }
    }

    /// Records that a target said in an answer that it leaves, and tells all processes at once.
    pub(super) fn mark_leaving(&mut self, start: LeavingStart, origin: CallOrigin) {
        let Some(mut starts) = self.target_starts() else {
            self.leaving.mark(&start);
            self.reply(origin, LeaderReply::NotLeader);
            return;
        };
        let outcome = starts.mark_leaving(now(), &start);
        // Each entry reports the target, but all of them have to be told only once.
        if outcome.effect == AnnouncementEffect::Changed {
            let LeavingStart { id, born } = &start;
            spdlog::info!("target: says that it leaves", kv: { target = id.as_str(), born = *born });
            METRICS.leaving_marks.inc();
            self.push_views();
        }
        self.confirm(outcome.command, origin);
    }

    fn depart(&mut self, id: &str, origin: CallOrigin) {
        let Some(mut starts) = self.target_starts() else {
            return;
        };
        let outcome = starts.depart(now(), id);
        let is_known = outcome.effect == AnnouncementEffect::Changed;
        let is_repeated = outcome.command.is_none();
        spdlog::info!("target: left", kv: { target = id, is_known, is_repeated });
        if is_known {
            self.push_views();
        }
        self.confirm(outcome.command, origin);
    }

    /// Returns the reply with the request body of an item that still has to run.
    fn read_item(&mut self, job: &str, customer: Option<&str>, item: &str) -> LeaderReply {
        let record = match self.customer_job(job, customer) {
            JobAccess::Granted(record) => record,
            JobAccess::Unsure => return LeaderReply::NotLeader,
            JobAccess::Denied => return LeaderReply::Missing,
        };
        let items = &record.submission.items;
        let index = items.iter().position(|it| it.id == item);
        let Some(index) = index.filter(|it| record.is_open(*it as u32)) else {
            return LeaderReply::Missing;
        };
        let body = items[index].body.clone();
        match self.read_payload(&body) {
            Some(body) => LeaderReply::Body(body),
            None => LeaderReply::NotLeader,
        }
    }
}
