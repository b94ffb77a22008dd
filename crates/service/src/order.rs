//! Order in which items start: longest processing time first within a job, least slack first
//! among jobs.
//!
//! A training step ends with the slowest group that it needs, which is usually held up by a long
//! item that started late. Short items of one job therefore yield to long items of another job
//! that is due at about the same time.
//!
//! The trainer needs only some of a job's groups, but none is held back as dispensable: with
//! length estimates that are off by a factor of two, holding groups back makes steps longer,
//! since other groups end first than expected.

use std::cmp::Reverse;

use bergamotlane_coordination::clock::ClockTime;

/// Time that an engine needs to generate a token, in microseconds.
const TOKEN_TIME_US: u64 = 750;

/// Properties of an item that decide its place in the start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ItemRank {
    /// Index of the item in its submission.
    pub item: u32,
    /// Whether an earlier job contained the item too; the trainer waits for such groups in any
    /// case.
    pub is_carried: bool,
    /// Number of tokens that the item is expected to need, or zero if unknown.
    pub expected_tokens: u64,
    /// Largest number of tokens that the item may need, if known.
    pub max_tokens: Option<u64>,
}

/// Returns the indices of the items in the order in which they should start.
pub fn start_order(mut items: Vec<ItemRank>) -> Vec<u32> {
    items.sort_by_key(|it| (Reverse(it.expected_tokens), !it.is_carried));
    items.into_iter().map(|it| it.item).collect()
}

/// Returns the time that an engine is expected to need for a number of tokens, in milliseconds.
pub(crate) fn expected_ms(tokens: u64) -> u64 {
    tokens * TOKEN_TIME_US / 1_000
}

/// Returns the latest time at which an item can start and still be done by `due`.
pub fn latest_start(due: ClockTime, expected_tokens: u64) -> ClockTime {
    ClockTime(due.0.saturating_sub(expected_ms(expected_tokens)))
}
