//! Load balancing over the targets of a plain service.
//!
//! A request goes to the target that is expected to answer first, by the load that targets report and
//! by what requests were learned to cost, or without reports by outstanding requests weighted by
//! observed latency. Targets in the same zone are preferred, and failing targets are ejected
//! for a while (passive outlier ejection). Among equal targets, each instance has its own order
//! (rendezvous hashing), since otherwise all instances with little traffic would share one target.

mod query;
mod room;

use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::SocketAddr;

pub use self::query::ChoiceQuery;
pub use self::query::RequestDemand;
pub use self::query::TargetChoice;
pub use self::query::WorkEstimate;
use crate::leaving::LeavingMarks;
use crate::leaving::LeavingStart;
use crate::load_report::LoadReport;
use crate::registry::TargetAnnouncement;
use crate::registry::TargetEntry;
use crate::registry::TargetRegistry;
use crate::registry::TargetStage;
use crate::registry::TargetView;
use crate::request_cost::CostModel;
use crate::request_cost::RequestClass;
use crate::request_cost::RequestCosts;
use crate::target_load::AnswerEstimate;
use crate::target_load::RoomQuery;
use crate::target_load::TargetLoad;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::RequestRate;

/// Cost factor for a target in another zone.
const CROSS_ZONE_FACTOR: f64 = 1.4;

/// Cost factor for a target whose pooled connection has probably expired, so that a request
/// would have to open a new one.
const UNCONNECTED_FACTOR: f64 = 1.6;

/// Idle time after which a pooled connection is assumed to be closed, in milliseconds.
const CONNECTION_IDLE_MS: u64 = 9_000;

/// Cost factor for a target that names a limit, so that others take its requests first.
const LIMITED_FACTOR: f64 = 4.0;

/// Time without a request after which a target that names a limit is tried before others, since
/// only an answer tells that the limit has ended, in milliseconds.
const LIMIT_PROBE_MS: u64 = 5_000;

/// Cost factor for a target whose limit is due to be checked.
const LIMIT_PROBE_FACTOR: f64 = 0.05;

/// Cost factor for a target that is silent or cold; an ejected target gets its square.
const PENALTY_FACTOR: f64 = 50.0;

/// Returns the number of slots of a target that requests may use which leave `reserved` free.
pub fn usable_slots(capacity: u32, reserved: u32) -> u32 {
    capacity.saturating_sub(reserved).max(1)
}

/// Chooses targets for the requests of one instance.
#[derive(Debug, Default)]
pub struct TargetChooser {
    zone: String,
    /// Name of this instance, which decides its order of equal targets.
    instance: String,
    registry: TargetRegistry,
    evacuated: Vec<String>,
    /// Targets that told this instance that they leave; a view doesn't undo that.
    leaving: LeavingMarks,
    loads: HashMap<String, TargetLoad>,
    costs: CostModel,
    /// Age at which reports are forgotten, in milliseconds.
    report_life_ms: u64,
    /// Times of the last most urgent requests, by service.
    urgent_at: HashMap<String, ClockTime>,
}

