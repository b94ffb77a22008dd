//! Periodic tasks of the leader: group repair, usage windows, orders to the platform, usage
//! reports and weight rollouts.

use std::collections::BTreeSet;

use super::leader::REGISTRY_SETTLE_MS;
use super::leader::RESEND_MS;
use super::thread::ControlCore;
use super::thread::ReplyTo;
use crate::clock::now;
use crate::clock::unix_ms;
use crate::platform::ORDER_DEADLINE_MS;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusConfig;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_policy::control::ControlCommand;
use bergamotlane_policy::control::OrderCommand;
use bergamotlane_policy::control::OrderKey;
use bergamotlane_policy::control::OrderResult;
use bergamotlane_policy::control::UsageCommand;
use bergamotlane_policy::plan::ServiceKind;
use bergamotlane_policy::targets::PoolDemand;
use bergamotlane_wire::peer::MembershipChange;

impl ControlCore {
    /// Proposes the next membership change that restores the configured number of voters.
    ///
    /// Marks the group as formed once it has reached that number for the first time.
    pub(super) fn repair_group(&mut self, time: ClockTime) {
        let (Some(leader), Some(voter)) = (&mut self.leader_state, &mut self.voter) else {
            return;
        };
        let membership = voter.node.membership().clone();
        if membership.voters.len() >= self.config.voters
            && !self.state.formed
            && !leader.formed_proposed
        {
            leader.formed_proposed = true;
            self.propose(&ControlCommand::MarkFormed {}, ReplyTo::Nobody);
            return;
        }
        let status = voter.node.group_status();
        let step = leader.repair.next_step(time, &status);
        let Some(step) = step else {
            return;
        };
        let Some(next) = step.apply(&status) else {
            return;
        };
        let proposed = voter.node.propose_membership(time, next, &mut self.outputs);
        if proposed.is_ok() {
            spdlog::info!("repair: proposed {step:?}");
        }
    }

    /// Proposes a membership change on behalf of an operator.
    ///
    /// # Errors
    ///
    /// Returns a message in lower case if this instance does not lead, if the change does not
    /// apply to the current membership, or if the proposal is rejected.
    pub(super) fn change_membership(&mut self, change: &MembershipChange) -> Result<(), String> {
        let time = now();
        let (Some(leader), Some(voter)) = (&self.leader_state, &mut self.voter) else {
            return Err("this instance is not the leader".to_owned());
        };
        let membership = voter.node.membership().clone();
        let next: Option<GroupMembership> = match change {
            MembershipChange::Add { name } => leader
                .instances
                .values()
                .find(|instance| instance.frame.name == *name)
                .and_then(|instance| {
                    let node = NodeId(instance.frame.node?);
                    let record = bergamotlane_coordination::consensus::MemberRecord {
                        name: instance.frame.name.clone(),
                        address: instance.frame.address.clone(),
                        zone: instance.frame.zone.clone(),
                    };
                    (!membership.contains(node)).then(|| membership.with_learner(node, record))
                }),
            MembershipChange::Remove { name } => membership
                .members()
                .find(|(_, record)| record.name == *name)
                .map(|(node, _)| membership.with_barred(node)),
        };
        let next =
            next.ok_or("expected a live non-member with a data folder, or the name of a member")?;
        voter
            .node
            .propose_membership(time, next, &mut self.outputs)
            .map(|_| ())
            .map_err(|error| error.to_string())
    }

