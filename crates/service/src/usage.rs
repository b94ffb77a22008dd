//! Counts of requests by customer and usage window, a fixed interval of calendar time.
//!
//! Each process counts its own requests and repeatedly sends the cumulative sums of its recent
//! windows. A later sum replaces an earlier one, so lost or repeated messages do no harm.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::state::UsageCounts;

/// Number of latest windows whose sums a process keeps sending.
const MAX_SENT_WINDOWS: usize = 8;

/// Number of latest windows for which the sums of all processes are kept.
const MAX_MERGED_WINDOWS: usize = 16;

/// Number of past windows that a leader still closes; older ones are skipped.
const MAX_PAST_WINDOWS: u64 = 12;

/// Cumulative usage counted by one process.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UsageSums {
    /// Sums by number of the window, which counts window lengths since 1970.
    pub windows: BTreeMap<u64, UsageCounts>,
}

impl UsageSums {
    /// Counts a request of a customer in a window.
    pub fn count(&mut self, window: u64, customer: &str) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(customer.to_owned()).or_default() += 1;
        while self.windows.len() > MAX_SENT_WINDOWS {
            self.windows.pop_first();
        }
    }
}

/// Usage counted by all processes.
#[derive(Debug, Default)]
pub struct UsageTally {
    /// Sums by window and process.
    windows: BTreeMap<u64, BTreeMap<u64, UsageCounts>>,
}

impl UsageTally {
    /// Replaces the sums of a process in all windows that `sums` covers.
    pub fn merge(&mut self, process: u64, sums: UsageSums) {
        for (window, counts) in sums.windows {
            self.windows
                .entry(window)
                .or_default()
                .insert(process, counts);
        }
        while self.windows.len() > MAX_MERGED_WINDOWS {
            self.windows.pop_first();
        }
    }

    /// Returns the number of the earliest window that has counts.
    pub fn first_window(&self) -> Option<u64> {
        self.windows.keys().next().copied()
    }

    /// Returns the counts of a window, summed over all processes.
    pub fn total(&self, window: u64) -> UsageCounts {
        let mut total = UsageCounts::new();
        for counts in self
            .windows
            .get(&window)
            .into_iter()
            .flat_map(|it| it.values())
        {
            for (customer, count) in counts {
                *total.entry(customer.clone()).or_default() += count;
            }
        }
        total
    }
}

/// Usage windows that a leader closes, one after the other.
///
/// The first one follows from the state and the counts as they are when the leader first asks, so
/// that it must not ask before it has applied all committed entries and heard of all processes.
#[derive(Debug, Default)]
pub struct WindowCursor {
    next: Option<u64>,
}

impl WindowCursor {
    /// Returns the next window to close if it ended `delay_ms` ago or earlier, and moves on to the
    /// one after it. `last_closed` is the last window that the state has as closed.
    pub fn take_due(
        &mut self,
        last_closed: Option<u64>,
        tally: &UsageTally,
        calendar: CalendarWindow,
        delay_ms: u64,
    ) -> Option<u64> {
        let current = calendar.current();
        let next = self.next.unwrap_or_else(|| match last_closed {
            Some(window) => window + 1,
            None => tally.first_window().unwrap_or(current).min(current),
        });
        let window = next.max(current.saturating_sub(MAX_PAST_WINDOWS));
        if calendar.now_ms < calendar.end_ms(window) + delay_ms {
            self.next = Some(window);
            return None;
        }
        self.next = Some(window + 1);
        Some(window)
    }
}

/// Calendar time, and the length of a usage window.
#[derive(Debug, Clone, Copy)]
pub struct CalendarWindow {
    /// Time since 1970, in milliseconds.
    pub now_ms: u64,
    /// Length of a window, in milliseconds; not zero.
    pub window_ms: u64,
}

impl CalendarWindow {
    /// Returns the number of the window that has begun and not ended.
    pub fn current(self) -> u64 {
        self.now_ms / self.window_ms
    }

    /// Returns the end of a window since 1970, in milliseconds.
    pub fn end_ms(self, window: u64) -> u64 {
        (window + 1) * self.window_ms
    }
}
