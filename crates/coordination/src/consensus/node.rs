//! One node of the group: state, entry points and outputs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use thiserror::Error;

use super::lease::RoundTable;
use super::log::LogEntry;
use super::log::LogSnapshot;
use super::log::ReplicatedLog;
use super::membership::GroupMembership;
use super::message::ConsensusMessage;
use super::message::VoteRecord;
use super::replication::PeerProgress;
use super::role::NodeRole;
use super::role::RoleEvent;
use super::role::role_chart;
use crate::chart::StateChart;
use crate::clock::ClockTime;
use crate::clock::DRIFT_ALLOWANCE_PER_MILLE;
use crate::ident::NodeId;

/// Timings of a node, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct ConsensusConfig {
    /// Time between two heartbeats of a leader.
    pub heartbeat_ms: u64,
    /// How long an answered heartbeat holds off other votes.
    pub lease_ms: u64,
    /// Spread of election timeouts above the lease.
    pub election_spread_ms: u64,
}

impl Default for ConsensusConfig {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            lease_ms: 1_000,
            election_spread_ms: 400,
        }
    }
}

/// What a node starts from.
#[derive(Debug, Clone)]
pub struct NodeStart {
    /// Identity of the data folder.
    pub node: NodeId,
    /// Votes remembered.
    pub vote: VoteRecord,
    /// Log remembered.
    pub log: ReplicatedLog,
    /// Seed for election timeouts.
    pub seed: u64,
}

/// Why a proposal was not taken.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum ConsensusError {
    /// The node doesn't lead.
    #[error("not the leader")]
    NotLeader,
    /// A membership change is under way, or the term has no committed entry yet.
    #[error("a membership change is under way")]
    ChangePending,
    /// More than one voter would change.
    #[error("a membership change may add or remove one voter only")]
    NotSingleStep,
    /// The learner doesn't hold every committed entry yet.
    #[error("the learner has not caught up")]
    NotCaughtUp,
}

/// What the caller must do, in this order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConsensusOutput {
    /// Store the vote record.
    SaveVote(VoteRecord),
    /// Store entries, replacing what stands from the first one's index on.
    AppendEntries(Vec<LogEntry>),
    /// Store a snapshot and drop the entries that it covers.
    SaveSnapshot(LogSnapshot),
    /// Send a message.
    Send {
        /// Receiver.
        to: NodeId,
        /// Message.
        message: ConsensusMessage,
    },
    /// Apply a committed entry to the state machine.
    Apply(LogEntry),
    /// Replace the state machine by a snapshot.
    Restore(LogSnapshot),
    /// The role or the known leader changed.
    RoleChanged {
        /// New role.
        role: NodeRole,
        /// Current term.
        term: u64,
    },
}

impl ConsensusOutput {
    /// Returns whether the output must be durable before later ones are acted on.
    pub fn is_durable(&self) -> bool {
        matches!(
            self,
            Self::SaveVote(_) | Self::AppendEntries(_) | Self::SaveSnapshot(_)
        )
    }
}

/// One node of the group.
#[derive(Debug)]
pub struct ConsensusNode {
    pub(super) node: NodeId,
    pub(super) config: ConsensusConfig,
    pub(super) log: ReplicatedLog,
    pub(super) vote: VoteRecord,
    pub(super) role: NodeRole,
    pub(super) leader: Option<NodeId>,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) synced: u64,
    /// No vote is granted before this time, since a leader may hold a lease.
    pub(super) promise_until: ClockTime,
    pub(super) election_due: ClockTime,
    pub(super) heartbeat_due: ClockTime,
    pub(super) leader_since: ClockTime,
    pub(super) term_start: u64,
    pub(super) votes: BTreeSet<NodeId>,
    pub(super) refusals: BTreeSet<NodeId>,
    pub(super) progress: BTreeMap<NodeId, PeerProgress>,
    pub(super) rounds: RoundTable,
    pub(super) lease_given_up: bool,
    /// Terms up to which other voters have said that they don't lead.
    pub(super) idle: BTreeMap<NodeId, u64>,
    chart: StateChart<NodeRole, RoleEvent>,
    random: StdRng,
}

impl ConsensusNode {
    /// Creates a node from what storage holds.
    ///
    /// A node grants no vote within one lease of its start, because it has forgotten
    /// which leader it answered last.
    pub fn new(now: ClockTime, config: ConsensusConfig, start: NodeStart) -> Self {
        let chart = role_chart();
        let applied = start.log.snapshot().index;
        let synced = start.log.last_index();
        let mut node = Self {
            node: start.node,
            config,
            log: start.log,
            vote: start.vote,
            role: chart.start(),
            leader: None,
            commit: applied,
            applied,
            synced,
            promise_until: now + config.lease_ms,
            election_due: now,
            heartbeat_due: now,
            leader_since: now,
            term_start: 0,
            votes: BTreeSet::new(),
            refusals: BTreeSet::new(),
            progress: BTreeMap::new(),
            rounds: RoundTable::default(),
            lease_given_up: false,
            idle: BTreeMap::new(),
            chart,
            random: StdRng::seed_from_u64(start.seed ^ start.node.0),
        };
        node.reset_election(now);
        if node.is_alone() {
            node.promise_until = now;
            node.election_due = now;
        }
        node
    }

