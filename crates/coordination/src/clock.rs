//! Timestamps in milliseconds, and the clocks that supply them.

use std::cell::Cell;
use std::ops::Add;
use std::ops::Sub;

/// Largest difference in speed between the clocks of two machines, in parts per thousand.
///
/// Leases and freshness windows are shortened or extended by this share, so that they stay
/// safe as long as no two clocks drift apart faster.
pub const DRIFT_ALLOWANCE_PER_MILLE: u64 = 10;

/// Timestamp in milliseconds since an origin that each clock sets for itself.
///
/// Timestamps of different machines can't be compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct ClockTime(pub u64);

impl ClockTime {
    /// Returns the milliseconds since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<u64> for ClockTime {
    type Output = Self;

    fn add(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }
}

impl Sub<u64> for ClockTime {
    type Output = Self;

    fn sub(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }
}

/// Source of [`ClockTime`].
///
/// The clock must keep counting while the process is frozen or the machine is suspended;
/// otherwise a node that resumes would take an expired lease for a valid one.
pub trait Clock {
    /// Returns the current time, which never decreases.
    fn now(&self) -> ClockTime;
}

/// Clock for tests and simulations, which moves only by [`ManualClock::advance`].
#[derive(Debug, Default)]
pub struct ManualClock {
    time: Cell<ClockTime>,
}

impl ManualClock {
    /// Moves the clock forward by `millis` milliseconds.
    pub fn advance(&self, millis: u64) {
        self.time.set(self.time.get() + millis);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> ClockTime {
        self.time.get()
    }
}
