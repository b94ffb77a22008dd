//! Proposes commands to the replicated log, and persists and executes the outputs of the
//! consensus node.

use bytes::Bytes;
use tokio::sync::oneshot;

use super::answer;
use super::thread::ControlCore;
use super::thread::ForwardedCommand;
use super::thread::PendingCommand;
use super::thread::ReplyTo;
use crate::clock::now;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusMessage;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_coordination::consensus::LogEntry;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::NodeRole;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::control::ControlCommand;
use bergamotlane_policy::control::ControlOutcome;
use bergamotlane_policy::control::ControlState;
use bergamotlane_wire::ConsensusMessageWire;
use bergamotlane_wire::ControlCommandWire;
use bergamotlane_wire::ControlOutcomeWire;
use bergamotlane_wire::ControlStateWire;
use bergamotlane_wire::codec;
use bergamotlane_wire::codec::WireError;
use bergamotlane_wire::peer::PeerFrame;
use bergamotlane_wire::peer::SubmitFailure;

/// Time after which a command forwarded to the leader fails as unanswered, in milliseconds.
const SUBMIT_TIMEOUT_MS: u64 = 3_000;

/// Decodes the control state from snapshot data; empty data is the initial state.
pub(super) fn read_state(data: &[u8]) -> Result<ControlState, WireError> {
    if data.is_empty() {
        return Ok(ControlState::default());
    }
    let wire: ControlStateWire = codec::decode(data)?;
    ControlState::try_from(wire)
}

/// Returns the data of a snapshot that was read from disk or received; nothing if it has none.
fn inline_data(snapshot: &LogSnapshot) -> &[u8] {
    snapshot.data.inline().map_or(&[], |data| data)
}

/// Encodes the control state as snapshot data.
pub(super) fn write_state(state: &ControlState) -> Bytes {
    codec::encode(&ControlStateWire::from(state))
}

impl ControlCore {
    /// Restores the control state and the membership from the data folder, if there is one.
    pub(super) fn restore_from_disk(&mut self) {
        let Some(voter) = &self.voter else {
            return;
        };
        match voter.read_snapshot() {
            Ok(snapshot) => match read_state(inline_data(&snapshot)) {
                Ok(state) => {
                    self.state = state;
                    self.state.skip(snapshot.index);
                }
                Err(error) => {
                    spdlog::error!("consensus: could not decode the snapshot on disk: {error}")
                }
            },
            Err(error) => spdlog::error!("consensus: could not read the snapshot: {error}"),
        }
        self.follower.membership = voter.node.membership().clone();
    }

