//! Load and speed of one target, as it reports them and as this instance observes them.

use crate::load_report::LoadReport;
use crate::request_cost::RequestCosts;
use bergamotlane_coordination::clock::ClockTime;

/// Latency assumed for a target without observations, in milliseconds.
const DEFAULT_LATENCY_MS: f64 = 30.0;

/// Weight of a new observation in a moving average.
const OBSERVATION_WEIGHT: f64 = 0.25;

/// Half-life of the deviation of a moving average from its default, in milliseconds.
const AVERAGE_HALF_LIFE_MS: f64 = 4_000.0;

/// Duration of a target's first ejection, in milliseconds; each further failure doubles it.
const FIRST_EJECTION_MS: u64 = 500;

/// Longest ejection of a failing target, in milliseconds.
const MAX_EJECTION_MS: u64 = 8_000;

/// Age at which a report no longer says anything to any instance, in milliseconds. Speeds of targets that
/// share their machines change within less than a second.
pub(crate) const REPORT_LIFE_MS: u64 = 1_000;

/// Weight of a new report in the expected time of an answer, beside what this instance observes. Reports can
/// be false, and entries that go by reports alone all prefer the same targets.
const MAX_REPORT_WEIGHT: f64 = 0.75;

/// Age up to which a report is reason enough to refuse a request, in milliseconds.
pub(crate) const EVIDENCE_LIFE_MS: u64 = 500;

/// Age up to which the wait that follows from a report is exact enough to be taken off an observed
/// time, in milliseconds.
const EXACT_LIFE_MS: u64 = 100;

/// Ratio of observed to expected times above which a target's reports are not trusted.
const MAX_TRUSTED_RATIO: f64 = 1.5;

/// Ratio of observed to expected times up to which a target counts as fast as it reports, since
/// requests that look alike differ by as much.
const USUAL_RATIO: f64 = 1.25;

/// Largest ratio of an observed to an expected time that counts, so that one request that costs a
/// multiple of its class does not discredit a target.
const MAX_RATIO: f64 = 2.5;

/// Time for which reports are not trusted after they were contradicted, in milliseconds. Until then the
/// target is chosen as one without reports.
const DISTRUST_MS: u64 = 10_000;

/// Ratio of the expected time to the time left from which a request counts as too late. Refusing a
/// request that could have been served is worse than a late answer.
const LATE_RATIO: f64 = 1.25;

/// Resolution of the expected time of an answer, in milliseconds, where costs are known.
const ANSWER_STEP_MS: f64 = 0.0625;

/// Load of a target at the moment of a choice, as its last report tells.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct LoadView {
    /// Expected number of requests that run or wait, including those of this instance.
    occupied: f64,
    /// The same if nobody else has sent a request since the report.
    least_occupied: f64,
    slots: f64,
    /// Expected time for work as a multiple of the usual one.
    time_factor: f64,
    age_ms: u64,
    /// Age at which the report no longer says anything, in milliseconds.
    life_ms: u64,
    /// Expected time until the queue moves by one request, in milliseconds.
    place_ms: f64,
}

impl LoadView {
    /// Returns the expected wait for a slot behind `occupied` requests, in milliseconds. While slots
    /// are free, it is a fraction of the time in which a slot becomes free, since others may take them
    /// first.
    fn wait_behind_ms(&self, occupied: f64) -> f64 {
        let places = match occupied < self.slots {
            true => (occupied / self.slots).powf(self.slots),
            false => occupied - self.slots + 1.0,
        };
        places * self.place_ms
    }

    fn wait_ms(&self) -> f64 {
        self.wait_behind_ms(self.occupied)
    }

    /// Returns how much the report still counts, from 1 when it is new to 0.
    fn remaining(&self) -> f64 {
        1.0 - self.age_ms as f64 / self.life_ms as f64
    }

    fn has_slot(&self) -> bool {
        self.least_occupied < self.slots
    }
}

/// Last report of a target.
#[derive(Debug, Clone, Copy)]
struct ReportedLoad {
    /// Number of requests that run or wait and are not of this instance.
    others: f64,
    slots: f64,
    waiting: u32,
    time_factor: f64,
    at: ClockTime,
}

/// Constraints of a request on the load of its target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RoomQuery<'a> {
    /// Expected costs, if known.
    pub(crate) costs: Option<&'a RequestCosts>,
    /// Time left until the request's deadline, in milliseconds.
    pub(crate) left_ms: Option<u64>,
    /// Number of slots that must be free at a target that reports its load.
    pub(crate) free_slots: u32,
    /// Age at which a report no longer says anything to this instance, in milliseconds.
    pub(crate) report_life_ms: u64,
}

/// Time that a request is expected to take at a target.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerEstimate {
    /// Expected time until the answer, in milliseconds.
    pub(crate) answer_ms: f64,
    /// Set if the target's report decided it.
    pub(crate) view: Option<LoadView>,
}

