//! The leader's soft state: the registry, slots, limits, instances.

use std::collections::BTreeMap;

use super::follow::FRESH_WINDOW_MS;
use super::thread::ControlCore;
use crate::clock::now;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::freshness::FollowerTable;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_coordination::ledger::BudgetConfig;
use bergamotlane_coordination::ledger::BudgetKey;
use bergamotlane_coordination::ledger::SlotLedger;
use bergamotlane_coordination::repair::RepairConfig;
use bergamotlane_coordination::repair::RepairPlanner;
use bergamotlane_policy::control::OrderKey;
use bergamotlane_policy::targets::FleetConfig;
use bergamotlane_policy::targets::FleetPlanner;
use bergamotlane_policy::targets::TargetAnnouncement;
use bergamotlane_policy::targets::TargetLife;
use bergamotlane_policy::targets::TargetName;
use bergamotlane_policy::targets::TargetRegistry;
use bergamotlane_policy::targets::WaveConfig;
use bergamotlane_policy::targets::WavePlanner;
use bergamotlane_wire::peer::DemandReport;
use bergamotlane_wire::peer::InstanceFrame;
use bergamotlane_wire::peer::PeerFrame;

/// How long slots are granted without renewal, in milliseconds.
pub(super) const SLOT_LEASE_MS: u64 = 1_500;

/// Time until all targets have announced themselves to a new leader, in milliseconds.
pub(super) const REGISTRY_SETTLE_MS: u64 = 4_000;

/// Time after which an unanswered order or report is sent again, in milliseconds.
pub(super) const RESEND_MS: u64 = 1_000;

/// Silence after which an instance no longer counts as live, in milliseconds.
const INSTANCE_EXPIRY_MS: u64 = 3_000;

/// Time between two looks at repair, target counts and weights, in milliseconds.
const DUTY_INTERVAL_MS: u64 = 200;

/// A live instance as the leader knows it.
#[derive(Debug)]
pub(super) struct LiveInstance {
    pub(super) frame: InstanceFrame,
    pub(super) heard_at: ClockTime,
    pub(super) demand: Vec<DemandReport>,
}

/// Slots of one target.
#[derive(Debug)]
pub(super) struct TargetBudget {
    pub(super) boot: u64,
    pub(super) key: BudgetKey,
}

/// Limits of one customer.
#[derive(Debug, Clone, Copy)]
pub(super) struct CustomerBudget {
    pub(super) concurrency: BudgetKey,
    pub(super) rate: BudgetKey,
}

/// What a leader knows beside the log.
#[derive(Debug)]
pub(super) struct LeadState {
    pub(super) since: ClockTime,
    pub(super) force: FollowerTable,
    pub(super) repair: RepairPlanner,
    pub(super) registry: TargetRegistry,
    pub(super) ledger: SlotLedger,
    pub(super) budgets: BTreeMap<TargetName, TargetBudget>,
    pub(super) limits: SlotLedger,
    pub(super) customers: BTreeMap<String, CustomerBudget>,
    pub(super) instances: BTreeMap<RunId, LiveInstance>,
    pub(super) roster_revision: u64,
    pub(super) merges: BTreeMap<RunId, (u64, ClockTime)>,
    pub(super) fleet: FleetPlanner,
    pub(super) waves: WavePlanner,
    pub(super) duty_due: ClockTime,
    pub(super) close_due: ClockTime,
    /// Orders under way, with the time from which they may be sent again.
    pub(super) sending: BTreeMap<OrderKey, ClockTime>,
    pub(super) reporting_until: ClockTime,
    pub(super) formed_proposed: bool,
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
            force: FollowerTable::new(time, FRESH_WINDOW_MS),
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
        self.follow.ask_now();
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
            && voter.node.transfer_leadership(&mut self.outputs)
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
        self.follow.ask_now();
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
            TargetLife::Warm => BudgetConfig {
                budget: service.target_slots,
                longest_request_ms: 0,
            },
            TargetLife::Cold => BudgetConfig {
                budget: service.cold_slots,
                longest_request_ms: u64::from(service.deadline_ms),
            },
            TargetLife::Leaving | TargetLife::Gone => BudgetConfig {
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
            if lead.ledger.config(known.key) != Some(terms) {
                lead.ledger.resize(known.key, terms);
            }
            return;
        }
        let key = lead.ledger.open(time, terms, !record.started_this_term);
        if let Some(old) = lead.budgets.insert(name, TargetBudget { boot, key }) {
            lead.ledger.close(old.key);
        }
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
}
