//! State and periodic work of the leader.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::sync::oneshot;

use super::core::CallOrigin;
use super::core::KeeperCore;
use super::helpers::SentHelpers;
use super::scoring::RewardHandle;
use super::targets::by_id;
use super::view::ViewChanges;
use crate::agenda::AgendaScope;
use crate::dialect::TargetDialect;
use crate::fleet::AcceptedOrder;
use crate::fleet::AssignmentClock;
use crate::fleet::EngineFleet;
use crate::frames::LeadHint;
use crate::frames::LeaderReply;
use crate::frames::LinkFrame;
use crate::group_listing::ListingQueue;
use crate::group_listing::ListingUnit;
use crate::metrics::METRICS;
use crate::registry::TargetRegistry;
use crate::replicated_texts::ReplicatedText;
use crate::replicated_texts::ReplicatedTexts;
use crate::retention::RetentionWatch;
use crate::run::RunProgress;
use crate::schedule::ItemScheduler;
use crate::scoring::ScoreKey;
use crate::scoring::ScoreQueue;
use crate::starts::ReturnProofs;
use crate::texts::TextKey;
use crate::turns::TurnWait;
use crate::usage::WindowCursor;
use crate::weights::WeightPlanner;
use crate::work::RunKey;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_coordination::repair::RepairConfig;
use bergamotlane_coordination::repair::RepairPlanner;
use bergamotlane_policy::rate::RateLedger;
use bergamotlane_storage::clock::now;

/// Silence after which a voter is replaced, if a spare is available, in milliseconds.
const VOTER_LOST_MS: u64 = 1_500;

/// Time without an answer to the leader after which a voter is replaced although its link is up, in
/// milliseconds. It is longer than a disk stalls.
const VOTER_SILENT_MS: u64 = 10_000;

/// Interval of group repair, usage windows, usage reports and checks for silent targets, in
/// milliseconds.
const DUTY_INTERVAL_MS: u64 = 100;

/// A caller that waits for further results of a job.
#[derive(Debug)]
pub(super) struct ResultWaiter {
    pub(super) job: String,
    /// Position of the first result to return.
    pub(super) after: u64,
    /// Time at which the caller is answered even without a result.
    pub(super) deadline: ClockTime,
    /// Whether there are results, but no room for them on the way to the caller.
    pub(super) lacks_room: bool,
    pub(super) origin: CallOrigin,
}

/// A run in progress. Dropping `stop` stops the run.
#[derive(Debug)]
pub(super) struct RunHandle {
    pub(super) job: String,
    /// Index of the item in its submission.
    pub(super) item: u32,
    pub(super) key: TextKey,
    pub(super) target: String,
    /// ID of the run under which the text is sent to the other voters.
    pub(super) text_run: u64,
    /// Number of events of the text that were sent to the other voters.
    pub(super) replicated_events: u32,
    pub(super) stop: Option<oneshot::Sender<()>>,
    pub(super) progress: Arc<RunProgress>,
    pub(super) started: ClockTime,
    /// Start time of the target's process when the run began, in milliseconds since 1970.
    pub(super) born: u64,
    /// Whether the run resumed from events of an earlier run.
    pub(super) has_resumed: bool,
}

impl RunHandle {
    /// Returns what the other voters have of the text of the run, which ends now.
    pub(super) fn replicated_text(&self, now: ClockTime) -> ReplicatedText {
        ReplicatedText {
            run: self.text_run,
            replicated_events: self.replicated_events,
            events: self.progress.text().events.len() as u32,
            ended_at: now,
        }
    }
}

