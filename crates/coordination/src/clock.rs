//! Time in milliseconds, passed in by the caller.

use std::cell::Cell;
use std::ops::Add;
use std::ops::Sub;

/// Parts per thousand by which two clocks may run apart.
pub const DRIFT_ALLOWANCE_PER_MILLE: u64 = 10;

/// A point in time in milliseconds since an origin that the clock fixes.
///
/// Times of different machines can't be compared.
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

/// A source of [`ClockTime`] that goes on through freezes and suspends.
pub trait Clock {
    /// Returns the time, which never decreases.
    fn now(&self) -> ClockTime;
}

/// A clock that moves only when told to.
#[derive(Debug, Default)]
pub struct ManualClock {
    time: Cell<ClockTime>,
}

impl ManualClock {
    /// Moves the clock forward by `millis`.
    pub fn advance(&self, millis: u64) {
        self.time.set(self.time.get() + millis);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> ClockTime {
        self.time.get()
    }
}
