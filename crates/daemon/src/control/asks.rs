//! The leader's side of the ask/view exchange.
//!
//! Every instance sends the leader an [`AskFrame`] at regular intervals. The leader answers
//! with a [`ViewFrame`]: missing log entries, changed targets, slot grants, shares of
//! customer limits and the roster of live instances.

use serde_bytes::ByteBuf;

use super::leader::CustomerBudget;
use super::leader::LiveInstance;
use super::leader::REGISTRY_SETTLE_MS;
use super::leader::RESEND_MS;
use super::leader::SLOT_LEASE_MS;
use super::outputs::write_state;
use super::thread::ControlCore;
use super::thread::ReplyTo;
use super::thread::member_record;
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

/// Maximum number of log entries sent to a follower in one answer.
const MAX_CATCH_UP_ENTRIES: usize = 512;

impl ControlCore {
    /// Answers an ask with a view, or redirects the sender if this instance does not lead.
    pub(super) fn on_ask(&mut self, from: RunId, ask: AskFrame) {
        let time = now();
        if !self.is_leader() || self.leader_state.is_none() {
            let hint = self.voter.as_ref().and_then(|voter| voter.node.leader());
            let hint = hint.and_then(|node| self.run_of_node(node));
            self.send(from, PeerFrame::NotLeader(hint.map(|run| run.0)));
            return;
        }
        self.record_instance(time, from, &ask);
        self.merge_usage(time, from, ask.usage.as_ref());
        self.shared.suspects.merge(&ask.crashes, &ask.answered);
        let Some(view) = self.build_view(time, from, &ask) else {
            return;
        };
        if from == self.run {
            self.on_view(view);
        } else {
            self.send(from, PeerFrame::View(Box::new(view)));
        }
    }

    /// Records the sender of an ask as live, together with the demand that it reports.
    fn record_instance(&mut self, time: ClockTime, from: RunId, ask: &AskFrame) {
        let hello = match from == self.run {
            true => Some(&self.hello),
            false => self.peers.get(&from),
        };
        let (Some(hello), Some(leader)) = (hello, &mut self.leader_state) else {
            return;
        };
        if let Some(node) = hello.node {
            leader
                .repair
                .record_seen(time, NodeId(node), member_record(hello));
        }
        let frame = InstanceFrame {
            run: from.0,
            node: hello.node,
            name: hello.name.clone(),
            address: hello.address.clone(),
            zone: hello.zone.clone(),
            draining: ask.draining,
        };
        let known = leader.instances.get(&from).map(|instance| &instance.frame);
        if known != Some(&frame) {
            leader.roster_revision += 1;
        }
        let instance = LiveInstance {
            frame,
            last_ask_at: time,
            demand: ask.demand.clone(),
        };
        leader.instances.insert(from, instance);
    }

    /// Proposes the usage increments of an ask, unless they are merged already or were
    /// proposed less than [`RESEND_MS`] ago.
    fn merge_usage(
        &mut self,
        time: ClockTime,
        from: RunId,
        usage: Option<&(u64, Vec<UsageDeltaWire>)>,
    ) {
        let (Some((sequence, wires)), Some(leader)) = (usage, &mut self.leader_state) else {
            return;
        };
        let merged = *sequence <= self.state.usage.merged(from);
        let proposed = leader
            .proposed_merges
            .get(&from)
            .is_some_and(|(known, at)| known == sequence && time.since(*at) < RESEND_MS);
        if merged || proposed {
            return;
        }
        let deltas: Result<Vec<UsageDelta>, _> =
            wires.iter().cloned().map(UsageDelta::try_from).collect();
        let Ok(deltas) = deltas else {
            return;
        };
        leader.proposed_merges.insert(from, (*sequence, time));
        let command = UsageCommand::Merge {
            run: from,
            sequence: *sequence,
            deltas,
        };
        self.propose(&ControlCommand::Usage { command }, ReplyTo::Nobody);
    }

