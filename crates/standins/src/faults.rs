//! Faults that a stand-in shows on request.

use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process ends in the middle of an answer.
    Crash,
    /// The answer stops, and the connection stays open.
    Stall,
    /// The answer ends early, as if it were whole.
    Truncate,
    /// No answer at all, and the connection stays open.
    Silent,
    /// A token out of turn, or a body of another shape.
    Wrong,
    /// The answer comes late by a second.
    Late,
    /// A weight order is confirmed, but nothing is loaded.
    FailedSwap,
    /// Status 500.
    Error,
}

/// A fault and how often it shows.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct FaultOrder {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Calls that show it.
    pub count: u32,
}

/// Faults ordered and not shown yet.
#[derive(Debug, Default)]
pub struct FaultBox {
    order: Mutex<Option<FaultOrder>>,
}

impl FaultBox {
    /// Orders a fault in place of an earlier one.
    pub fn order(&self, order: FaultOrder) {
        *self.order.lock().unwrap_or_else(PoisonError::into_inner) = Some(order);
    }

    /// Takes the fault that this call shows, if it is one of `kinds`.
    pub fn take(&self, kinds: &[FaultKind]) -> Option<FaultKind> {
        let mut order = self.order.lock().unwrap_or_else(PoisonError::into_inner);
        let current = order.as_mut().filter(|it| kinds.contains(&it.kind))?;
        let kind = current.kind;
        current.count = current.count.saturating_sub(1);
        if current.count == 0 {
            *order = None;
        }
        Some(kind)
    }
}
