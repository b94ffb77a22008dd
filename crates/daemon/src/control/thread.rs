//! The loop of the control thread, and the state that it owns.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::interval;

use super::ControlHandle;
use super::ControlInput;
use super::answer;
use super::follow::FollowState;
use super::lead::LeadState;
use super::publish::PublishState;
use super::work::WorkState;
use crate::clock::now;
use crate::peers::LocalHello;
use crate::peers::PeerEvent;
use crate::peers::PeerHub;
use crate::platform::PlatformClient;
use crate::samples::SampleStore;
use crate::settings::DaemonConfig;
use crate::shared::TrafficShared;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::consensus::MemberRecord;
use bergamotlane_coordination::consensus::NodeRole;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::control::ControlOutcome;
use bergamotlane_policy::control::ControlState;
use bergamotlane_policy::meter::UsageMeter;
use bergamotlane_storage::DiskVoter;
use bergamotlane_wire::peer::HelloFrame;
use bergamotlane_wire::peer::PeerFrame;
use bergamotlane_wire::peer::SubmitFailure;

/// Time between two ticks of the control thread.
const TICK: Duration = Duration::from_millis(20);

/// Inputs handled between two syncs, so that one sync serves many.
const INPUT_BATCH: usize = 512;

/// The hub as the control thread uses it.
pub type ControlHub = PeerHub<ControlHandle>;

/// Who waits for the result of a command.
#[derive(Debug)]
pub(super) enum ReplyTo {
    Local(oneshot::Sender<Result<ControlOutcome, SubmitFailure>>),
    Peer(RunId, u64),
    Nobody,
}

/// A proposed command that isn't applied yet.
#[derive(Debug)]
pub(super) struct PendingCommand {
    pub(super) term: u64,
    pub(super) reply: ReplyTo,
}

/// A command forwarded to the leader.
#[derive(Debug)]
pub(super) struct ForwardedCommand {
    pub(super) to: RunId,
    pub(super) expires: ClockTime,
    pub(super) reply: oneshot::Sender<Result<ControlOutcome, SubmitFailure>>,
}

/// A question forwarded to the leader.
#[derive(Debug)]
pub(super) enum ForwardedQuestion {
    InForce(oneshot::Sender<Option<bool>>),
    Membership(oneshot::Sender<Result<(), String>>),
}

/// What the control thread starts from.
pub struct ControlStart {
    /// Settings.
    pub config: DaemonConfig,
    /// Process run.
    pub run: RunId,
    /// What the daemon says of itself.
    pub hello: HelloFrame,
    /// Hello of all connections, which learns the cluster ID.
    pub local: LocalHello,
    /// Hub.
    pub hub: Arc<ControlHub>,
    /// What traffic reads.
    pub shared: Arc<TrafficShared>,
    /// Samples held.
    pub samples: Arc<SampleStore>,
    /// Node and folder, if there is a disk.
    pub voter: Option<DiskVoter>,
    /// Way to this thread, for tasks that it starts.
    pub handle: ControlHandle,
    /// Runtime that tasks run on.
    pub runtime: Handle,
    /// Takes rollout jobs.
    pub jobs: mpsc::UnboundedSender<super::RolloutJob>,
}

/// All control state.
pub(super) struct ControlCore {
    pub(super) config: DaemonConfig,
    pub(super) run: RunId,
    pub(super) hello: HelloFrame,
    pub(super) local: LocalHello,
    pub(super) hub: Arc<ControlHub>,
    pub(super) shared: Arc<TrafficShared>,
    pub(super) samples: Arc<SampleStore>,
    pub(super) handle: ControlHandle,
    pub(super) runtime: Handle,
    pub(super) platform: Option<PlatformClient>,
    pub(super) voter: Option<DiskVoter>,
    pub(super) outputs: Vec<ConsensusOutput>,
    pub(super) state: ControlState,
    pub(super) peers: HashMap<RunId, HelloFrame>,
    pub(super) pending: BTreeMap<u64, PendingCommand>,
    pub(super) forwarded: HashMap<u64, ForwardedCommand>,
    pub(super) questions: HashMap<u64, ForwardedQuestion>,
    pub(super) next_nonce: u64,
    pub(super) lead: Option<LeadState>,
    pub(super) follow: FollowState,
    pub(super) publish: PublishState,
    pub(super) work: WorkState,
    pub(super) meter: UsageMeter,
    /// Cluster ID, once known.
    pub(super) cluster: Option<u64>,
}

