//! Usage counted at an entry and sent to the leader in numbered increments.
//!
//! An increment is resent unchanged until the control state has merged it, so that it
//! counts exactly once.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::control::UsageDelta;
use crate::control::UsageFigure;
use crate::control::UsageKey;

/// Usage of one customer and service since the last [`UsageCounter::take`], counted by
/// the threads that serve requests.
#[derive(Debug, Default)]
pub struct UsageCounter {
    requests: AtomicU64,
    tokens: AtomicU64,
    uncharged: AtomicU64,
}

impl UsageCounter {
    /// Counts one answer that was delivered in full, with `tokens` tokens.
    pub fn charge(&self, tokens: u64) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Counts one attempt that no customer is charged for.
    pub fn waive(&self) {
        self.uncharged.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the usage since the last call and resets the counters.
    pub fn take(&self) -> UsageFigure {
        UsageFigure {
            requests: self.requests.swap(0, Ordering::Relaxed),
            tokens: self.tokens.swap(0, Ordering::Relaxed),
            samples: 0,
            uncharged: self.uncharged.swap(0, Ordering::Relaxed),
        }
    }
}

/// Collects usage and sends it in numbered increments, with at most one outstanding.
#[derive(Debug, Default)]
pub struct UsageMeter {
    /// Usage that isn't part of an increment yet.
    unsent: BTreeMap<UsageKey, UsageFigure>,
    /// Sequence number and content of the increment that may not be merged yet.
    outstanding: Option<(u64, Vec<UsageDelta>)>,
    /// Last sequence number known to be merged.
    merged: u64,
}

impl UsageMeter {
    /// Adds `figure` to the usage of `key`.
    pub fn count(&mut self, key: UsageKey, figure: &UsageFigure) {
        if *figure == UsageFigure::default() {
            return;
        }
        self.unsent.entry(key).or_default().add(figure);
    }

    /// Records that the increments up to `sequence` are merged and committed.
    pub fn mark_merged(&mut self, sequence: u64) {
        self.merged = self.merged.max(sequence);
        let outstanding = self.outstanding.as_ref();
        if outstanding.is_some_and(|(number, _)| *number <= sequence) {
            self.outstanding = None;
        }
    }

    /// Returns the sequence number and content of the increment to send, if any.
    ///
    /// An outstanding increment is returned unchanged; a new one is formed only after the
    /// previous one is merged.
    pub fn pending_increments(&mut self) -> Option<(u64, Vec<UsageDelta>)> {
        if self.outstanding.is_none() && !self.unsent.is_empty() {
            let deltas = std::mem::take(&mut self.unsent)
                .into_iter()
                .map(|(key, figure)| UsageDelta { key, figure })
                .collect();
            self.outstanding = Some((self.merged + 1, deltas));
        }
        self.outstanding.clone()
    }

    /// Returns whether all counted usage is known to be merged.
    pub fn is_settled(&self) -> bool {
        self.unsent.is_empty() && self.outstanding.is_none()
    }
}
