//! Usage by customer and window of calendar time.
//!
//! Each instance counts for itself and tells the sums so far of its recent windows, again and
//! again; a later sum replaces an earlier one, so repeats and losses do no harm.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::state::UsageCounts;

/// Windows that an instance goes on telling.
const WINDOWS_TOLD: usize = 8;

/// Windows that are kept of each instance.
const WINDOWS_KEPT: usize = 16;

/// Counts of one process.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct UsageSums {
    /// Sums by window.
    pub windows: BTreeMap<u64, UsageCounts>,
}

impl UsageSums {
    /// Counts a request of a customer.
    pub fn count(&mut self, window: u64, customer: &str) {
        let counts = self.windows.entry(window).or_default();
        *counts.entry(customer.to_owned()).or_default() += 1;
        while self.windows.len() > WINDOWS_TOLD {
            self.windows.pop_first();
        }
    }
}

/// Counts of all processes.
#[derive(Debug, Default)]
pub struct UsageTally {
    windows: BTreeMap<u64, BTreeMap<u64, UsageCounts>>,
}

impl UsageTally {
    /// Takes the sums of a process.
    pub fn merge(&mut self, process: u64, sums: UsageSums) {
        for (window, counts) in sums.windows {
            self.windows
                .entry(window)
                .or_default()
                .insert(process, counts);
        }
        while self.windows.len() > WINDOWS_KEPT {
            self.windows.pop_first();
        }
    }

    /// Returns the figures of a window.
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