/// State that a keeper holds only while it is elected.
pub(super) struct LeaderState {
    pub(super) term: u64,
    /// Whether the keeper acts as leader: its lease is valid and it has applied all committed
    /// entries.
    pub(super) active: bool,
    pub(super) registry: TargetRegistry,
    /// Evidence that departed targets still run.
    pub(super) returns: ReturnProofs,
    pub(super) scheduler: ItemScheduler,
    pub(super) weights: WeightPlanner,
    /// Engines as the scheduler and the planner see them.
    pub(super) fleet: EngineFleet,
    /// Times of the assignments of items.
    pub(super) assignments: AssignmentClock,
    pub(super) repair: RepairPlanner,
    pub(super) runs: HashMap<RunKey, RunHandle>,
    /// Texts of items between two runs.
    pub(super) replicated_texts: ReplicatedTexts,
    /// Items whose complete texts are scored before they are listed.
    pub(super) scores: ScoreQueue,
    pub(super) reward_calls: HashMap<ScoreKey, RewardHandle>,
    /// Permits for requests to targets that name a limit or are cold.
    pub(super) rates: RateLedger,
    /// Results that are held until they may be proposed.
    pub(super) listing: ListingQueue,
    /// Results to propose.
    pub(super) results: Vec<ListingUnit>,
    pub(super) waiters: Vec<ResultWaiter>,
    /// Parts of the view that changed since it was last sent.
    pub(super) changes: ViewChanges,
    /// Helpers that entries were told of.
    pub(super) helpers: SentHelpers,
    /// Control addresses that keepers were told to spread the heartbeats of targets over.
    pub(super) sent_heartbeat_keepers: BTreeSet<SocketAddr>,
    /// Services whose targets entries were sent.
    pub(super) sent_services: BTreeSet<String>,
    /// Usage windows to close.
    pub(super) windows: WindowCursor,
    /// Usage window whose report is in progress.
    pub(super) reporting: Option<u64>,
    /// Earliest time for the next usage report.
    pub(super) report_after: ClockTime,
    /// Latest end of the waits for a turn that were logged.
    waits_logged: ClockTime,
    /// Last weight order that each engine accepted.
    pub(super) accepted_orders: BTreeMap<String, AcceptedOrder>,
    /// Time from which changes of the targets are sent again.
    pub(super) views_due: ClockTime,
    duties_due: ClockTime,
    pub(super) weights_due: ClockTime,
    pub(super) pace_due: ClockTime,
    /// Jobs that have no route.
    pub(super) retention: RetentionWatch,
    pub(super) forget_due: ClockTime,
}

impl LeaderState {
    /// Logs a wait for a turn, unless one that lasts as long was logged in this term.
    pub(super) fn log_wait(&mut self, time: ClockTime, subject: &str, wait: TurnWait) {
        if wait.until <= self.waits_logged {
            return;
        }
        self.waits_logged = wait.until;
        spdlog::info!("duties: waits for its turn", kv: {
            subject,
            term = self.term,
            left_ms = wait.until.since(time),
            cause = format!("{:?}", wait.cause),
        });
    }
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Creates the leader's state for a term that this keeper was elected for. It starts to act
    /// only in [`Self::activate_leadership`].
    pub(super) fn begin_leadership(&mut self, term: u64) {
        let time = now();
        let repair = RepairConfig {
            voter_count: self.settings.voters,
            lost_after_ms: VOTER_LOST_MS,
            silent_after_ms: VOTER_SILENT_MS,
        };
        let mut registry = TargetRegistry::default();
        registry.restore(time, self.last_targets.values());
        self.lead = Some(LeaderState {
            term,
            active: false,
            registry,
            returns: ReturnProofs::default(),
            scheduler: ItemScheduler::default(),
            weights: WeightPlanner::default(),
            fleet: EngineFleet::default(),
            assignments: AssignmentClock::default(),
            repair: RepairPlanner::new(time, repair),
            runs: HashMap::new(),
            replicated_texts: ReplicatedTexts::default(),
            scores: ScoreQueue::default(),
            reward_calls: HashMap::new(),
            rates: RateLedger::of_new_owner(time),
            listing: ListingQueue::default(),
            results: Vec::new(),
            waiters: Vec::new(),
            changes: ViewChanges::default(),
            helpers: SentHelpers::default(),
            sent_heartbeat_keepers: BTreeSet::new(),
            sent_services: BTreeSet::new(),
            windows: WindowCursor::default(),
            reporting: None,
            report_after: time,
            waits_logged: time,
            accepted_orders: BTreeMap::new(),
            views_due: time,
            duties_due: time,
            weights_due: time,
            pace_due: time,
            retention: RetentionWatch::default(),
            forget_due: time,
        });
    }

    /// Drops the leader's state and answers all waiting callers.
    pub(super) fn end_leadership(&mut self) {
        self.lease.set(ClockTime::default());
        METRICS.lead_term.set(0);
        METRICS.jobs_open.reset();
        METRICS.oldest_open_job_seconds.reset();
        self.store_texts(None);
        let Some(lead) = self.lead.take() else {
            return;
        };
        self.last_targets = by_id(lead.registry.views(now()));
        for waiter in lead.waiters {
            self.reply(waiter.origin, LeaderReply::NotLeader);
        }
        // A later leader may still commit these changes.
        for (_, pending) in std::mem::take(&mut self.pending) {
            self.reply(pending.origin, LeaderReply::Unclear);
        }
        self.set_hint(LeadHint {
            leads: false,
            term: lead.term,
        });
        // Runs and reward calls stop when their handles are dropped with `lead`.
        spdlog::info!("lead: ended", kv: { term = lead.term, runs = lead.runs.len() });
    }

