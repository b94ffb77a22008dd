//! The event loop of the control thread, and the state that it owns.

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
use super::dispatch::JobDispatcher;
use super::follower::FollowerState;
use super::leader::LeaderState;
use super::publish::PublishState;
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

/// Interval of the control thread's periodic work.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of further inputs handled before a sync, so that one sync serves many.
const MAX_INPUT_BATCH: usize = 512;

/// The peer hub that reports its events to the control thread.
pub type ControlHub = PeerHub<ControlHandle>;

/// Receiver of a command's result.
#[derive(Debug)]
pub(super) enum ReplyTo {
    /// A task of this process.
    Local(oneshot::Sender<Result<ControlOutcome, SubmitFailure>>),
    /// Another instance, by process run and request nonce.
    Peer(RunId, u64),
    /// The leader itself, which reads the result from the applied state.
    Nobody,
}

/// A command that this leader has proposed and not yet applied.
#[derive(Debug)]
pub(super) struct PendingCommand {
    /// Term of the proposal.
    pub(super) term: u64,
    pub(super) reply: ReplyTo,
}

/// A command forwarded to the leader, whose result is outstanding.
#[derive(Debug)]
pub(super) struct ForwardedCommand {
    pub(super) to: RunId,
    /// Time at which the command fails as unanswered.
    pub(super) expires: ClockTime,
    pub(super) reply: oneshot::Sender<Result<ControlOutcome, SubmitFailure>>,
}

/// Another request forwarded to the leader, whose answer is outstanding.
#[derive(Debug)]
pub(super) enum ForwardedRequest {
    InForce(oneshot::Sender<Option<bool>>),
    Membership(oneshot::Sender<Result<(), String>>),
}

/// Everything that the control thread needs at its start.
pub struct ControlStart {
    /// Checked settings of the daemon.
    pub config: DaemonConfig,
    /// Random ID of this process run.
    pub run: RunId,
    /// Name, address, zone and other identity of this instance, as sent to peers.
    pub hello: HelloFrame,
    /// Handshake data shared by all connections; it receives the cluster ID once known.
    pub local: LocalHello,
    /// Connections to other daemons.
    pub hub: Arc<ControlHub>,
    /// State shared with the traffic threads, to which views are published.
    pub shared: Arc<TrafficShared>,
    /// Store of sample contents on this instance.
    pub samples: Arc<SampleStore>,
    /// Consensus node and its data folder, if a data folder is configured.
    pub voter: Option<DiskVoter>,
    /// Handle to this thread, for the tasks that it starts.
    pub handle: ControlHandle,
    /// Runtime of the tasks that this thread starts, such as gates and connections.
    pub runtime: Handle,
    /// Queue of the rollout runner.
    pub jobs: mpsc::UnboundedSender<super::RolloutJob>,
}

/// All state of the control thread.
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
    /// Outputs of the consensus node that are not yet durable.
    pub(super) outputs: Vec<ConsensusOutput>,
    /// Replicated state, with all entries applied up to its index.
    pub(super) state: ControlState,
    /// Connected daemons by process run.
    pub(super) peers: HashMap<RunId, HelloFrame>,
    /// Proposed commands by log index.
    pub(super) pending: BTreeMap<u64, PendingCommand>,
    /// Forwarded commands by nonce.
    pub(super) forwarded_commands: HashMap<u64, ForwardedCommand>,
    /// Other forwarded requests by nonce.
    pub(super) forwarded_requests: HashMap<u64, ForwardedRequest>,
    pub(super) next_nonce: u64,
    /// State that exists only while this instance leads.
    pub(super) leader_state: Option<LeaderState>,
    pub(super) follower: FollowerState,
    pub(super) publish: PublishState,
    pub(super) dispatcher: JobDispatcher,
    pub(super) meter: UsageMeter,
    /// Cluster ID; `None` until a bootstrap or a peer supplies it.
    pub(super) cluster: Option<u64>,
}

