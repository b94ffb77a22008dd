//! The leader's soft state and duties: the registry, slots, usage windows, orders,
//! weights and repair.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde_bytes::ByteBuf;

use super::follow::FRESH_WINDOW_MS;
use super::outputs::write_state;
use super::thread::ControlCore;
use super::thread::ReplyTo;
use super::thread::record_of;
use crate::clock::now;
use crate::clock::unix_ms;
use crate::platform::ORDER_DEADLINE_MS;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusConfig;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::freshness::ForceTable;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_coordination::ledger::BudgetKey;
use bergamotlane_coordination::ledger::SlotLedger;
use bergamotlane_coordination::ledger::SlotRequest;
use bergamotlane_coordination::ledger::SlotTerms;
use bergamotlane_coordination::repair::RepairConfig;
use bergamotlane_coordination::repair::RepairPlanner;
use bergamotlane_policy::control::ControlCommand;
use bergamotlane_policy::control::OrderCommand;
use bergamotlane_policy::control::OrderKey;
use bergamotlane_policy::control::OrderResult;
use bergamotlane_policy::control::UsageCommand;
use bergamotlane_policy::control::UsageDelta;
use bergamotlane_policy::plan::ServiceKind;
use bergamotlane_policy::targets::FleetConfig;
use bergamotlane_policy::targets::FleetPlanner;
use bergamotlane_policy::targets::PoolDemand;
use bergamotlane_policy::targets::TargetAnnouncement;
use bergamotlane_policy::targets::TargetLife;
use bergamotlane_policy::targets::TargetName;
use bergamotlane_policy::targets::TargetRegistry;
use bergamotlane_policy::targets::WaveConfig;
use bergamotlane_policy::targets::WavePlanner;
use bergamotlane_wire::GroupMembershipWire;
use bergamotlane_wire::LogEntryWire;
use bergamotlane_wire::TargetAnnouncementWire;
use bergamotlane_wire::TargetLifeWire;
use bergamotlane_wire::UsageDeltaWire;
use bergamotlane_wire::peer::AskFrame;
use bergamotlane_wire::peer::CatchUp;
use bergamotlane_wire::peer::DemandReport;
use bergamotlane_wire::peer::InstanceFrame;
use bergamotlane_wire::peer::MembershipChange;
use bergamotlane_wire::peer::PeerFrame;
use bergamotlane_wire::peer::RosterFrame;
use bergamotlane_wire::peer::ShareAnswer;
use bergamotlane_wire::peer::ShareReport;
use bergamotlane_wire::peer::SlotAnswer;
use bergamotlane_wire::peer::SlotAsk;
use bergamotlane_wire::peer::TargetFrame;
use bergamotlane_wire::peer::ViewFrame;

/// How long slots are granted without renewal, in milliseconds.
const SLOT_LEASE_MS: u64 = 1_500;

/// Silence after which an instance no longer counts as live, in milliseconds.
const INSTANCE_EXPIRY_MS: u64 = 3_000;

/// Time until all targets have announced themselves to a new leader, in milliseconds.
const REGISTRY_SETTLE_MS: u64 = 4_000;

/// Time between two looks at repair, target counts and weights, in milliseconds.
const DUTY_INTERVAL_MS: u64 = 200;

/// Time after which an unanswered order or report is sent again, in milliseconds.
const RESEND_MS: u64 = 1_000;

/// Entries sent to a follower in one answer.
const CATCH_UP_ENTRIES: usize = 512;

/// A live instance as the leader knows it.
#[derive(Debug)]
struct LiveInstance {
    frame: InstanceFrame,
    heard_at: ClockTime,
    demand: Vec<DemandReport>,
}

/// Slots of one target.
#[derive(Debug)]
struct TargetBudget {
    boot: u64,
    key: BudgetKey,
}

/// Limits of one customer.
#[derive(Debug, Clone, Copy)]
struct CustomerBudget {
    concurrency: BudgetKey,
    rate: BudgetKey,
}

/// What a leader knows beside the log.
#[derive(Debug)]
pub(super) struct LeadState {
    since: ClockTime,
    force: ForceTable,
    repair: RepairPlanner,
    registry: TargetRegistry,
    ledger: SlotLedger,
    budgets: BTreeMap<TargetName, TargetBudget>,
    limits: SlotLedger,
    customers: BTreeMap<String, CustomerBudget>,
    instances: BTreeMap<RunId, LiveInstance>,
    roster_revision: u64,
    merges: BTreeMap<RunId, (u64, ClockTime)>,
    fleet: FleetPlanner,
    waves: WavePlanner,
    duty_due: ClockTime,
    close_due: ClockTime,
    /// Orders under way, with the time from which they may be sent again.
    sending: BTreeMap<OrderKey, ClockTime>,
    reporting_until: ClockTime,
    formed_proposed: bool,
}

