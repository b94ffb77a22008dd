//! State and loop of the control thread.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::KeeperEvent;
use super::KeeperSettings;
use super::LeaseWatch;
use super::lead::LeadState;
use super::targets::load_targets;
use crate::dialect::TargetDialect;
use crate::frames::HelloFrame;
use crate::frames::LeadHint;
use crate::frames::LeaderReply;
use crate::frames::LinkFrame;
use crate::leader_client::CallRequest;
use crate::leader_client::CallResult;
use crate::leader_client::PendingCalls;
use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::link::LinkId;
use crate::pool::TargetPool;
use crate::registry::TargetView;
use crate::state::ServiceState;
use crate::texts::TextStore;
use crate::usage::UsageTally;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusConfig;
use bergamotlane_coordination::consensus::ConsensusMessage;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::NodeStart;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_storage::DataFolder;
use bergamotlane_storage::DiskVoter;
use bergamotlane_storage::FolderContent;
use bergamotlane_storage::SnapshotThresholds;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::ConsensusMessageWire;

/// Time between two looks at the timers.
const TICK: Duration = Duration::from_millis(20);

/// Inputs taken before the timers are looked at again.
const INPUT_BATCH: usize = 256;

/// Pause before a failed data folder is opened again, in milliseconds.
const REOPEN_PAUSE_MS: u64 = 500;

const SNAPSHOTS: SnapshotThresholds = SnapshotThresholds {
    log_bytes: 128 * 1024 * 1024,
    entries: 200_000,
};

const CONSENSUS: ConsensusConfig = ConsensusConfig {
    heartbeat_ms: 100,
    lease_ms: 900,
    election_spread_ms: 300,
};

/// Where the answer to a call goes.
#[derive(Debug)]
pub(super) enum CallOrigin {
    Local(oneshot::Sender<CallResult>),
    Link(LinkId, u64),
    Nobody,
}

/// A proposed change whose caller waits for it.
#[derive(Debug)]
pub(super) struct PendingChange {
    pub(super) term: u64,
    pub(super) origin: CallOrigin,
}

pub(super) struct KeeperCore<D> {
    pub(super) settings: KeeperSettings,
    pub(super) dialect: D,
    pub(super) hello: HelloFrame,
    pub(super) hub: Arc<LinkHub>,
    pub(super) runtime: Handle,
    pub(super) events: mpsc::UnboundedSender<KeeperEvent>,
    pub(super) pool: Arc<TargetPool>,
    pub(super) lease: LeaseWatch,
    pub(super) voter: Option<DiskVoter>,
    pub(super) reopen_at: ClockTime,
    pub(super) outputs: Vec<ConsensusOutput>,
    pub(super) state: ServiceState,
    pub(super) seen_at: HashMap<String, ClockTime>,
    pub(super) links: BTreeMap<LinkId, (HelloFrame, bool)>,
    pub(super) keepers: BTreeMap<SocketAddr, ClockTime>,
    pub(super) pending: BTreeMap<u64, PendingChange>,
    pub(super) calls: PendingCalls,
    pub(super) leader: Option<(u64, LinkId)>,
    pub(super) lead: Option<LeadState>,
    pub(super) last_targets: Vec<TargetView>,
    pub(super) targets_due: Option<ClockTime>,
    pub(super) tally: UsageTally,
    pub(super) texts: TextStore,
    pub(super) texts_due: ClockTime,
}

fn open_voter(folder: DataFolder, content: FolderContent, time: ClockTime) -> DiskVoter {
    let start = NodeStart {
        node: NodeId(folder.identity().node),
        vote: content.vote,
        log: content.log,
        seed: rand::random(),
    };
    DiskVoter {
        node: ConsensusNode::new(time, CONSENSUS, start),
        folder,
        snapshots: SNAPSHOTS,
    }
}

impl<D: TargetDialect> KeeperCore<D> {
    pub(super) fn new(
        settings: KeeperSettings,
        dialect: D,
        hello: HelloFrame,
        folder: (DataFolder, FolderContent),
        hub: Arc<LinkHub>,
        runtime: Handle,
        events: mpsc::UnboundedSender<KeeperEvent>,
    ) -> Self {
        let time = now();
        let last_targets = load_targets(&settings.data);
        let mut core = Self {
            voter: Some(open_voter(folder.0, folder.1, time)),
            settings,
            dialect,
            hello,
            hub,
            runtime,
            events,
            pool: TargetPool::new(),
            lease: LeaseWatch::default(),
            reopen_at: time,
            outputs: Vec::new(),
            state: ServiceState::default(),
            seen_at: HashMap::new(),
            links: BTreeMap::new(),
            keepers: BTreeMap::new(),
            pending: BTreeMap::new(),
            calls: PendingCalls::default(),
            leader: None,
            lead: None,
            last_targets,
            targets_due: None,
            tally: UsageTally::default(),
            texts: TextStore::default(),
            texts_due: time,
        };
        core.restore_from_disk();
        core.dial();
        core
    }

