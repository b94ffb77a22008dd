//! Memory of this process, as the system counts it.

use std::fs;

/// Memory of a process in KB.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct MemoryUse {
    /// Resident memory.
    pub(crate) resident_kb: u64,
    /// Largest resident memory since the process began.
    pub(crate) peak_kb: u64,
}

/// Returns the memory of this process, or `None` if the system doesn't tell.
pub(crate) fn memory_use() -> Option<MemoryUse> {
    let status = fs::read_to_string("/proc/self/status").ok()?;
    let value = |name: &str| {
        let line = status.lines().find_map(|it| it.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    };
    Some(MemoryUse {
        resident_kb: value("VmRSS:")?,
        peak_kb: value("VmHWM:")?,
    })
}
