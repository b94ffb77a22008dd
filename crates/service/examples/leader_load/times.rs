//! Processor time of the parts of the work.

use std::collections::BTreeMap;
use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Processor time by part of the work.
#[derive(Debug, Default)]
pub struct PartTimes {
    pub parts: BTreeMap<&'static str, Duration>,
}

impl PartTimes {
    /// Runs a part of the work and adds the time that it takes.
    pub fn measure<T>(&mut self, part: &'static str, work: impl FnOnce() -> T) -> T {
        let started = thread_time();
        let result = work();
        *self.parts.entry(part).or_default() += thread_time() - started;
        result
    }
}

fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
