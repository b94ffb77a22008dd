//! What all traffic threads of an entry share about one target: a few atomic numbers.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bergamotlane_coordination::clock::ClockTime;

/// Failures in a row after which a target is left alone for a while.
const EJECT_FAILURES: u32 = 3;

/// How long an ejected target is left alone, in milliseconds.
const EJECT_MS: u64 = 2_000;

/// Counters of one target at one entry.
#[derive(Debug, Default)]
pub struct TargetCounters {
    in_flight: AtomicU32,
    granted: AtomicU32,
    granted_until: AtomicU64,
    /// Whether the grant outlives its lease, as a warm target's may.
    lasting: AtomicBool,
    failures: AtomicU32,
    ejected_until: AtomicU64,
}

impl TargetCounters {
    /// Returns the requests in progress from this entry.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the slots that this entry may use at `now`.
    pub fn granted(&self, now: ClockTime) -> u32 {
        let live = now.0 < self.granted_until.load(Ordering::Relaxed);
        match live || self.lasting.load(Ordering::Relaxed) {
            true => self.granted.load(Ordering::Relaxed),
            false => 0,
        }
    }

    /// Sets the slots that this entry may use until `until`, or for longer if `lasting`.
    pub fn grant(&self, count: u32, until: ClockTime, lasting: bool) {
        self.lasting.store(lasting, Ordering::Relaxed);
        self.granted_until.store(until.0, Ordering::Relaxed);
        self.granted.store(count, Ordering::Relaxed);
    }

    /// Raises the grant of a warm target to `count`, while no leader can grant any.
    pub fn raise(&self, count: u32) {
        self.lasting.store(true, Ordering::Relaxed);
        self.granted.fetch_max(count, Ordering::Relaxed);
    }

    /// Returns the slots that the ledger may count as this entry's.
    pub fn held(&self) -> u32 {
        self.in_flight().max(self.granted.load(Ordering::Relaxed))
    }

    /// Lowers the grant to `want` before the ledger hears of it, and returns the slots
    /// that are still held.
    pub fn lower(&self, want: u32) -> u32 {
        self.granted.fetch_min(want, Ordering::Relaxed);
        self.held()
    }

    /// Gives up the grant, since the target may have restarted and be cold.
    pub fn revoke(&self) {
        self.granted.store(0, Ordering::Relaxed);
    }

    /// Returns whether the target is left alone at `now` after failures.
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        now.0 < self.ejected_until.load(Ordering::Relaxed)
    }

    /// Takes note of how a request ended; repeated failures eject the target.
    pub fn report(&self, now: ClockTime, ok: bool) {
        if ok {
            self.failures.store(0, Ordering::Relaxed);
            return;
        }
        if self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= EJECT_FAILURES {
            // The next failure after the pause ejects at once.
            self.failures.store(EJECT_FAILURES - 1, Ordering::Relaxed);
            self.ejected_until
                .store(now.0 + EJECT_MS, Ordering::Relaxed);
        }
    }

    /// Takes a slot, if one is free at `now`.
    pub fn try_take(self: &Arc<Self>, now: ClockTime) -> Option<SlotPermit> {
        let granted = self.granted(now);
        let taken = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < granted).then_some(count + 1)
            });
        taken.ok().map(|_| SlotPermit {
            cell: Arc::clone(self),
        })
    }
}

/// A slot in use; dropping it gives the slot back.
#[derive(Debug)]
pub struct SlotPermit {
    cell: Arc<TargetCounters>,
}

impl SlotPermit {
    /// Returns the counters of the target.
    pub fn cell(&self) -> &TargetCounters {
        &self.cell
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.cell.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