/// Runs the event loop of the control thread until all handles are dropped.
pub async fn run_control(start: ControlStart, mut inputs: mpsc::UnboundedReceiver<ControlInput>) {
    let wakeup = start.handle.wakeup();
    let mut core = ControlCore::new(start);
    let mut tick = interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        let input = tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => Some(input),
                None => return,
            },
            () = wakeup.notified() => {
                core.follower.ask_now();
                None
            }
            _ = tick.tick() => None,
        };
        if let Some(input) = input {
            core.handle_input(input);
        }
        for _ in 0..MAX_INPUT_BATCH {
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
            forwarded_commands: HashMap::new(),
            forwarded_requests: HashMap::new(),
            next_nonce: 0,
            leader_state: None,
            follower: FollowerState::new(time),
            publish: PublishState::default(),
            dispatcher: JobDispatcher::new(start.jobs),
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

    /// Returns a nonce for the next forwarded request, unique in this process run.
    pub(super) fn nonce(&mut self) -> u64 {
        self.next_nonce += 1;
        self.next_nonce
    }

    /// Returns this instance's own member record.
    pub(super) fn own_member_record(&self) -> MemberRecord {
        member_record(&self.hello)
    }

    /// Starts to keep a connection to `address`.
    pub(super) fn dial(&self, address: SocketAddr) {
        let _runtime = self.runtime.enter();
        self.hub.dial(address);
    }

    /// Sends a frame to a process run; returns `false` if it is not connected.
    pub(super) fn send(&self, run: RunId, frame: PeerFrame) -> bool {
        self.hub.send(run, frame)
    }

    /// Returns the process run that uses the data folder of `node`, if it is connected.
    pub(super) fn run_of_node(&self, node: NodeId) -> Option<RunId> {
        if self.hello.node == Some(node.0) {
            return Some(self.run);
        }
        let mut peers = self.peers.iter();
        peers
            .find(|(_, hello)| hello.node == Some(node.0))
            .map(|(run, _)| *run)
    }

    /// Returns the latest known membership: on the leader that of its own consensus node,
    /// elsewhere the one last received or applied.
    pub(super) fn membership(&self) -> GroupMembership {
        let own = self.voter.as_ref().map(|voter| voter.node.membership());
        match own.filter(|membership| !membership.voters.is_empty()) {
            Some(membership) if self.leader_state.is_some() => membership.clone(),
            _ => self.follower.membership.clone(),
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
            ControlInput::JobEnded(job) => self.dispatcher.finish_job(&job),
            ControlInput::TransferLeadership => self.transfer_leadership(),
        }
    }

    fn on_peer(&mut self, event: PeerEvent) {
        match event {
            PeerEvent::Connected(hello) => {
                if let Some(cluster) = hello.cluster {
                    self.set_cluster(cluster);
                }
                spdlog::info!("peer: connected to {} in zone {}", hello.name, hello.zone);
                self.peers.insert(RunId(hello.run), hello);
                self.follower.ask_now();
            }
            PeerEvent::Disconnected(run) => {
                self.peers.remove(&run);
                self.follower.on_disconnect(run);
                self.fail_forwarded_commands(|command, _| command.to == run);
            }
            PeerEvent::Frame(run, frame) => self.on_frame(run, frame),
        }
    }

    fn on_frame(&mut self, from: RunId, frame: PeerFrame) {
        match frame {
            PeerFrame::Consensus(message) => self.on_consensus(from, message),
            PeerFrame::Ask(ask) => self.on_ask(from, ask),
            PeerFrame::View(view) => self.on_view(*view),
            PeerFrame::NotLeader(hint) => self.follower.redirect(from, hint.map(RunId)),
            PeerFrame::Advance(_) => self.follower.ask_now(),
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
        self.bootstrap_group(time);
        self.process_outputs(time);
        self.leader_tick(time);
        self.process_outputs(time);
        self.follower_tick(time);
        self.process_outputs(time);
        self.publish_tick(time);
        self.dispatch_jobs();
        self.fail_forwarded_commands(|command, _| command.expires <= time);
    }

    /// Fails the forwarded commands that `is_lost` selects; the leader may have committed them.
    fn fail_forwarded_commands(&mut self, is_lost: impl Fn(&ForwardedCommand, u64) -> bool) {
        let nonces: Vec<u64> = self
            .forwarded_commands
            .iter()
            .filter(|(nonce, command)| is_lost(command, **nonce))
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in nonces {
            if let Some(forwarded) = self.forwarded_commands.remove(&nonce) {
                answer(forwarded.reply, Err(SubmitFailure::Unknown));
            }
        }
    }

    /// Returns whether the own consensus node leads.
    pub(super) fn is_leader(&self) -> bool {
        self.voter.as_ref().is_some_and(DiskVoter::leads)
    }

    /// Returns the role of the own consensus node; without one, the instance is a follower.
    pub(super) fn role(&self) -> NodeRole {
        self.voter
            .as_ref()
            .map_or(NodeRole::Follower, |voter| voter.node.role())
    }
}

/// Returns the member record of the instance that sent `hello`.
pub(super) fn member_record(hello: &HelloFrame) -> MemberRecord {
    MemberRecord {
        name: hello.name.clone(),
        address: hello.address.clone(),
        zone: hello.zone.clone(),
    }
}
