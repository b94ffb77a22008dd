//! Heartbeat rounds, from which the leader computes its lease.
//!
//! The lease starts when the leader sent the latest round that a quorum has answered.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::membership::GroupMembership;
use crate::clock::ClockTime;
use crate::ident::NodeId;

/// Number of rounds whose send time is kept. An answer to an older round can't extend the
/// lease any more.
const MAX_ROUNDS: usize = 64;

/// Send times of heartbeat rounds, and the last round that each voter answered.
#[derive(Debug, Clone, Default)]
pub(super) struct RoundTable {
    /// Number of the current round, or zero before the first.
    round: u64,
    sent: VecDeque<(u64, ClockTime)>,
    answered: BTreeMap<NodeId, AnsweredRound>,
}

/// Latest round that a node answered.
#[derive(Debug, Clone, Copy)]
struct AnsweredRound {
    round: u64,
    /// When the round was sent, or an earlier one of which that is known.
    sent_at: Option<ClockTime>,
}

impl RoundTable {
    /// Starts a round that is sent at `now`, and returns its number.
    pub(super) fn start(&mut self, now: ClockTime) -> u64 {
        self.round += 1;
        self.sent.push_back((self.round, now));
        if self.sent.len() > MAX_ROUNDS {
            self.sent.pop_front();
        }
        self.round
    }

    /// Returns the number of the current round, or zero if none has started.
    pub(super) fn current(&self) -> u64 {
        self.round
    }

    /// Records that `node` answered `round`.
    pub(super) fn answer(&mut self, node: NodeId, round: u64) {
        let sent_at = self.sent_at(round);
        let answered = self.answered.entry(node).or_insert(AnsweredRound {
            round,
            sent_at: None,
        });
        answered.round = round.max(answered.round);
        answered.sent_at = answered.sent_at.max(sent_at);
    }

    /// Returns when a round was sent, if that is still known.
    fn sent_at(&self, round: u64) -> Option<ClockTime> {
        let mut sent = self.sent.iter();
        let (_, time) = sent.find(|(number, _)| *number == round)?;
        Some(*time)
    }

    /// Returns for each node that has answered when the latest round that it answered was sent.
    pub(super) fn answered_at(&self) -> BTreeMap<NodeId, ClockTime> {
        let answered = self.answered.iter();
        let known = answered.filter_map(|(node, it)| Some((*node, it.sent_at?)));
        known.collect()
    }

    /// Returns when the latest round that a quorum has answered was sent.
    ///
    /// The leader `local` counts as having answered every round. Returns `None` if there is
    /// no such round, or if its send time is no longer kept.
    pub(super) fn confirmed_at(
        &self,
        local: NodeId,
        membership: &GroupMembership,
    ) -> Option<ClockTime> {
        let mut rounds: Vec<u64> = membership
            .voters
            .keys()
            .map(|node| match *node == local {
                true => self.round,
                false => self.answered.get(node).map_or(0, |it| it.round),
            })
            .collect();
        rounds.sort_unstable_by(|left, right| right.cmp(left));
        let round = *rounds.get(membership.quorum() - 1)?;
        self.sent_at(round)
    }
}
