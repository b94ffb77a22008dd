//! Group repair: replaces lost voters by spares and removes retiring instances from the group.

use std::collections::BTreeSet;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::MemberRecord;
use bergamotlane_coordination::ident::NodeId;

impl<D: TargetDialect> KeeperCore<D> {
    /// Proposes the next membership change that repair needs. A retiring leader first transfers
    /// leadership if there are other voters.
    pub(super) fn repair_group(&mut self, time: ClockTime) {
        let (Some(voter), Some(lead)) = (&mut self.voter, &mut self.lead) else {
            return;
        };
        for (hello, _) in self.links.values() {
            let (Some(node), Some(address)) = (hello.node, hello.address) else {
                continue;
            };
            let record = MemberRecord {
                name: hello.name.clone(),
                address: address.to_string(),
                zone: hello.zone.clone(),
            };
            lead.repair.record_seen(time, NodeId(node), record);
        }
        let retiring = &self.state.retiring;
        let membership = voter.node.membership().clone();
        let unwanted = membership
            .members()
            .filter(|(_, record)| retiring.contains(&record.name))
            .map(|(node, _)| node)
            .collect();
        lead.repair.set_evicted(unwanted);
        let local = voter.node.id();
        if retiring.contains(&self.settings.name) && membership.voters.len() > 1 {
            self.transfer_leadership();
            return;
        }
        let Some(step) = lead.repair.next_step(time, local, &membership) else {
            return;
        };
        let Some(next) = step.apply(&membership) else {
            return;
        };
        match voter.node.propose_membership(time, next, &mut self.outputs) {
            Ok(index) => {
                spdlog::info!("repair: membership change proposed", kv: { step = format!("{step:?}"), index });
            }
            Err(error) => {
                spdlog::debug!("repair: membership change not possible yet", kv: { step = format!("{step:?}"), error = error.to_string() });
            }
        }
    }

    /// Returns whether an instance is this keeper, a linked one or a member of the group.
    pub(super) fn is_known_keeper(&self, instance: &str) -> bool {
        let is_linked = self
            .links
            .values()
            .any(|(hello, _)| hello.node.is_some() && hello.name == instance);
        is_linked || self.settings.name == instance || self.is_member(instance)
    }

    fn is_member(&self, instance: &str) -> bool {
        let Some(voter) = &self.voter else {
            return false;
        };
        let mut members = voter.node.membership().members();
        members.any(|(_, record)| record.name == instance)
    }

    /// Returns whether a retiring instance has left the group.
    pub(super) fn is_retired(&self, instance: &str) -> bool {
        self.state.retiring.contains(instance) && !self.is_member(instance)
    }

    /// Returns whether the keepers that remain without an instance suffice for the configured
    /// number of voters.
    pub(super) fn can_retire(&self, instance: &str) -> bool {
        let mut names: BTreeSet<&str> = self
            .links
            .values()
            .filter(|(hello, _)| hello.node.is_some())
            .map(|(hello, _)| hello.name.as_str())
            .collect();
        names.insert(&self.settings.name);
        names.retain(|it| *it != instance && !self.state.retiring.contains(*it));
        names.len() >= self.settings.voters
    }
}
