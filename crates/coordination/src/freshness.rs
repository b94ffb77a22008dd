//! How long a follower may trust its view, and from when a change holds everywhere.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::clock::DRIFT_ALLOWANCE_PER_MILLE;
use crate::ident::RunId;

/// A follower's knowledge of how new its view is.
#[derive(Debug, Clone, Copy)]
pub struct ViewFreshness {
    window_ms: u64,
    confirmed_at: Option<ClockTime>,
}

impl ViewFreshness {
    /// Creates a view that nobody has confirmed yet, valid `window_ms` after each
    /// confirmation.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            confirmed_at: None,
        }
    }

    /// Takes note of a leader's answer to a question sent at `asked_at`.
    ///
    /// `commit` is the leader's confirmed commit index, `applied` the follower's own. The
    /// answer counts only if the follower holds everything that was committed then.
    pub fn confirm(&mut self, asked_at: ClockTime, commit: u64, applied: u64) -> bool {
        if applied < commit {
            return false;
        }
        let newest = self.confirmed_at.map_or(asked_at, |it| it.max(asked_at));
        self.confirmed_at = Some(newest);
        true
    }

    /// Returns whether the view may be acted on at `now`.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        self.confirmed_at
            .is_some_and(|it| now < it + self.window_ms)
    }

    /// Returns until when the view may be acted on.
    pub fn fresh_until(&self) -> Option<ClockTime> {
        self.confirmed_at.map(|it| it + self.window_ms)
    }
}

#[derive(Debug, Clone, Copy)]
struct FollowerEntry {
    applied: u64,
    answered_at: ClockTime,
}

/// A leader's knowledge of which follower holds what.
#[derive(Debug)]
pub struct FollowerTable {
    window_ms: u64,
    /// Followers that the previous leader answered last may be unknown before this time.
    complete_from: ClockTime,
    followers: BTreeMap<RunId, FollowerEntry>,
}

impl FollowerTable {
    /// Creates a table for a leader that starts at `now`.
    pub fn new(now: ClockTime, window_ms: u64) -> Self {
        Self {
            window_ms,
            complete_from: now + stretch(window_ms),
            followers: BTreeMap::new(),
        }
    }

    /// Takes note that `follower` was answered at `now` and has applied `applied`.
    pub fn answer(&mut self, now: ClockTime, follower: RunId, applied: u64) {
        let entry = self.followers.entry(follower).or_insert(FollowerEntry {
            applied,
            answered_at: now,
        });
        entry.applied = entry.applied.max(applied);
        entry.answered_at = now;
    }

    /// Takes note that `follower` refuses work for good.
    pub fn remove(&mut self, follower: RunId) {
        self.followers.remove(&follower);
    }

    /// Returns whether the entry at `index` holds on every follower that may act on its
    /// view at `now`.
    pub fn in_force(&self, now: ClockTime, index: u64) -> bool {
        now >= self.complete_from && self.lagging(now, index) == 0
    }

    /// Returns how many followers may still act on a view older than `index`.
    pub fn lagging(&self, now: ClockTime, index: u64) -> usize {
        self.followers
            .values()
            .filter(|it| it.applied < index && now < it.answered_at + stretch(self.window_ms))
            .count()
    }

    /// Drops followers whose view ran out long ago.
    pub fn expire(&mut self, now: ClockTime) {
        let limit = 2 * stretch(self.window_ms);
        self.followers.retain(|_, it| now < it.answered_at + limit);
    }
}

fn stretch(millis: u64) -> u64 {
    millis + millis * DRIFT_ALLOWANCE_PER_MILLE / 1_000
}
