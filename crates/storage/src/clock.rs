//! System clocks: a monotonic one for leases and timeouts, and the wall clock for timestamps.

use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

use bergamotlane_coordination::clock::Clock;
use bergamotlane_coordination::clock::ClockTime;

const NANOS_PER_MILLI: u64 = 1_000_000;

/// Monotonic clock based on `CLOCK_BOOTTIME`.
///
/// Counts milliseconds since the machine booted, including time during which the machine was
/// suspended or the process was frozen, so that leases and timeouts expire then too.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> ClockTime {
        let time = clock_gettime(ClockId::Boottime);
        let millis = time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / NANOS_PER_MILLI;
        ClockTime(millis)
    }
}

/// Returns the current time of [`BootClock`], in milliseconds since the machine booted.
pub fn now() -> ClockTime {
    BootClock.now()
}

/// Returns the wall-clock time in milliseconds since the Unix epoch, or zero if the system clock is
/// set before it.
///
/// Wall-clock time may jump; use [`now`] to measure durations.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
