//! Whether this instance still has a network path to the targets.
//!
//! A target that does not answer may be down. If several targets don't, one after the other, and
//! none has answered since, the instance itself has probably lost its path to all of them.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

use bergamotlane_coordination::clock::ClockTime;

/// Number of unreachable targets from which on the path counts as lost, unless fewer are known.
const MIN_UNREACHABLE: usize = 2;

/// Time for which a failed connection counts, in milliseconds.
const EVIDENCE_MS: u64 = 5_000;

/// Targets that could not be reached since the last sign of life of any target.
#[derive(Debug, Default)]
pub struct ReachTable {
    unreachable: HashMap<String, ClockTime>,
    is_lost: bool,
}

impl ReachTable {
    /// Records that no connection to a target could be made; `known` is the number of all targets.
    pub fn record_failure(&mut self, now: ClockTime, target: &str, known: usize) {
        self.unreachable
            .retain(|_, at| now.since(*at) < EVIDENCE_MS);
        self.unreachable.insert(target.to_owned(), now);
        self.is_lost |= self.unreachable.len() >= MIN_UNREACHABLE.min(known.max(1));
    }

    /// Records that a target answered or accepted a connection.
    pub fn record_success(&mut self) {
        self.unreachable.clear();
        self.is_lost = false;
    }

    /// Returns whether the path to all targets is probably lost.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }
}

/// [`ReachTable`] that tasks share, with a wake-up when the path is lost.
#[derive(Debug)]
pub struct ReachWatch {
    table: Mutex<ReachTable>,
    answers: AtomicU64,
    lost: watch::Sender<bool>,
}

impl Default for ReachWatch {
    fn default() -> Self {
        Self {
            table: Mutex::default(),
            answers: AtomicU64::new(0),
            lost: watch::Sender::new(false),
        }
    }
}

impl ReachWatch {
    fn table(&self) -> MutexGuard<'_, ReachTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that no connection to a target could be made; `known` is the number of all targets.
    pub fn record_failure(&self, now: ClockTime, target: &str, known: usize) {
        let mut table = self.table();
        table.record_failure(now, target, known);
        self.publish(&table);
    }

    /// Records that a target answered or accepted a connection.
    pub fn record_success(&self) {
        self.answers.fetch_add(1, Ordering::Relaxed);
        let mut table = self.table();
        table.record_success();
        self.publish(&table);
    }

    /// Returns the number of signs of life so far.
    pub fn answer_count(&self) -> u64 {
        self.answers.load(Ordering::Relaxed)
    }

    fn publish(&self, table: &ReachTable) {
        let is_lost = table.is_lost();
        let changed = |lost: &mut bool| std::mem::replace(lost, is_lost) != is_lost;
        if self.lost.send_if_modified(changed) {
            match is_lost {
                true => {
                    spdlog::warn!("targets: path lost", kv: { unreachable = table.unreachable.len() })
                }
                false => spdlog::info!("targets: path regained"),
            }
        }
    }

    /// Returns whether the path to all targets is probably lost.
    pub fn is_lost(&self) -> bool {
        *self.lost.borrow()
    }

    /// Waits until the path to all targets is probably lost.
    pub async fn wait_lost(&self) {
        let mut lost = self.lost.subscribe();
        // The sender lives as long as `self`.
        lost.wait_for(|it| *it).await.ok();
    }
}