/// Load and health of a target.
#[derive(Debug)]
pub(crate) struct TargetLoad {
    pub(crate) outstanding: u32,
    pub(crate) ejected_until: ClockTime,
    pub(crate) used_at: ClockTime,
    /// Time until which no permit for the target can be had.
    pub(crate) denied_until: ClockTime,
    latency_ms: f64,
    /// Ratio of observed times to the expected costs, which decides without a report.
    slowness: f64,
    /// Ratio of observed times to those that follow from the reports.
    excess: f64,
    /// Number of requests of others that run or wait there, as an average over its reports.
    usual_others: f64,
    failures: u32,
    report: Option<ReportedLoad>,
    /// Number of waiting requests at which the target refuses further ones, if it is known.
    queue_limit: Option<u32>,
    distrusted_until: ClockTime,
}

impl Default for TargetLoad {
    fn default() -> Self {
        Self {
            outstanding: 0,
            ejected_until: ClockTime::default(),
            used_at: ClockTime::default(),
            denied_until: ClockTime::default(),
            latency_ms: DEFAULT_LATENCY_MS,
            slowness: 1.0,
            excess: 1.0,
            usual_others: 0.0,
            failures: 0,
            report: None,
            queue_limit: None,
            distrusted_until: ClockTime::default(),
        }
    }
}

/// Moves an average towards an observation.
fn blend(average: &mut f64, observation: f64) {
    *average += (observation - *average) * OBSERVATION_WEIGHT;
}

impl TargetLoad {
    /// Returns an average after the time for which the target was unused: it decays towards `default`.
    fn decayed(&self, now: ClockTime, average: f64, default: f64) -> f64 {
        let age = now.since(self.used_at) as f64;
        default + (average - default) * (-age / AVERAGE_HALF_LIFE_MS).exp2()
    }

    /// Returns the expected latency, in milliseconds; it decays towards [`DEFAULT_LATENCY_MS`] while
    /// the target is unused.
    fn expected_ms(&self, now: ClockTime) -> f64 {
        self.decayed(now, self.latency_ms, DEFAULT_LATENCY_MS)
    }

    fn is_trusted(&self, now: ClockTime) -> bool {
        now >= self.distrusted_until
    }

    /// Returns the load that the last report tells, if it is not too old and not contradicted by what
    /// was observed. The queue shrinks by what the target has done since, and its speed falls back to
    /// the usual one.
    fn view(&self, now: ClockTime, query: RoomQuery<'_>) -> Option<LoadView> {
        let report = self.report?;
        let age_ms = now.since(report.at);
        let life_ms = query.report_life_ms;
        if age_ms >= life_ms || !self.is_trusted(now) {
            return None;
        }
        let left = 1.0 - age_ms as f64 / life_ms as f64;
        let time_factor = 1.0 + (report.time_factor - 1.0) * left;
        let mean_ms = query
            .costs
            .map_or_else(|| self.expected_ms(now), |it| it.others_ms);
        let place_ms = (mean_ms * time_factor / report.slots).max(f64::MIN_POSITIVE);
        let least = (report.others - age_ms as f64 / place_ms).max(0.0);
        let own = f64::from(self.outstanding);
        // Others go on sending, so the queue does not shrink below its usual length.
        let usual = self.decayed(now, self.usual_others, 0.0);
        Some(LoadView {
            occupied: least.max(usual.min(report.others)) + own,
            least_occupied: least + own,
            slots: report.slots,
            time_factor,
            age_ms,
            life_ms,
            place_ms,
        })
    }

    /// Returns the time in which a request is expected to be answered if it is sent now, or `None` if
    /// the target has no room for it by its own report.
    pub(crate) fn estimate(&self, now: ClockTime, query: RoomQuery<'_>) -> Option<AnswerEstimate> {
        let latency_ms = match query.costs {
            Some(costs) => costs.own.mean_ms * self.decayed(now, self.slowness, 1.0),
            None => self.expected_ms(now),
        };
        let observed_ms = latency_ms * f64::from(self.outstanding + 1);
        // Differences that are too small to matter leave targets equal, so that each instance's own
        // order decides; otherwise all instances would prefer the same target by a rounding error.
        let rounded_ms = |ms: f64| match query.costs {
            Some(_) => (ms / ANSWER_STEP_MS).round() * ANSWER_STEP_MS,
            None => ms,
        };
        let Some(view) = self.view(now, query) else {
            return Some(AnswerEstimate {
                answer_ms: rounded_ms(observed_ms),
                view: None,
            });
        };
        if self.missing_ms(&view, query).is_some() {
            return None;
        }
        let cost_ms = query.costs.map_or(latency_ms, |it| it.own.mean_ms);
        let reported_ms = view.wait_ms() + cost_ms * view.time_factor;
        let excess = self.decayed(now, self.excess, 1.0) / USUAL_RATIO;
        let reported_ms = reported_ms * excess.max(1.0);
        let weight = view.remaining() * MAX_REPORT_WEIGHT;
        let answer_ms = rounded_ms(reported_ms * weight + observed_ms * (1.0 - weight));
        let view = Some(view);
        Some(AnswerEstimate { answer_ms, view })
    }

