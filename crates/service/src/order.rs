//! The order in which items start: within a job the longest first (longest processing time
//! first), among jobs the one that must start soonest (least slack first). A step ends with its
//! slowest needed group, and a long item that starts late is what it then waits for; so the
//! short items of one job yield to the long ones of another that is due at about the same time.
//!
//! No group is held back as one that the trainer may do without: with estimates that are off by
//! a factor of two that makes steps longer, since the groups that end first are not the ones
//! that were expected to.

use std::cmp::Reverse;

use bergamotlane_coordination::clock::ClockTime;

/// Time in which an engine generates a token, in microseconds.
const TOKEN_TIME_US: u64 = 750;

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

/// Returns when an item has to start to be done by `due`.
pub fn latest_start(due: ClockTime, expected_tokens: u64) -> ClockTime {
    let expected_ms = expected_tokens * TOKEN_TIME_US / 1_000;
    ClockTime(due.0.saturating_sub(expected_ms))
}
