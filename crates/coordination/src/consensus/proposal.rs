//! What a leader is asked to do: commands, membership changes, snapshots, a transfer.

use bytes::Bytes;

use super::log::LogSnapshot;
use super::membership::GroupMembership;
use super::message::ConsensusMessage;
use super::message::EntryBody;
use super::node::ConsensusError;
use super::node::ConsensusNode;
use super::node::ConsensusOutput;
use super::role::NodeRole;
use crate::clock::ClockTime;
use crate::ident::NodeId;

impl ConsensusNode {
    /// Forms a new group with this node as its only voter.
    ///
    /// The caller must know that no group exists.
    pub fn bootstrap(
        &mut self,
        now: ClockTime,
        membership: GroupMembership,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let snapshot = LogSnapshot {
            index: 1,
            term: 1,
            membership,
            data: Bytes::new(),
        };
        self.log.install(snapshot.clone());
        self.commit = 1;
        self.applied = 1;
        self.synced = 1;
        self.vote.term = self.vote.term.max(1);
        self.promise_until = now;
        self.election_due = now;
        out.push(ConsensusOutput::SaveVote(self.vote));
        out.push(ConsensusOutput::SaveSnapshot(snapshot.clone()));
        out.push(ConsensusOutput::Restore(snapshot));
    }

    /// Appends a command to the leader's log and returns its index.
    ///
    /// # Errors
    ///
    /// Returns [`ConsensusError::NotLeader`] if the node doesn't lead.
    pub fn propose(
        &mut self,
        now: ClockTime,
        command: Bytes,
        out: &mut Vec<ConsensusOutput>,
    ) -> Result<u64, ConsensusError> {
        if self.role != NodeRole::Leader || self.lease_given_up {
            return Err(ConsensusError::NotLeader);
        }
        Ok(self.append_own(now, EntryBody::Command(command), out))
    }

    /// Appends a membership change to the leader's log and returns its index.
    ///
    /// # Errors
    ///
    /// Returns an error if the node doesn't lead, another change is under way, more than
    /// one voter changes, or a new voter has not caught up.
    pub fn propose_membership(
        &mut self,
        now: ClockTime,
        membership: GroupMembership,
        out: &mut Vec<ConsensusOutput>,
    ) -> Result<u64, ConsensusError> {
        if self.role != NodeRole::Leader || self.lease_given_up {
            return Err(ConsensusError::NotLeader);
        }
        let (changed_at, current) = self.log.membership();
        if changed_at > self.commit || self.commit < self.term_start {
            return Err(ConsensusError::ChangePending);
        }
        if !current.is_single_step(&membership) || membership.voters.is_empty() {
            return Err(ConsensusError::NotSingleStep);
        }
        let lags = |node: &NodeId| self.matched(*node).unwrap_or_default() < self.commit;
        let mut added = membership
            .voters
            .keys()
            .filter(|it| !current.is_voter(**it));
        if added.any(lags) {
            return Err(ConsensusError::NotCaughtUp);
        }
        Ok(self.append_own(now, EntryBody::Membership(membership), out))
    }

    /// Replaces the entries up to `index` by a snapshot of the state machine.
    ///
    /// Does nothing if `index` isn't applied yet or already compacted.
    pub fn compact(&mut self, index: u64, data: Bytes, out: &mut Vec<ConsensusOutput>) {
        if index > self.applied {
            return;
        }
        if let Some(snapshot) = self.log.compact(index, data) {
            out.push(ConsensusOutput::SaveSnapshot(snapshot));
        }
    }

    /// Gives up the lease and asks the voter that holds most of the log to campaign.
    ///
    /// Returns whether a voter was asked.
    pub fn transfer_leadership(&mut self, out: &mut Vec<ConsensusOutput>) -> bool {
        if self.role != NodeRole::Leader {
            return false;
        }
        let membership = self.log.membership().1;
        let best = self
            .progress
            .iter()
            .filter(|(node, _)| membership.is_voter(**node))
            .max_by_key(|(_, progress)| progress.matched);
        let Some((to, _)) = best else {
            return false;
        };
        self.lease_given_up = true;
        out.push(ConsensusOutput::Send {
            to: *to,
            message: ConsensusMessage::Campaign {
                term: self.vote.term,
            },
        });
        true
    }
}