    /// Builds the answer to an ask; returns `None` without a voter or leader state.
    fn build_view(&mut self, time: ClockTime, from: RunId, ask: &AskFrame) -> Option<ViewFrame> {
        let voter = self.voter.as_ref()?;
        let commit = voter.node.confirmed_commit(time);
        let log = voter.node.log();
        let in_log = ask.applied >= log.snapshot().index;
        let catch_up = match in_log {
            true => {
                let next = ask.applied + 1;
                let count = (self.state.index + 1).saturating_sub(next) as usize;
                let entries = voter.read_entries(next, count.min(MAX_CATCH_UP_ENTRIES));
                let entries = entries.inspect_err(|error| {
                    spdlog::error!("consensus: could not read the log: {error}");
                });
                let entries = entries.ok()?;
                CatchUp::Entries(entries.iter().map(LogEntryWire::from).collect())
            }
            false => CatchUp::State(ByteBuf::from(write_state(&self.state).as_ref())),
        };
        let membership = voter.node.membership().clone();
        let term = voter.node.term();
        let leader = self.leader_state.as_mut()?;
        if commit.is_some() {
            leader.followers.answer(time, from, ask.applied);
        }
        let registry_complete = time.since(leader.elected_at) > REGISTRY_SETTLE_MS;
        let synced = ask.registry.0 == self.run.0;
        let since = if synced { ask.registry.1 } else { 0 };
        let targets = leader.registry.changed_since(since);
        let targets = targets.into_iter().map(|record| TargetFrame {
            announcement: TargetAnnouncementWire::from(&record.announcement),
            life: TargetLifeWire::from(&record.life),
        });
        let roster = ask.roster != (self.run.0, leader.roster_revision);
        let roster = roster.then(|| RosterFrame {
            revision: leader.roster_revision,
            instances: leader
                .instances
                .values()
                .map(|instance| instance.frame.clone())
                .collect(),
            membership: GroupMembershipWire::from(&membership),
        });
        let mut view = ViewFrame {
            sent_at: ask.sent_at,
            sequence: ask.sequence,
            leader: self.run.0,
            term,
            commit,
            catch_up,
            registry: leader.registry.revision(),
            registry_whole: registry_complete && !synced,
            targets: targets.collect(),
            slots: Vec::new(),
            slot_lease_ms: SLOT_LEASE_MS,
            shares: Vec::new(),
            usage_merged: self.state.usage.merged(from),
            roster,
            suspects: self.shared.suspects.frames(),
        };
        view.slots = self.grant_slots(time, from, ask);
        view.shares = self.grant_shares(time, from, ask.sequence, &ask.shares);
        Some(view)
    }

    /// Grants slots of targets from the ledger.
    ///
    /// Unknown targets are left out of the answer.
    fn grant_slots(&mut self, time: ClockTime, from: RunId, ask: &AskFrame) -> Vec<SlotAllocation> {
        let Some(leader) = &mut self.leader_state else {
            return Vec::new();
        };
        let mut answers = Vec::new();
        for SlotDemand { target, held, want } in &ask.slots {
            let Ok(name) = TargetName::try_from(target.clone()) else {
                continue;
            };
            let Some(budget) = leader.budgets.get(&name) else {
                continue;
            };
            let request = SlotRequest {
                holder: from,
                sequence: ask.sequence,
                held: *held,
                want: *want,
            };
            if let Some(grant) = leader.target_ledger.request(time, budget.key, request) {
                answers.push(SlotAllocation {
                    target: target.clone(),
                    count: grant.count,
                });
            }
        }
        answers
    }

    /// Grants shares of customer limits: concurrent requests and requests per second.
    ///
    /// A customer's budgets are opened at the first demand and follow the plan's limits.
    fn grant_shares(
        &mut self,
        time: ClockTime,
        from: RunId,
        sequence: u64,
        demands: &[ShareDemand],
    ) -> Vec<ShareAllocation> {
        let plan = &self.state.config.plan;
        let Some(leader) = &mut self.leader_state else {
            return Vec::new();
        };
        let mut answers = Vec::new();
        for demand in demands {
            let Some(row) = plan.customers.get(&demand.customer) else {
                continue;
            };
            let config = |budget| BudgetConfig {
                budget,
                longest_request_ms: 0,
            };
            let ledger = &mut leader.customer_ledger;
            let budget = *leader
                .customers
                .entry(demand.customer.clone())
                .or_insert_with(|| CustomerBudget {
                    concurrency: ledger.open(time, config(row.concurrency), false),
                    rate: ledger.open(time, config(row.rate_per_s), false),
                });
            ledger.resize(budget.concurrency, config(row.concurrency));
            ledger.resize(budget.rate, config(row.rate_per_s));
            let request = |want: u32| SlotRequest {
                holder: from,
                sequence,
                held: 0,
                want,
            };
            let concurrency = ledger.request(time, budget.concurrency, request(demand.concurrency));
            let rate = ledger.request(time, budget.rate, request(demand.rate_per_s));
            if let (Some(concurrency), Some(rate)) = (concurrency, rate) {
                answers.push(ShareAllocation {
                    customer: demand.customer.clone(),
                    concurrency: concurrency.count,
                    rate_per_s: rate.count,
                });
            }
        }
        answers
    }
}
