//! Choice of the next target of a request, with a permit if the target names a limit or is cold.

use std::time::Duration;

use tokio::time::sleep;

use super::Forwarder;
use super::attempt::ChosenTarget;
use crate::choice::ChoiceQuery;
use crate::choice::RequestDemand;
use crate::dialect::TargetDialect;
use crate::permits::PermitQuery;
use crate::plain::PlainRequest;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::PermitClaim;
use bergamotlane_policy::rate::PermitReply;
use bergamotlane_storage::clock::now;

/// Divisor of the latency target that yields the longest wait for a permit.
const PERMIT_WAIT_DIVISOR: u64 = 2;

/// Target for the next try of a request.
pub(super) enum NextTarget<'a> {
    Chosen(Box<ChosenTarget<'a>>),
    /// All targets that could take the request are at their limits for this time, in milliseconds.
    Limited(u64),
    /// All targets that could take the request report that they have no room for this time, in
    /// milliseconds.
    Overloaded(u64),
    None,
}

impl<D: TargetDialect> Forwarder<D> {
    /// Chooses the next target of a request. `is_alone` is set if no other try of the request runs. Only
    /// then may a target get it that names a limit or is cold, for which the request must have a permit,
    /// or that reports no free slot.
    pub(super) async fn next_target(
        &self,
        request: &PlainRequest,
        tried: &[String],
        is_alone: bool,
    ) -> NextTarget<'_> {
        let claim = permit_claim(request);
        let demand = RequestDemand {
            class: request.cost_class(),
            limit: request.limit,
            is_hedge: !is_alone,
            spared_slots: u32::from(request.leaves_slot),
        };
        let mut free_in_ms: Option<u64> = None;
        loop {
            let query = ChoiceQuery {
                service: &request.service,
                tried,
                takes_cold: request.takes_cold,
                reserved_slots: request.reserved_slots,
                with_limited: is_alone,
                build: request.resumes.as_ref(),
                demand: Some(demand),
            };
            let time = now();
            let Some(target) = ChosenTarget::choose(&self.chooser, time, query) else {
                return self.no_target(time, query, free_in_ms);
            };
            let rate = target.entry.rate_limit;
            let is_cold = target.entry.is_cold(now());
            if rate.is_none() && !is_cold {
                return NextTarget::Chosen(Box::new(target));
            }
            let id = target.entry.announcement.id.as_str();
            let permit = self.permits.acquire(PermitQuery {
                target: id,
                rate,
                is_cold,
                claim,
                sharers: request.sharers,
            });
            match permit.await {
                PermitReply::Granted(wait_ms) => {
                    sleep(Duration::from_millis(wait_ms)).await;
                    if self.chooser().is_leaving(&target.entry.announcement) {
                        continue;
                    }
                    return NextTarget::Chosen(Box::new(target));
                }
                PermitReply::Denied(wait_ms) => {
                    spdlog::info!("request: no permit", kv: {
                        request = request.id.as_str(),
                        target = id,
                        limit_per_s = rate.map_or(0.0, |it| it.per_s()),
                        is_cold,
                        free_in_ms = wait_ms,
                    });
                    let earlier_ms = match claim {
                        PermitClaim::Caller(max_wait_ms) => max_wait_ms,
                        PermitClaim::Background => 0,
                    };
                    let until = now() + wait_ms.saturating_sub(earlier_ms);
                    target.deny(until);
                    free_in_ms = Some(free_in_ms.map_or(wait_ms, |it| it.min(wait_ms)));
                }
            }
        }
    }
}

impl<D: TargetDialect> Forwarder<D> {
    /// Returns why no target can be chosen. `free_in_ms` is the time until a permit becomes free, if one
    /// was denied. `time` is that of the choice: a report that was new enough then must not be too old
    /// here, or the request would be refused without a reason.
    fn no_target(
        &self,
        time: ClockTime,
        query: ChoiceQuery<'_>,
        free_in_ms: Option<u64>,
    ) -> NextTarget<'_> {
        let chooser = self.chooser();
        if let Some(wait_ms) = free_in_ms.or_else(|| chooser.denied_ms(time, query.service)) {
            return NextTarget::Limited(wait_ms);
        }
        match chooser.room_ms(time, query) {
            Some(wait_ms) => NextTarget::Overloaded(wait_ms),
            None => NextTarget::None,
        }
    }
}

/// Returns a request's claim on a permit. One that leaves slots to callers leaves permits as well.
fn permit_claim(request: &PlainRequest) -> PermitClaim {
    match request.reserved_slots {
        Some(_) => PermitClaim::Background,
        None => PermitClaim::Caller(request.latency_target_ms / PERMIT_WAIT_DIVISOR),
    }
}
