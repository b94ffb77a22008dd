//! Limits that targets name: the leader records them and gives out the permits.

use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::LeaderReply;
use crate::metrics::METRICS;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::PermitClaim;
use bergamotlane_policy::rate::PermitReply;
use bergamotlane_policy::rate::RequestRate;
use bergamotlane_storage::clock::now;

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

    /// Answers a request for a permit. `rate` is the limit as the caller knows it; what the leader
    /// knows goes before it.
    pub(super) fn give_permit(
        &mut self,
        id: &str,
        rate: RequestRate,
        claim: PermitClaim,
        origin: CallOrigin,
    ) {
        let time = now();
        let Some(lead) = &mut self.lead else {
            self.reply(origin, LeaderReply::NotLeader);
            return;
        };
        let known = lead.registry.get(id).and_then(|it| it.rate_limit);
        let bucket = lead.rates.bucket(time, id, known.unwrap_or(rate));
        let reply = match bucket.reserve(time, claim) {
            PermitReply::Granted(wait_ms) => LeaderReply::Permit(wait_ms),
            PermitReply::Denied(free_in_ms) => LeaderReply::NoPermit(free_in_ms),
        };
        self.reply(origin, reply);
    }

    /// Keeps permits for exactly the targets that name a limit, also as an earlier leader knew it.
    pub(super) fn update_rates(&mut self, time: ClockTime) {
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
