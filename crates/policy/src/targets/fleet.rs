//! Desired target counts of a service, per availability zone and price class.

use std::collections::BTreeMap;

use crate::control::OrderKey;
use crate::control::PriceClass;
use crate::plan::PoolRow;
use bergamotlane_coordination::clock::ClockTime;

/// Settings of a fleet planner.
#[derive(Debug, Clone, Copy)]
pub struct FleetConfig {
    /// Desired utilization of a target's slots, in percent.
    pub utilization_percent: u32,
    /// Time for which the demand must stay lower before a count is reduced, in
    /// milliseconds.
    pub shrink_after_ms: u64,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            utilization_percent: 70,
            shrink_after_ms: 60_000,
        }
    }
}

/// Demand for a service, summed over all entries and zones.
#[derive(Debug, Clone, Copy, Default)]
pub struct PoolDemand {
    /// Requests of callers that are in progress or waiting.
    pub lookups: u32,
    /// Samples that are in progress or waiting.
    pub rollouts: u32,
    /// Slots of a warm target.
    pub target_slots: u32,
}

/// Autoscaler that computes target counts from demand, with hysteresis.
#[derive(Debug)]
pub struct FleetPlanner {
    config: FleetConfig,
    /// Count in effect, and the time at which it was last needed.
    counts: BTreeMap<OrderKey, (u32, ClockTime)>,
}

impl FleetPlanner {
    /// Creates a planner without a history of demand.
    pub fn new(config: FleetConfig) -> Self {
        Self {
            config,
            counts: BTreeMap::new(),
        }
    }

    /// Returns the desired number of targets for each pool of a service and price class.
    ///
    /// `pools` pairs each pool with whether its zone is pulled. Steady targets serve the
    /// lookups, with spare capacity for the loss of one zone; reclaimable targets serve
    /// the rollouts. Rollouts beyond the capacity of the reclaimable targets are served by
    /// steady ones, up to the plan's maximum. A pulled zone gets no targets.
    pub fn target_counts<'a>(
        &mut self,
        now: ClockTime,
        demand: PoolDemand,
        pools: impl Iterator<Item = (&'a PoolRow, bool)>,
    ) -> Vec<(OrderKey, u32)> {
        let (live, pulled): (Vec<_>, Vec<_>) = pools.partition(|(_, pulled)| !pulled);
        let used_slots =
            (u64::from(demand.target_slots) * u64::from(self.config.utilization_percent) / 100)
                .max(1) as u32;
        let zones = live.len() as u32;
        let mut counts = Vec::new();
        let mut missing = demand.rollouts.div_ceil(used_slots);
        for (index, (pool, _)) in live.iter().enumerate() {
            let zones_left = zones - index as u32;
            let count = missing.div_ceil(zones_left).min(pool.reclaimable_max);
            missing -= count;
            counts.push((order_key(pool, PriceClass::Reclaimable), count));
        }
        // The remaining zones must be able to serve everything after the loss of one.
        let remaining_zones = zones.saturating_sub(1).max(1);
        let steady = (demand.lookups.div_ceil(used_slots) + missing).div_ceil(remaining_zones);
        for (pool, _) in &live {
            let count = steady.clamp(pool.steady_min, pool.steady_max);
            counts.push((order_key(pool, PriceClass::Steady), count));
        }
        let mut counts: Vec<(OrderKey, u32)> = counts
            .into_iter()
            .map(|(key, count)| {
                let count = self.apply_hysteresis(now, &key, count);
                (key, count)
            })
            .collect();
        for (pool, _) in pulled {
            for class in [PriceClass::Steady, PriceClass::Reclaimable] {
                let key = order_key(pool, class);
                self.counts.remove(&key);
                counts.push((key, 0));
            }
        }
        counts
    }

    /// Raises a count at once, but lowers it only after the lower one has sufficed for
    /// [`FleetConfig::shrink_after_ms`].
    fn apply_hysteresis(&mut self, now: ClockTime, key: &OrderKey, count: u32) -> u32 {
        let current = self.counts.entry(key.clone()).or_insert((count, now));
        if count >= current.0 || now.since(current.1) > self.config.shrink_after_ms {
            *current = (count, now);
        }
        current.0
    }
}

fn order_key(pool: &PoolRow, class: PriceClass) -> OrderKey {
    OrderKey {
        service: pool.service.clone(),
        zone: pool.zone.clone(),
        class,
    }
}
