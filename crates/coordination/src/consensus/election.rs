//! Elections: pre-votes, votes and the promise that protects a lease.

use super::lease::RoundTable;
use super::message::ConsensusMessage;
use super::message::EntryBody;
use super::message::VoteRecord;
use super::node::ConsensusNode;
use super::node::ConsensusOutput;
use super::role::NodeRole;
use super::role::RoleEvent;
use crate::clock::ClockTime;
use crate::ident::NodeId;

/// Term and index of a log's last entry, in the order that compares logs.
pub(super) type LogEnd = (u64, u64);

/// Spread of elections once it is known that nobody leads, in milliseconds.
const IDLE_SPREAD_MS: u64 = 120;

/// Pause before an election is tried again while nobody leads, in milliseconds.
const IDLE_RETRY_MS: u64 = 60;

impl ConsensusNode {
    fn log_end(&self) -> LogEnd {
        (self.log.last_term(), self.log.last_index())
    }

    /// Returns whether a leader may hold a lease that this node's vote would break.
    fn is_promised(&self, now: ClockTime) -> bool {
        match self.role {
            NodeRole::Leader => self.lease_until(now).is_some(),
            _ => now < self.promise_until,
        }
    }

    /// Returns what this node may say of its standing.
    ///
    /// A candidate may still win its term, so it speaks for the terms before only.
    pub fn leadership_status(&self) -> ConsensusMessage {
        let undecided = self.role == NodeRole::Candidate;
        ConsensusMessage::Standing {
            term: self.vote.term - u64::from(undecided),
            leads: self.role == NodeRole::Leader,
        }
    }

    /// Takes another node's standing. A promise protects a leader's lease, so it is void once
    /// every other voter says that it doesn't lead, in this term or a later one.
    pub(super) fn on_standing(
        &mut self,
        now: ClockTime,
        from: NodeId,
        term: u64,
        leads: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if leads {
            self.idle.remove(&from);
            return;
        }
        self.idle.insert(from, term);
        if self.leader == Some(from) && term >= self.vote.term {
            self.leader = None;
            let message = self.leadership_status();
            self.send_voters(&message, out);
        }
        self.void_promise(now);
    }

    /// Notes that a node can never act again, since its instance runs on with another folder.
    pub fn mark_replaced(&mut self, now: ClockTime, node: NodeId) {
        self.idle.insert(node, u64::MAX);
        self.void_promise(now);
    }

    /// Returns whether every other voter says that it doesn't lead.
    fn nobody_leads(&self) -> bool {
        let others = self.membership().voters.keys();
        let mut others = others.filter(|it| **it != self.node);
        others.all(|it| self.idle.get(it).is_some_and(|at| *at >= self.vote.term))
    }

    fn void_promise(&mut self, now: ClockTime) {
        let waits = self.role != NodeRole::Leader && now < self.promise_until;
        if waits && self.nobody_leads() && self.membership().is_voter(self.node) {
            self.promise_until = now;
            self.election_due = self.soon(now, IDLE_SPREAD_MS);
        }
    }

    pub(super) fn start_pre_vote(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        self.change_role(RoleEvent::ElectionDue, out);
        self.leader = None;
        self.reset_election(now);
        if self.nobody_leads() {
            self.election_due = self.soon(now + IDLE_RETRY_MS, IDLE_SPREAD_MS);
        }
        self.votes.clear();
        self.refusals.clear();
        self.votes.insert(self.node);
        let (last_term, last_index) = self.log_end();
        let message = ConsensusMessage::PreVote {
            term: self.vote.term + 1,
            last_index,
            last_term,
        };
        self.send_voters(&message, out);
        self.count_pre_votes(now, out);
    }

    pub(super) fn start_asked_election(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        if !self.membership().is_voter(self.node) {
            return;
        }
        self.change_role(RoleEvent::LeaderAsked, out);
        self.start_vote(now, true, out);
    }

    fn start_vote(&mut self, now: ClockTime, transfer: bool, out: &mut Vec<ConsensusOutput>) {
        self.leader = None;
        self.vote = VoteRecord {
            term: self.vote.term + 1,
            voted_for: Some(self.node),
        };
        out.push(ConsensusOutput::SaveVote(self.vote));
        self.reset_election(now);
        self.votes.clear();
        self.refusals.clear();
        self.votes.insert(self.node);
        let (last_term, last_index) = self.log_end();
        let message = ConsensusMessage::Vote {
            term: self.vote.term,
            last_index,
            last_term,
            transfer,
        };
        self.send_voters(&message, out);
        self.count_votes(now, out);
    }

