//! An entry's usage increments: numbered, and kept until they are merged.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::control::UsageDelta;
use crate::control::UsageFigure;
use crate::control::UsageKey;

/// Usage of one customer and service since the last look, counted by traffic threads.
#[derive(Debug, Default)]
pub struct UsageCounter {
    requests: AtomicU64,
    tokens: AtomicU64,
    uncharged: AtomicU64,
}

impl UsageCounter {
    /// Counts a whole answer with `tokens` tokens.
    pub fn charge(&self, tokens: u64) {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.tokens.fetch_add(tokens, Ordering::Relaxed);
    }

    /// Counts work that nobody is charged for.
    pub fn waive(&self) {
        self.uncharged.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes out what was counted since the last call.
    pub fn take(&self) -> UsageFigure {
        UsageFigure {
            requests: self.requests.swap(0, Ordering::Relaxed),
            tokens: self.tokens.swap(0, Ordering::Relaxed),
            samples: 0,
            uncharged: self.uncharged.swap(0, Ordering::Relaxed),
        }
    }
}

/// Counts usage and hands it out in numbered increments, one at a time.
#[derive(Debug, Default)]
pub struct UsageMeter {
    counted: BTreeMap<UsageKey, UsageFigure>,
    shipped: Option<(u64, Vec<UsageDelta>)>,
    merged: u64,
}

impl UsageMeter {
    /// Counts `figure`.
    pub fn count(&mut self, key: UsageKey, figure: &UsageFigure) {
        if *figure == UsageFigure::default() {
            return;
        }
        self.counted.entry(key).or_default().add(figure);
    }

    /// Takes note that increments up to `sequence` are merged for good.
    pub fn mark_merged(&mut self, sequence: u64) {
        self.merged = self.merged.max(sequence);
        if self.shipped.as_ref().is_some_and(|it| it.0 <= sequence) {
            self.shipped = None;
        }
    }

    /// Returns the increments to ship: those not merged yet, unchanged, else new ones.
    pub fn pending_increments(&mut self) -> Option<(u64, Vec<UsageDelta>)> {
        if self.shipped.is_none() && !self.counted.is_empty() {
            let deltas = std::mem::take(&mut self.counted)
                .into_iter()
                .map(|(key, figure)| UsageDelta { key, figure })
                .collect();
            self.shipped = Some((self.merged + 1, deltas));
        }
        self.shipped.clone()
    }

    /// Returns whether everything counted is merged.
    pub fn is_settled(&self) -> bool {
        self.counted.is_empty() && self.shipped.is_none()
    }
}
