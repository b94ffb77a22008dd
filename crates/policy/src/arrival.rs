//! Arrival rates that don't depend on how often somebody looks.

use bergamotlane_coordination::clock::ClockTime;

/// Shortest span that a rate is worked out from, in milliseconds.
const SPAN_MS: u64 = 250;

/// Smoothed rate of arrivals.
#[derive(Debug, Clone, Copy, Default)]
pub struct ArrivalRate {
    counted: u64,
    since: ClockTime,
    per_s: u32,
}

impl ArrivalRate {
    /// Adds `count` arrivals since the last call and returns the rate a second.
    ///
    /// A rise shows at the end of a span, a fall by half with each span.
    pub fn add(&mut self, now: ClockTime, count: u32) -> u32 {
        self.counted += u64::from(count);
        let span = now.since(self.since);
        if span < SPAN_MS {
            return self.per_s;
        }
        let rate = (self.counted * 1_000).div_ceil(span.min(4 * SPAN_MS)) as u32;
        self.per_s = rate.max(self.per_s / 2);
        self.counted = 0;
        self.since = now;
        self.per_s
    }
}