impl TargetChooser {
    /// Returns a chooser without targets, for the named instance in `zone`.
    pub fn new(instance: &str, zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
            instance: instance.to_owned(),
            report_life_ms: room::report_life_ms(instance),
            ..Self::default()
        }
    }

    /// Replaces the known targets by those of the leader's view.
    pub fn update(&mut self, now: ClockTime, views: &[TargetView]) {
        let mut registry = TargetRegistry::default();
        registry.restore(now, views);
        self.loads
            .retain(|id, load| load.outstanding > 0 || registry.get(id).is_some());
        self.registry = registry;
    }

    /// Applies the changes of the targets since the leader's last view.
    pub fn apply_changes(&mut self, now: ClockTime, changed: &[TargetView], removed: &[String]) {
        self.registry.restore(now, changed);
        for id in removed {
            self.registry.remove(id);
            if self.loads.get(id).is_some_and(|it| it.outstanding == 0) {
                self.loads.remove(id);
            }
        }
    }

    /// Replaces the set of evacuated zones, whose targets get no requests.
    pub fn set_evacuated(&mut self, zones: Vec<String>) {
        self.evacuated = zones;
    }

    /// Records that a target said that it leaves: it gets no further request. Returns whether that is
    /// news.
    pub fn mark_leaving(&mut self, start: &LeavingStart) -> bool {
        self.leaving.mark(start)
    }

    /// Returns whether a target has said that it leaves.
    pub fn is_leaving(&self, target: &TargetAnnouncement) -> bool {
        self.leaving.contains(&target.id, target.born)
    }

    /// Returns the number of known targets.
    pub fn target_count(&self) -> usize {
        self.registry.iter().count()
    }

    /// Returns the addresses of up to `count` targets, beginning at a place that `round` selects.
    pub fn sample(&self, round: usize, count: usize) -> Vec<SocketAddr> {
        let targets = self.registry.iter().map(|(_, it)| it.announcement.address);
        let start = round % self.target_count().max(1);
        let all: Vec<SocketAddr> = targets.collect();
        all.iter()
            .cycle()
            .skip(start)
            .take(count.min(all.len()))
            .copied()
            .collect()
    }

    /// Returns whether a target is still the one that started at `born`.
    pub fn has_start(&self, id: &str, born: u64) -> bool {
        let entry = self.registry.get(id);
        entry.is_none_or(|it| it.announcement.born == born)
    }

    fn candidates(&self, service: &str) -> impl Iterator<Item = &TargetEntry> {
        let entries = self.registry.iter().map(|(_, entry)| entry);
        entries.filter(move |it| {
            it.announcement.service == service
                && it.stage != TargetStage::Draining
                && !self.is_leaving(&it.announcement)
                && !self.evacuated.contains(&it.announcement.zone)
        })
    }

    /// Chooses a target and counts the request as outstanding there. Returns `None` if no target
    /// is eligible.
    pub fn choose(&mut self, now: ClockTime, query: ChoiceQuery<'_>) -> Option<TargetEntry> {
        self.choose_work(now, query).map(|it| it.entry)
    }

    /// Chooses a target as [`Self::choose`] does, and returns what the request is expected to meet there.
    pub fn choose_work(&mut self, now: ClockTime, query: ChoiceQuery<'_>) -> Option<TargetChoice> {
        if query.is_most_urgent() {
            self.record_urgent(now, query.service);
        }
        let costs = self.expected_costs(now, query);
        let room = self.room(now, query, costs.as_ref());
        let best = self
            .candidates(query.service)
            .filter(|it| !query.tried.contains(&it.announcement.id))
            .filter(|it| query.build.is_none_or(|build| it.announcement.runs(build)))
            .filter_map(|it| Some((self.cost(now, it, query, room)?, it)))
            .min_by(|(left, left_entry), (right, right_entry)| {
                let by_cost = left.answer_ms.total_cmp(&right.answer_ms);
                by_cost.then_with(|| self.compare_ranks(left_entry, right_entry))
            });
        let best = best.filter(|(_, it)| !self.is_worse_than_waiting(now, it, query, room));
        let (estimate, entry) = best?;
        let entry = entry.clone();
        let load = self.loads.entry(entry.announcement.id.clone()).or_default();
        load.start_request(now);
        let work = query.demand.map(|it| WorkEstimate {
            class: it.class,
            view: estimate.view,
        });
        Some(TargetChoice { entry, work })
    }

    fn expected_costs(&self, now: ClockTime, query: ChoiceQuery<'_>) -> Option<RequestCosts> {
        let demand = query.demand?;
        self.costs.expected(now, query.service, demand.class)
    }

    /// Returns what a request of a class is expected to cost, if enough is known.
    pub fn request_costs(
        &self,
        now: ClockTime,
        service: &str,
        class: RequestClass,
    ) -> Option<RequestCosts> {
        self.costs.expected(now, service, class)
    }

    /// Compares the places of two targets in this instance's order of equal targets.
    fn compare_ranks(&self, left: &TargetEntry, right: &TargetEntry) -> Ordering {
        let rank = |entry: &TargetEntry| {
            let mut hasher = blake3::Hasher::new();
            hasher.update(self.instance.as_bytes());
            hasher.update(entry.announcement.id.as_bytes());
            *hasher.finalize().as_bytes()
        };
        rank(left).cmp(&rank(right))
    }

    /// Returns the cost of sending a request to a target: the time after which it is expected to
    /// answer, with the factors for what else counts. Returns `None` if the target may not get a request
    /// yet because it is cold, because the slots that the request may use are taken, or because it
    /// reports no room.
    fn cost(
        &self,
        now: ClockTime,
        entry: &TargetEntry,
        query: ChoiceQuery<'_>,
        room: RoomQuery<'_>,
    ) -> Option<AnswerEstimate> {
        let default_load = TargetLoad::default();
        let load = self
            .loads
            .get(&entry.announcement.id)
            .unwrap_or(&default_load);
        let slots = query
            .reserved_slots
            .map(|it| usable_slots(entry.announcement.capacity, it));
        if slots.is_some_and(|it| load.outstanding >= it) {
            return None;
        }
        let is_cold = entry.is_cold(now);
        if is_cold && !query.takes_cold {
            return None;
        }
        let is_limited = entry.rate_limit.is_some();
        let needs_permit = is_cold || is_limited;
        if needs_permit && (!query.with_limited || now < load.denied_until) {
            return None;
        }
        let estimate = load.estimate(now, room)?;
        let mut cost = estimate.answer_ms;
        if now.since(load.used_at) >= CONNECTION_IDLE_MS {
            cost *= UNCONNECTED_FACTOR;
        }
        if entry.announcement.zone != self.zone {
            cost *= CROSS_ZONE_FACTOR;
        }
        if is_limited {
            let tried_at = load.used_at.max(entry.limit_named_at);
            cost *= match now.since(tried_at) >= LIMIT_PROBE_MS {
                true => LIMIT_PROBE_FACTOR,
                false => LIMITED_FACTOR,
            };
        }
        if entry.stage == TargetStage::Silent {
            cost *= PENALTY_FACTOR;
        }
        if now < load.ejected_until {
            cost *= PENALTY_FACTOR * PENALTY_FACTOR;
        }
        if is_cold {
            cost *= PENALTY_FACTOR;
        }
        Some(AnswerEstimate {
            answer_ms: cost,
            ..estimate
        })
    }

    /// Records the end of a request; `latency_ms` is `None` if the target failed.
    pub fn finish_request(&mut self, now: ClockTime, id: &str, latency_ms: Option<u64>) {
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        load.release_request();
        match latency_ms {
            Some(latency_ms) => load.record_success(latency_ms),
            None => load.record_failure(now),
        }
    }

    /// Records the load that a target reports in the head of its answer to a request, which still counts
    /// as outstanding. `is_refusal` tells that the target did not take the request.
    pub fn record_report(
        &mut self,
        now: ClockTime,
        id: &str,
        report: LoadReport,
        is_refusal: bool,
    ) {
        if let Some(load) = self.loads.get_mut(id) {
            load.record_report(now, report, is_refusal);
        }
    }

    /// Learns from the time that a request to a service took at a target. Only targets that report their
    /// load tell what a request cost.
    pub fn record_work(
        &mut self,
        now: ClockTime,
        id: &str,
        service: &str,
        work: WorkEstimate,
        took_ms: u64,
    ) {
        let costs = self.costs.expected(now, service, work.class);
        let Some(load) = self.loads.get_mut(id) else {
            return;
        };
        let cost_ms = load.record_work(now, took_ms, work.view, costs.as_ref());
        if let Some(cost_ms) = cost_ms {
            self.costs.observe(now, service, work.class, cost_ms);
        }
    }

    /// Records the limit that a target names, or that it names none, in its answer to a request that
    /// was sent at `sent_at`. Returns whether that is news.
    pub fn name_limit(
        &mut self,
        now: ClockTime,
        id: &str,
        rate: Option<RequestRate>,
        sent_at: ClockTime,
    ) -> bool {
        self.registry.name_limit(now, id, rate, sent_at)
    }

    /// Returns the shortest time until a permit for one of a service's targets can be had, in
    /// milliseconds, or `None` if no target waits for permits.
    pub fn denied_ms(&self, now: ClockTime, service: &str) -> Option<u64> {
        let limited = self
            .candidates(service)
            .filter(|it| it.rate_limit.is_some() || it.is_cold(now));
        let waits = limited.filter_map(|it| {
            let load = self.loads.get(&it.announcement.id)?;
            (now < load.denied_until).then(|| load.denied_until.since(now))
        });
        waits.min()
    }

    /// Records that a chosen request got no permit for its target, and that none can be had before
    /// `until`.
    pub fn deny_request(&mut self, id: &str, until: ClockTime) {
        self.release_request(id);
        if let Some(load) = self.loads.get_mut(id) {
            load.denied_until = until;
        }
    }

    /// Records the end of a request whose outcome says nothing about the target's health, such as
    /// a cancelled one.
    pub fn release_request(&mut self, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.release_request();
        }
    }
}
