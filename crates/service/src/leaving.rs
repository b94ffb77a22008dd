//! Targets that have said in an answer that they leave.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

/// Largest number of marks that are kept; the oldest ones are dropped first.
const MAX_MARKS: usize = 4_096;

/// Start of a target that leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingStart {
    /// ID of the target.
    pub id: String,
    /// Start time of the target's process, in milliseconds since 1970.
    pub born: u64,
}

/// Marks of leaving targets. Unlike what a leader says of a target, a mark is never undone; only a
/// later start under the same ID is not concerned.
#[derive(Debug, Default)]
pub struct LeavingMarks {
    born: BTreeMap<String, u64>,
    /// IDs in the order in which they were first marked.
    order: VecDeque<String>,
}

impl LeavingMarks {
    /// Marks a start and all earlier ones under its ID. Returns whether that is news.
    pub fn mark(&mut self, start: &LeavingStart) -> bool {
        if self.contains(&start.id, start.born) {
            return false;
        }
        if self.born.insert(start.id.clone(), start.born).is_none() {
            self.order.push_back(start.id.clone());
        }
        if self.order.len() > MAX_MARKS
            && let Some(oldest) = self.order.pop_front()
        {
            self.born.remove(&oldest);
        }
        true
    }

    /// Returns whether a start is marked.
    pub fn contains(&self, id: &str, born: u64) -> bool {
        self.born.get(id).is_some_and(|marked| *marked >= born)
    }

    /// Returns all marked starts.
    pub fn iter(&self) -> impl Iterator<Item = (&String, u64)> {
        self.born.iter().map(|(id, born)| (id, *born))
    }
}
