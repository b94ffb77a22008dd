//! Room that targets report, and who leaves some of it to whom.

use super::TargetChooser;
use super::query::ChoiceQuery;
use crate::registry::TargetEntry;
use crate::registry::TargetStage;
use crate::request_cost::RequestCosts;
use crate::target_load::EVIDENCE_LIFE_MS;
use crate::target_load::REPORT_LIFE_MS;
use crate::target_load::RoomQuery;
use bergamotlane_coordination::clock::ClockTime;

/// Time after the last most urgent request to a service for which less urgent ones leave slots, in
/// milliseconds. Without this limit, they would be refused while slots are free that nobody asks for.
const CONTEST_MS: u64 = 5_000;

/// Smallest age at which an instance forgets a report, in milliseconds: up to this age, each instance may
/// refuse a request by it.
const MIN_REPORT_LIFE_MS: u64 = EVIDENCE_LIFE_MS;

/// Returns the age at which an instance forgets reports, in milliseconds. It differs between instances,
/// since otherwise all that have seen the same report would prefer its target for equally long.
pub(super) fn report_life_ms(instance: &str) -> u64 {
    let hash = blake3::hash(instance.as_bytes());
    let place = u64::from(hash.as_bytes()[0]);
    MIN_REPORT_LIFE_MS + (REPORT_LIFE_MS - MIN_REPORT_LIFE_MS) * place / 255
}

impl TargetChooser {
    /// Records that a request arrived that leaves no slot to others.
    pub(super) fn record_urgent(&mut self, now: ClockTime, service: &str) {
        if let Some(at) = self.urgent_at.get_mut(service) {
            *at = now;
            return;
        }
        // Services that the plan no longer has are dropped here.
        self.urgent_at.retain(|_, at| now.since(*at) < CONTEST_MS);
        self.urgent_at.insert(service.to_owned(), now);
    }

    /// Returns the constraints of a request on the load of its target.
    pub(super) fn room<'c>(
        &self,
        now: ClockTime,
        query: ChoiceQuery<'_>,
        costs: Option<&'c RequestCosts>,
    ) -> RoomQuery<'c> {
        let urgent_at = self.urgent_at.get(query.service);
        let is_contested = urgent_at.is_some_and(|it| now.since(*it) < CONTEST_MS);
        query.room(now, costs, is_contested, self.report_life_ms)
    }

    fn is_failing(&self, now: ClockTime, entry: &TargetEntry) -> bool {
        let load = self.loads.get(&entry.announcement.id);
        entry.stage == TargetStage::Silent || load.is_some_and(|it| now < it.ejected_until)
    }

    /// Returns whether a request that needs free slots does better without this target: it is silent or
    /// ejected, and another one would take the request if it had another free slot.
    pub(super) fn is_worse_than_waiting(
        &self,
        now: ClockTime,
        entry: &TargetEntry,
        query: ChoiceQuery<'_>,
        room: RoomQuery<'_>,
    ) -> bool {
        room.free_slots > 0
            && self.is_failing(now, entry)
            && self.candidates(query.service).any(|it| {
                let id = &it.announcement.id;
                let load = self.loads.get(id);
                !query.tried.contains(id)
                    && query.build.is_none_or(|build| it.announcement.runs(build))
                    && !it.is_cold(now)
                    && !self.is_failing(now, it)
                    && load.is_some_and(|load| load.room_ms(now, room).is_some())
            })
    }

    /// Returns the time until a target is expected to have room for a request, in milliseconds, or
    /// `None` if one may have room now. Targets that were tried count as well.
    pub fn room_ms(&self, now: ClockTime, query: ChoiceQuery<'_>) -> Option<u64> {
        query.demand?;
        let costs = self.expected_costs(now, query);
        let room = self.room(now, query, costs.as_ref());
        let mut room_ms: Option<f64> = None;
        let candidates = self
            .candidates(query.service)
            .filter(|it| query.build.is_none_or(|build| it.announcement.runs(build)))
            .filter(|it| query.takes_cold || !it.is_cold(now))
            .filter(|it| !self.is_worse_than_waiting(now, it, query, room));
        for entry in candidates {
            // A target without a load has not reported any, so it may have room.
            let load = self.loads.get(&entry.announcement.id)?;
            let wait_ms = load.room_ms(now, room)?;
            room_ms = Some(room_ms.map_or(wait_ms, |it| it.min(wait_ms)));
        }
        room_ms.map(|it| it.ceil() as u64)
    }
}
