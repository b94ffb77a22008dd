//! The leader's duties: repair, usage windows, orders, reports and weights.

use std::collections::BTreeSet;

use super::lead::REGISTRY_SETTLE_MS;
use super::lead::RESEND_MS;
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
    pub(super) fn repair_group(&mut self, time: ClockTime) {
        let (Some(lead), Some(voter)) = (&mut self.lead, &mut self.voter) else {
            return;
        };
        let membership = voter.node.membership().clone();
        if membership.voters.len() >= self.config.voters
            && !self.state.formed
            && !lead.formed_proposed
        {
            lead.formed_proposed = true;
            self.propose(&ControlCommand::MarkFormed {}, ReplyTo::Nobody);
            return;
        }
        let step = lead.repair.next_step(time, voter.node.id(), &membership);
        let Some(step) = step else {
            return;
        };
        let Some(next) = step.apply(&membership) else {
            return;
        };
        let proposed = voter.node.propose_membership(time, next, &mut self.outputs);
        if proposed.is_ok() {
            spdlog::info!("repair: {step:?}.");
        }
    }

    /// Changes the membership for an operator, if this instance leads.
    pub(super) fn change_membership(&mut self, change: &MembershipChange) -> Result<(), String> {
        let time = now();
        let (Some(lead), Some(voter)) = (&self.lead, &mut self.voter) else {
            return Err("this instance doesn't lead".to_owned());
        };
        let membership = voter.node.membership().clone();
        let next: Option<GroupMembership> = match change {
            MembershipChange::Add { name } => lead
                .instances
                .values()
                .find(|it| it.frame.name == *name)
                .and_then(|it| {
                    let node = NodeId(it.frame.node?);
                    let record = bergamotlane_coordination::consensus::MemberRecord {
                        name: it.frame.name.clone(),
                        address: it.frame.address.clone(),
                        zone: it.frame.zone.clone(),
                    };
                    (!membership.contains(node)).then(|| membership.with_learner(node, record))
                }),
            MembershipChange::Remove { name } => membership
                .members()
                .find(|(_, record)| record.name == *name)
                .map(|(node, _)| membership.with_barred(node)),
        };
        let next = next.ok_or("no such instance with a disk, or nothing to change")?;
        voter
            .node
            .propose_membership(time, next, &mut self.outputs)
            .map(|_| ())
            .map_err(|error| error.to_string())
    }

    pub(super) fn close_window(&mut self, time: ClockTime) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if time < lead.close_due || !self.state.formed {
            return;
        }
        let usage = &self.state.usage;
        let unix = unix_ms();
        let end = usage.open_start_ms + self.config.window_ms;
        if usage.open_start_ms != 0 && unix < end {
            return;
        }
        lead.close_due = time + RESEND_MS;
        let command = UsageCommand::Close {
            window: usage.open_window,
            next_start_ms: unix,
        };
        self.propose(&ControlCommand::Usage { command }, ReplyTo::Nobody);
    }

    /// Returns whether orders may be sent: the old lease and its longest order are over,
    /// and the own lease outlasts an order's deadline.
    fn may_order(&self, time: ClockTime) -> bool {
        let (Some(lead), Some(voter)) = (&self.lead, &self.voter) else {
            return false;
        };
        let wait_ms = ConsensusConfig::default().lease_ms + ORDER_DEADLINE_MS;
        let lease = voter.node.lease_until(time);
        time.since(lead.since) > wait_ms && lease.is_some_and(|it| it > time + ORDER_DEADLINE_MS)
    }

    pub(super) fn plan_fleet(&mut self, time: ClockTime) {
        let config = &self.state.config;
        let (Some(lead), Some(voter)) = (&mut self.lead, &self.voter) else {
            return;
        };
        let settled = time.since(lead.since) > REGISTRY_SETTLE_MS;
        if self.platform.is_none() || !settled || voter.node.confirmed_commit(time).is_none() {
            return;
        }
        let term = voter.node.term();
        let mut commands = Vec::new();
        for (service, row) in &config.plan.services {
            let mut demand = PoolDemand {
                target_slots: row.target_slots,
                ..PoolDemand::default()
            };
            let reports = lead.instances.values().flat_map(|it| &it.demand);
            for report in reports.filter(|it| it.service == *service) {
                demand.lookups += report.lookups;
                demand.rollouts += report.rollouts;
            }
            let pools = config.plan.pools.values();
            let pools = pools
                .filter(|pool| pool.service == *service)
                .map(|pool| (pool, config.pulled.contains(&pool.zone)));
            for (key, count) in lead.fleet.target_counts(time, demand, pools) {
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

    pub(super) fn send_orders(&mut self, time: ClockTime) {
        if !self.may_order(time) {
            return;
        }
        let term = self.voter.as_ref().map_or(0, |it| it.node.term());
        let (Some(lead), Some(platform)) = (&mut self.lead, &self.platform) else {
            return;
        };
        for (key, order) in self.state.orders.pending() {
            let due = lead.sending.get(key).is_none_or(|it| time >= *it);
            if !due {
                continue;
            }
            lead.sending.insert(key.clone(), time + RESEND_MS);
            platform.send_order(&self.runtime, time, term, key, order);
        }
    }

    pub(super) fn on_order_ended(&mut self, key: OrderKey, id: u64, result: Option<OrderResult>) {
        let word = match result {
            Some(OrderResult::Taken) => "taken",
            Some(OrderResult::Refused) => "refused",
            None => "unknown",
        };
        let orders = &self.shared.metrics.orders;
        orders.with_label_values(&["order", word]).inc();
        let Some(result) = result else {
            return;
        };
        if self.lead.is_some() {
            let command = OrderCommand::Settle { key, id, result };
            self.propose(&ControlCommand::Order { command }, ReplyTo::Nobody);
        }
    }

    pub(super) fn send_report(&mut self, time: ClockTime) {
        if !self.may_order(time) {
            return;
        }
        let term = self.voter.as_ref().map_or(0, |it| it.node.term());
        let (Some(lead), Some(platform)) = (&mut self.lead, &self.platform) else {
            return;
        };
        if time < lead.reporting_until {
            return;
        }
        if let Some((window, closed)) = self.state.usage.next_unreported() {
            lead.reporting_until = time + RESEND_MS;
            platform.send_report(&self.runtime, time, term, window, closed);
        }
    }

    pub(super) fn on_report_ended(&mut self, window: u64, taken: bool) {
        let word = if taken { "taken" } else { "unknown" };
        let orders = &self.shared.metrics.orders;
        orders.with_label_values(&["report", word]).inc();
        let Some(lead) = &mut self.lead else {
            return;
        };
        if taken {
            lead.reporting_until = now();
            let command = UsageCommand::Reported { window };
            self.propose(&ControlCommand::Usage { command }, ReplyTo::Nobody);
        }
    }

    /// Orders the engines of each trainer's service to load the trainer's version.
    pub(super) fn roll_weights(&mut self, time: ClockTime) {
        if !self.may_order(time) {
            return;
        }
        let term = self.voter.as_ref().map_or(0, |it| it.node.term());
        let Some(lead) = &mut self.lead else {
            return;
        };
        let plan = &self.state.config.plan;
        let mut done = BTreeSet::new();
        for (trainer, book) in &self.state.trainers {
            let Some(row) = plan.trainers.get(trainer) else {
                continue;
            };
            let engine = plan.services.get(&row.service).map(|it| it.kind);
            if engine != Some(ServiceKind::Engine) || !done.insert(&row.service) {
                continue;
            }
            let records = lead.registry.records();
            let wave = lead
                .waves
                .next_wave(time, &row.service, book.version, records);
            for record in wave {
                let address = record.announcement.address.clone();
                crate::platform::load_weights(&self.runtime, address, book.version, term);
            }
        }
    }
}
