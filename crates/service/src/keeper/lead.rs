//! What only the leader holds and does.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use tokio::sync::oneshot;

use super::core::CallOrigin;
use super::core::KeeperCore;
use super::view::ViewChanges;
use crate::dialect::TargetDialect;
use crate::frames::LeadHint;
use crate::frames::LeaderReply;
use crate::frames::LinkFrame;
use crate::jobs::ItemResult;
use crate::link::LinkId;
use crate::metrics::METRICS;
use crate::registry::TargetRegistry;
use crate::run::RunProgress;
use crate::schedule::ItemScheduler;
use crate::state::StateCommand;
use crate::texts::TextKey;
use crate::weights::WeightPlanner;
use crate::work::RunKey;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::repair::RepairConfig;
use bergamotlane_coordination::repair::RepairPlanner;
use bergamotlane_storage::clock::now;
use bergamotlane_storage::clock::unix_ms;

/// Silence after which a voter is replaced if a spare is there, in milliseconds.
const VOTER_LOST_MS: u64 = 1_500;

/// Time between two looks at repair and duties, in milliseconds.
const DUTY_INTERVAL_MS: u64 = 100;

/// Time between two looks at the engines' weights, in milliseconds.
const WEIGHTS_INTERVAL_MS: u64 = 20;

/// Time between two looks at the pace of runs, in milliseconds.
const PACE_INTERVAL_MS: u64 = 200;

/// Time between two searches for jobs to forget, in milliseconds.
const FORGET_INTERVAL_MS: u64 = 5_000;

/// Time that a job is kept longer than it can be asked for, in milliseconds.
const FORGET_MARGIN_MS: u64 = 30_000;

/// A reader that waits for a result.
#[derive(Debug)]
pub(super) struct ResultWaiter {
    pub(super) job: String,
    pub(super) after: u64,
    pub(super) until: ClockTime,
    pub(super) origin: CallOrigin,
}

/// A run and the means to stop it.
#[derive(Debug)]
pub(super) struct RunHandle {
    pub(super) job: String,
    pub(super) item: u32,
    pub(super) key: TextKey,
    pub(super) target: String,
    /// Events of the text that other keepers were told.
    pub(super) told: u32,
    pub(super) stop: Option<oneshot::Sender<()>>,
    pub(super) progress: Arc<RunProgress>,
    pub(super) started: ClockTime,
}

pub(super) struct LeadState {
    pub(super) term: u64,
    pub(super) active: bool,
    pub(super) registry: TargetRegistry,
    pub(super) scheduler: ItemScheduler,
    pub(super) weights: WeightPlanner,
    pub(super) repair: RepairPlanner,
    pub(super) runs: HashMap<RunKey, RunHandle>,
    pub(super) results: Vec<(String, ItemResult)>,
    pub(super) waiters: Vec<ResultWaiter>,
    pub(super) changes: ViewChanges,
    pub(super) told: BTreeSet<LinkId>,
    pub(super) next_window: u64,
    pub(super) reporting: Option<u64>,
    pub(super) report_after: ClockTime,
    pub(super) loaded: BTreeMap<String, (String, u64, ClockTime)>,
    duty_at: ClockTime,
    weights_at: ClockTime,
    pace_at: ClockTime,
    forget_at: ClockTime,
}

/// What a change does beside the state itself.
#[derive(Debug)]
pub(super) enum ChangeEffect {
    Nothing,
    View,
    JobAdded(String),
    Listed(Vec<String>),
    JobEnded(String),
}

impl<D: TargetDialect> KeeperCore<D> {
    pub(super) fn begin_lead(&mut self, term: u64) {
        let time = now();
        let repair = RepairConfig {
            voter_count: self.settings.voters,
            lost_after_ms: VOTER_LOST_MS,
        };
        let mut registry = TargetRegistry::default();
        registry.restore(time, &self.last_targets);
        let window = unix_ms() / self.settings.usage_window_ms.max(1);
        let closed = self.state.windows.keys().next_back().map(|it| it + 1);
        self.lead = Some(LeadState {
            term,
            active: false,
            registry,
            scheduler: ItemScheduler::default(),
            weights: WeightPlanner::default(),
            repair: RepairPlanner::new(time, repair),
            runs: HashMap::new(),
            results: Vec::new(),
            waiters: Vec::new(),
            changes: ViewChanges::default(),
            told: BTreeSet::new(),
            next_window: closed.unwrap_or(window),
            reporting: None,
            report_after: time,
            loaded: BTreeMap::new(),
            duty_at: time,
            weights_at: time,
            pace_at: time,
            forget_at: time,
        });
    }