    /// Makes the collected outputs durable with one sync, and then executes them.
    pub(super) fn process_outputs(&mut self, time: ClockTime) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        if self.outputs.is_empty() {
            return;
        }
        let outputs = std::mem::take(&mut self.outputs);
        let sync = self.shared.metrics.syncs.start_timer();
        let persisted = voter.persist(time, outputs);
        sync.observe_duration();
        match persisted {
            Ok(ready) => {
                for output in ready {
                    self.execute_output(output);
                }
            }
            Err(error) => self.on_storage_failure(&error),
        }
        self.take_snapshot();
    }

    /// Executes an output that is durable; outputs that are only saved to disk need no action.
    fn execute_output(&mut self, output: ConsensusOutput) {
        match output {
            ConsensusOutput::Send { to, message } => self.send_consensus(to, &message),
            ConsensusOutput::Apply(entry) => self.apply(entry),
            ConsensusOutput::Restore(snapshot) => {
                if snapshot.index > self.state.index {
                    self.install_state(snapshot.index, inline_data(&snapshot));
                }
                self.follower.membership = snapshot.membership;
                self.dial_members();
            }
            ConsensusOutput::RoleChanged { role, term } => self.on_role(role, term),
            ConsensusOutput::SaveVote(_)
            | ConsensusOutput::AppendEntries(_)
            | ConsensusOutput::SaveSnapshot(_) => {}
        }
    }

    /// Replaces the control state with the decoded snapshot data.
    pub(super) fn install_state(&mut self, index: u64, data: &[u8]) {
        match read_state(data) {
            Ok(state) => {
                self.state = state;
                self.state.skip(index);
                self.publish.changed = true;
            }
            Err(error) => {
                spdlog::error!("consensus: could not decode a received snapshot: {error}")
            }
        }
    }

    /// Sends a consensus message; it is dropped if its receiver isn't connected.
    fn send_consensus(&mut self, to: NodeId, message: &ConsensusMessage) {
        if let Some(run) = self.run_of_node(to) {
            let wire = ConsensusMessageWire::from(message);
            self.send(run, PeerFrame::Consensus(wire));
        }
    }

    /// Passes a consensus message to the node; senders without a data folder are ignored.
    pub(super) fn on_consensus(&mut self, from: RunId, message: ConsensusMessageWire) {
        let node = self.peers.get(&from).and_then(|hello| hello.node);
        let (Some(node), Some(voter)) = (node, &mut self.voter) else {
            return;
        };
        match ConsensusMessage::try_from(message) {
            Ok(message) => {
                let node = NodeId(node);
                voter.node.receive(now(), node, message, &mut self.outputs);
            }
            Err(error) => {
                spdlog::warn!("consensus: dropped a message that could not be decoded: {error}")
            }
        }
    }

    /// Starts or stops leading after a role change.
    fn on_role(&mut self, role: NodeRole, term: u64) {
        spdlog::info!("consensus: role changed to {role:?} in term {term}");
        match role {
            NodeRole::Leader => self.start_leading(),
            _ => self.stop_leading(),
        }
    }

    /// Applies a committed entry if it is the next one, and ignores it otherwise.
    ///
    /// A voter receives each entry both from its own node and in the leader's views.
    pub(super) fn apply(&mut self, entry: LogEntry) {
        if entry.index != self.state.index + 1 {
            return;
        }
        let index = entry.index;
        let mut outcome = None;
        let mut is_change = false;
        match entry.body {
            EntryBody::Noop => self.state.skip(index),
            EntryBody::Membership(membership) => {
                self.state.skip(index);
                self.follower.membership = membership;
                self.dial_members();
                self.roster_changed();
            }
            EntryBody::Command(bytes) => match read_command(&bytes) {
                Ok(command) => {
                    is_change = matches!(command, ControlCommand::Change { .. });
                    outcome = Some(self.state.apply(index, command));
                }
                Err(error) => {
                    spdlog::error!("consensus: skipped entry {index}: {error}");
                    self.state.skip(index);
                }
            },
            EntryBody::Stored(_) => {
                spdlog::error!("consensus: entry {index} came without its command");
                return;
            }
        }
        self.publish.changed |= is_change;
        self.complete_pending(index, entry.term, outcome);
        if is_change && self.leader_state.is_some() {
            self.announce_advance(index);
        }
    }

    /// Replies to the command proposed at `index`, if this instance proposed one.
    fn complete_pending(&mut self, index: u64, term: u64, outcome: Option<ControlOutcome>) {
        let Some(pending) = self.pending.remove(&index) else {
            return;
        };
        // An entry of another term at this index means that the proposed one is never committed.
        let result = match outcome {
            Some(outcome) if pending.term == term => Ok(outcome),
            _ => Err(SubmitFailure::NotTaken),
        };
        self.reply(pending.reply, result);
    }

    /// Sends the result of a command to its submitter.
    pub(super) fn reply(&mut self, to: ReplyTo, result: Result<ControlOutcome, SubmitFailure>) {
        match to {
            ReplyTo::Local(reply) => answer(reply, result),
            ReplyTo::Peer(run, nonce) => {
                let result = result.map(|outcome| ControlOutcomeWire::from(&outcome));
                self.send(run, PeerFrame::Submitted { nonce, result });
            }
            ReplyTo::Nobody => {}
        }
    }

    /// Appends a command to the log as the leader; the reply follows once it is applied.
    pub(super) fn propose(&mut self, command: &ControlCommand, reply: ReplyTo) {
        let bytes = codec::encode(&ControlCommandWire::from(command));
        let Some(voter) = &mut self.voter else {
            self.reply(reply, Err(SubmitFailure::NotTaken));
            return;
        };
        match voter.node.propose(now(), bytes, &mut self.outputs) {
            Ok(index) => {
                let term = voter.node.term();
                let pending = PendingCommand { term, reply };
                if let Some(old) = self.pending.insert(index, pending) {
                    self.reply(old.reply, Err(SubmitFailure::NotTaken));
                }
            }
            Err(_) => self.reply(reply, Err(SubmitFailure::NotTaken)),
        }
    }

    /// Proposes a command on the leader, or forwards it to the leader from elsewhere.
    pub(super) fn submit(
        &mut self,
        command: ControlCommand,
        reply: oneshot::Sender<Result<ControlOutcome, SubmitFailure>>,
    ) {
        if self.is_leader() {
            self.propose(&command, ReplyTo::Local(reply));
            return;
        }
        let nonce = self.nonce();
        let command = ControlCommandWire::from(&command);
        let leader = self.follower.leader;
        let sent = leader.filter(|run| self.send(*run, PeerFrame::Submit { nonce, command }));
        let Some(to) = sent else {
            answer(reply, Err(SubmitFailure::NotTaken));
            return;
        };
        let expires = now() + SUBMIT_TIMEOUT_MS;
        self.forwarded_commands
            .insert(nonce, ForwardedCommand { to, expires, reply });
    }

    /// Proposes a command that another instance forwarded.
    pub(super) fn on_submit(&mut self, from: RunId, nonce: u64, command: ControlCommandWire) {
        let reply = ReplyTo::Peer(from, nonce);
        match ControlCommand::try_from(command) {
            Ok(command) if self.is_leader() => self.propose(&command, reply),
            _ => self.reply(reply, Err(SubmitFailure::NotTaken)),
        }
    }

    /// Replies with the leader's result of a forwarded command.
    pub(super) fn on_submitted(
        &mut self,
        nonce: u64,
        result: Result<ControlOutcomeWire, SubmitFailure>,
    ) {
        let Some(forwarded) = self.forwarded_commands.remove(&nonce) else {
            return;
        };
        let result = result
            .and_then(|wire| ControlOutcome::try_from(wire).map_err(|_| SubmitFailure::Unknown));
        answer(forwarded.reply, result);
    }

    /// Writes a snapshot and compacts the log, if the voter's thresholds are reached.
    fn take_snapshot(&mut self) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        if !voter.needs_snapshot() {
            return;
        }
        let index = self.state.index;
        let Some(writer) = voter.start_snapshot(index) else {
            return;
        };
        let taken = match writer.write(&write_state(&self.state)) {
            Ok(written) => {
                voter.finish_snapshot(written);
                voter.release_log(index + 1)
            }
            Err(error) => Err(error),
        };
        if let Err(error) = taken {
            self.on_storage_failure(&error);
        }
    }

    /// Starts connections to the group's members that are not dialled yet.
    pub(super) fn dial_members(&self) {
        for (_, record) in self.follower.membership.members() {
            if let Ok(address) = record.address.parse() {
                self.dial(address);
            }
        }
    }
}

fn read_command(bytes: &[u8]) -> Result<ControlCommand, WireError> {
    let wire: ControlCommandWire = codec::decode(bytes)?;
    ControlCommand::try_from(wire)
}
