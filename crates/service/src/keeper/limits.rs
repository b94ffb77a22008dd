//! Limits of cold targets and of those that name one: the leader gives out the permits.

use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::cold::ColdRates;
use crate::cold::update_budgets;
use crate::dialect::TargetDialect;
use crate::frames::LeaderReply;
use crate::metrics::METRICS;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::PermitClaim;
use bergamotlane_policy::rate::PermitReply;
use bergamotlane_policy::rate::RequestRate;
use bergamotlane_storage::clock::now;

/// Time after which a caller may ask again for a target that the leader doesn't know, in milliseconds.
const VIEW_LAG_MS: u64 = 100;

impl<D: TargetDialect> KeeperCore<D> {
    /// Records the limit that a target names in its answer to a request that was sent at `sent_at`,
    /// or that it names none.
    pub(super) fn name_limit(&mut self, id: &str, rate: Option<RequestRate>, sent_at: ClockTime) {
        let time = now();
        let Some(lead) = &mut self.lead else {
            return;
        };
        if !lead.registry.name_limit(time, id, rate, sent_at) {
            return;
        }
        match rate {
            Some(rate) => {
                lead.rates.bucket(time, id, rate);
                spdlog::warn!("target: limit named", kv: { target = id, limit_per_s = rate.per_s(), term = lead.term });
            }
            None => {
                lead.rates.remove(id);
                spdlog::info!("target: limit ended", kv: { target = id, term = lead.term });
            }
        }
        let limited = lead
            .registry
            .iter()
            .filter(|(_, it)| it.rate_limit.is_some());
        METRICS.targets_limited.set(limited.count() as i64);
    }

    /// Answers a request for a permit. `rate` is the limit as the caller knows it, if it knows one;
    /// what the leader knows goes before it. `is_cold` tells that the target is cold for the caller.
    pub(super) fn give_permit(
        &mut self,
        id: &str,
        rate: Option<RequestRate>,
        claim: PermitClaim,
        is_cold: bool,
        origin: CallOrigin,
    ) {
        let time = now();
        self.update_cold(time);
        let Some(lead) = &mut self.lead else {
            self.reply(origin, LeaderReply::NotLeader);
            return;
        };
        let target = lead.registry.get(id);
        if is_cold && target.is_none() {
            self.reply(origin, LeaderReply::NoPermit(VIEW_LAG_MS));
            return;
        }
        let rate = target.and_then(|it| it.rate_limit).or(rate);
        let reply = match lead.rates.reserve(time, id, rate, claim) {
            PermitReply::Granted(wait_ms) if is_cold => LeaderReply::ColdPermit(wait_ms),
            PermitReply::Granted(wait_ms) => LeaderReply::Permit(wait_ms),
            PermitReply::Denied(free_in_ms) => LeaderReply::NoPermit(free_in_ms),
        };
        self.reply(origin, reply);
    }

    /// Keeps budgets for exactly the cold targets.
    pub(super) fn update_cold(&mut self, time: ClockTime) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.registry.forget_warm(time);
        if lead.registry.maybe_cold().next().is_none() {
            return;
        }
        let entries = self.entry_count();
        let earlier = self
            .links
            .values()
            .filter(|(hello, _)| hello.node.is_none() && !hello.asks_for_cold);
        let earlier_entries = earlier.count() as u32;
        let (Some(lead), Some(record)) = (&mut self.lead, &self.state.plan) else {
            return;
        };
        let rates = ColdRates::new(&record.plan, entries, earlier_entries);
        update_budgets(&mut lead.rates, time, &lead.registry, &rates);
    }

    /// Keeps permits for exactly the targets that name a limit, also as an earlier leader knew it.
    pub(super) fn update_rates(&mut self, time: ClockTime) {
        self.update_cold(time);
        let Some(lead) = &mut self.lead else {
            return;
        };
        let registry = &lead.registry;
        let rate_of = |id: &str| registry.get(id).and_then(|it| it.rate_limit);
        lead.rates.retain(|id| rate_of(id).is_some());
        for (id, entry) in registry.iter() {
            if let Some(rate) = entry.rate_limit {
                lead.rates.bucket(time, id, rate);
            }
        }
    }
}
