//! Node of a consensus group: its state, entry points and outputs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::lease::RoundTable;
use super::log::ReplicatedLog;
use super::membership::GroupMembership;
use super::message::ConsensusMessage;
use super::message::EntryBody;
use super::message::VoteRecord;
use super::output::ConsensusOutput;
use super::replication::PeerProgress;
use super::role::NodeRole;
use super::role::RoleEvent;
use super::role::role_chart;
use super::start::ConsensusConfig;
use super::start::NodeStart;
use super::status::GroupStatus;
use crate::chart::StateChart;
use crate::clock::ClockTime;
use crate::clock::DRIFT_ALLOWANCE_PER_MILLE;
use crate::ident::NodeId;

/// Limit on the memory of the entries that are handed out to be applied between two ticks, in bytes,
/// unless the owner sets another one. The last entry may exceed it.
const APPLY_BYTES_PER_TICK: usize = 8 * 1024 * 1024;

/// Memory of an entry that is handed out, beside its command, in bytes: its place in the node's outputs
/// and in the owner's list of those that are ready, either of which may have twice the room it needs.
const APPLIED_ENTRY_BYTES: usize = 4 * size_of::<ConsensusOutput>();

/// Consensus state machine of one node.
#[derive(Debug)]
pub struct ConsensusNode {
    pub(super) node: NodeId,
    pub(super) config: ConsensusConfig,
    pub(super) log: ReplicatedLog,
    pub(super) vote: VoteRecord,
    pub(super) role: NodeRole,
    pub(super) leader: Option<NodeId>,
    /// Index up to which entries are known to be committed.
    pub(super) commit: u64,
    /// Index up to which entries were handed out to be applied.
    pub(super) applied: u64,
    /// Memory of the entries that may be handed out to be applied between two ticks, in bytes.
    pub(super) apply_limit: usize,
    /// What is left of it before the next tick, in bytes.
    pub(super) apply_budget: usize,
    /// Index up to which the log is durable on this node.
    pub(super) synced: u64,
    /// Before this time the node grants no vote, since a leader may hold a lease.
    pub(super) votes_withheld_until: ClockTime,
    /// Time until which elections of this node follow those of others.
    pub(super) stands_back_until: ClockTime,
    /// Time at which this node last handed out all that a leader had committed.
    pub(super) caught_up_at: Option<ClockTime>,
    pub(super) election_due: ClockTime,
    pub(super) heartbeat_due: ClockTime,
    pub(super) leader_since: ClockTime,
    /// Index of the first entry that this node appended as leader of the current term.
    pub(super) term_start: u64,
    /// Voters that granted their vote in the current pre-vote or election.
    pub(super) votes: BTreeSet<NodeId>,
    /// Voters that refused their vote in the current pre-vote.
    pub(super) rejections: BTreeSet<NodeId>,
    pub(super) progress: BTreeMap<NodeId, PeerProgress>,
    pub(super) rounds: RoundTable,
    /// Whether this leader is transferring its leadership and no longer uses its lease.
    pub(super) lease_released: bool,
    /// Term up to which each other node is known not to lead.
    pub(super) not_leading: BTreeMap<NodeId, u64>,
    chart: StateChart<NodeRole, RoleEvent>,
    random: StdRng,
}

impl ConsensusNode {
    /// Creates a node from its stored state.
    ///
    /// The node grants no vote for `lease_ms` after `now`: before the restart it may have
    /// answered a leader that still counts on its lease, and the answer isn't stored. The
    /// only voter of a group may start an election at once.
    pub fn new(now: ClockTime, config: ConsensusConfig, start: NodeStart) -> Self {
        let chart = role_chart();
        let synced = start.log.last_index();
        let base = start.log.snapshot().index;
        let applied = match start.applied <= synced {
            true => base.max(start.applied),
            false => base,
        };
        let mut node = Self {
            node: start.node,
            config,
            log: start.log,
            vote: start.vote,
            role: chart.start(),
            leader: None,
            commit: applied,
            applied,
            apply_limit: APPLY_BYTES_PER_TICK,
            apply_budget: APPLY_BYTES_PER_TICK,
            synced,
            votes_withheld_until: now + config.lease_ms,
            stands_back_until: now,
            caught_up_at: None,
            election_due: now,
            heartbeat_due: now,
            leader_since: now,
            term_start: 0,
            votes: BTreeSet::new(),
            rejections: BTreeSet::new(),
            progress: BTreeMap::new(),
            rounds: RoundTable::default(),
            lease_released: false,
            not_leading: BTreeMap::new(),
            chart,
            random: StdRng::seed_from_u64(start.seed ^ start.node.0),
        };
        node.reset_election(now);
        if node.is_sole_voter() {
            node.votes_withheld_until = now;
            node.election_due = now;
        }
        node
    }

