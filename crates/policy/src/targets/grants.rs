//! Slot requests of an entry for one target, and the slots that a late grant still confers.

use std::collections::VecDeque;

/// Number of outstanding requests remembered; a reply to an older one grants nothing.
const MAX_OUTSTANDING: usize = 64;

/// Slot requests that the leader's slot ledger may still answer.
///
/// Replies may be late, lost or out of order. The tracker makes sure that an entry never
/// uses more slots than the ledger counts as its own.
#[derive(Debug, Clone, Default)]
pub struct GrantTracker {
    /// Sequence numbers and slots wanted, oldest first.
    outstanding: VecDeque<(u64, u32)>,
}

impl GrantTracker {
    /// Records a request for `want` slots. `sequence` must be greater than before.
    pub fn ask(&mut self, sequence: u64, want: u32) {
        self.outstanding.push_back((sequence, want));
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
    }

    /// Handles a reply that grants `count` slots to request `sequence`, and returns how
    /// many of them may be used.
    ///
    /// Later requests may have returned some of the slots, since the ledger then counts
    /// no more than the smallest number that any of them wanted. A reply to an unknown
    /// request, or to one older than the last reply, grants nothing.
    pub fn answer(&mut self, sequence: u64, count: u32) -> u32 {
        let known = self
            .outstanding
            .iter()
            .any(|(number, _)| *number == sequence);
        if !known {
            return 0;
        }
        self.outstanding.retain(|(number, _)| *number >= sequence);
        let later = self
            .outstanding
            .iter()
            .filter(|(number, _)| *number > sequence);
        later.map(|(_, want)| *want).fold(count, u32::min)
    }
}
