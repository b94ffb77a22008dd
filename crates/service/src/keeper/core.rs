//! State and event loop of the control thread.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::KeeperEvent;
use super::KeeperSettings;
use super::duties::CLOSE_DELAY_MS;
use super::inputs::KeeperInputs;
use super::lead::LeaderState;
use super::memory::MemoryReport;
use super::snapshots::SnapshotTurn;
use super::snapshots::thresholds_of;
use super::start::LogReplay;
use super::start::log_texts;
use super::start::open_folder;
use super::submissions::SubmissionGate;
use super::targets::load_targets;
use crate::ages::JobAges;
use crate::budget::ResourceBudget;
use crate::dialect::TargetDialect;
use crate::directory::GroupMembers;
use crate::directory::KeeperDirectory;
use crate::forward::Forwarder;
use crate::frames::HelloFrame;
use crate::heartbeats::HeartbeatBook;
use crate::input_order::InputQueue;
use crate::leader_client::CallResult;
use crate::leader_client::LeaderClient;
use crate::leader_client::PendingCalls;
use crate::lease_watch::LeaseWatch;
use crate::leaving::LeavingMarks;
use crate::link::LinkHub;
use crate::link::LinkId;
use crate::plan::RouteIndex;
use crate::pool::TargetPool;
use crate::registry::TargetView;
use crate::state::ServiceState;
use crate::text_journal::TextJournal;
use crate::texts::TextStore;
use crate::turns::DutyTurns;
use crate::turns::waiting_ms;
use crate::usage::UsageTally;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusConfig;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::NodeStart;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_storage::DataFolder;
use bergamotlane_storage::DiskVoter;
use bergamotlane_storage::FolderContent;
use bergamotlane_storage::clock::now;

/// Longest time between two checks of the timers.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Least time between two checks of the timers, in milliseconds. Events that arrive within it share
/// one check, whose cost grows with the number of targets and jobs.
const MIN_TICK_MS: u64 = 4;

/// Interval at which expired connections and calls are dropped, in milliseconds.
const PRUNE_INTERVAL_MS: u64 = 200;

/// Delay before a failed data folder is opened again, in milliseconds.
const REOPEN_DELAY_MS: u64 = 500;

/// Largest size of the youngest commands of the log that are kept in memory, in bytes.
const MAX_LOG_TAIL_BYTES: usize = 4 * 1024 * 1024;

/// Largest size of the committed entries that are applied between two checks of the timers, in bytes.
const MAX_APPLY_BYTES: usize = 8 * 1024 * 1024;

/// Timing of heartbeats, leases and elections.
const CONSENSUS_CONFIG: ConsensusConfig = ConsensusConfig {
    heartbeat_ms: 100,
    lease_ms: 900,
    election_spread_ms: 300,
};

/// Destination of the reply to a call.
#[derive(Debug)]
pub(super) enum CallOrigin {
    /// A caller in this process.
    Local(oneshot::Sender<CallResult>),
    /// The process at the other end of a link, with the call's ID there.
    Link(LinkId, u64),
    /// This keeper, which proposed the change as leader; no reply is sent.
    Leader,
}

/// Ways from the control thread to the rest of the process.
#[derive(Debug)]
pub(super) struct KeeperChannels {
    pub(super) leader: LeaderClient,
    pub(super) hub: Arc<LinkHub>,
    pub(super) events: mpsc::UnboundedSender<KeeperEvent>,
}

/// A proposed change that has not been applied yet.
#[derive(Debug)]
pub(super) struct PendingChange {
    /// Term in which it was proposed.
    pub(super) term: u64,
    /// Caller that waits for the outcome.
    pub(super) origin: CallOrigin,
}