    /// Returns the ID of this node.
    pub fn id(&self) -> NodeId {
        self.node
    }

    /// Returns the current role of this node.
    pub fn role(&self) -> NodeRole {
        self.role
    }

    /// Returns the highest term that this node has seen.
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns the index up to which this node knows entries to be committed.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns when this node last handed out all entries that a leader had committed, itself while its
    /// lease was valid included. `None` means not since the node was created.
    pub fn caught_up_at(&self) -> Option<ClockTime> {
        self.caught_up_at
    }

    /// Returns the index up to which entries were handed out to be applied.
    pub fn applied_index(&self) -> u64 {
        self.applied
    }

    /// Returns the log, which may include uncommitted entries.
    pub fn log(&self) -> &ReplicatedLog {
        &self.log
    }

    /// Returns the latest membership of the log, even if it isn't committed yet.
    pub fn membership(&self) -> &GroupMembership {
        self.log.membership().1
    }

    /// Returns the latest membership that is known to be committed, which no other leader replaces by
    /// an earlier one.
    pub fn committed_membership(&self) -> &GroupMembership {
        self.log.membership_at(self.commit)
    }

    /// Returns whether an instance has no member in the group, and would have none under any other
    /// leader either.
    pub fn has_left(&self, name: &str) -> bool {
        let memberships = [self.committed_membership(), self.membership()];
        let mut members = memberships.iter().flat_map(|it| it.members());
        !members.any(|(_, record)| record.name == name)
    }

    /// Returns what this leader knows of its group.
    pub fn group_status(&self) -> GroupStatus {
        let progress = self.progress.iter();
        let caught_up = progress.filter(|(_, progress)| progress.matched >= self.commit);
        GroupStatus {
            leader: self.node,
            membership: self.membership().clone(),
            answered_at: self.rounds.answered_at(),
            caught_up: caught_up.map(|(node, _)| *node).collect(),
        }
    }

    /// Returns the term and index of the log entry that set the membership, by which an older
    /// membership is told from a newer one.
    pub fn membership_version(&self) -> (u64, u64) {
        let (index, _) = self.log.membership();
        (self.log.term_at(index).unwrap_or(0), index)
    }

    /// Returns the index up to which the durable log of `node` is known to match this one.
    ///
    /// Only a leader keeps this up to date. Returns `None` for another node to which this
    /// one has sent nothing as a leader.
    pub fn matched(&self, node: NodeId) -> Option<u64> {
        if node == self.node {
            return Some(self.synced);
        }
        self.progress.get(&node).map(|progress| progress.matched)
    }

    /// Returns when this node became the leader, or `None` if it isn't.
    pub fn leader_since(&self) -> Option<ClockTime> {
        (self.role == NodeRole::Leader).then_some(self.leader_since)
    }

    /// Returns when the lease of this leader expires, less the allowance for clock drift.
    ///
    /// No other node can become the leader before that time. Returns `None` if this node
    /// isn't the leader, or holds no lease at `now`.
    pub fn lease_until(&self, now: ClockTime) -> Option<ClockTime> {
        if self.role != NodeRole::Leader || self.lease_released {
            return None;
        }
        let start = match self.is_sole_voter() {
            true => now,
            false => self.rounds.confirmed_at(self.node, self.membership())?,
        };
        let lease = self.config.lease_ms;
        let until = start + (lease - lease * DRIFT_ALLOWANCE_PER_MILLE / 1_000);
        (until > now).then_some(until)
    }

    /// Returns the commit index if this node is certain that it is the latest at `now`.
    ///
    /// This requires that the node holds the lease, and that it has committed an entry of
    /// its own term; until then it may not know all entries that earlier leaders committed. All
    /// committed entries must have been handed out to be applied.
    pub fn confirmed_commit(&self, now: ClockTime) -> Option<u64> {
        self.lease_until(now)?;
        let confirmed = self.commit >= self.term_start && self.applied >= self.commit;
        confirmed.then_some(self.commit)
    }

    /// Limits the memory of the entries that are handed out to be applied between two ticks, in bytes.
    pub fn limit_applied(&mut self, bytes: usize) {
        self.apply_limit = bytes;
        self.apply_budget = bytes;
    }

    /// Returns whether committed entries wait for the next tick to be handed out.
    pub fn has_unapplied(&self) -> bool {
        self.applied < self.commit
    }

