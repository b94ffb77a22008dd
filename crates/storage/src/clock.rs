//! The real clock.

use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use bergamotlane_coordination::clock::Clock;
use bergamotlane_coordination::clock::ClockTime;

const NANOS_PER_MILLI: u64 = 1_000_000;

/// Milliseconds since the machine started, freezes and suspends included.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> ClockTime {
        let time = clock_gettime(ClockId::Boottime);
        let millis = time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / NANOS_PER_MILLI;
        ClockTime(millis)
    }
}

/// Returns the time by [`BootClock`].
pub fn now() -> ClockTime {
    BootClock.now()
}

/// Returns the calendar time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |it| it.as_millis() as u64)
}
