//! State that only the leader keeps, outside the replicated log.
//!
//! It holds the target registry, the slot and limit grants and the live instances. A new
//! leader starts without it and rebuilds it from announcements and asks.

use std::collections::BTreeMap;

use super::follower::FRESH_WINDOW_MS;
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

/// Lease of granted slots, in milliseconds; every ask renews it.
pub(super) const SLOT_LEASE_MS: u64 = 1_500;

/// Time after an election within which all targets announce themselves to the new leader,
/// in milliseconds.
pub(super) const REGISTRY_SETTLE_MS: u64 = 4_000;

/// Time after which an unanswered order, report or usage command is sent again, in
/// milliseconds.
pub(super) const RESEND_MS: u64 = 1_000;

/// Time without an ask after which an instance is no longer live, in milliseconds.
const INSTANCE_EXPIRY_MS: u64 = 3_000;

/// Time without an answer to the leader after which a voter is replaced although it sends asks, in
/// milliseconds.
const VOTER_SILENT_MS: u64 = 10_000;

/// Interval of the leader's periodic tasks, such as group repair and fleet planning, in
/// milliseconds.
const TASK_INTERVAL_MS: u64 = 200;

/// An instance that has sent an ask within [`INSTANCE_EXPIRY_MS`].
#[derive(Debug)]
pub(super) struct LiveInstance {
    pub(super) frame: InstanceFrame,
    pub(super) last_ask_at: ClockTime,
    /// Demand by service, from the latest ask.
    pub(super) demand: Vec<DemandReport>,
}

/// The slot budget of one process run of a target.
#[derive(Debug)]
pub(super) struct TargetBudget {
    /// Boot number of the target's process run; a restarted target gets a new budget.
    pub(super) boot: u64,
    pub(super) key: BudgetKey,
}

/// The budgets of one customer's limits.
#[derive(Debug, Clone, Copy)]
pub(super) struct CustomerBudget {
    /// Concurrent requests.
    pub(super) concurrency: BudgetKey,
    /// Requests per second.
    pub(super) rate: BudgetKey,
}

/// What the leader knows beyond the replicated log.
#[derive(Debug)]
pub(super) struct LeaderState {
    pub(super) elected_at: ClockTime,
    /// Applied index and last answer of each follower.
    pub(super) followers: FollowerTable,
    pub(super) repair: RepairPlanner,
    pub(super) registry: TargetRegistry,
    /// Slots of targets, granted to instances under leases.
    pub(super) target_ledger: SlotLedger,
    pub(super) budgets: BTreeMap<TargetName, TargetBudget>,
    /// Customers' limits, granted to instances under leases.
    pub(super) customer_ledger: SlotLedger,
    pub(super) customers: BTreeMap<String, CustomerBudget>,
    pub(super) instances: BTreeMap<RunId, LiveInstance>,
    /// Rises with every change of live instances or group membership.
    pub(super) roster_revision: u64,
    /// Sequence number and time of the last usage merge proposed for each run.
    pub(super) proposed_merges: BTreeMap<RunId, (u64, ClockTime)>,
    pub(super) fleet: FleetPlanner,
    pub(super) weight_waves: WavePlanner,
    /// Time of the next run of the periodic tasks.
    pub(super) tasks_due: ClockTime,
    /// Earliest time at which closing the usage window may be proposed again.
    pub(super) close_due: ClockTime,
    /// Earliest time at which each order that was sent may be sent again.
    pub(super) order_resend_at: BTreeMap<OrderKey, ClockTime>,
    /// Earliest time at which a usage report may be sent.
    pub(super) report_due: ClockTime,
    /// Whether this leader has proposed to mark the group as formed.
    pub(super) formed_proposed: bool,
}

impl ControlCore {
    /// Creates the leader state after this instance has won an election.
    pub(super) fn start_leading(&mut self) {
        let time = now();
        let repair = RepairConfig {
            voter_count: self.config.voters,
            lost_after_ms: self.config.voter_lost_ms,
            silent_after_ms: VOTER_SILENT_MS.max(self.config.voter_lost_ms),
        };
        let fleet = FleetConfig {
            shrink_after_ms: self.config.shrink_ms,
            ..FleetConfig::default()
        };
        self.leader_state = Some(LeaderState {
            elected_at: time,
            followers: FollowerTable::new(time, FRESH_WINDOW_MS),
            repair: RepairPlanner::new(time, repair),
            registry: TargetRegistry::new(time),
            target_ledger: SlotLedger::new(SLOT_LEASE_MS),
            budgets: BTreeMap::new(),
            customer_ledger: SlotLedger::new(SLOT_LEASE_MS),
            customers: BTreeMap::new(),
            instances: BTreeMap::new(),
            roster_revision: 1,
            proposed_merges: BTreeMap::new(),
            fleet: FleetPlanner::new(fleet),
            weight_waves: WavePlanner::new(WaveConfig::default()),
            tasks_due: time,
            close_due: time,
            order_resend_at: BTreeMap::new(),
            report_due: time,
            formed_proposed: false,
        });
        self.follower.ask_now();
    }

