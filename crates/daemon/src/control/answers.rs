//! The leader's answers to the questions of instances.

use serde_bytes::ByteBuf;

use super::lead::CustomerBudget;
use super::lead::LiveInstance;
use super::lead::REGISTRY_SETTLE_MS;
use super::lead::RESEND_MS;
use super::lead::SLOT_LEASE_MS;
use super::outputs::write_state;
use super::thread::ControlCore;
use super::thread::ReplyTo;
use super::thread::record_of;
use crate::clock::now;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_coordination::ledger::BudgetConfig;
use bergamotlane_coordination::ledger::SlotRequest;
use bergamotlane_policy::control::ControlCommand;
use bergamotlane_policy::control::UsageCommand;
use bergamotlane_policy::control::UsageDelta;
use bergamotlane_policy::targets::TargetName;
use bergamotlane_wire::GroupMembershipWire;
use bergamotlane_wire::LogEntryWire;
use bergamotlane_wire::TargetAnnouncementWire;
use bergamotlane_wire::TargetLifeWire;
use bergamotlane_wire::UsageDeltaWire;
use bergamotlane_wire::peer::AskFrame;
use bergamotlane_wire::peer::CatchUp;
use bergamotlane_wire::peer::InstanceFrame;
use bergamotlane_wire::peer::PeerFrame;
use bergamotlane_wire::peer::RosterFrame;
use bergamotlane_wire::peer::ShareAllocation;
use bergamotlane_wire::peer::ShareDemand;
use bergamotlane_wire::peer::SlotAllocation;
use bergamotlane_wire::peer::SlotDemand;
use bergamotlane_wire::peer::TargetFrame;
use bergamotlane_wire::peer::ViewFrame;

/// Entries sent to a follower in one answer.
const CATCH_UP_ENTRIES: usize = 512;

impl ControlCore {
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
            lead.repair
                .record_seen(time, NodeId(node), record_of(hello));
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

    fn grant_slots(&mut self, time: ClockTime, from: RunId, ask: &AskFrame) -> Vec<SlotAllocation> {
        let Some(lead) = &mut self.lead else {
            return Vec::new();
        };
        let mut answers = Vec::new();
        for SlotDemand { target, held, want } in &ask.slots {
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
                answers.push(SlotAllocation {
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
        reports: &[ShareDemand],
    ) -> Vec<ShareAllocation> {
        let plan = &self.state.config.plan;
        let Some(lead) = &mut self.lead else {
            return Vec::new();
        };
        let mut answers = Vec::new();
        for report in reports {
            let Some(row) = plan.customers.get(&report.customer) else {
                continue;
            };
            let terms = |budget| BudgetConfig {
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
                answers.push(ShareAllocation {
                    customer: report.customer.clone(),
                    concurrency: concurrency.count,
                    rate_per_s: rate.count,
                });
            }
        }
        answers
    }
}
