//! Speed of an engine: the time that it needs for an event of one run, as learned from its runs.
//!
//! Engines share machines with other programs, so that their speed changes many times a second,
//! and single gaps between events are off by half at a resolution of a few milliseconds. The usual
//! speed is therefore learned over windows of several seconds, of which the extreme ones don't
//! count. An engine that stays much slower than usual for longer than such noise lasts is judged by
//! its speed at the moment.

use std::collections::VecDeque;

use bergamotlane_coordination::clock::ClockTime;

/// Share by which each further concurrent run slows down an engine's runs.
const RUN_SLOWDOWN: f64 = 0.015;

/// Number of observations, about 200 ms apart, in a window.
const WINDOW_TICKS: u32 = 3;

/// Number of windows that are kept: about seven seconds of activity.
const MAX_WINDOWS: usize = 12;

/// Least number of windows of which the extreme ones are left out.
const MIN_WINDOWS: usize = 4;

/// Weight of the typical speed of engines, as a number of events, until there are enough windows.
const PRIOR_EVENTS: f64 = 4.0;

/// Ratio of the time for an event at the moment to the usual one that counts as a slowdown.
const SLOWDOWN_RATIO: f64 = 1.5;

/// Sum of the ratios above [`SLOWDOWN_RATIO`], one each observation, from which a slowdown is taken
/// to last. An engine that takes 2.5 times as long reaches it with the fourth observation, later
/// than noise of 600 ms ends, and one that takes four times as long with the second one.
const LASTING_EXCESS: f64 = 3.4;

/// Largest excess of one observation, so that a single pause is no lasting slowdown.
const MAX_EXCESS: f64 = 2.5;

/// Ratio of the time for an event to the usual one from which an observation does not count until the
/// next one confirms it: it may be a single pause, such as a change of weights.
const PAUSE_RATIO: f64 = 3.0;

/// Time after the last observation for which a lasting slowdown is believed, in milliseconds.
const SLOWDOWN_HOLD_MS: u64 = 3_000;

/// Time without runs after which the learned speed counts only half, in milliseconds.
const IDLE_MS: u64 = 15_000;

/// Weight of an observation in the moving average of a slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.4;

/// Least time for an event, in milliseconds. Events that arrive at once take no time by a clock of
/// milliseconds, and ratios to a usual time of zero are no numbers.
const MIN_EVENT_MS: f64 = 0.5;

/// Returns the time for an event of each run with a number of concurrent runs, in milliseconds, if
/// it is `alone_ms` for a single run.
pub(crate) fn loaded_event_ms(alone_ms: f64, runs: u32) -> f64 {
    alone_ms * slowdown_by(runs)
}

fn slowdown_by(runs: u32) -> f64 {
    1.0 + RUN_SLOWDOWN * f64::from(runs.saturating_sub(1))
}

/// Events that the runs of an engine generated, and the sum of the runs' times for them.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EventSpan {
    pub(crate) events: u32,
    pub(crate) elapsed_ms: f64,
}

/// Learned speed of one engine.
#[derive(Debug, Default)]
pub(crate) struct EngineSpeed {
    /// Latest complete windows, with times as if each run had been alone.
    windows: VecDeque<EventSpan>,
    /// Mean time for an event over the middle half of the windows, once there are enough.
    middle_ms: Option<f64>,
    open: EventSpan,
    open_ticks: u32,
    /// Sum of the excess ratios of a slowdown.
    excess: f64,
    /// Time for an event during the present slowdown, in milliseconds.
    slowed_ms: f64,
    /// Time until which the engine counts as slowed down.
    slowed_until: ClockTime,
    observed_at: ClockTime,
}

impl EngineSpeed {
    /// Returns whether the engine's runs have shown its speed.
    pub(crate) fn is_known(&self) -> bool {
        !self.windows.is_empty() || self.open.events > 0
    }

    /// Adds the events that all runs of the engine generated since the last observation.
    /// `typical_ms` is the time for an event on a typical engine.
    pub(crate) fn observe(&mut self, now: ClockTime, span: EventSpan, runs: u32, typical_ms: f64) {
        if span.events == 0 {
            return;
        }
        let least_ms = MIN_EVENT_MS * f64::from(span.events);
        let alone_ms = (span.elapsed_ms / slowdown_by(runs)).max(least_ms);
        let event_ms = alone_ms / f64::from(span.events);
        let usual_ms = self.usual_ms(now, typical_ms);
        let may_be_pause = self.excess <= 0.0 && event_ms > usual_ms * PAUSE_RATIO;
        self.detect_slowdown(now, event_ms, usual_ms);
        if may_be_pause {
            return;
        }
        self.observed_at = now;
        self.open.events += span.events;
        self.open.elapsed_ms += alone_ms;
        self.open_ticks += 1;
        if self.open_ticks >= WINDOW_TICKS {
            if self.windows.len() >= MAX_WINDOWS {
                self.windows.pop_front();
            }
            self.windows.push_back(self.open);
            self.middle_ms = (self.windows.len() >= MIN_WINDOWS).then(|| middle_ms(&self.windows));
            self.open = EventSpan::default();
            self.open_ticks = 0;
        }
    }

    fn detect_slowdown(&mut self, now: ClockTime, event_ms: f64, usual_ms: f64) {
        let excess = event_ms / usual_ms - SLOWDOWN_RATIO;
        if excess <= 0.0 {
            self.excess = 0.0;
            self.slowed_until = ClockTime::default();
            return;
        }
        self.slowed_ms = match self.excess > 0.0 {
            true => self.slowed_ms + (event_ms - self.slowed_ms) * SLOWDOWN_WEIGHT,
            false => event_ms,
        };
        self.excess += excess.min(MAX_EXCESS);
        if self.excess >= LASTING_EXCESS {
            self.slowed_until = now + SLOWDOWN_HOLD_MS;
        }
    }

    /// Returns the usual time for an event of a single run, in milliseconds.
    pub(crate) fn usual_ms(&self, now: ClockTime, typical_ms: f64) -> f64 {
        let learned_ms = self.middle_ms.unwrap_or_else(|| self.young_ms(typical_ms));
        match self.is_known() && now.since(self.observed_at) >= IDLE_MS {
            true => (learned_ms * typical_ms).sqrt(),
            false => learned_ms,
        }
    }

    /// Returns the time for an event to expect from now on, in milliseconds.
    pub(crate) fn event_ms(&self, now: ClockTime, typical_ms: f64) -> f64 {
        let usual_ms = self.usual_ms(now, typical_ms);
        match now < self.slowed_until {
            true => usual_ms.max(self.slowed_ms),
            false => usual_ms,
        }
    }

    /// Returns the mean time for an event, with a weight of the typical one.
    fn young_ms(&self, typical_ms: f64) -> f64 {
        let spans = self.windows.iter().chain([&self.open]);
        let (elapsed_ms, events) = spans.fold((0.0, 0.0), |(elapsed_ms, events), it| {
            (elapsed_ms + it.elapsed_ms, events + f64::from(it.events))
        });
        (elapsed_ms + typical_ms * PRIOR_EVENTS) / (events + PRIOR_EVENTS)
    }
}

/// Returns the mean time for an event over the middle half of the windows.
fn middle_ms(windows: &VecDeque<EventSpan>) -> f64 {
    let times = windows.iter();
    let mut times: Vec<f64> = times
        .map(|it| it.elapsed_ms / f64::from(it.events.max(1)))
        .collect();
    times.sort_by(f64::total_cmp);
    let cut = times.len() / 4;
    let middle = &times[cut..times.len() - cut];
    middle.iter().sum::<f64>() / middle.len() as f64
}