    /// Proposes to close the open usage window at its end.
    ///
    /// A window without a start time is closed at once, so that the next one starts now.
    pub(super) fn close_window(&mut self, time: ClockTime) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if time < leader.close_due || !self.state.formed {
            return;
        }
        let usage = &self.state.usage;
        let unix_now_ms = unix_ms();
        let end_ms = usage.open_start_ms + self.config.window_ms;
        if usage.open_start_ms != 0 && unix_now_ms < end_ms {
            return;
        }
        leader.close_due = time + RESEND_MS;
        let command = UsageCommand::Close {
            window: usage.open_window,
            next_start_ms: unix_now_ms,
        };
        self.propose(&ControlCommand::Usage { command }, ReplyTo::Nobody);
    }

    /// Returns whether orders and reports may be sent to the platform.
    ///
    /// The previous leader's lease and an order sent at its very end must be over, and this
    /// leader's lease must outlast the deadline of an order, so that two leaders never have
    /// orders in progress at the same time.
    fn can_send_orders(&self, time: ClockTime) -> bool {
        let (Some(leader), Some(voter)) = (&self.leader_state, &self.voter) else {
            return false;
        };
        let wait_ms = ConsensusConfig::default().lease_ms + ORDER_DEADLINE_MS;
        let lease = voter.node.lease_until(time);
        time.since(leader.elected_at) > wait_ms
            && lease.is_some_and(|until| until > time + ORDER_DEADLINE_MS)
    }

    /// Proposes new orders where the demand requires other target counts than the latest orders.
    ///
    /// An order is sent only after its intent is committed.
    pub(super) fn plan_fleet(&mut self, time: ClockTime) {
        let config = &self.state.config;
        let (Some(leader), Some(voter)) = (&mut self.leader_state, &self.voter) else {
            return;
        };
        let registry_complete = time.since(leader.elected_at) > REGISTRY_SETTLE_MS;
        if self.platform.is_none()
            || !registry_complete
            || voter.node.confirmed_commit(time).is_none()
        {
            return;
        }
        let term = voter.node.term();
        let mut commands = Vec::new();
        for (service, row) in &config.plan.services {
            let mut demand = PoolDemand {
                target_slots: row.target_slots,
                ..PoolDemand::default()
            };
            let reports = leader
                .instances
                .values()
                .flat_map(|instance| &instance.demand);
            for report in reports.filter(|report| report.service == *service) {
                demand.lookups += report.lookups;
                demand.rollouts += report.rollouts;
            }
            let pools = config.plan.pools.values();
            let pools = pools
                .filter(|pool| pool.service == *service)
                .map(|pool| (pool, config.pulled.contains(&pool.zone)));
            for (key, count) in leader.fleet.target_counts(time, demand, pools) {
                let known = self.state.orders.orders.get(&key);
                if known.is_none_or(|order| order.count != count) {
                    commands.push(OrderCommand::Intend { key, term, count });
                }
            }
        }
        for command in commands {
            self.propose(&ControlCommand::Order { command }, ReplyTo::Nobody);
        }
    }

    /// Sends committed orders without a result to the platform, again after [`RESEND_MS`].
    pub(super) fn send_orders(&mut self, time: ClockTime) {
        if !self.can_send_orders(time) {
            return;
        }
        let term = self.voter.as_ref().map_or(0, |voter| voter.node.term());
        let (Some(leader), Some(platform)) = (&mut self.leader_state, &self.platform) else {
            return;
        };
        for (key, order) in self.state.orders.pending() {
            let due = leader
                .order_resend_at
                .get(key)
                .is_none_or(|due_at| time >= *due_at);
            if !due {
                continue;
            }
            leader.order_resend_at.insert(key.clone(), time + RESEND_MS);
            platform.send_order(&self.runtime, time, term, key, order);
        }
    }

    /// Counts the outcome of an order and proposes to record its result.
    ///
    /// An order without a known result stays pending and is sent again.
    pub(super) fn on_order_ended(&mut self, key: OrderKey, id: u64, result: Option<OrderResult>) {
        let label = match result {
            Some(OrderResult::Taken) => "taken",
            Some(OrderResult::Refused) => "refused",
            None => "unknown",
        };
        let orders = &self.shared.metrics.orders;
        orders.with_label_values(&["order", label]).inc();
        let Some(result) = result else {
            return;
        };
        if self.leader_state.is_some() {
            let command = OrderCommand::Settle { key, id, result };
            self.propose(&ControlCommand::Order { command }, ReplyTo::Nobody);
        }
    }

    /// Sends the oldest closed usage window that is not reported yet to the platform.
    pub(super) fn send_report(&mut self, time: ClockTime) {
        if !self.can_send_orders(time) {
            return;
        }
        let term = self.voter.as_ref().map_or(0, |voter| voter.node.term());
        let (Some(leader), Some(platform)) = (&mut self.leader_state, &self.platform) else {
            return;
        };
        if time < leader.report_due {
            return;
        }
        if let Some((window, closed)) = self.state.usage.next_unreported() {
            leader.report_due = time + RESEND_MS;
            platform.send_report(&self.runtime, time, term, window, closed);
        }
    }

    /// Counts the outcome of a usage report and proposes to mark the window as reported.
    pub(super) fn on_report_ended(&mut self, window: u64, taken: bool) {
        let label = if taken { "taken" } else { "unknown" };
        let orders = &self.shared.metrics.orders;
        orders.with_label_values(&["report", label]).inc();
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        if taken {
            leader.report_due = now();
            let command = UsageCommand::Reported { window };
            self.propose(&ControlCommand::Usage { command }, ReplyTo::Nobody);
        }
    }

    /// Orders the engines of each trainer's service to load the trainer's weight version, in
    /// waves.
    ///
    /// If several trainers use the same service, only the one with the lowest ID counts.
    pub(super) fn roll_out_weights(&mut self, time: ClockTime) {
        if !self.can_send_orders(time) {
            return;
        }
        let term = self.voter.as_ref().map_or(0, |voter| voter.node.term());
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let plan = &self.state.config.plan;
        let mut handled = BTreeSet::new();
        for (trainer, trainer_state) in &self.state.trainers {
            let Some(row) = plan.trainers.get(trainer) else {
                continue;
            };
            let kind = plan.services.get(&row.service).map(|service| service.kind);
            if kind != Some(ServiceKind::Engine) || !handled.insert(&row.service) {
                continue;
            }
            let records = leader.registry.records();
            let wave =
                leader
                    .weight_waves
                    .next_wave(time, &row.service, trainer_state.version, records);
            for record in wave {
                let address = record.announcement.address.clone();
                crate::platform::load_weights(&self.runtime, address, trainer_state.version, term);
            }
        }
    }
}
