//! Proposal of changes, processing of the consensus node's outputs, and application of entries.

use std::sync::Arc;

use bytes::Bytes;

use super::core::CallOrigin;
use super::core::KeeperCore;
use super::core::PendingChange;
use crate::agenda::AgendaScope;
use crate::dialect::TargetDialect;
use crate::frames::LeaderReply;
use crate::frames::LinkFrame;
use crate::frames::STATE_FORMAT;
use crate::link::LinkId;
use crate::metrics::METRICS;
use crate::payload::decode_command;
use crate::payload::encode_command;
use crate::plan::RouteIndex;
use crate::state::ServiceState;
use crate::state::StateCommand;
use bergamotlane_coordination::consensus::ConsensusMessage;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_coordination::consensus::LogEntry;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::NodeRole;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_storage::StorageError;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::ConsensusMessageWire;
use bergamotlane_wire::codec;

impl<D: TargetDialect> KeeperCore<D> {
    /// Restores the state from the snapshot in the data folder; later entries are applied once
    /// they are known to be committed.
    pub(super) fn restore_from_disk(&mut self) {
        let Some(voter) = &self.voter else {
            return;
        };
        let started = now();
        let last = voter.node.log().last_index();
        match voter.read_snapshot() {
            Ok(snapshot) => {
                self.restore(&snapshot);
                let bytes = snapshot.data.inline().map_or(0, Bytes::len);
                self.log_restored(started, bytes, last);
            }
            Err(error) => self.handle_storage_failure(&error),
        }
    }

    /// Replaces the state with that of a snapshot.
    fn restore(&mut self, snapshot: &LogSnapshot) {
        if let Some(data) = snapshot.data.inline().filter(|it| !it.is_empty()) {
            match codec::decode::<ServiceState>(data) {
                Ok(state) => self.state = state,
                Err(error) => {
                    spdlog::error!("storage: snapshot could not be decoded", kv: { error = error.to_string() });
                    self.close_folder();
                    return;
                }
            }
        }
        self.state.adopt(snapshot.index);
        self.index_plan();
        let time = now();
        let ages_ms = std::mem::take(&mut self.state.ages_ms);
        self.ages.retain(|id| self.state.jobs.get(id).is_some());
        for (id, _) in self.state.jobs.iter() {
            let earlier_ms = ages_ms.get(id).copied().unwrap_or_default();
            self.ages.record(time, id, earlier_ms);
        }
    }

    /// Makes the consensus node's outputs durable, sends its messages and applies committed entries
    /// until no output is left, and then takes a snapshot if one is due.
    pub(super) fn process_outputs(&mut self) {
        while !self.outputs.is_empty() {
            let Some(voter) = &mut self.voter else {
                self.outputs.clear();
                return;
            };
            let outputs = std::mem::take(&mut self.outputs);
            match voter.persist(now(), outputs) {
                Ok(ready) => {
                    for output in ready {
                        self.process_output(output);
                    }
                }
                Err(error) => self.handle_storage_failure(&error),
            }
        }
        self.maintain_log();
    }

    /// Closes the data folder after a failed read or write and ends leadership; `tick` reopens it
    /// later.
    pub(super) fn handle_storage_failure(&mut self, error: &StorageError) {
        spdlog::error!("storage: failed, this keeper no longer votes", kv: { error = error.to_string() });
        self.close_folder();
    }

    fn close_folder(&mut self) {
        self.voter = None;
        self.outputs.clear();
        self.end_leadership();
    }

    fn process_output(&mut self, output: ConsensusOutput) {
        match output {
            ConsensusOutput::Send { to, message } => self.send_consensus(to, message),
            ConsensusOutput::Apply(entry) => self.apply(entry),
            ConsensusOutput::Restore(snapshot) => {
                if snapshot.index > self.state.index {
                    self.restore(&snapshot);
                }
                self.directory.set_members(self.members());
                self.update_peers();
            }
            ConsensusOutput::RoleChanged { role, term } => self.on_role_changed(role, term),
            ConsensusOutput::SaveVote(_)
            | ConsensusOutput::AppendEntries(_)
            | ConsensusOutput::SaveSnapshot(_) => {}
        }
    }

