//! Members of a consensus group.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ident::NodeId;

/// Instance that a member runs on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Name of the instance, which stays the same when it loses its data folder.
    pub name: String,
    /// Address for connections of other members, as `ip:port`.
    pub address: String,
    /// Availability zone that the instance runs in.
    pub zone: String,
}

/// Voters and learners of a group.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct GroupMembership {
    /// Members that vote and count towards a quorum.
    pub voters: BTreeMap<NodeId, MemberRecord>,
    /// Members that receive the log but don't vote.
    pub learners: BTreeMap<NodeId, MemberRecord>,
    /// Nodes that an operator removed, and that repairs must not add again.
    pub barred: BTreeSet<NodeId>,
}

impl GroupMembership {
    /// Returns the number of voters in a quorum, a strict majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns whether `node` is a voter.
    pub fn is_voter(&self, node: NodeId) -> bool {
        self.voters.contains_key(&node)
    }

    /// Returns whether `node` is a voter or a learner.
    pub fn contains(&self, node: NodeId) -> bool {
        self.is_voter(node) || self.learners.contains_key(&node)
    }

    /// Returns the record of a voter or learner.
    pub fn record(&self, node: NodeId) -> Option<&MemberRecord> {
        self.voters.get(&node).or_else(|| self.learners.get(&node))
    }

    /// Returns all members with their records, voters first.
    pub fn members(&self) -> impl Iterator<Item = (NodeId, &MemberRecord)> {
        self.voters
            .iter()
            .chain(&self.learners)
            .map(|(node, record)| (*node, record))
    }

    /// Returns a copy with `node` added as a learner and no longer barred.
    pub fn with_learner(&self, node: NodeId, record: MemberRecord) -> Self {
        let mut membership = self.clone();
        membership.learners.insert(node, record);
        membership.barred.remove(&node);
        membership
    }

    /// Returns a copy with the learner `node` as a voter, or `None` if it isn't a learner.
    pub fn with_promoted(&self, node: NodeId) -> Option<Self> {
        let mut membership = self.clone();
        let record = membership.learners.remove(&node)?;
        membership.voters.insert(node, record);
        Some(membership)
    }

    /// Returns a copy without `node`, which may be added again later.
    pub fn without(&self, node: NodeId) -> Self {
        let mut membership = self.clone();
        membership.voters.remove(&node);
        membership.learners.remove(&node);
        membership
    }

    /// Returns a copy without `node`, with `node` barred from being added by a repair.
    pub fn with_barred(&self, node: NodeId) -> Self {
        let mut membership = self.without(node);
        membership.barred.insert(node);
        membership
    }

    /// Returns whether `next` adds or removes at most one voter.
    ///
    /// Such a change is safe without joint consensus, since any quorum of one membership
    /// overlaps with any quorum of the other.
    pub fn is_single_step(&self, next: &Self) -> bool {
        let added = next
            .voters
            .keys()
            .filter(|node| !self.is_voter(**node))
            .count();
        let removed = self
            .voters
            .keys()
            .filter(|node| !next.is_voter(**node))
            .count();
        added + removed <= 1
    }
}