    /// Starts an election, sends heartbeats or steps down, if the time for it has come.
    ///
    /// Call it regularly, at shorter intervals than `heartbeat_ms`.
    pub fn tick(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        self.apply_budget = self.apply_limit;
        self.apply_committed(out);
        if self.role == NodeRole::Leader {
            self.check_quorum(now, out);
        }
        if let Some(commit) = self.confirmed_commit(now) {
            self.note_commit(now, commit);
        }
        if self.role == NodeRole::Leader {
            // Heartbeats stop during a leadership transfer, so that the other voters elect
            // a leader even if the node that was asked to take over has failed.
            if now >= self.heartbeat_due && !self.lease_released {
                self.broadcast(now, out);
            }
            return;
        }
        if now >= self.election_due && self.membership().is_voter(self.node) {
            self.start_pre_vote(now, out);
        }
    }

    /// Records that the log of this node is durable up to `index`.
    pub fn mark_synced(&mut self, now: ClockTime, index: u64, out: &mut Vec<ConsensusOutput>) {
        self.synced = index.min(self.log.last_index());
        if self.role == NodeRole::Leader {
            self.advance_commit(now, out);
        }
    }

    /// Handles a message from the node `from`.
    pub fn receive(
        &mut self,
        now: ClockTime,
        from: NodeId,
        message: ConsensusMessage,
        out: &mut Vec<ConsensusOutput>,
    ) {
        match message {
            ConsensusMessage::PreVote {
                term,
                last_index,
                last_term,
            } => self.on_pre_vote(now, from, term, (last_term, last_index), out),
            ConsensusMessage::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(now, from, term, granted, out);
            }
            ConsensusMessage::Vote {
                term,
                last_index,
                last_term,
                transfer,
            } => self.on_vote(now, from, term, (last_term, last_index), transfer, out),
            ConsensusMessage::VoteReply { term, granted } => {
                self.on_vote_reply(now, from, term, granted, out);
            }
            ConsensusMessage::Append {
                term,
                prev_index,
                prev_term,
                entries,
                commit,
                round,
            } => {
                if self.follow_leader(now, from, term, round, out) {
                    self.on_append(from, (prev_term, prev_index), entries, commit, round, out);
                    self.note_commit(now, commit);
                }
            }
            ConsensusMessage::Snapshot {
                term,
                snapshot,
                round,
            } => {
                if self.follow_leader(now, from, term, round, out) {
                    self.on_snapshot(from, snapshot, round, out);
                }
            }
            ConsensusMessage::AppendReply {
                term,
                matched,
                prev_index,
                hint,
                round,
            } => {
                if term > self.vote.term {
                    self.enter_term(now, term, out);
                    return;
                }
                if term == self.vote.term && self.role == NodeRole::Leader {
                    self.rounds.answer(from, round);
                    self.on_append_reply(now, from, matched, prev_index, hint, out);
                }
            }
            ConsensusMessage::Standing { term, leads } => {
                self.on_leadership_status(now, from, term, leads, out);
            }
            ConsensusMessage::Campaign { term } => {
                if term == self.vote.term && self.leader == Some(from) {
                    self.start_transfer_election(now, out);
                }
            }
        }
    }

    /// Returns whether this node is the only voter of the group.
    pub(super) fn is_sole_voter(&self) -> bool {
        let membership = self.membership();
        membership.voters.len() == 1 && membership.is_voter(self.node)
    }

    /// Returns a random time that is at most `spread_ms` milliseconds after `start`.
    pub(super) fn random_time_after(&mut self, start: ClockTime, spread_ms: u64) -> ClockTime {
        start + self.random.random_range(0..=spread_ms)
    }

    /// Restarts the election timeout with a random length.
    pub(super) fn reset_election(&mut self, now: ClockTime) {
        let spread_ms = self.config.election_spread_ms;
        let start = now + self.config.lease_ms + self.stand_back_ms(now, spread_ms);
        self.election_due = self.random_time_after(start, spread_ms);
    }

    /// Moves to the role that follows on `event`, and reports it if it differs.
    pub(super) fn change_role(&mut self, event: RoleEvent, out: &mut Vec<ConsensusOutput>) {
        let role = self.chart.next(self.role, event);
        if role == self.role {
            return;
        }
        self.role = role;
        out.push(ConsensusOutput::RoleChanged {
            role,
            term: self.vote.term,
        });
    }

    /// Outputs the committed entries that weren't applied yet. Those that exceed the budget follow at
    /// later ticks, so that the caller needn't hold all of them at once.
    pub(super) fn apply_committed(&mut self, out: &mut Vec<ConsensusOutput>) {
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1) else {
                return;
            };
            if self.apply_budget == 0 {
                return;
            }
            let command_bytes = match entry.body {
                EntryBody::Stored(length) => length as usize,
                // The log holds these in any case.
                EntryBody::Command(_) | EntryBody::Noop | EntryBody::Membership(_) => 0,
            };
            let bytes = APPLIED_ENTRY_BYTES + command_bytes;
            self.apply_budget = self.apply_budget.saturating_sub(bytes);
            self.applied += 1;
            out.push(ConsensusOutput::Apply(entry));
        }
    }
}
