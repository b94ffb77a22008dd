//! Fault injection for the stand-ins of targets.

use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

/// Fault that a stand-in can inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process exits in the middle of an answer, or before it for a plain service.
    Crash,
    /// The answer stops midway, and the connection stays open. For a plain service the same
    /// as `Silent`.
    Stall,
    /// The answer ends early. A token stream ends as if it were complete; the body of a
    /// plain service ends with a connection error.
    Truncate,
    /// No answer is sent, and the connection stays open.
    Silent,
    /// A token stream skips token indices, or a body lacks the expected fields.
    Wrong,
    /// The answer is delayed by a second.
    Late,
    /// A weight order is accepted, but the weights are not loaded.
    FailedSwap,
    /// The answer has status 500.
    Error,
}

/// Body of a request to `/faults`: a fault and the number of calls that it affects.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct FaultRequest {
    /// Fault to inject.
    pub kind: FaultKind,
    /// Number of calls that it affects; 0 counts as 1.
    pub count: u32,
}

/// Holds the requested fault until it has affected as many calls as requested.
#[derive(Debug, Default)]
pub struct FaultInjector {
    pending: Mutex<Option<FaultRequest>>,
}

impl FaultInjector {
    /// Sets the fault to inject, in place of an earlier one.
    pub fn set(&self, request: FaultRequest) {
        *self.pending.lock().unwrap_or_else(PoisonError::into_inner) = Some(request);
    }

    /// Returns the fault to inject into this call and counts it, if it is one of `kinds`.
    pub fn take(&self, kinds: &[FaultKind]) -> Option<FaultKind> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let current = pending.as_mut().filter(|it| kinds.contains(&it.kind))?;
        let kind = current.kind;
        current.count = current.count.saturating_sub(1);
        if current.count == 0 {
            *pending = None;
        }
        Some(kind)
    }
}
