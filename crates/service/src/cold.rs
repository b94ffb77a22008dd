//! Cold targets: which of them need a permit of the leader, and what the leader may give out.

use std::collections::HashMap;

use crate::plan::RoutingPlan;
use crate::registry::TargetEntry;
use crate::registry::TargetRegistry;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::cold::ColdStart;
use bergamotlane_policy::rate::RateLedger;

/// Rates of requests that cold targets can take.
#[derive(Debug, Default)]
pub struct ColdRates {
    by_service: HashMap<String, u32>,
}

impl ColdRates {
    /// Returns the rates that a plan names. Of `entries` live ones, `earlier_entries` run a build that
    /// asks for no permits; what they send by themselves is left out.
    pub fn new(plan: &RoutingPlan, entries: u32, earlier_entries: u32) -> Self {
        let rates = plan.services.iter().map(|service| {
            let per_s = (service.cold_per_s as u32).max(1);
            let by_each = 1 + per_s / entries.max(1);
            let left = per_s.saturating_sub(earlier_entries.saturating_mul(by_each));
            (service.name.clone(), left)
        });
        Self {
            by_service: rates.collect(),
        }
    }

    /// Returns the rate for a target.
    fn of(&self, target: &TargetEntry) -> u32 {
        let rate = self.by_service.get(&target.announcement.service);
        rate.copied().unwrap_or(0)
    }
}

/// Returns how a target counts as cold at the leader, or `None` if it may get its full load. One that
/// has not announced itself to this leader may have started again.
pub fn cold_start(now: ClockTime, target: &TargetEntry) -> Option<ColdStart> {
    let born = target.announcement.born;
    match target.is_cold(now) {
        true => Some(ColdStart::Announced { born }),
        false => target
            .is_unconfirmed
            .then_some(ColdStart::Suspected { born }),
    }
}

/// Keeps budgets for exactly the targets that count as cold.
pub fn update_budgets(
    ledger: &mut RateLedger,
    now: ClockTime,
    registry: &TargetRegistry,
    rates: &ColdRates,
) {
    let start_of = |target: &TargetEntry| cold_start(now, target);
    ledger.retain_cold(|id| registry.get(id).and_then(start_of).is_some());
    for (id, target) in registry.maybe_cold() {
        if let Some(start) = start_of(target) {
            ledger.set_cold(now, id, start, rates.of(target));
        }
    }
}

/// Returns how many runs may start at an engine now, or `None` if neither its start nor a limit bounds
/// them. `has_callers` leaves a part to callers' requests.
pub fn run_permits(
    ledger: &RateLedger,
    now: ClockTime,
    id: &str,
    target: &TargetEntry,
    has_callers: bool,
) -> Option<u32> {
    let cold = cold_start(now, target).map(|_| ledger.cold_free(now, id, has_callers));
    let limited = target.rate_limit.map(|_| ledger.free(now, id, has_callers));
    cold.into_iter().chain(limited).min()
}