/// All control state of a keeper.
pub(super) struct KeeperCore<D> {
    pub(super) settings: KeeperSettings,
    pub(super) dialect: D,
    pub(super) hello: HelloFrame,
    pub(super) hub: Arc<LinkHub>,
    pub(super) runtime: Handle,
    pub(super) events: mpsc::UnboundedSender<KeeperEvent>,
    pub(super) pool: Arc<TargetPool>,
    /// Forwards reward calls.
    pub(super) forwarder: Arc<Forwarder<D>>,
    pub(super) lease: LeaseWatch,
    pub(super) turns: DutyTurns,
    /// Consensus node and its data folder; `None` after storage failed.
    pub(super) voter: Option<DiskVoter>,
    /// Earliest time for the next attempt to open a failed data folder.
    pub(super) reopen_at: ClockTime,
    /// Outputs of the consensus node that have not been processed yet.
    pub(super) outputs: Vec<ConsensusOutput>,
    /// Replicated state, as far as it has been applied.
    pub(super) state: ServiceState,
    /// Index of the plan in force, if any.
    pub(super) routes: Option<Arc<RouteIndex>>,
    pub(super) ages: JobAges,
    /// Open links, each with the peer's introduction and whether this process dialled it.
    pub(super) links: BTreeMap<LinkId, (HelloFrame, bool)>,
    /// Time from which a link that comes up names the node of the data folder.
    pub(super) links_from: ClockTime,
    /// Known keepers, from which those to link to are chosen.
    pub(super) directory: KeeperDirectory,
    /// Time at which expired connections and calls are dropped next.
    prune_due: ClockTime,
    /// Members that linked processes were last told of.
    pub(super) sent_members: GroupMembers,
    /// Time of the next update of the links.
    pub(super) peers_due: ClockTime,
    /// Proposed changes by log index.
    pub(super) pending: BTreeMap<u64, PendingChange>,
    /// Calls that were sent to another keeper as leader.
    pub(super) calls: PendingCalls,
    /// Term of the known leader, and the link to it.
    pub(super) leader: Option<(u64, LinkId)>,
    /// State of this keeper's leadership, while it is elected.
    pub(super) lead: Option<LeaderState>,
    /// Last known targets, which a new leader starts from.
    pub(super) last_targets: BTreeMap<String, TargetView>,
    /// Targets that told this keeper, or told others while it led, that they leave.
    pub(super) leaving: LeavingMarks,
    /// Heartbeats that this keeper takes for the leader.
    pub(super) heartbeats: HeartbeatBook,
    /// Term of the leader whose view was received last.
    pub(super) view_term: u64,
    /// Time at which the last known targets must be saved, if they changed.
    pub(super) targets_due: Option<ClockTime>,
    pub(super) tally: UsageTally,
    /// Time from which all entries have sent their usage to this process.
    pub(super) usage_known_at: ClockTime,
    /// Partial texts that later runs of their items resume from.
    pub(super) texts: TextStore,
    /// Journal of the partial texts; `None` if it could not be opened.
    pub(super) text_journal: Option<TextJournal>,
    /// Time of the next replication of partial texts.
    pub(super) texts_due: ClockTime,
    pub(super) snapshot: SnapshotTurn,
    pub(super) memory: MemoryReport,
    /// What is left of the start; `None` once all entries that the folder held are applied.
    pub(super) replay: Option<LogReplay>,
    /// Shares of the memory and the disk.
    pub(super) budget: ResourceBudget,
    pub(super) submissions: SubmissionGate,
}

fn open_voter(
    folder: DataFolder,
    content: FolderContent,
    time: ClockTime,
    budget: &ResourceBudget,
) -> DiskVoter {
    let start = NodeStart {
        node: NodeId(folder.identity().node),
        vote: content.vote,
        log: content.log,
        applied: content.applied,
        seed: rand::random(),
    };
    let snapshots = thresholds_of(start.node, budget.disk_bytes);
    let mut node = ConsensusNode::new(time, CONSENSUS_CONFIG, start);
    node.limit_applied(MAX_APPLY_BYTES.min(budget.apply_bytes as usize));
    DiskVoter {
        snapshots,
        node,
        folder,
        log_tail_bytes: MAX_LOG_TAIL_BYTES.min(budget.log_tail_bytes as usize),
    }
}