    pub(super) fn end_lead(&mut self) {
        self.lease.set(ClockTime::default());
        METRICS.lead_term.set(0);
        self.keep_texts(None);
        let Some(lead) = self.lead.take() else {
            return;
        };
        self.last_targets = lead.registry.views(now());
        for waiter in lead.waiters {
            self.reply(waiter.origin, LeaderReply::NotLeader);
        }
        // The changes may still be committed by the next leader.
        for (_, pending) in std::mem::take(&mut self.pending) {
            self.reply(pending.origin, LeaderReply::Unclear);
        }
        self.set_hint(LeadHint {
            leads: false,
            term: lead.term,
        });
        // Dropping the handles stops the runs.
        spdlog::info!("lead: ended", kv: { term = lead.term, runs = lead.runs.len() });
    }

    fn set_hint(&self, hint: LeadHint) {
        self.hub.set_hint(hint);
        for link in self.links.keys() {
            self.hub.send(*link, &LinkFrame::Ping(hint));
        }
    }

    pub(super) fn transfer_leadership(&mut self) {
        if let Some(voter) = &mut self.voter
            && voter.node.transfer_leadership(&mut self.outputs)
        {
            spdlog::info!("lead: passed on");
        }
    }

    pub(super) fn members_changed(&mut self) {
        self.share_texts_anew();
        if let Some(lead) = &mut self.lead {
            lead.changes.keepers = true;
        }
    }

    pub(super) fn effect_of(&self, command: &StateCommand) -> ChangeEffect {
        match command {
            StateCommand::ReplacePlan { .. }
            | StateCommand::Evacuate(_)
            | StateCommand::Restore(_) => ChangeEffect::View,
            StateCommand::Submit(submission) => ChangeEffect::JobAdded(submission.id.clone()),
            StateCommand::List(results) => {
                let mut jobs: Vec<String> = results.iter().map(|(job, _)| job.clone()).collect();
                jobs.dedup();
                ChangeEffect::Listed(jobs)
            }
            StateCommand::EndJob(job) => ChangeEffect::JobEnded(job.clone()),
            _ => ChangeEffect::Nothing,
        }
    }

    pub(super) fn take_effect(&mut self, effect: ChangeEffect) {
        if !self.lead.as_ref().is_some_and(|it| it.active) {
            return;
        }
        match effect {
            ChangeEffect::Nothing => {}
            ChangeEffect::View => {
                if let Some(lead) = &mut self.lead {
                    lead.changes.plan = true;
                    lead.changes.zones = true;
                }
                self.route_jobs();
                self.push_views();
            }
            ChangeEffect::JobAdded(job) => self.admit_job(&job),
            ChangeEffect::Listed(jobs) => {
                for job in jobs {
                    self.answer_waiters(Some(&job));
                    self.drop_settled(&job);
                }
            }
            ChangeEffect::JobEnded(job) => {
                self.log_ended(&job);
                self.stop_job(&job);
                self.answer_waiters(Some(&job));
            }
        }
    }

    pub(super) fn lead_tick(&mut self) {
        let time = now();
        let until = self
            .voter
            .as_ref()
            .and_then(|it| it.node.lease_until(time))
            .unwrap_or_default();
        self.lease.set(until);
        if !self.is_confirmed() {
            self.rest(time);
            return;
        }
        self.activate();
        let Some(lead) = &mut self.lead else {
            return;
        };
        if lead.registry.expire(time) {
            lead.changes.targets = true;
        }
        if time >= lead.duty_at {
            lead.duty_at = time + DUTY_INTERVAL_MS;
            self.repair_group(time);
            self.do_duties(time);
        }
        self.expire_items(time);
        self.assign_items(time);
        self.tend_weights(time);
        self.push_views();
        self.answer_waiters(None);
        self.flush_results();
        self.look_at_paces(time);
        self.forget_jobs(time);
    }

