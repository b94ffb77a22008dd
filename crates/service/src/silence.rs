//! How long a target may take for an answer until a kept connection to it may have gone silent.

use std::time::Duration;

use bergamotlane_coordination::clock::ClockTime;

/// Time without an answer on a kept connection, and without one from its target on any other, after
/// which the connections that are kept to that target may have gone silent.
pub(crate) const SILENCE_LIMIT: Duration = Duration::from_millis(300);

/// Longest such time, if answers have taken longer lately.
const MAX_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Time for which it is kept how long the slowest answer took, in milliseconds.
const SLOWEST_MEMORY_MS: u64 = 60_000;

/// Answer that took longest of the latest ones.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct SlowestAnswer {
    took_ms: u64,
    at: ClockTime,
}

impl SlowestAnswer {
    /// Records that an answer took this long, in milliseconds.
    pub(crate) fn record(&mut self, time: ClockTime, took_ms: u64) {
        if took_ms >= self.took_ms || time.since(self.at) >= SLOWEST_MEMORY_MS {
            *self = Self { took_ms, at: time };
        }
    }

    /// Returns how long a target may take for an answer until its connections may have gone silent:
    /// half as long again as the slowest answer took, within fixed bounds.
    pub(crate) fn silence_limit(&self, time: ClockTime) -> Duration {
        if time.since(self.at) >= SLOWEST_MEMORY_MS {
            return SILENCE_LIMIT;
        }
        Duration::from_millis(self.took_ms * 3 / 2).clamp(SILENCE_LIMIT, MAX_SILENCE_LIMIT)
    }
}