/// Runs the control thread until all handles are gone.
pub async fn run_control(start: ControlStart, mut inputs: mpsc::UnboundedReceiver<ControlInput>) {
    let wakeup = start.handle.wakeup();
    let mut core = ControlCore::new(start);
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        let input = tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => Some(input),
                None => return,
            },
            () = wakeup.notified() => {
                core.follow.ask_now();
                None
            }
            _ = tick.tick() => None,
        };
        if let Some(input) = input {
            core.handle_input(input);
        }
        for _ in 0..INPUT_BATCH {
            match inputs.try_recv() {
                Ok(input) => core.handle_input(input),
                Err(_) => break,
            }
        }
        core.tick();
    }
}

impl ControlCore {
    fn new(start: ControlStart) -> Self {
        let time = now();
        let platform = start
            .config
            .platform
            .map(|address| PlatformClient::new(address, start.handle.clone()));
        let cluster = start.hello.cluster;
        let mut core = Self {
            run: start.run,
            local: start.local,
            hub: start.hub,
            samples: start.samples,
            handle: start.handle,
            runtime: start.runtime,
            platform,
            voter: start.voter,
            outputs: Vec::new(),
            state: ControlState::default(),
            peers: HashMap::new(),
            pending: BTreeMap::new(),
            forwarded: HashMap::new(),
            questions: HashMap::new(),
            next_nonce: 0,
            lead: None,
            follow: FollowState::new(time),
            publish: PublishState::default(),
            work: WorkState::new(start.jobs),
            meter: UsageMeter::default(),
            cluster,
            config: start.config,
            hello: start.hello,
            shared: start.shared,
        };
        core.restore_from_disk();
        for seed in core.config.seeds.clone() {
            core.dial(seed);
        }
        core
    }