impl ControlCore {
    pub(super) fn begin_lead(&mut self) {
        let time = now();
        let repair = RepairConfig {
            voter_count: self.config.voters,
            lost_after_ms: self.config.voter_lost_ms,
        };
        let fleet = FleetConfig {
            shrink_after_ms: self.config.shrink_ms,
            ..FleetConfig::default()
        };
        self.lead = Some(LeadState {
            since: time,
            force: ForceTable::new(time, FRESH_WINDOW_MS),
            repair: RepairPlanner::new(time, repair),
            registry: TargetRegistry::new(time),
            ledger: SlotLedger::new(SLOT_LEASE_MS),
            budgets: BTreeMap::new(),
            limits: SlotLedger::new(SLOT_LEASE_MS),
            customers: BTreeMap::new(),
            instances: BTreeMap::new(),
            roster_revision: 1,
            merges: BTreeMap::new(),
            fleet: FleetPlanner::new(fleet),
            waves: WavePlanner::new(WaveConfig::default()),
            duty_due: time,
            close_due: time,
            sending: BTreeMap::new(),
            reporting_until: time,
            formed_proposed: false,
        });
        self.follow.hurry();
    }

    pub(super) fn end_lead(&mut self) {
        self.lead = None;
        // The commands may still be committed by the next leader.
        for (_, pending) in std::mem::take(&mut self.pending) {
            let unknown = Err(bergamotlane_wire::peer::SubmitFailure::Unknown);
            self.reply(pending.reply, unknown);
        }
    }

    pub(super) fn pass_lead(&mut self) {
        if let Some(voter) = &mut self.voter
            && voter.node.transfer_lead(&mut self.outputs)
        {
            spdlog::info!("consensus: Passes the lead on.");
        }
    }

    pub(super) fn roster_changed(&mut self) {
        if let Some(lead) = &mut self.lead {
            lead.roster_revision += 1;
        }
    }

    /// Tells all followers that a change was committed.
    pub(super) fn announce_advance(&mut self, index: u64) {
        for run in self.peers.keys() {
            self.send(*run, PeerFrame::Advance(index));
        }
        self.follow.hurry();
    }

    pub(super) fn in_force(&self, index: u64) -> Option<bool> {
        let lead = self.lead.as_ref()?;
        Some(lead.force.in_force(now(), index))
    }

    /// Takes a target into the registry, and its slots into the ledger.
    pub(super) fn register(&mut self, announcement: TargetAnnouncement, uptime_ms: u64) {
        let time = now();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let name = announcement.target.clone();
        let Some(service) = self.state.config.plan.services.get(&name.service) else {
            return;
        };
        let (before, life) = lead.registry.announce(time, announcement, uptime_ms);
        if before != Some(life) {
            spdlog::info!("target: {}/{} is {life:?}.", name.service, name.name);
        }
        let terms = match life {
            TargetLife::Warm => SlotTerms {
                budget: service.target_slots,
                longest_request_ms: 0,
            },
            TargetLife::Cold => SlotTerms {
                budget: service.cold_slots,
                longest_request_ms: u64::from(service.deadline_ms),
            },
            TargetLife::Leaving | TargetLife::Gone => SlotTerms {
                budget: 0,
                longest_request_ms: 0,
            },
        };
        let Some(record) = lead.registry.get(&name) else {
            return;
        };
        let boot = record.announcement.boot;
        let known = lead.budgets.get(&name).filter(|it| it.boot == boot);
        if let Some(known) = known {
            if lead.ledger.terms(known.key) != Some(terms) {
                lead.ledger.resize(known.key, terms);
            }
            return;
        }
        let key = lead.ledger.open(time, terms, !record.born_here);
        if let Some(old) = lead.budgets.insert(name, TargetBudget { boot, key }) {
            lead.ledger.close(old.key);
        }
    }

