//! Retry budget and exponential backoff.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// Credit that one request earns, in thousandths of a retry.
const CREDIT_PER_REQUEST_MILLI: u64 = 100;

/// Credit that one retry costs, in thousandths of a retry.
const COST_PER_RETRY_MILLI: u64 = 1_000;

/// Largest credit, in thousandths of a retry: a burst of 20 retries.
const MAX_CREDIT_MILLI: u64 = 20_000;

/// Largest backoff between two attempts, in milliseconds.
const MAX_BACKOFF_MS: u64 = 400;

/// Base of the exponential backoff, in milliseconds; doubled before the first retry.
const BASE_BACKOFF_MS: u64 = 5;

/// Token bucket that allows one retry per ten requests, so that failures don't cause a
/// retry storm. It starts full.
#[derive(Debug)]
pub struct RetryBudget {
    credit: AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            credit: AtomicU64::new(MAX_CREDIT_MILLI),
        }
    }
}

impl RetryBudget {
    /// Adds the credit that one request earns.
    pub fn earn(&self) {
        let earn = |credit: u64| Some((credit + CREDIT_PER_REQUEST_MILLI).min(MAX_CREDIT_MILLI));
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, earn)
            .ok();
    }

    /// Deducts the cost of one retry if the credit suffices, and returns whether it did.
    pub fn spend(&self) -> bool {
        let spend = |credit: u64| credit.checked_sub(COST_PER_RETRY_MILLI);
        self.credit
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, spend)
            .is_ok()
    }
}

/// Returns the backoff before retry `attempt` (the first retry is 1), in milliseconds.
///
/// `random` adds jitter: the result lies between half of an exponentially growing limit
/// and the limit.
pub fn backoff_ms(attempt: u32, random: u64) -> u64 {
    let limit_ms = (BASE_BACKOFF_MS << attempt.min(10)).min(MAX_BACKOFF_MS);
    limit_ms / 2 + random % (limit_ms / 2 + 1)
}
