//! Who belongs to the group.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ident::NodeId;

/// Where a member runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name of the instance.
    pub name: String,
    /// Peer address, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
}

/// Voters and learners of the group.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GroupMembership {
    /// Members that vote and count towards a quorum.
    pub voters: BTreeMap<NodeId, MemberRecord>,
    /// Members that receive the log only.
    pub learners: BTreeMap<NodeId, MemberRecord>,
    /// Nodes that an operator removed; no repair brings them back.
    pub barred: BTreeSet<NodeId>,
}

impl GroupMembership {
    /// Returns how many voters make a quorum.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `node` votes.
    pub fn is_voter(&self, node: NodeId) -> bool {
        self.voters.contains_key(&node)
    }

    /// Returns whether `node` is a voter or a learner.
    pub fn contains(&self, node: NodeId) -> bool {
        self.is_voter(node) || self.learners.contains_key(&node)
    }

    /// Returns all members with their records, voters first.
    pub fn members(&self) -> impl Iterator<Item = (NodeId, &MemberRecord)> {
        self.voters
            .iter()
            .chain(&self.learners)
            .map(|(node, record)| (*node, record))
    }

    /// Returns a copy with `node` as a learner.
    pub fn with_learner(&self, node: NodeId, record: MemberRecord) -> Self {
        let mut membership = self.clone();
        membership.learners.insert(node, record);
        membership.barred.remove(&node);
        membership
    }

    /// Returns a copy in which the learner `node` votes, or `None` if it is no learner.
    pub fn with_promoted(&self, node: NodeId) -> Option<Self> {
        let mut membership = self.clone();
        let record = membership.learners.remove(&node)?;
        membership.voters.insert(node, record);
        Some(membership)
    }

    /// Returns a copy without `node`.
    pub fn without(&self, node: NodeId) -> Self {
        let mut membership = self.clone();
        membership.voters.remove(&node);
        membership.learners.remove(&node);
        membership
    }

    /// Returns a copy without `node`, which no repair brings back.
    pub fn with_barred(&self, node: NodeId) -> Self {
        let mut membership = self.without(node);
        membership.barred.insert(node);
        membership
    }

    /// Returns whether the voters of `next` differ from these by one at most.
    pub fn is_single_step(&self, next: &Self) -> bool {
        let added = next.voters.keys().filter(|it| !self.is_voter(**it)).count();
        let removed = self.voters.keys().filter(|it| !next.is_voter(**it)).count();
        added + removed <= 1
    }
}