/// Opens the journal of partial texts and returns it with the texts of an earlier run of the process.
/// Half of `share_bytes` is for the texts, the other one for the copy that their journal needs.
fn open_texts(
    data: &Path,
    time: ClockTime,
    share_bytes: usize,
) -> (Option<TextJournal>, TextStore) {
    let started = now();
    let mut texts = TextStore::with_limit(share_bytes / 2);
    let journal = TextJournal::open(data, share_bytes, |delta| {
        texts.apply_delta(time, delta);
    });
    let journal = journal.inspect_err(|error| {
        spdlog::warn!("texts: no journal, texts are in memory alone", kv: { error = error.to_string() });
    });
    let journal = journal.ok();
    log_texts(started, journal.as_ref(), &texts);
    (journal, texts)
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Must be called within the runtime that the keeper's tasks run on.
    pub(super) fn new(
        settings: KeeperSettings,
        dialect: D,
        channels: KeeperChannels,
        hello: HelloFrame,
        folder: (DataFolder, FolderContent),
        budget: ResourceBudget,
    ) -> Self {
        let KeeperChannels {
            leader,
            hub,
            events,
        } = channels;
        let time = now();
        let last_targets = load_targets(&settings.data);
        let (text_journal, texts) = open_texts(&settings.data, time, budget.texts_bytes as usize);
        let directory = KeeperDirectory::new(time, &settings.name, settings.seeds.clone());
        let (folder, mut content) = folder;
        content.mark_replacement(settings.may_bootstrap);
        let may_have_led = content.vote.may_have_led;
        let turn_ms = waiting_ms(settings.duty_turn_ms);
        spdlog::info!("duties: turns begin", kv: { may_have_led, turn_ms });
        let mut voter = open_voter(folder, content, time, &budget);
        if may_have_led {
            voter.node.stand_back(time, time + turn_ms);
        }
        let mut core = Self {
            voter: Some(voter),
            forwarder: Arc::new(Forwarder::new(
                dialect.clone(),
                leader,
                &settings.name,
                &settings.zone,
                settings.usage_window_ms,
            )),
            settings,
            dialect,
            hello,
            hub,
            runtime: Handle::current(),
            events,
            pool: TargetPool::resetting(),
            lease: LeaseWatch::default(),
            turns: DutyTurns::new(time, turn_ms, may_have_led),
            reopen_at: time,
            outputs: Vec::new(),
            state: ServiceState::default(),
            routes: None,
            ages: JobAges::default(),
            links: BTreeMap::new(),
            links_from: time,
            directory,
            prune_due: time,
            sent_members: GroupMembers::default(),
            peers_due: time,
            pending: BTreeMap::new(),
            calls: PendingCalls::default(),
            leader: None,
            lead: None,
            last_targets,
            leaving: LeavingMarks::default(),
            heartbeats: HeartbeatBook::default(),
            view_term: 0,
            targets_due: None,
            tally: UsageTally::default(),
            usage_known_at: time + CLOSE_DELAY_MS,
            texts,
            text_journal,
            texts_due: time,
            snapshot: SnapshotTurn::default(),
            memory: MemoryReport::default(),
            replay: None,
            submissions: SubmissionGate::new(&budget),
            budget,
        };
        core.restore_from_disk();
        core.directory.set_members(core.members());
        core.update_peers();
        core
    }

    /// Runs the event loop. It never returns, so the control thread lasts as long as the process.
    pub(super) async fn run(mut self, mut inputs: KeeperInputs) {
        let mut tick_due = now();
        let mut has_pending = false;
        let mut queue = InputQueue::default();
        loop {
            // After a timeout without input, only timers remain to be checked.
            let is_pending = std::mem::replace(&mut has_pending, false);
            let limit = match is_pending {
                true => Duration::from_millis(MIN_TICK_MS),
                false => TICK_INTERVAL,
            };
            let first = match queue.is_empty() {
                true => timeout(limit, inputs.next()).await.ok(),
                // What the last turn left is not held up until something comes.
                false => None,
            };
            inputs.collect(now(), first, &mut queue);
            self.handle_turn(&mut inputs, &mut queue);
            self.process_outputs();
            let time = now();
            has_pending = time < tick_due;
            if !has_pending {
                tick_due = time + MIN_TICK_MS;
                self.tick();
                // The next portion of a log that is being replayed needs no input.
                has_pending = self
                    .voter
                    .as_ref()
                    .is_some_and(|it| it.node.has_unapplied());
            }
        }
    }

    fn tick(&mut self) {
        let time = now();
        self.reopen_folder(time);
        self.update_peers_if_due(time);
        if let Some(voter) = &mut self.voter {
            voter.node.tick(time, &mut self.outputs);
        }
        self.try_bootstrap(time);
        self.process_outputs();
        self.leader_tick();
        self.process_outputs();
        self.send_heartbeats(time);
        self.maintain_texts(time);
        self.save_targets_if_due(time);
        self.report_replay();
        self.report_memory(time);
        if time >= self.prune_due {
            self.prune_due = time + PRUNE_INTERVAL_MS;
            self.calls.prune();
            self.forwarder.prune();
        }
    }

    /// Reopens the data folder after storage failed and restores the state from it.
    fn reopen_folder(&mut self, time: ClockTime) {
        if self.voter.is_some() || time < self.reopen_at {
            return;
        }
        self.reopen_at = time + REOPEN_DELAY_MS;
        match open_folder(&self.settings.data) {
            Ok((folder, mut content)) => {
                content.mark_replacement(false);
                spdlog::info!("storage: data folder reopened");
                self.adopt_identity(time, folder.identity());
                self.voter = Some(open_voter(folder, content, time, &self.budget));
                self.store_cluster();
                if self.voter.is_none() {
                    return;
                }
                self.state = ServiceState::default();
                self.routes = None;
                self.reset_snapshots();
                self.restore_from_disk();
            }
            Err(error) => {
                spdlog::warn!("storage: data folder could not be reopened", kv: { error = error.to_string() });
            }
        }
    }
}
