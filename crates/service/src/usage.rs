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
