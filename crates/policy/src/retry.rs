//! Retry budgets and backoff.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Credit that one request earns, in thousandths of a retry.
const EARNED_PER_REQUEST: u64 = 100;

/// Credit that one retry costs.
const COST_PER_RETRY: u64 = 1_000;

/// Most credit kept.
const CREDIT_LIMIT: u64 = 20_000;

/// Longest pause between two attempts, in milliseconds.
const MAX_BACKOFF_MS: u64 = 400;

/// First pause between two attempts, in milliseconds.
const FIRST_BACKOFF_MS: u64 = 5;

/// Allows one retry for every ten requests, so that failures cause no storm.
#[derive(Debug)]
pub struct RetryBudget {
    credit: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credit: AtomicU64::new(CREDIT_LIMIT),
        }
    }
}

impl RetryBudget {
    /// Earns credit for a request.
    pub fn earn(&self) {
        let earn = |credit: u64| Some((credit + EARNED_PER_REQUEST).min(CREDIT_LIMIT));
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn)
            .ok();
    }

    /// Spends credit for a retry; returns whether there was enough.
    pub fn spend(&self) -> bool {
        let spend = |credit: u64| credit.checked_sub(COST_PER_RETRY);
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}

/// Returns the pause before attempt `attempt` (the first retry is 1), in milliseconds.
///
/// `random` spreads it between half and the whole of an exponentially growing span.
pub fn backoff_ms(attempt: u32, random: u64) -> u64 {
    let span = (FIRST_BACKOFF_MS << attempt.min(10)).min(MAX_BACKOFF_MS);
    span / 2 + random % (span / 2 + 1)
}
