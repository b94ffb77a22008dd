//! Group repair: replaces lost voters by spares and removes retiring instances from the group.

use std::collections::BTreeSet;

use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::LeaderReply;
use crate::state::StateCommand;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::MemberRecord;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_coordination::repair::RepairStep;
use bergamotlane_coordination::repair::RetirementVerdict;
use bergamotlane_storage::clock::now;

impl<D: TargetDialect> KeeperCore<D> {
    /// Takes the next step that repair needs.
    pub(super) fn repair_group(&mut self, time: ClockTime) {
        self.record_keepers(time);
        let (Some(voter), Some(lead)) = (&mut self.voter, &mut self.lead) else {
            return;
        };
        let status = voter.node.group_status();
        let Some(step) = lead.repair.next_step(time, &status) else {
            return;
        };
        if let RepairStep::Transfer(successors) = &step {
            spdlog::info!("repair: this instance retires, its lead goes to another voter", kv: { successors = successors.len() });
            self.transfer_leadership(&[successors]);
            return;
        }
        let Some(next) = step.apply(&status) else {
            return;
        };
        match voter.node.propose_membership(time, next, &mut self.outputs) {
            Ok(index) => {
                spdlog::info!("repair: membership change proposed", kv: {
                    step = format!("{step:?}"),
                    index,
                    voters = status.membership.voters.len(),
                    answering = status.answered_at.len(),
                });
            }
            Err(error) => {
                spdlog::debug!("repair: membership change not possible yet", kv: { step = format!("{step:?}"), error = error.to_string() });
            }
        }
    }

    /// Tells the planner which keepers are linked and which instances retire.
    fn record_keepers(&mut self, time: ClockTime) {
        let Some(lead) = &mut self.lead else {
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
        lead.repair.record_retiring(&self.state.retiring);
    }

    /// Marks an instance for removal if enough keepers remain without it.
    pub(super) fn retire(&mut self, instance: String, origin: CallOrigin) {
        if !self.is_known_keeper(&instance) {
            self.reply(origin, LeaderReply::Missing);
            return;
        }
        let command = StateCommand::Retire(instance.clone());
        if self.state.has_for_good(&command) {
            self.reply(origin, LeaderReply::Done);
            return;
        }
        let time = now();
        self.record_keepers(time);
        let (Some(voter), Some(lead)) = (&self.voter, &mut self.lead) else {
            self.reply(origin, LeaderReply::NotLeader);
            return;
        };
        let status = voter.node.group_status();
        let verdict = lead.repair.judge_retirement(time, &status, &instance);
        spdlog::info!("repair: order to retire", kv: {
            instance = instance.as_str(),
            verdict = format!("{verdict:?}"),
            retiring = self.state.retiring.len(),
        });
        match verdict {
            RetirementVerdict::Accepted => {
                // Later orders are judged with this one, although it isn't committed yet.
                lead.repair.record_retiring([&instance]);
                self.propose(&command, origin);
            }
            RetirementVerdict::TooFew => self.reply(origin, LeaderReply::Conflict),
            RetirementVerdict::Unsure => self.reply(origin, LeaderReply::NotLeader),
        }
    }

    /// Replies whether an instance has retired.
    pub(super) fn report_retirement(&self, instance: &str, origin: CallOrigin) {
        let reply = match self.is_known_keeper(instance) {
            true => LeaderReply::Retired(self.is_retired(instance)),
            false => LeaderReply::Missing,
        };
        self.reply(origin, reply);
    }

    /// Returns whether an instance is this keeper, a linked one, a member of the group or one that
    /// retires or has retired.
    fn is_known_keeper(&self, instance: &str) -> bool {
        let is_linked = self
            .links
            .values()
            .any(|(hello, _)| hello.node.is_some() && hello.name == instance);
        let is_member = self
            .voter
            .as_ref()
            .is_some_and(|it| !it.node.has_left(instance));
        let is_retiring = self.state.retiring.contains(instance);
        is_linked || is_member || is_retiring || self.settings.name == instance
    }

    /// Returns whether a retiring instance has left the group, whoever leads it from now on. Its disk
    /// may be taken away then.
    fn is_retired(&self, instance: &str) -> bool {
        let has_left = self
            .voter
            .as_ref()
            .is_some_and(|it| it.node.has_left(instance));
        has_left && self.state.retiring.contains(instance)
    }

    /// Transfers the leadership before this process ends, if this keeper leads: to a voter that stays
    /// in the group, or else to another one.
    pub(super) fn leave_leadership(&mut self) {
        let Some(voter) = &self.voter else {
            return;
        };
        let voters = &voter.node.membership().voters;
        let all: BTreeSet<NodeId> = voters.keys().copied().collect();
        let stays = |it: &(&NodeId, &MemberRecord)| !self.state.retiring.contains(&it.1.name);
        let staying = voters.iter().filter(stays).map(|(node, _)| *node);
        let staying: BTreeSet<NodeId> = staying.collect();
        self.transfer_leadership(&[&staying, &all]);
    }
}