    pub(super) fn on_ask(&mut self, from: RunId, ask: AskFrame) {
        let time = now();
        if !self.leads() || self.lead.is_none() {
            let hint = self.voter.as_ref().and_then(|it| it.node.leader());
            let hint = hint.and_then(|node| self.run_of(node));
            self.send(from, PeerFrame::NotLeader(hint.map(|it| it.0)));
            return;
        }
        self.saw_instance(time, from, &ask);
        self.merge_usage(time, from, ask.usage.as_ref());
        let Some(view) = self.build_view(time, from, &ask) else {
            return;
        };
        if from == self.run {
            self.on_view(view);
        } else {
            self.send(from, PeerFrame::View(Box::new(view)));
        }
    }

    fn saw_instance(&mut self, time: ClockTime, from: RunId, ask: &AskFrame) {
        let hello = match from == self.run {
            true => Some(&self.hello),
            false => self.peers.get(&from),
        };
        let (Some(hello), Some(lead)) = (hello, &mut self.lead) else {
            return;
        };
        if let Some(node) = hello.node {
            lead.repair.saw(time, NodeId(node), record_of(hello));
        }
        let frame = InstanceFrame {
            run: from.0,
            node: hello.node,
            name: hello.name.clone(),
            address: hello.address.clone(),
            zone: hello.zone.clone(),
            draining: ask.draining,
        };
        let known = lead.instances.get(&from).map(|it| &it.frame);
        if known != Some(&frame) {
            lead.roster_revision += 1;
        }
        let instance = LiveInstance {
            frame,
            heard_at: time,
            demand: ask.demand.clone(),
        };
        lead.instances.insert(from, instance);
    }

    fn merge_usage(
        &mut self,
        time: ClockTime,
        from: RunId,
        usage: Option<&(u64, Vec<UsageDeltaWire>)>,
    ) {
        let (Some((sequence, wires)), Some(lead)) = (usage, &mut self.lead) else {
            return;
        };
        let done = *sequence <= self.state.usage.merged(from);
        let proposed = lead
            .merges
            .get(&from)
            .is_some_and(|(known, at)| known == sequence && time.since(*at) < RESEND_MS);
        if done || proposed {
            return;
        }
        let deltas: Result<Vec<UsageDelta>, _> =
            wires.iter().cloned().map(UsageDelta::try_from).collect();
        let Ok(deltas) = deltas else {
            return;
        };
        lead.merges.insert(from, (*sequence, time));
        let command = UsageCommand::Merge {
            run: from,
            sequence: *sequence,
            deltas,
        };
        self.propose(&ControlCommand::Usage { command }, ReplyTo::Nobody);
    }

    fn build_view(&mut self, time: ClockTime, from: RunId, ask: &AskFrame) -> Option<ViewFrame> {
        let voter = self.voter.as_ref()?;
        let commit = voter.node.confirmed_commit(time);
        let log = voter.node.log();
        let held = ask.applied >= log.snapshot().index;
        let catch_up = match held {
            true => {
                let next = ask.applied + 1;
                let count = (self.state.index + 1).saturating_sub(next) as usize;
                let entries = log.slice(next, count.min(CATCH_UP_ENTRIES));
                CatchUp::Entries(entries.iter().map(LogEntryWire::from).collect())
            }
            false => CatchUp::State(ByteBuf::from(write_state(&self.state).as_ref())),
        };
        let membership = voter.node.membership().clone();
        let term = voter.node.term();
        let lead = self.lead.as_mut()?;
        if commit.is_some() {
            lead.force.answer(time, from, ask.applied);
        }
        let settled = time.since(lead.since) > REGISTRY_SETTLE_MS;
        let synced = ask.registry.0 == self.run.0;
        let since = if synced { ask.registry.1 } else { 0 };
        let targets = lead.registry.changed_since(since);
        let targets = targets.into_iter().map(|record| TargetFrame {
            announcement: TargetAnnouncementWire::from(&record.announcement),
            life: TargetLifeWire::from(&record.life),
        });
        let roster = ask.roster != (self.run.0, lead.roster_revision);
        let roster = roster.then(|| RosterFrame {
            revision: lead.roster_revision,
            instances: lead.instances.values().map(|it| it.frame.clone()).collect(),
            membership: GroupMembershipWire::from(&membership),
        });
        let mut view = ViewFrame {
            sent_at: ask.sent_at,
            sequence: ask.sequence,
            leader: self.run.0,
            term,
            commit,
            catch_up,
            registry: lead.registry.revision(),
            registry_whole: settled && !synced,
            targets: targets.collect(),
            slots: Vec::new(),
            slot_lease_ms: SLOT_LEASE_MS,
            shares: Vec::new(),
            usage_merged: self.state.usage.merged(from),
            roster,
        };
        view.slots = self.grant_slots(time, from, ask);
        view.shares = self.grant_shares(time, from, ask.sequence, &ask.shares);
        Some(view)
    }