    /// Drops the leader state and fails pending commands as [`Unknown`].
    ///
    /// [`Unknown`]: bergamotlane_wire::peer::SubmitFailure::Unknown
    pub(super) fn stop_leading(&mut self) {
        self.leader_state = None;
        // The next leader may still commit these commands.
        for (_, pending) in std::mem::take(&mut self.pending) {
            let unknown = Err(bergamotlane_wire::peer::SubmitFailure::Unknown);
            self.reply(pending.reply, unknown);
        }
    }

    /// Transfers leadership to another voter, if this instance leads.
    pub(super) fn transfer_leadership(&mut self) {
        let Some(voter) = &mut self.voter else {
            return;
        };
        let voters = voter.node.membership().voters.keys().copied().collect();
        if voter.node.transfer_leadership(&voters, &mut self.outputs) {
            spdlog::info!("consensus: started a leadership transfer");
        }
    }

    /// Makes the leader send the roster with the next views.
    pub(super) fn roster_changed(&mut self) {
        if let Some(leader) = &mut self.leader_state {
            leader.roster_revision += 1;
        }
    }

    /// Notifies all connected instances of a committed configuration change, so that they
    /// ask for it at once.
    pub(super) fn announce_advance(&mut self, index: u64) {
        for run in self.peers.keys() {
            self.send(*run, PeerFrame::Advance(index));
        }
        self.follower.ask_now();
    }

    /// Returns whether the entry at `index` is applied on every instance that may act on its
    /// view, or `None` if this instance does not lead.
    pub(super) fn in_force(&self, index: u64) -> Option<bool> {
        let leader = self.leader_state.as_ref()?;
        Some(leader.followers.in_force(now(), index))
    }

    /// Records a target's announcement in the registry and adjusts its slot budget.
    ///
    /// A cold target has fewer slots, and they count as used for up to the service's deadline
    /// after their holder's lease ends. The slots of a warm target are free as soon as the lease ends.
    pub(super) fn register(&mut self, announcement: TargetAnnouncement, uptime_ms: u64) {
        let time = now();
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        let name = announcement.target.clone();
        let Some(service) = self.state.config.plan.services.get(&name.service) else {
            return;
        };
        let (before, life) = leader.registry.announce(time, announcement, uptime_ms);
        if before != Some(life) {
            spdlog::info!("target: {}/{} is now {life:?}", name.service, name.name);
        }
        let config = match life {
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
        let Some(record) = leader.registry.get(&name) else {
            return;
        };
        let boot = record.announcement.boot;
        let known = leader
            .budgets
            .get(&name)
            .filter(|budget| budget.boot == boot);
        if let Some(known) = known {
            if leader.target_ledger.config(known.key) != Some(config) {
                leader.target_ledger.resize(known.key, config);
            }
            return;
        }
        let key = leader
            .target_ledger
            .open(time, config, !record.started_this_term);
        if let Some(old) = leader.budgets.insert(name, TargetBudget { boot, key }) {
            leader.target_ledger.close(old.key);
        }
    }

    /// Expires targets, grants and instances, and runs the periodic tasks when they are due.
    pub(super) fn leader_tick(&mut self, time: ClockTime) {
        let Some(leader) = &mut self.leader_state else {
            return;
        };
        for name in leader.registry.expire(time) {
            spdlog::warn!(
                "target: {}/{} stopped announcing itself",
                name.service,
                name.name
            );
            if let Some(budget) = leader.budgets.remove(&name) {
                leader.target_ledger.close(budget.key);
            }
        }
        leader.target_ledger.expire(time);
        leader.customer_ledger.expire(time);
        leader.followers.expire(time);
        let live = leader.instances.len();
        leader
            .instances
            .retain(|_, instance| time.since(instance.last_ask_at) < INSTANCE_EXPIRY_MS);
        if leader.instances.len() != live {
            leader.roster_revision += 1;
        }
        if time < leader.tasks_due {
            return;
        }
        leader.tasks_due = time + TASK_INTERVAL_MS;
        self.repair_group(time);
        self.close_window(time);
        self.plan_fleet(time);
        self.send_orders(time);
        self.send_report(time);
        self.roll_out_weights(time);
    }
}