    /// Returns the node's own ID.
    pub fn id(&self) -> NodeId {
        self.node
    }

    /// Returns the role.
    pub fn role(&self) -> NodeRole {
        self.role
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.vote.term
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.leader
    }

    /// Returns the commit index.
    pub fn commit_index(&self) -> u64 {
        self.commit
    }

    /// Returns the log.
    pub fn log(&self) -> &ReplicatedLog {
        &self.log
    }

    /// Returns the membership in effect.
    pub fn membership(&self) -> &GroupMembership {
        self.log.membership().1
    }

    /// Returns up to which index `node` is known to hold the log, on a leader.
    pub fn matched(&self, node: NodeId) -> Option<u64> {
        if node == self.node {
            return Some(self.synced);
        }
        self.progress.get(&node).map(|it| it.matched)
    }

    /// Returns when this node started to lead, if it leads.
    pub fn leader_since(&self) -> Option<ClockTime> {
        (self.role == NodeRole::Leader).then_some(self.leader_since)
    }

    /// Returns until when the leader's lease lasts, with the drift allowance taken off.
    ///
    /// Returns `None` if the node doesn't lead or holds no lease at `now`. Another node
    /// can't lead before that time.
    pub fn lease_until(&self, now: ClockTime) -> Option<ClockTime> {
        if self.role != NodeRole::Leader || self.lease_given_up {
            return None;
        }
        let start = match self.is_alone() {
            true => now,
            false => self.rounds.confirmed_at(self.node, self.membership())?,
        };
        let lease = self.config.lease_ms;
        let until = start + (lease - lease * DRIFT_ALLOWANCE_PER_MILLE / 1_000);
        (until > now).then_some(until)
    }

    /// Returns the commit index if it is known to be the newest at `now`.
    ///
    /// This needs a lease and a committed entry of the leader's own term.
    pub fn confirmed_commit(&self, now: ClockTime) -> Option<u64> {
        self.lease_until(now)?;
        (self.commit >= self.term_start).then_some(self.commit)
    }

    /// Moves timers on: elections, heartbeats and the loss of a quorum.
    pub fn tick(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        if self.role == NodeRole::Leader {
            self.check_quorum(now, out);
        }
        if self.role == NodeRole::Leader {
            // Without heartbeats the others elect someone, even if the one asked is gone.
            if now >= self.heartbeat_due && !self.lease_given_up {
                self.broadcast(now, out);
            }
            return;
        }
        if now >= self.election_due && self.membership().is_voter(self.node) {
            self.start_pre_vote(now, out);
        }
    }

    /// Takes note that the log is durable up to `index`.
    pub fn mark_synced(&mut self, now: ClockTime, index: u64, out: &mut Vec<ConsensusOutput>) {
        self.synced = index.min(self.log.last_index());
        if self.role == NodeRole::Leader {
            self.advance_commit(now, out);
        }
    }

    /// Handles a message from `from`.
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
                if self.follow(now, from, term, round, out) {
                    self.on_append(from, (prev_term, prev_index), entries, commit, round, out);
                }
            }
            ConsensusMessage::Snapshot {
                term,
                snapshot,
                round,
            } => {
                if self.follow(now, from, term, round, out) {
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
                self.on_standing(now, from, term, leads, out);
            }
            ConsensusMessage::Campaign { term } => {
                if term == self.vote.term && self.leader == Some(from) {
                    self.start_asked_election(now, out);
                }
            }
        }
    }

    pub(super) fn is_alone(&self) -> bool {
        let membership = self.membership();
        membership.voters.len() == 1 && membership.is_voter(self.node)
    }

    /// Returns a random time for the next election, at most `spread` from now.
    pub(super) fn soon(&mut self, now: ClockTime, spread: u64) -> ClockTime {
        now + self.random.random_range(0..=spread)
    }

    pub(super) fn reset_election(&mut self, now: ClockTime) {
        let spread = self.random.random_range(0..=self.config.election_spread_ms);
        self.election_due = now + self.config.lease_ms + spread;
    }

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

    pub(super) fn apply_committed(&mut self, out: &mut Vec<ConsensusOutput>) {
        while self.applied < self.commit {
            let Some(entry) = self.log.entry(self.applied + 1) else {
                return;
            };
            self.applied += 1;
            out.push(ConsensusOutput::Apply(entry.clone()));
        }
    }
}
