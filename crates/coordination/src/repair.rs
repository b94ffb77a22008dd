//! Plans the membership changes that replace lost voters.
//!
//! A lost voter is replaced in three steps of one change each: a spare node is added as a
//! learner, the learner is promoted to voter once it has caught up, and the lost voter is
//! removed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::ClockTime;
use crate::consensus::GroupMembership;
use crate::consensus::MemberRecord;
use crate::ident::NodeId;

/// Desired size of the group, and when a voter counts as lost.
#[derive(Debug, Clone, Copy)]
pub struct RepairConfig {
    /// Number of live voters that the group should have.
    pub voter_count: usize,
    /// Time without a sign of life after which a member counts as lost, in milliseconds.
    pub lost_after_ms: u64,
}

/// Membership change that a planner proposes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepairStep {
    /// Adds a spare node as a learner.
    AddLearner(NodeId, MemberRecord),
    /// Promotes a learner to voter.
    ///
    /// The leader rejects the proposal until the learner has caught up.
    Promote(NodeId),
    /// Removes a lost voter or learner.
    Remove(NodeId),
}

impl RepairStep {
    /// Returns the membership after the step.
    ///
    /// Returns `None` if the node to add is a member already, the node to promote isn't a
    /// learner, or the node to remove isn't a member.
    pub fn apply(&self, membership: &GroupMembership) -> Option<GroupMembership> {
        match self {
            Self::AddLearner(node, record) if !membership.contains(*node) => {
                Some(membership.with_learner(*node, record.clone()))
            }
            Self::AddLearner(..) => None,
            Self::Promote(node) => membership.with_promoted(*node),
            Self::Remove(node) => membership
                .contains(*node)
                .then(|| membership.without(*node)),
        }
    }
}

/// Tracks on a leader when each node was last seen, and picks the next repair step.
///
/// Only instances with a disk are nodes; the others can't become members.
#[derive(Debug)]
pub struct RepairPlanner {
    config: RepairConfig,
    started_at: ClockTime,
    seen: BTreeMap<NodeId, (ClockTime, MemberRecord)>,
    evicted: BTreeSet<NodeId>,
}

impl RepairPlanner {
    /// Creates the planner of a leader whose term starts at `now`.
    ///
    /// A member that was never seen counts as lost `lost_after_ms` after `now`.
    pub fn new(now: ClockTime, config: RepairConfig) -> Self {
        Self {
            config,
            started_at: now,
            seen: BTreeMap::new(),
            evicted: BTreeSet::new(),
        }
    }

    /// Records a sign of life of `node` at `now`, together with where it runs.
    pub fn record_seen(&mut self, now: ClockTime, node: NodeId, record: MemberRecord) {
        self.seen.insert(node, (now, record));
    }

    /// Returns the members that count as lost at `now`, except for `local`.
    ///
    /// A member is lost if it was not seen for `lost_after_ms`, is to be evicted, or was
    /// superseded by a node of the same name with another data folder.
    pub fn lost_members<'a>(
        &'a self,
        now: ClockTime,
        local: NodeId,
        membership: &'a GroupMembership,
    ) -> impl Iterator<Item = NodeId> + 'a {
        let members = membership.members();
        let lost = members.filter(move |(node, record)| {
            *node != local && (self.is_lost(now, *node) || self.is_superseded(*node, record))
        });
        lost.map(|(node, _)| node)
    }

    /// Sets the nodes to be replaced even if they are alive, in place of the previous set.
    pub fn set_evicted(&mut self, evicted: BTreeSet<NodeId>) {
        self.evicted = evicted;
    }

    /// Returns whether the instance of `node` has come back with another data folder.
    fn is_superseded(&self, node: NodeId, record: &MemberRecord) -> bool {
        let last_seen = self.seen.get(&node).map(|(time, _)| *time);
        self.seen.iter().any(|(other, (time, other_record))| {
            *other != node
                && other_record.name == record.name
                && last_seen.is_none_or(|at| at < *time)
        })
    }

    fn is_lost(&self, now: ClockTime, node: NodeId) -> bool {
        if self.evicted.contains(&node) {
            return true;
        }
        let last_seen = self
            .seen
            .get(&node)
            .map_or(self.started_at, |(time, _)| *time);
        now.since(last_seen) > self.config.lost_after_ms
    }

    /// Returns the next repair step.
    ///
    /// Lost learners are removed first, then missing voters are replaced, and lost voters
    /// are removed once there are enough live ones. Returns `None` if the group needs no
    /// repair or no spare node is available. `local` is the leader itself.
    pub fn next_step(
        &self,
        now: ClockTime,
        local: NodeId,
        membership: &GroupMembership,
    ) -> Option<RepairStep> {
        let lost: Vec<NodeId> = self.lost_members(now, local, membership).collect();
        if let Some(node) = lost.iter().find(|node| !membership.is_voter(**node)) {
            return Some(RepairStep::Remove(*node));
        }
        let live = membership.voters.len() - lost.len();
        if live >= self.config.voter_count {
            // The remaining lost members are voters beyond the desired number.
            return lost.first().map(|node| RepairStep::Remove(*node));
        }
        if let Some(node) = membership.learners.keys().next() {
            return Some(RepairStep::Promote(*node));
        }
        let lost_zone = lost
            .first()
            .and_then(|node| membership.voters.get(node))
            .map(|record| record.zone.as_str());
        let (node, record) = self.best_spare(now, membership, &lost, lost_zone)?;
        Some(RepairStep::AddLearner(node, record))
    }

    /// Picks a spare node in the zone of the lost voter, or else in the zone with the fewest
    /// live voters.
    fn best_spare(
        &self,
        now: ClockTime,
        membership: &GroupMembership,
        lost: &[NodeId],
        lost_zone: Option<&str>,
    ) -> Option<(NodeId, MemberRecord)> {
        let voters_in = |zone: &str| {
            membership
                .voters
                .iter()
                .filter(|(node, record)| record.zone == zone && !lost.contains(node))
                .count()
        };
        self.seen
            .iter()
            .filter(|(node, _)| !membership.contains(**node) && !self.is_lost(now, **node))
            .filter(|(node, _)| !membership.barred.contains(node))
            .min_by_key(|(node, (_, record))| {
                let elsewhere = lost_zone != Some(record.zone.as_str());
                (elsewhere, voters_in(&record.zone), **node)
            })
            .map(|(node, (_, record))| (*node, record.clone()))
    }
}