    pub(super) fn nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        self.next_nonce
    }

    /// Returns this instance's own record as a member.
    pub(super) fn own_record(&self) -> MemberRecord {
        record_of(&self.hello)
    }

    pub(super) fn dial(&self, address: SocketAddr) {
        let _runtime = self.runtime.enter();
        self.hub.dial(address);
    }

    /// Sends a frame to a run; returns whether there is a connection.
    pub(super) fn send(&self, run: RunId, frame: PeerFrame) -> bool {
        self.hub.send(run, frame)
    }

    /// Returns the run that has the data folder `node` now.
    pub(super) fn run_of(&self, node: NodeId) -> Option<RunId> {
        if self.hello.node == Some(node.0) {
            return Some(self.run);
        }
        let mut peers = self.peers.iter();
        peers
            .find(|(_, hello)| hello.node == Some(node.0))
            .map(|(run, _)| *run)
    }

    /// Returns the membership as this instance knows it best.
    pub(super) fn membership(&self) -> GroupMembership {
        let own = self.voter.as_ref().map(|it| it.node.membership());
        match own.filter(|it| !it.voters.is_empty()) {
            Some(membership) if self.lead.is_some() => membership.clone(),
            _ => self.follow.membership.clone(),
        }
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Peer(event) => self.on_peer(event),
            ControlInput::Submit { command, reply } => self.submit(command, reply),
            ControlInput::Announce(announcement, uptime_ms) => {
                self.on_announcements(vec![(announcement, uptime_ms)]);
            }
            ControlInput::IsInForce { index, reply } => self.ask_in_force(index, reply),
            ControlInput::ChangeMembership { change, reply } => {
                self.ask_membership(change, reply);
            }
            ControlInput::Query(query) => self.answer_query(query),
            ControlInput::OrderEnded { key, id, result } => self.on_order_ended(key, id, result),
            ControlInput::ReportEnded { window, taken } => self.on_report_ended(window, taken),
            ControlInput::JobEnded(job) => self.work.ended(&job),
            ControlInput::PassLead => self.pass_lead(),
        }
    }

    fn on_peer(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Up(hello) => {
                if let Some(cluster) = hello.cluster {
                    self.set_cluster(cluster);
                }
                spdlog::info!("peer: Connected to {} in {}.", hello.name, hello.zone);
                self.peers.insert(RunId(hello.run), hello);
                self.follow.ask_now();
            }
            PeerEvent::Down(run) => {
                self.peers.remove(&run);
                self.follow.lost(run);
                self.fail_forwarded(|it, _| it.to == run);
            }
            PeerEvent::Frame(run, frame) => self.on_frame(run, frame),
        }
    }

    fn on_frame(&mut self, from: RunId, frame: PeerFrame) {
        match frame {
            PeerFrame::Consensus(message) => self.on_consensus(from, message),
            PeerFrame::Ask(ask) => self.on_ask(from, ask),
            PeerFrame::View(view) => self.on_view(*view),
            PeerFrame::NotLeader(hint) => self.follow.redirect(from, hint.map(RunId)),
            PeerFrame::Advance(_) => self.follow.ask_now(),
            PeerFrame::Submit { nonce, command } => self.on_submit(from, nonce, command),
            PeerFrame::Submitted { nonce, result } => self.on_submitted(nonce, result),
            PeerFrame::Announce(announcements) => self.on_announce_frame(announcements),
            PeerFrame::IsInForce { nonce, index } => {
                let in_force = self.in_force(index);
                self.send(from, PeerFrame::InForce { nonce, in_force });
            }
            PeerFrame::InForce { nonce, in_force } => self.on_in_force(nonce, in_force),
            PeerFrame::ChangeMembership { nonce, change } => {
                let result = self.change_membership(&change);
                self.send(from, PeerFrame::MembershipChanged { nonce, result });
            }
            PeerFrame::MembershipChanged { nonce, result } => {
                self.on_membership_changed(nonce, result);
            }
            PeerFrame::StoreSample { nonce, sample } => {
                self.samples.insert(sample);
                self.send(from, PeerFrame::SampleStored { nonce });
            }
            PeerFrame::SampleStored { nonce } => self.samples.complete_store(nonce),
            PeerFrame::GetSample { nonce, attempt } => {
                let body = self.samples.get(&attempt);
                self.send(from, PeerFrame::GotSample { nonce, body });
            }
            PeerFrame::GotSample { nonce, body } => self.samples.complete_fetch(nonce, body),
            PeerFrame::Hello(_) | PeerFrame::Proof(_) | PeerFrame::Ping => {}
        }
    }

    fn tick(&mut self) {
        let time = now();
        if let Some(voter) = &mut self.voter {
            voter.node.tick(time, &mut self.outputs);
        }
        self.found_group(time);
        self.carry_out(time);
        self.lead_tick(time);
        self.carry_out(time);
        self.follow_tick(time);
        self.carry_out(time);
        self.publish_tick(time);
        self.work_tick();
        self.fail_forwarded(|it, _| it.expires <= time);
    }

    fn fail_forwarded(&mut self, ended: impl Fn(&ForwardedCommand, u64) -> bool) {
        let nonces: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(nonce, it)| ended(it, **nonce))
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in nonces {
            if let Some(forwarded) = self.forwarded.remove(&nonce) {
                answer(forwarded.reply, Err(SubmitFailure::Unknown));
            }
        }
    }

    pub(super) fn leads(&self) -> bool {
        self.voter.as_ref().is_some_and(DiskVoter::leads)
    }

    pub(super) fn role(&self) -> NodeRole {
        self.voter
            .as_ref()
            .map_or(NodeRole::Follower, |it| it.node.role())
    }
}

/// Returns the member record of an instance that said `hello`.
pub(super) fn record_of(hello: &HelloFrame) -> MemberRecord {
    MemberRecord {
        name: hello.name.clone(),
        address: hello.address.clone(),
        zone: hello.zone.clone(),
    }
}