    fn send_voters(&self, message: &ConsensusMessage, out: &mut Vec<ConsensusOutput>) {
        for to in self.membership().voters.keys() {
            if *to != self.node {
                out.push(ConsensusOutput::Send {
                    to: *to,
                    message: message.clone(),
                });
            }
        }
    }

    pub(super) fn on_pre_vote(
        &mut self,
        now: ClockTime,
        from: NodeId,
        term: u64,
        end: LogEnd,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let granted = term > self.vote.term && end >= self.log_end() && !self.is_promised(now);
        let term = if granted { term } else { self.vote.term };
        out.push(ConsensusOutput::Send {
            to: from,
            message: ConsensusMessage::PreVoteReply { term, granted },
        });
    }

    pub(super) fn on_pre_vote_reply(
        &mut self,
        now: ClockTime,
        from: NodeId,
        term: u64,
        granted: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if self.role != NodeRole::PreCandidate {
            return;
        }
        if granted {
            if term == self.vote.term + 1 {
                self.votes.insert(from);
                self.count_pre_votes(now, out);
            }
            return;
        }
        if term > self.vote.term {
            self.enter_term(now, term, out);
            return;
        }
        self.refusals.insert(from);
        if self.refusals.len() >= self.membership().quorum() {
            self.change_role(RoleEvent::PreVotesLost, out);
        }
    }

    fn count_pre_votes(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        if self.has_quorum_of_votes() {
            self.change_role(RoleEvent::PreVotesWon, out);
            self.start_vote(now, false, out);
        }
    }

    pub(super) fn on_vote(
        &mut self,
        now: ClockTime,
        from: NodeId,
        term: u64,
        end: LogEnd,
        transfer: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        // A promise to the current leader outranks a higher term, unless that leader
        // itself gave up its lease.
        if !transfer && self.is_promised(now) {
            return;
        }
        if term > self.vote.term {
            self.enter_term(now, term, out);
        }
        let free = self.vote.voted_for.is_none_or(|it| it == from);
        let granted = term == self.vote.term && free && end >= self.log_end();
        if granted {
            if self.vote.voted_for.is_none() {
                self.vote.voted_for = Some(from);
                out.push(ConsensusOutput::SaveVote(self.vote));
            }
            self.reset_election(now);
        }
        out.push(ConsensusOutput::Send {
            to: from,
            message: ConsensusMessage::VoteReply {
                term: self.vote.term,
                granted,
            },
        });
    }

    pub(super) fn on_vote_reply(
        &mut self,
        now: ClockTime,
        from: NodeId,
        term: u64,
        granted: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if term > self.vote.term {
            self.enter_term(now, term, out);
            return;
        }
        if self.role == NodeRole::Candidate && term == self.vote.term && granted {
            self.votes.insert(from);
            self.count_votes(now, out);
        }
    }

    fn has_quorum_of_votes(&self) -> bool {
        let membership = self.membership();
        let votes = self.votes.iter().filter(|it| membership.is_voter(**it));
        votes.count() >= membership.quorum()
    }

    fn count_votes(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        if !self.has_quorum_of_votes() {
            return;
        }
        self.leader = Some(self.node);
        self.leader_since = now;
        self.lease_given_up = false;
        self.rounds = RoundTable::default();
        self.progress.clear();
        self.change_role(RoleEvent::VotesWon, out);
        self.term_start = self.append_own(now, EntryBody::Noop, out);
        self.broadcast(now, out);
    }

    /// Follows a higher term as one that has no known leader yet.
    pub(super) fn enter_term(&mut self, now: ClockTime, term: u64, out: &mut Vec<ConsensusOutput>) {
        self.vote = VoteRecord {
            term,
            voted_for: None,
        };
        out.push(ConsensusOutput::SaveVote(self.vote));
        self.leader = None;
        self.reset_election(now);
        self.change_role(RoleEvent::HigherTerm, out);
    }

    /// Steps down if no quorum has answered for an election timeout.
    pub(super) fn check_quorum(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        if self.is_alone() {
            return;
        }
        let confirmed = self
            .rounds
            .confirmed_at(self.node, self.membership())
            .unwrap_or(self.leader_since);
        let patience = self.config.lease_ms + self.config.election_spread_ms;
        let removed = !self.membership().is_voter(self.node) && {
            let (changed_at, _) = self.log.membership();
            self.commit >= changed_at
        };
        if removed || now.since(confirmed) > patience {
            self.leader = None;
            self.reset_election(now);
            self.change_role(RoleEvent::QuorumLost, out);
        }
    }
}