    fn send_consensus(&mut self, to: NodeId, mut message: ConsensusMessage) {
        let Some(link) = self.link_of(to) else {
            return;
        };
        let format = self.links.get(&link).map(|(it, _)| it.state_format);
        if let ConsensusMessage::Snapshot { snapshot, .. } = &mut message
            && format < Some(STATE_FORMAT)
        {
            let Some(inlined) = self.inline_snapshot(snapshot) else {
                return;
            };
            *snapshot = inlined;
        }
        let wire = ConsensusMessageWire::from(&message);
        self.hub.send(link, &LinkFrame::Consensus(wire));
    }

    /// Returns the most recent link to a node.
    pub(super) fn link_of(&self, node: NodeId) -> Option<LinkId> {
        let mut links = self.links.iter().rev();
        let link = links.find(|(_, (hello, _))| hello.node == Some(node.0));
        link.map(|(link, _)| *link)
    }

    fn on_role_changed(&mut self, role: NodeRole, term: u64) {
        METRICS.role_changes.inc();
        spdlog::info!("consensus: role", kv: { role = format!("{role:?}"), term });
        match role {
            NodeRole::Leader => self.begin_leadership(term),
            _ => self.end_leadership(),
        }
    }

    /// Applies a committed entry, if it is the next one, and answers its caller.
    fn apply(&mut self, entry: LogEntry) {
        if entry.index != self.state.index + 1 {
            return;
        }
        match entry.body {
            EntryBody::Noop => self.state.skip(entry.index),
            EntryBody::Membership(_) => {
                self.state.skip(entry.index);
                self.on_members_changed();
            }
            EntryBody::Stored(_) => {
                spdlog::error!("storage: entry without its command", kv: { index = entry.index });
                self.close_folder();
                return;
            }
            EntryBody::Command(bytes) => match decode_command(entry.index, &bytes) {
                Ok(command) => self.apply_command(entry.index, command),
                Err(error) => {
                    spdlog::error!("consensus: undecodable entry skipped", kv: { index = entry.index, error = error.to_string() });
                    self.state.skip(entry.index);
                }
            },
        }
        self.answer_pending(entry.index, entry.term);
    }

    fn apply_command(&mut self, index: u64, command: StateCommand) {
        if let StateCommand::Submit(submission) = &command {
            self.ages.record(now(), &submission.id, 0);
        }
        if let StateCommand::ForgetJobs(jobs) = &command {
            for job in jobs {
                self.ages.remove(job);
            }
            self.request_release();
        }
        if let StateCommand::List(results) = &command {
            self.drop_texts(results);
        }
        let effect = self.effect_of(&command);
        let scope = AgendaScope::of(&command);
        self.state.apply(index, command);
        self.index_plan();
        self.apply_effect(effect, &scope);
    }

    /// Builds the index of the plan in force, unless it is up to date.
    fn index_plan(&mut self) {
        let known = self.routes.as_ref().map(|it| it.plan().version);
        if let Some(record) = &self.state.plan
            && known != Some(record.plan.version)
        {
            self.routes = Some(Arc::new(RouteIndex::new(record.plan.clone())));
        }
    }

    fn answer_pending(&mut self, index: u64, term: u64) {
        let Some(pending) = self.pending.remove(&index) else {
            return;
        };
        // If another leader's entry was committed at this index, the proposed one is lost for good.
        let reply = match pending.term == term {
            true => LeaderReply::Done,
            false => LeaderReply::NotLeader,
        };
        self.reply(pending.origin, reply);
    }

    /// Appends a change to the log if this keeper leads. The caller is answered once it is applied.
    pub(super) fn propose(&mut self, command: &StateCommand, origin: CallOrigin) {
        let bytes = match encode_command(command) {
            Ok(bytes) => bytes,
            Err(error) => {
                spdlog::error!("consensus: change not encodable", kv: { error = error.to_string() });
                self.reply(origin, LeaderReply::Conflict);
                return;
            }
        };
        let Some(voter) = &mut self.voter else {
            self.reply(origin, LeaderReply::NotLeader);
            return;
        };
        match voter.node.propose(now(), bytes, &mut self.outputs) {
            Ok(index) => {
                let term = voter.node.term();
                let old = self.pending.insert(index, PendingChange { term, origin });
                if let Some(old) = old {
                    self.reply(old.origin, LeaderReply::NotLeader);
                }
            }
            Err(_) => self.reply(origin, LeaderReply::NotLeader),
        }
    }
}