    /// Returns the time until the target is expected to have room for a request, in milliseconds, or
    /// `None` if it may have room now.
    pub(crate) fn room_ms(&self, now: ClockTime, query: RoomQuery<'_>) -> Option<f64> {
        let view = self.view(now, query)?;
        self.missing_ms(&view, query)
    }

    /// Returns the time after which a target has room for a request, in milliseconds, if it has none.
    fn missing_ms(&self, view: &LoadView, query: RoomQuery<'_>) -> Option<f64> {
        // A target with one slot could never leave any.
        let free_slots = f64::from(query.free_slots).min(view.slots);
        let missing = view.least_occupied + free_slots - view.slots;
        if query.free_slots > 0 && missing > 0.0 && view.age_ms < EVIDENCE_LIFE_MS {
            return Some(missing * view.place_ms);
        }
        // Without learned costs, nothing is known about how long a queue takes.
        let costs = query.costs?;
        if view.has_slot() || view.age_ms >= EVIDENCE_LIFE_MS {
            return None;
        }
        // A queue has room once one request has moved, not a part of one.
        let full_from = self.queue_limit.map(|it| f64::from(it) - 1.0);
        if full_from.is_some_and(|it| view.least_occupied - view.slots > it) {
            return Some(view.place_ms);
        }
        let left_ms = query.left_ms? as f64;
        let wait_ms = view.wait_behind_ms(view.least_occupied);
        let answer_ms = wait_ms + costs.own.median_ms * view.time_factor;
        (answer_ms > left_ms * LATE_RATIO).then_some(answer_ms - left_ms)
    }

    /// Counts a request as outstanding. Averages go on from what they have decayed to.
    pub(crate) fn start_request(&mut self, now: ClockTime) {
        self.latency_ms = self.expected_ms(now);
        self.slowness = self.decayed(now, self.slowness, 1.0);
        self.excess = self.decayed(now, self.excess, 1.0);
        self.usual_others = self.decayed(now, self.usual_others, 0.0);
        self.outstanding += 1;
        self.used_at = now;
    }

    /// Records the end of a request without an outcome.
    pub(crate) fn release_request(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Records that a request was answered after `latency_ms`.
    pub(crate) fn record_success(&mut self, latency_ms: u64) {
        self.failures = 0;
        self.ejected_until = ClockTime::default();
        blend(&mut self.latency_ms, latency_ms as f64);
    }

    /// Records that the target failed, which ejects it for a while.
    pub(crate) fn record_failure(&mut self, now: ClockTime) {
        let ejection_ms = FIRST_EJECTION_MS << self.failures.min(4);
        self.ejected_until = now + ejection_ms.min(MAX_EJECTION_MS);
        self.failures += 1;
    }

    /// Records the report in the head of an answer, whose request still counts as outstanding here but
    /// not at the target. `is_refusal` tells that the target did not take the request.
    pub(crate) fn record_report(&mut self, now: ClockTime, report: LoadReport, is_refusal: bool) {
        let own = self.outstanding.saturating_sub(1);
        let all = report.running + report.waiting;
        let others = f64::from(all.saturating_sub(own));
        blend(&mut self.usual_others, others);
        self.report = Some(ReportedLoad {
            others,
            slots: f64::from(report.slots),
            waiting: report.waiting,
            time_factor: f64::from(report.time_percent) / 100.0,
            at: now,
        });
        if is_refusal && report.running >= report.slots {
            self.queue_limit = Some(report.waiting);
        } else if self.queue_limit.is_some_and(|it| it < report.waiting) {
            self.queue_limit = None;
        }
    }

    /// Compares the time that a request took with what was expected when it started, and returns its
    /// cost on a target of usual speed with a free slot, in milliseconds, if that can be told.
    pub(crate) fn record_work(
        &mut self,
        now: ClockTime,
        took_ms: u64,
        start: Option<LoadView>,
        costs: Option<&RequestCosts>,
    ) -> Option<f64> {
        let took = took_ms as f64;
        if let Some(costs) = costs {
            blend(&mut self.slowness, took / costs.own.mean_ms.max(1.0));
        }
        let started_at = ClockTime(now.0.saturating_sub(took_ms));
        let report = self.report.filter(|it| it.at >= started_at)?;
        let wait_ms = match start {
            Some(view) if view.has_slot() && report.waiting == 0 => 0.0,
            Some(view) if view.age_ms <= EXACT_LIFE_MS => view.wait_ms(),
            None if report.waiting == 0 && report.others < report.slots => 0.0,
            _ => return None,
        };
        let is_trusted = self.is_trusted(now);
        if let Some(costs) = costs {
            if wait_ms > costs.others_ms && took < wait_ms / 2.0 {
                self.distrusted_until = now + DISTRUST_MS;
                return None;
            }
            let expected_ms = wait_ms + costs.own.mean_ms * report.time_factor;
            let ratio = took / expected_ms.max(1.0);
            blend(&mut self.excess, ratio.min(MAX_RATIO));
            if self.excess > MAX_TRUSTED_RATIO {
                self.distrusted_until = now + DISTRUST_MS;
            }
        }
        is_trusted.then(|| (took - wait_ms).max(1.0) / report.time_factor)
    }
}
