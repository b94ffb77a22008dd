//! Counters of one target, shared by all threads of an entry that serve requests.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bergamotlane_coordination::clock::ClockTime;

/// Consecutive failures after which the circuit breaker ejects a target.
const EJECT_FAILURES: u32 = 3;

/// Time for which an ejected target gets no requests, in milliseconds.
const EJECT_MS: u64 = 2_000;

/// Slots, requests in flight and circuit breaker of one target at one entry.
#[derive(Debug, Default)]
pub struct TargetCounters {
    in_flight: AtomicU32,
    /// Slots granted to this entry.
    granted: AtomicU32,
    /// End of the slot lease, in milliseconds of the entry's clock.
    granted_until: AtomicU64,
    /// Whether the grant stays valid after its lease has ended, as allowed for warm targets.
    lasting: AtomicBool,
    /// Consecutive failures.
    failures: AtomicU32,
    /// Time at which the ejection ends, in milliseconds of the entry's clock.
    ejected_until: AtomicU64,
}

impl TargetCounters {
    /// Returns the number of requests that this entry has in flight to the target.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the number of slots that this entry may use at `now`.
    pub fn granted(&self, now: ClockTime) -> u32 {
        let live = now.0 < self.granted_until.load(Ordering::Relaxed);
        match live || self.lasting.load(Ordering::Relaxed) {
            true => self.granted.load(Ordering::Relaxed),
            false => 0,
        }
    }

    /// Sets the number of slots that this entry may use until the lease ends at `until`,
    /// or until it is changed if `lasting`.
    pub fn grant(&self, count: u32, until: ClockTime, lasting: bool) {
        self.lasting.store(lasting, Ordering::Relaxed);
        self.granted_until.store(until.0, Ordering::Relaxed);
        self.granted.store(count, Ordering::Relaxed);
    }

    /// Raises the grant of a warm target to at least `count` without the ledger, for times
    /// when no leader can be reached.
    pub fn raise(&self, count: u32) {
        self.lasting.store(true, Ordering::Relaxed);
        self.granted.fetch_max(count, Ordering::Relaxed);
    }

    /// Returns the number of slots that the ledger must count as held by this entry: the
    /// granted ones, or the used ones if there are more.
    pub fn held(&self) -> u32 {
        self.in_flight().max(self.granted.load(Ordering::Relaxed))
    }

    /// Lowers the grant to at most `want` and returns the number of slots still held.
    ///
    /// Must be called before the ledger learns of `want`, so that no slot that it takes
    /// back is used meanwhile.
    pub fn lower(&self, want: u32) -> u32 {
        self.granted.fetch_min(want, Ordering::Relaxed);
        self.held()
    }

    /// Drops the grant because the target may have restarted and be cold.
    pub fn revoke(&self) {
        self.granted.store(0, Ordering::Relaxed);
    }

    /// Returns whether the circuit breaker keeps requests from the target at `now`.
    pub fn is_ejected(&self, now: ClockTime) -> bool {
        now.0 < self.ejected_until.load(Ordering::Relaxed)
    }

    /// Records the result of a request; consecutive failures eject the target.
    pub fn report(&self, now: ClockTime, ok: bool) {
        if ok {
            self.failures.store(0, Ordering::Relaxed);
            return;
        }
        if self.failures.fetch_add(1, Ordering::Relaxed) + 1 >= EJECT_FAILURES {
            // A failed probe after the ejection ejects the target again at once.
            self.failures.store(EJECT_FAILURES - 1, Ordering::Relaxed);
            self.ejected_until
                .store(now.0 + EJECT_MS, Ordering::Relaxed);
        }
    }

    /// Acquires a slot, or returns `None` if none is free at `now`.
    pub fn try_acquire(self: &Arc<Self>, now: ClockTime) -> Option<SlotPermit> {
        let granted = self.granted(now);
        let acquired = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < granted).then_some(count + 1)
            });
        acquired.ok().map(|_| SlotPermit {
            counters: Arc::clone(self),
        })
    }
}

/// A slot in use, released on drop.
#[derive(Debug)]
pub struct SlotPermit {
    counters: Arc<TargetCounters>,
}

impl SlotPermit {
    /// Returns the counters of the target that the slot belongs to.
    pub fn counters(&self) -> &TargetCounters {
        &self.counters
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
