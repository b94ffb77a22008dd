//! The next membership change that brings a group back to strength.
//!
//! A lost voter is replaced in three single steps: a spare becomes a learner, the caught-up
//! learner a voter, and then the lost one is removed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::clock::ClockTime;
use crate::consensus::GroupMembership;
use crate::consensus::MemberRecord;
use crate::ident::NodeId;

/// Aims of a repair.
#[derive(Debug, Clone, Copy)]
pub struct RepairConfig {
    /// Voters wanted.
    pub voter_count: usize,
    /// How long a voter may be unseen before it is replaced, in milliseconds.
    pub lost_after_ms: u64,
}

/// A single membership change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepairStep {
    /// Add a spare as a learner.
    AddLearner(NodeId, MemberRecord),
    /// Make a learner vote, once it has caught up.
    Promote(NodeId),
    /// Remove a lost voter or learner.
    Remove(NodeId),
}

impl RepairStep {
    /// Returns the membership after the step, or `None` if it doesn't apply.
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

/// A leader's knowledge of when each instance with a disk was heard of last.
#[derive(Debug)]
pub struct RepairPlanner {
    config: RepairConfig,
    started_at: ClockTime,
    seen: BTreeMap<NodeId, (ClockTime, MemberRecord)>,
    unwanted: BTreeSet<NodeId>,
}

impl RepairPlanner {
    /// Creates a planner for a leader that starts at `now`.
    pub fn new(now: ClockTime, config: RepairConfig) -> Self {
        Self {
            config,
            started_at: now,
            seen: BTreeMap::new(),
            unwanted: BTreeSet::new(),
        }
    }

    /// Takes note that an instance with a disk was heard of at `now`.
    pub fn record_seen(&mut self, now: ClockTime, node: NodeId, record: MemberRecord) {
        self.seen.insert(node, (now, record));
    }

    /// Returns the members that count as lost at `now`.
    pub fn lost_members<'a>(
        &'a self,
        now: ClockTime,
        local: NodeId,
        membership: &'a GroupMembership,
    ) -> impl Iterator<Item = NodeId> + 'a {
        let members = membership.members();
        let lost = members.filter(move |(node, record)| {
            *node != local && (self.is_lost(now, *node) || self.is_succeeded(*node, record))
        });
        lost.map(|(node, _)| node)
    }

    /// Names the nodes that shall be replaced though they are alive.
    pub fn set_evicted(&mut self, unwanted: BTreeSet<NodeId>) {
        self.unwanted = unwanted;
    }

    /// Returns whether an instance came back under its name with another folder.
    fn is_succeeded(&self, node: NodeId, record: &MemberRecord) -> bool {
        let seen_at = self.seen.get(&node).map(|(time, _)| *time);
        self.seen.iter().any(|(other, (time, it))| {
            *other != node && it.name == record.name && seen_at.is_none_or(|at| at < *time)
        })
    }

    fn is_lost(&self, now: ClockTime, node: NodeId) -> bool {
        if self.unwanted.contains(&node) {
            return true;
        }
        let last = self
            .seen
            .get(&node)
            .map_or(self.started_at, |(time, _)| *time);
        now.since(last) > self.config.lost_after_ms
    }

    /// Returns the next step, or `None` if the group is whole or nothing can be done.
    pub fn next_step(
        &self,
        now: ClockTime,
        local: NodeId,
        membership: &GroupMembership,
    ) -> Option<RepairStep> {
        let lost: Vec<NodeId> = self.lost_members(now, local, membership).collect();
        if let Some(node) = lost.iter().find(|it| !membership.is_voter(**it)) {
            return Some(RepairStep::Remove(*node));
        }
        let live = membership.voters.len() - lost.len();
        if live >= self.config.voter_count {
            // All lost ones left are voters above the aim.
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

    /// Picks a spare in the lost voter's zone, else in the zone with the fewest voters.
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
