//! How many targets a service should have in a zone, by price class.

use std::collections::BTreeMap;

use crate::control::OrderKey;
use crate::control::PriceClass;
use crate::plan::PoolRow;
use bergamotlane_coordination::clock::ClockTime;

/// Settings of a fleet planner.
#[derive(Debug, Clone, Copy)]
pub struct FleetConfig {
    /// Share of a target's slots that should be in use, in percent.
    pub aim_percent: u32,
    /// How long less must do before targets are given up, in milliseconds.
    pub shrink_after_ms: u64,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            aim_percent: 70,
            shrink_after_ms: 60_000,
        }
    }
}

/// Demand for a service over all zones.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolDemand {
    /// Requests of callers in progress or waiting.
    pub lookups: u32,
    /// Samples waiting or in progress.
    pub rollouts: u32,
    /// Slots that a warm target has.
    pub target_slots: u32,
}

/// Works out target counts, with hysteresis.
#[derive(Debug)]
pub struct FleetPlanner {
    config: FleetConfig,
    high_marks: BTreeMap<OrderKey, (u32, ClockTime)>,
}

impl FleetPlanner {
    /// Creates a planner that remembers no demand.
    pub fn new(config: FleetConfig) -> Self {
        Self {
            config,
            high_marks: BTreeMap::new(),
        }
    }

    /// Returns how many targets each pool of a service should have.
    ///
    /// Steady targets carry the lookups, with room for the loss of one zone; reclaimable
    /// ones carry the rollouts. What the reclaimable ones can't carry goes to steady ones,
    /// up to the plan's cap. A pulled zone gets none.
    pub fn target_counts<'a>(
        &mut self,
        now: ClockTime,
        demand: PoolDemand,
        pools: impl Iterator<Item = (&'a PoolRow, bool)>,
    ) -> Vec<(OrderKey, u32)> {
        let (live, pulled): (Vec<_>, Vec<_>) = pools.partition(|(_, pulled)| !pulled);
        let bears = (u64::from(demand.target_slots) * u64::from(self.config.aim_percent) / 100)
            .max(1) as u32;
        let zones = live.len() as u32;
        let mut aims = Vec::new();
        let mut missing = demand.rollouts.div_ceil(bears);
        for (place, (pool, _)) in live.iter().enumerate() {
            let left = zones - place as u32;
            let count = missing.div_ceil(left).min(pool.reclaimable_max);
            missing -= count;
            aims.push((order_key(pool, PriceClass::Reclaimable), count));
        }
        // After the loss of one zone the others must carry everything.
        let carriers = zones.saturating_sub(1).max(1);
        let steady = (demand.lookups.div_ceil(bears) + missing).div_ceil(carriers);
        for (pool, _) in &live {
            let count = steady.clamp(pool.steady_min, pool.steady_max);
            aims.push((order_key(pool, PriceClass::Steady), count));
        }
        let mut aims: Vec<(OrderKey, u32)> = aims
            .into_iter()
            .map(|(key, count)| {
                let count = self.settle(now, &key, count);
                (key, count)
            })
            .collect();
        for (pool, _) in pulled {
            for class in [PriceClass::Steady, PriceClass::Reclaimable] {
                let key = order_key(pool, class);
                self.high_marks.remove(&key);
                aims.push((key, 0));
            }
        }
        aims
    }

    /// Follows a rise at once, a fall only when less has done for a while.
    fn settle(&mut self, now: ClockTime, key: &OrderKey, count: u32) -> u32 {
        let mark = self.high_marks.entry(key.clone()).or_insert((count, now));
        if count >= mark.0 || now.since(mark.1) > self.config.shrink_after_ms {
            *mark = (count, now);
        }
        mark.0
    }
}

fn order_key(pool: &PoolRow, class: PriceClass) -> OrderKey {
    OrderKey {
        service: pool.service.clone(),
        zone: pool.zone.clone(),
        class,
    }
}
