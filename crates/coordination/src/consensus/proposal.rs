//! Calls that change a group: bootstrap, commands, membership changes, compaction and
//! leadership transfer.

use std::collections::BTreeSet;

use bytes::Bytes;

use super::log::LogSnapshot;
use super::log::SnapshotData;
use super::membership::GroupMembership;
use super::message::ConsensusMessage;
use super::message::EntryBody;
use super::node::ConsensusNode;
use super::output::ConsensusError;
use super::output::ConsensusOutput;
use super::role::NodeRole;
use crate::clock::ClockTime;
use crate::ident::NodeId;

impl ConsensusNode {
    /// Starts a new group with this node as its only voter.
    ///
    /// `membership` must name no other voter, and the caller must ensure that no group
    /// exists yet.
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
            data: SnapshotData::default(),
        };
        self.log.install(snapshot.clone());
        self.commit = 1;
        self.applied = 1;
        self.synced = 1;
        self.vote.term = self.vote.term.max(1);
        self.votes_withheld_until = now;
        self.election_due = now;
        out.push(ConsensusOutput::SaveVote(self.vote));
        out.push(ConsensusOutput::SaveSnapshot(snapshot.clone()));
        out.push(ConsensusOutput::Restore(snapshot));
    }

    /// Appends a command to the leader's log and returns its index.
    ///
    /// The command isn't committed until an [`ConsensusOutput::Apply`] of that index and the
    /// same term follows; another leader may replace it before that.
    ///
    /// # Errors
    ///
    /// Returns [`ConsensusError::NotLeader`] if this node isn't the leader, or has released
    /// its lease.
    pub fn propose(
        &mut self,
        now: ClockTime,
        command: Bytes,
        out: &mut Vec<ConsensusOutput>,
    ) -> Result<u64, ConsensusError> {
        if self.role != NodeRole::Leader || self.lease_released {
            return Err(ConsensusError::NotLeader);
        }
        Ok(self.append_as_leader(now, EntryBody::Command(command), out))
    }

    /// Appends a membership change to the leader's log and returns its index.
    ///
    /// # Errors
    ///
    /// - [`ConsensusError::NotLeader`] if this node isn't the leader, or has released its
    ///   lease.
    /// - [`ConsensusError::ChangePending`] if an earlier change, or the first entry of the
    ///   term, isn't committed yet.
    /// - [`ConsensusError::NotSingleStep`] if more than one voter is added or removed, or no
    ///   voter is left.
    /// - [`ConsensusError::NotCaughtUp`] if a new voter lacks committed entries.
    pub fn propose_membership(
        &mut self,
        now: ClockTime,
        membership: GroupMembership,
        out: &mut Vec<ConsensusOutput>,
    ) -> Result<u64, ConsensusError> {
        if self.role != NodeRole::Leader || self.lease_released {
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
            .filter(|node| !current.is_voter(**node));
        if added.any(lags) {
            return Err(ConsensusError::NotCaughtUp);
        }
        Ok(self.append_as_leader(now, EntryBody::Membership(membership), out))
    }

    /// Drops the entries up to `index`, at which a snapshot of the state machine is in storage.
    ///
    /// Returns whether there were any. Does nothing if `index` isn't applied yet, or was compacted
    /// already.
    pub fn compact(&mut self, index: u64) -> bool {
        index <= self.applied && self.log.compact(index)
    }

    /// Drops the oldest commands of the log from memory until the rest, with their entries, take
    /// at most `keep_bytes` bytes. Commands that aren't known to be durable on this node are kept.
    pub fn evict_commands(&mut self, keep_bytes: usize) {
        self.log.evict_commands(self.synced, keep_bytes);
    }

    /// Releases the lease and asks the voter with the most complete log among `successors` to start an
    /// election.
    ///
    /// Returns `false`, and keeps the lease, if this node isn't the leader, or knows of no other voter
    /// among `successors`.
    pub fn transfer_leadership(
        &mut self,
        successors: &BTreeSet<NodeId>,
        out: &mut Vec<ConsensusOutput>,
    ) -> bool {
        if self.role != NodeRole::Leader {
            return false;
        }
        let membership = self.log.membership().1;
        let best = self
            .progress
            .iter()
            .filter(|(node, _)| membership.is_voter(**node) && successors.contains(node))
            .max_by_key(|(_, progress)| progress.matched);
        let Some((to, _)) = best else {
            return false;
        };
        self.lease_released = true;
        out.push(ConsensusOutput::Send {
            to: *to,
            message: ConsensusMessage::Campaign {
                term: self.vote.term,
            },
        });
        true
    }
}
