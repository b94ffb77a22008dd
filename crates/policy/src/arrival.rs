//! Arrival rates that don't depend on how often they are sampled.

use bergamotlane_coordination::clock::ClockTime;

/// Shortest interval over which a rate is computed, in milliseconds.
const MIN_INTERVAL_MS: u64 = 250;

/// Smoothed arrival rate, in arrivals per second.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalRate {
    counted: u64,
    interval_start: ClockTime,
    per_s: u32,
}

impl ArrivalRate {
    /// Adds the `count` arrivals since the last call and returns the rate per second.
    ///
    /// The rate is updated at the end of an interval: a rise takes full effect, a fall at
    /// most halves the rate.
    pub fn add(&mut self, now: ClockTime, count: u32) -> u32 {
        self.counted += u64::from(count);
        let interval_ms = now.since(self.interval_start);
        if interval_ms < MIN_INTERVAL_MS {
            return self.per_s;
        }
        let rate = (self.counted * 1_000).div_ceil(interval_ms.min(4 * MIN_INTERVAL_MS)) as u32;
        self.per_s = rate.max(self.per_s / 2);
        self.counted = 0;
        self.interval_start = now;
        self.per_s
    }
}
