//! What a leader knows of its group, from which repairs are planned.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::membership::GroupMembership;
use crate::clock::ClockTime;
use crate::ident::NodeId;
use crate::repair::MemberStage;

/// Members of a group as their leader knows them.
#[derive(Debug, Clone)]
pub struct GroupStatus {
    /// The leader itself.
    pub leader: NodeId,
    /// Latest membership of its log, even if it isn't committed yet.
    pub membership: GroupMembership,
    /// Time at which each other member is known to have run: when the latest heartbeat that it has
    /// answered was sent.
    pub answered_at: BTreeMap<NodeId, ClockTime>,
    /// Other members that are known to have all committed entries.
    pub caught_up: BTreeSet<NodeId>,
}

impl GroupStatus {
    /// Returns the stage of a node.
    pub fn stage(&self, node: NodeId) -> MemberStage {
        match self.membership.is_voter(node) {
            true if node == self.leader => MemberStage::Leader,
            true => MemberStage::Voter,
            false if self.membership.contains(node) => MemberStage::Learner,
            false => MemberStage::Spare,
        }
    }
}