    pub(super) async fn run(
        mut self,
        mut links: mpsc::UnboundedReceiver<LinkEvent>,
        mut requests: mpsc::UnboundedReceiver<CallRequest>,
        mut inputs: mpsc::UnboundedReceiver<KeeperEvent>,
    ) {
        loop {
            let wait = async {
                tokio::select! {
                    Some(event) = links.recv() => self.on_link(event),
                    Some(request) = requests.recv() => self.on_request(request),
                    Some(event) = inputs.recv() => self.on_event(event),
                }
            };
            // Running out of time means that only timers are due.
            timeout(TICK, wait).await.ok();
            for _ in 0..INPUT_BATCH {
                let mut idle = true;
                if let Ok(event) = links.try_recv() {
                    self.on_link(event);
                    idle = false;
                }
                if let Ok(request) = requests.try_recv() {
                    self.on_request(request);
                    idle = false;
                }
                if let Ok(event) = inputs.try_recv() {
                    self.on_event(event);
                    idle = false;
                }
                if idle {
                    break;
                }
            }
            self.tick();
        }
    }

    fn on_link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up {
                link,
                hello,
                dialled,
            } => self.on_link_up(link, hello, dialled),
            LinkEvent::Down(link) => self.on_link_down(link),
            LinkEvent::Frame(link, frame) => self.on_frame(link, frame),
        }
    }

    fn on_frame(&mut self, link: LinkId, frame: LinkFrame) {
        match frame {
            LinkFrame::Ping(hint) => self.on_hint(link, hint),
            LinkFrame::Consensus(message) => self.on_consensus(link, message),
            LinkFrame::Call { id, call } => self.handle_call(call, CallOrigin::Link(link, id)),
            LinkFrame::Reply { id, reply } => self.calls.answer(id, reply),
            LinkFrame::View(view) => {
                if let Some(targets) = view.targets {
                    self.last_targets = targets;
                    self.targets_changed();
                }
                self.on_hint(
                    link,
                    LeadHint {
                        leads: true,
                        term: view.term,
                    },
                );
                if let Some(keepers) = view.keepers {
                    let time = now();
                    let known = self.keepers.len();
                    for address in keepers {
                        self.keepers.entry(address).or_insert(time);
                    }
                    if self.keepers.len() != known {
                        self.dial();
                    }
                }
            }
            LinkFrame::Usage { process, sums } => self.tally.merge(process, sums),
            LinkFrame::Texts(shares) => self.take_texts(shares),
            LinkFrame::Hello(_) => {}
        }
    }

    fn on_consensus(&mut self, link: LinkId, wire: ConsensusMessageWire) {
        let node = self.links.get(&link).and_then(|(hello, _)| hello.node);
        let (Some(node), Some(voter)) = (node, &mut self.voter) else {
            return;
        };
        match ConsensusMessage::try_from(wire) {
            Ok(message) => {
                voter
                    .node
                    .receive(now(), NodeId(node), message, &mut self.outputs);
            }
            Err(error) => {
                spdlog::warn!("consensus: bad message dropped", kv: { error = error.to_string() });
            }
        }
        self.carry_out();
    }

    fn on_request(&mut self, request: CallRequest) {
        if self.is_confirmed() {
            self.handle_call(request.call, CallOrigin::Local(request.reply));
            return;
        }
        let link = self.leader.map(|(_, link)| link);
        self.calls.send(&self.hub, link, request);
    }

    fn on_event(&mut self, event: KeeperEvent) {
        match event {
            KeeperEvent::RunEnded(run, end) => self.on_run_ended(run, end),
            KeeperEvent::Ordered {
                id,
                born,
                model,
                version,
                answer,
            } => self.on_ordered(&id, born, &model, version, answer),
            KeeperEvent::Inspected { id, born, report } => {
                self.on_inspected(&id, born, report.as_ref());
            }
            KeeperEvent::Reported { window, taken } => self.on_reported(window, taken),
            KeeperEvent::Seeds(seeds) => {
                self.settings.seeds = seeds;
                self.dial();
            }
            KeeperEvent::TransferLeadership(done) => {
                self.transfer_leadership();
                done.send(()).ok();
            }
        }
    }

    pub(super) fn reply(&self, origin: CallOrigin, reply: LeaderReply) {
        match origin {
            CallOrigin::Local(sender) => {
                // The caller may have left.
                sender.send(CallResult::Answered(reply)).ok();
            }
            CallOrigin::Link(link, id) => {
                self.hub.send(link, &LinkFrame::Reply { id, reply });
            }
            CallOrigin::Nobody => {}
        }
    }

    fn tick(&mut self) {
        let time = now();
        self.reopen(time);
        if let Some(voter) = &mut self.voter {
            voter.node.tick(time, &mut self.outputs);
        }
        self.found_group(time);
        self.carry_out();
        self.lead_tick();
        self.carry_out();
        self.tend_texts(time);
        self.save_targets(time);
        self.calls.prune();
    }

    /// Opens the data folder again after storage has failed.
    fn reopen(&mut self, time: ClockTime) {
        if self.voter.is_some() || time < self.reopen_at {
            return;
        }
        self.reopen_at = time + REOPEN_PAUSE_MS;
        match DataFolder::open(&self.settings.data, NodeId(rand::random())) {
            Ok((folder, content)) => {
                spdlog::info!("storage: opened again");
                self.voter = Some(open_voter(folder, content, time));
                self.state = ServiceState::default();
                self.restore_from_disk();
            }
            Err(error) => {
                spdlog::warn!("storage: still unusable", kv: { error = error.to_string() });
            }
        }
    }
}
