//! The order in which the items of a job start: the longest first (longest processing time
//! first). A step ends with its slowest needed group, and a long item that starts late is what
//! it then waits for.
//!
//! No group is held back as one that the trainer may do without: with estimates that are off by
//! a factor of two that makes steps longer, since the groups that end first are not the ones
//! that were expected to.

use std::cmp::Reverse;

/// What of an item matters for its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemRank {
    /// Place in the submission.
    pub item: u32,
    /// Whether an earlier job had it too, so that the trainer waits for its group in any case.
    pub is_carried: bool,
    /// Tokens that it is expected to need.
    pub expected_tokens: u64,
}

/// Returns the items in the order in which they should start.
pub fn start_order(mut items: Vec<ItemRank>) -> Vec<u32> {
    items.sort_by_key(|it| (Reverse(it.expected_tokens), !it.is_carried));
    items.into_iter().map(|it| it.item).collect()
}
