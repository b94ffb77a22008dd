//! Elections: pre-votes, votes, and withholding votes while a leader may hold a lease.
//!
//! A node grants no vote for the length of a lease after it heard from a leader, or after
//! its own start. So that a group needn't wait that long when nobody leads, nodes also send
//! each other their [`ConsensusMessage::Standing`] reports.

use super::lease::RoundTable;
use super::message::ConsensusMessage;
use super::message::EntryBody;
use super::message::VoteRecord;
use super::node::ConsensusNode;
use super::output::ConsensusOutput;
use super::role::NodeRole;
use super::role::RoleEvent;
use crate::clock::ClockTime;
use crate::ident::NodeId;

/// Term and index of the last entry of a log; the more up-to-date log compares as greater.
pub(super) type LogEnd = (u64, u64);

/// Upper bound of the random delay of an election that starts early because no voter leads,
/// in milliseconds.
pub(super) const NO_LEADER_SPREAD_MS: u64 = 120;

/// Minimum time before a failed election is retried while no voter leads, in milliseconds.
const NO_LEADER_RETRY_MS: u64 = 60;

impl ConsensusNode {
    /// Returns the term and the index of this node's last entry.
    fn log_end(&self) -> LogEnd {
        (self.log.last_term(), self.log.last_index())
    }

    /// Returns whether a vote of this node could break the lease of a leader.
    fn withholds_vote(&self, now: ClockTime) -> bool {
        match self.role {
            NodeRole::Leader => self.lease_until(now).is_some(),
            _ => now < self.votes_withheld_until,
        }
    }

    /// Returns the report to send to other nodes on whether this node is the leader.
    ///
    /// A candidate may still win its current term, so its report covers only the terms
    /// before that.
    pub fn leadership_status(&self) -> ConsensusMessage {
        let undecided = self.role == NodeRole::Candidate;
        ConsensusMessage::Standing {
            term: self.vote.term - u64::from(undecided),
            leads: self.role == NodeRole::Leader,
        }
    }

    /// Handles the report of another node on whether it is the leader.
    ///
    /// Votes are withheld to protect the lease of a leader. Once every other voter has
    /// reported, for the current term or a later one, that it isn't the leader, there is no
    /// such lease. If the known leader reports so, this node sends its own report to all
    /// other voters.
    pub(super) fn on_leadership_status(
        &mut self,
        now: ClockTime,
        from: NodeId,
        term: u64,
        leads: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if leads {
            self.not_leading.remove(&from);
            return;
        }
        self.not_leading.insert(from, term);
        if self.leader == Some(from) && term >= self.vote.term {
            self.leader = None;
            let message = self.leadership_status();
            self.send_to_voters(&message, out);
        }
        self.stop_withholding_votes(now);
    }

    /// Records that `node` can never lead or vote again, because its instance now runs with
    /// another data folder. Elections no longer wait for its report.
    pub fn mark_replaced(&mut self, now: ClockTime, node: NodeId) {
        self.not_leading.insert(node, u64::MAX);
        self.stop_withholding_votes(now);
    }

    /// Lets other nodes start their elections before this one until `until`, since they could lead
    /// without restrictions and this one couldn't. It still leads if no other node can.
    pub fn stand_back(&mut self, now: ClockTime, until: ClockTime) {
        self.stands_back_until = until;
        if self.role == NodeRole::Follower && !self.is_sole_voter() {
            self.reset_election(now);
        }
    }

    /// Returns the delay by which an election of this node follows those of others, which start within
    /// `spread_ms`.
    pub(super) fn stand_back_ms(&self, now: ClockTime, spread_ms: u64) -> u64 {
        match now < self.stands_back_until {
            true => spread_ms,
            false => 0,
        }
    }

    /// Returns whether every other voter has reported that it isn't the leader of this term.
    fn no_voter_leads(&self) -> bool {
        let others = self.membership().voters.keys();
        let mut others = others.filter(|node| **node != self.node);
        others.all(|node| {
            let known_until = self.not_leading.get(node);
            known_until.is_some_and(|term| *term >= self.vote.term)
        })
    }

    /// Lets this node vote and start an election soon, if no other voter leads.
    fn stop_withholding_votes(&mut self, now: ClockTime) {
        let withholding = self.role != NodeRole::Leader && now < self.votes_withheld_until;
        if withholding && self.no_voter_leads() && self.membership().is_voter(self.node) {
            self.votes_withheld_until = now;
            let start = now + self.stand_back_ms(now, NO_LEADER_SPREAD_MS);
            self.election_due = self.random_time_after(start, NO_LEADER_SPREAD_MS);
        }
    }

    /// Asks the voters whether they would elect this node.
    pub(super) fn start_pre_vote(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        self.change_role(RoleEvent::ElectionDue, out);
        self.leader = None;
        self.reset_election(now);
        if self.no_voter_leads() {
            let start = now + NO_LEADER_RETRY_MS + self.stand_back_ms(now, NO_LEADER_SPREAD_MS);
            self.election_due = self.random_time_after(start, NO_LEADER_SPREAD_MS);
        }
        self.votes.clear();
        self.rejections.clear();
        self.votes.insert(self.node);
        let (last_term, last_index) = self.log_end();
        let message = ConsensusMessage::PreVote {
            term: self.vote.term + 1,
            last_index,
            last_term,
        };
        self.send_to_voters(&message, out);
        self.count_pre_votes(now, out);
    }