    /// Announces whether this keeper leads, immediately and with every later heartbeat.
    fn set_hint(&self, hint: LeadHint) {
        self.hub.set_hint(hint);
        for link in self.links.keys() {
            self.hub.send(*link, &LinkFrame::Ping(hint));
        }
    }

    /// Starts a transfer of leadership, if this keeper leads, to a voter of the first of these sets that
    /// has another one.
    pub(super) fn transfer_leadership(&mut self, successors: &[&BTreeSet<NodeId>]) {
        self.list_held_results();
        let Some(voter) = &mut self.voter else {
            return;
        };
        let mut choices = successors.iter();
        if choices.any(|it| voter.node.transfer_leadership(it, &mut self.outputs)) {
            spdlog::info!("lead: transfer to another voter requested");
        }
    }

    pub(super) fn on_members_changed(&mut self) {
        self.restart_text_replication();
        self.log_members();
        self.directory.set_members(self.members());
        self.update_peers();
        if let Some(lead) = &mut self.lead {
            lead.changes.keepers = true;
        }
    }

    fn log_members(&self) {
        let Some(voter) = &self.voter else {
            return;
        };
        let membership = voter.node.membership();
        let mut voters: Vec<&str> = membership
            .voters
            .values()
            .map(|it| it.name.as_str())
            .collect();
        voters.sort_unstable();
        spdlog::info!("consensus: members changed", kv: {
            voters = voters.join(","),
            learners = membership.learners.len(),
        });
    }

    /// Updates the lease, then does the leader's periodic work, or suspends it while this keeper is
    /// not the confirmed leader.
    pub(super) fn leader_tick(&mut self) {
        let time = now();
        let until = self
            .voter
            .as_ref()
            .and_then(|it| it.node.lease_until(time))
            .unwrap_or_default();
        self.lease.set(until);
        if !self.is_confirmed_leader() {
            self.suspend_leadership(time);
            return;
        }
        self.activate_leadership();
        let Some(lead) = &mut self.lead else {
            return;
        };
        if time >= lead.duties_due {
            lead.duties_due = time + DUTY_INTERVAL_MS;
            lead.registry.expire(time);
            self.repair_group(time);
            self.run_duties(time);
            self.update_rates(time);
            self.expire_suspects(time);
            self.update_helpers(time);
        }
        self.expire_items(time);
        self.assign_items(time);
        self.make_reward_calls(time);
        self.order_weights_if_due(time);
        if self.lead.as_ref().is_some_and(|it| time >= it.views_due) {
            self.push_views();
        }
        self.answer_waiters(None);
        self.collect_due_results(time);
        self.flush_results();
        self.check_run_paces(time);
        self.forget_jobs(time);
    }

    /// Stops all runs of a leader whose lease has expired, and keeps their partial texts.
    fn suspend_leadership(&mut self, time: ClockTime) {
        if self.lead.as_ref().is_some_and(|it| it.active) {
            self.store_texts(None);
        }
        let expired = self.lead.as_mut().filter(|it| it.active);
        let Some(lead) = expired else {
            return;
        };
        spdlog::warn!("lead: lease expired", kv: { term = lead.term, at_ms = time.0 });
        lead.active = false;
        lead.runs.clear();
        lead.replicated_texts.clear();
        lead.scheduler.clear();
        lead.scores = ScoreQueue::default();
        lead.reward_calls.clear();
        lead.listing = ListingQueue::default();
        lead.results.clear();
        let term = lead.term;
        let waiters = std::mem::take(&mut lead.waiters);
        for waiter in waiters {
            self.reply(waiter.origin, LeaderReply::NotLeader);
        }
        self.set_hint(LeadHint { leads: false, term });
    }

    /// Starts to act as leader, with all open jobs admitted to the scheduler.
    fn activate_leadership(&mut self) {
        let Some(lead) = self.lead.as_mut().filter(|it| !it.active) else {
            return;
        };
        lead.active = true;
        lead.changes = ViewChanges::all();
        let term = lead.term;
        self.mark_leaving_targets();
        self.hub.set_hint(LeadHint { leads: true, term });
        spdlog::info!("lead: begun", kv: { term, jobs = self.state.jobs.iter().count() });
        self.update_agenda(&AgendaScope::All);
    }

    /// Applies to the registry which targets have left or drain, as committed under any leader.
    fn mark_leaving_targets(&mut self) {
        if let Some(mut starts) = self.target_starts() {
            starts.apply_leaving(now());
        }
    }
}