    /// Orders weights; an engine that has just got runs is not idle, so items come first.
    fn tend_weights(&mut self, time: ClockTime) {
        let Some(lead) = self.lead.as_mut().filter(|it| time >= it.weights_at) else {
            return;
        };
        lead.weights_at = time + WEIGHTS_INTERVAL_MS;
        self.order_weights(time);
    }

    /// Stops the runs of a leader whose lease has lapsed.
    fn rest(&mut self, time: ClockTime) {
        if self.lead.as_ref().is_some_and(|it| it.active) {
            self.keep_texts(None);
        }
        let lapsed = self.lead.as_mut().filter(|it| it.active);
        let Some(lead) = lapsed else {
            return;
        };
        spdlog::warn!("lead: lease lapsed", kv: { term = lead.term, at_ms = time.0 });
        lead.active = false;
        lead.runs.clear();
        lead.scheduler.clear();
        lead.results.clear();
        lead.told.clear();
        let term = lead.term;
        let waiters = std::mem::take(&mut lead.waiters);
        for waiter in waiters {
            self.reply(waiter.origin, LeaderReply::NotLeader);
        }
        self.set_hint(LeadHint { leads: false, term });
    }

    fn activate(&mut self) {
        let Some(lead) = self.lead.as_mut().filter(|it| !it.active) else {
            return;
        };
        lead.active = true;
        lead.changes = ViewChanges::all();
        let term = lead.term;
        self.hub.set_hint(LeadHint { leads: true, term });
        spdlog::info!("lead: begun", kv: { term, jobs = self.state.jobs.iter().count() });
        let open: Vec<String> = self
            .state
            .jobs
            .iter()
            .filter(|(_, job)| !job.is_settled())
            .map(|(id, _)| id.clone())
            .collect();
        for job in open {
            self.admit_job(&job);
        }
    }

    fn look_at_paces(&mut self, time: ClockTime) {
        let engines = self.engine_slots(time);
        let log_bytes = self.voter.as_ref().map_or(0, |it| it.folder.log_bytes());
        let Some(lead) = &mut self.lead else {
            return;
        };
        if time < lead.pace_at {
            return;
        }
        lead.pace_at = time + PACE_INTERVAL_MS;
        METRICS.lead_term.set(lead.term as i64);
        METRICS.items_waiting.set(lead.scheduler.waiting() as i64);
        METRICS.runs_active.set(lead.runs.len() as i64);
        METRICS.targets.set(lead.registry.iter().count() as i64);
        METRICS.log_bytes.set(log_bytes as i64);
        for (key, run) in &lead.runs {
            if let Some(pace) = run.progress.pace_ms() {
                lead.scheduler.observe(*key, pace);
            }
        }
        for key in lead.scheduler.slow_runs(time, &engines) {
            if let Some(run) = lead.runs.get_mut(&key) {
                spdlog::info!("item: moved off a slow engine", kv: { job = run.job.as_str(), item = run.item });
                run.stop = None;
            }
        }
    }

    fn forget_jobs(&mut self, time: ClockTime) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if time < lead.forget_at {
            return;
        }
        lead.forget_at = time + FORGET_INTERVAL_MS;
        let kept = self.settings.job_retention_ms + FORGET_MARGIN_MS;
        let old: Vec<String> = self
            .state
            .jobs
            .iter()
            .filter(|(_, job)| job.is_settled())
            .filter(|(id, _)| {
                let seen = self.seen_at.get(*id);
                seen.is_some_and(|at| time.since(*at) > kept)
            })
            .map(|(id, _)| id.clone())
            .collect();
        if !old.is_empty() {
            self.propose(&StateCommand::ForgetJobs(old), CallOrigin::Nobody);
        }
    }
}