    /// Starts the election that the leader asked for to transfer its leadership.
    pub(super) fn start_transfer_election(
        &mut self,
        now: ClockTime,
        out: &mut Vec<ConsensusOutput>,
    ) {
        if !self.membership().is_voter(self.node) {
            return;
        }
        self.change_role(RoleEvent::LeaderAsked, out);
        self.start_vote(now, true, out);
    }

    /// Raises the term, votes for this node and requests the other votes.
    fn start_vote(&mut self, now: ClockTime, transfer: bool, out: &mut Vec<ConsensusOutput>) {
        self.leader = None;
        self.vote = VoteRecord {
            term: self.vote.term + 1,
            voted_for: Some(self.node),
            may_have_led: true,
        };
        out.push(ConsensusOutput::SaveVote(self.vote));
        self.reset_election(now);
        self.votes.clear();
        self.rejections.clear();
        self.votes.insert(self.node);
        let (last_term, last_index) = self.log_end();
        let message = ConsensusMessage::Vote {
            term: self.vote.term,
            last_index,
            last_term,
            transfer,
        };
        self.send_to_voters(&message, out);
        self.count_votes(now, out);
    }

    fn send_to_voters(&self, message: &ConsensusMessage, out: &mut Vec<ConsensusOutput>) {
        for to in self.membership().voters.keys() {
            if *to != self.node {
                out.push(ConsensusOutput::Send {
                    to: *to,
                    message: message.clone(),
                });
            }
        }
    }

    /// Answers whether this node would vote for `from` in `term`.
    pub(super) fn on_pre_vote(
        &mut self,
        now: ClockTime,
        from: NodeId,
        term: u64,
        end: LogEnd,
        out: &mut Vec<ConsensusOutput>,
    ) {
        let granted = term > self.vote.term && end >= self.log_end() && !self.withholds_vote(now);
        let term = if granted { term } else { self.vote.term };
        out.push(ConsensusOutput::Send {
            to: from,
            message: ConsensusMessage::PreVoteReply { term, granted },
        });
    }

    /// Counts the answer to a pre-vote.
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
        self.rejections.insert(from);
        if self.rejections.len() >= self.membership().quorum() {
            self.change_role(RoleEvent::PreVotesLost, out);
        }
    }

    /// Starts the election if a quorum would vote for this node.
    fn count_pre_votes(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        if self.has_quorum_of_votes() {
            self.change_role(RoleEvent::PreVotesWon, out);
            self.start_vote(now, false, out);
        }
    }

    /// Grants or refuses `from` this node's vote in `term`.
    pub(super) fn on_vote(
        &mut self,
        now: ClockTime,
        from: NodeId,
        term: u64,
        end: LogEnd,
        transfer: bool,
        out: &mut Vec<ConsensusOutput>,
    ) {
        // While a leader may hold its lease, a request is ignored even if its term is
        // higher, unless the leader itself has released the lease.
        if !transfer && self.withholds_vote(now) {
            return;
        }
        if term > self.vote.term {
            self.enter_term(now, term, out);
        }
        let can_vote = self.vote.voted_for.is_none_or(|node| node == from);
        let granted = term == self.vote.term && can_vote && end >= self.log_end();
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

    /// Counts a vote for this node.
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
        let votes = self.votes.iter().filter(|node| membership.is_voter(**node));
        votes.count() >= membership.quorum()
    }

    /// Takes the lead if a quorum has voted for this node.
    fn count_votes(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        if !self.has_quorum_of_votes() {
            return;
        }
        self.leader = Some(self.node);
        self.leader_since = now;
        self.lease_released = false;
        self.rounds = RoundTable::default();
        self.progress.clear();
        self.change_role(RoleEvent::VotesWon, out);
        self.term_start = self.append_as_leader(now, EntryBody::Noop, out);
        self.broadcast(now, out);
    }

    /// Moves to a higher term as a follower that knows no leader yet.
    pub(super) fn enter_term(&mut self, now: ClockTime, term: u64, out: &mut Vec<ConsensusOutput>) {
        self.vote = VoteRecord {
            term,
            voted_for: None,
            ..self.vote
        };
        out.push(ConsensusOutput::SaveVote(self.vote));
        self.leader = None;
        self.reset_election(now);
        self.change_role(RoleEvent::HigherTerm, out);
    }

    /// Steps down if a quorum hasn't answered for the longest election timeout, or if this
    /// node's removal from the voters is committed.
    pub(super) fn check_quorum(&mut self, now: ClockTime, out: &mut Vec<ConsensusOutput>) {
        if self.is_sole_voter() {
            return;
        }
        let confirmed = self
            .rounds
            .confirmed_at(self.node, self.membership())
            .unwrap_or(self.leader_since);
        let timeout_ms = self.config.lease_ms + self.config.election_spread_ms;
        let removed = !self.membership().is_voter(self.node) && {
            let (changed_at, _) = self.log.membership();
            self.commit >= changed_at
        };
        if removed || now.since(confirmed) > timeout_ms {
            self.leader = None;
            self.reset_election(now);
            self.change_role(RoleEvent::QuorumLost, out);
        }
    }
}