    fn grant_slots(&mut self, time: ClockTime, from: RunId, ask: &AskFrame) -> Vec<SlotAnswer> {
        let Some(lead) = &mut self.lead else {
            return Vec::new();
        };
        let mut answers = Vec::new();
        for SlotAsk { target, held, want } in &ask.slots {
            let Ok(name) = TargetName::try_from(target.clone()) else {
                continue;
            };
            let Some(budget) = lead.budgets.get(&name) else {
                continue;
            };
            let request = SlotRequest {
                holder: from,
                sequence: ask.sequence,
                held: *held,
                want: *want,
            };
            if let Some(grant) = lead.ledger.request(time, budget.key, request) {
                answers.push(SlotAnswer {
                    target: target.clone(),
                    count: grant.count,
                });
            }
        }
        answers
    }

    fn grant_shares(
        &mut self,
        time: ClockTime,
        from: RunId,
        sequence: u64,
        reports: &[ShareReport],
    ) -> Vec<ShareAnswer> {
        let plan = &self.state.config.plan;
        let Some(lead) = &mut self.lead else {
            return Vec::new();
        };
        let mut answers = Vec::new();
        for report in reports {
            let Some(row) = plan.customers.get(&report.customer) else {
                continue;
            };
            let terms = |budget| SlotTerms {
                budget,
                longest_request_ms: 0,
            };
            let limits = &mut lead.limits;
            let budget = *lead
                .customers
                .entry(report.customer.clone())
                .or_insert_with(|| CustomerBudget {
                    concurrency: limits.open(time, terms(row.concurrency), false),
                    rate: limits.open(time, terms(row.rate_per_s), false),
                });
            limits.resize(budget.concurrency, terms(row.concurrency));
            limits.resize(budget.rate, terms(row.rate_per_s));
            let request = |want: u32| SlotRequest {
                holder: from,
                sequence,
                held: 0,
                want,
            };
            let concurrency = limits.request(time, budget.concurrency, request(report.concurrency));
            let rate = limits.request(time, budget.rate, request(report.rate_per_s));
            if let (Some(concurrency), Some(rate)) = (concurrency, rate) {
                answers.push(ShareAnswer {
                    customer: report.customer.clone(),
                    concurrency: concurrency.count,
                    rate_per_s: rate.count,
                });
            }
        }
        answers
    }

    pub(super) fn lead_tick(&mut self, time: ClockTime) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        for name in lead.registry.expire(time) {
            spdlog::warn!("target: {}/{} is silent.", name.service, name.name);
            if let Some(budget) = lead.budgets.remove(&name) {
                lead.ledger.close(budget.key);
            }
        }
        lead.ledger.expire(time);
        lead.limits.expire(time);
        lead.force.expire(time);
        let live = lead.instances.len();
        lead.instances
            .retain(|_, it| time.since(it.heard_at) < INSTANCE_EXPIRY_MS);
        if lead.instances.len() != live {
            lead.roster_revision += 1;
        }
        if time < lead.duty_due {
            return;
        }
        lead.duty_due = time + DUTY_INTERVAL_MS;
        self.repair_group(time);
        self.close_window(time);
        self.plan_fleet(time);
        self.send_orders(time);
        self.send_report(time);
        self.roll_weights(time);
    }

    fn repair_group(&mut self, time: ClockTime) {
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
                .map(|(node, _)| membership.without(node)),
        };
        let next = next.ok_or("no such instance with a disk, or nothing to change")?;
        voter
            .node
            .propose_membership(time, next, &mut self.outputs)
            .map(|_| ())
            .map_err(|error| error.to_string())
    }

    fn close_window(&mut self, time: ClockTime) {
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

    fn plan_fleet(&mut self, time: ClockTime) {
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
            for (key, count) in lead.fleet.aims(time, demand, pools) {
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

    fn send_orders(&mut self, time: ClockTime) {
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
            platform.order(&self.runtime, time, term, key, order);
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

    fn send_report(&mut self, time: ClockTime) {
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
            platform.report(&self.runtime, time, term, window, closed);
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
    fn roll_weights(&mut self, time: ClockTime) {
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
