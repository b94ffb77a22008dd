//! How long a follower may act on its view of the replicated state, and when a change has
//! taken effect on every follower.
//!
//! A follower asks the leader at intervals for the commit index. An answer lets the
//! follower act on its view for a window that starts when it asked; after that it must
//! stop until the next answer. A change is in force once no follower may still act on a
//! view without it.

use std::collections::BTreeMap;

use crate::clock::ClockTime;
use crate::clock::DRIFT_ALLOWANCE_PER_MILLE;
use crate::ident::RunId;

/// Tracks on a follower until when it may act on its view.
#[derive(Debug, Clone, Copy)]
pub struct ViewFreshness {
    window_ms: u64,
    confirmed_at: Option<ClockTime>,
}

impl ViewFreshness {
    /// Creates the tracker of a view that isn't fresh until its first confirmation.
    ///
    /// Each confirmation keeps the view fresh for `window_ms` milliseconds.
    pub fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            confirmed_at: None,
        }
    }

    /// Confirms the view by a leader's answer to a request sent at `asked_at`.
    ///
    /// `commit` is the commit index that the leader confirmed, `applied` the index that the
    /// follower has applied. Returns `false`, and leaves the view as it was, if the
    /// follower hasn't applied all entries up to `commit`.
    pub fn confirm(&mut self, asked_at: ClockTime, commit: u64, applied: u64) -> bool {
        if applied < commit {
            return false;
        }
        let latest = self
            .confirmed_at
            .map_or(asked_at, |time| time.max(asked_at));
        self.confirmed_at = Some(latest);
        true
    }

    /// Returns whether the follower may act on its view at `now`.
    pub fn is_fresh(&self, now: ClockTime) -> bool {
        self.confirmed_at
            .is_some_and(|time| now < time + self.window_ms)
    }

    /// Returns when the view stops being fresh, or `None` if it was never confirmed.
    pub fn fresh_until(&self) -> Option<ClockTime> {
        self.confirmed_at.map(|time| time + self.window_ms)
    }
}

#[derive(Debug, Clone, Copy)]
struct FollowerEntry {
    applied: u64,
    answered_at: ClockTime,
}

/// Tracks on a leader how far each follower has applied the log.
#[derive(Debug)]
pub struct FollowerTable {
    window_ms: u64,
    /// Before this time, followers may still act on answers of the previous leader, which
    /// this table doesn't know.
    complete_from: ClockTime,
    followers: BTreeMap<RunId, FollowerEntry>,
}

impl FollowerTable {
    /// Creates the table of a leader whose term starts at `now`.
    ///
    /// `window_ms` is the freshness window that the followers use.
    pub fn new(now: ClockTime, window_ms: u64) -> Self {
        Self {
            window_ms,
            complete_from: now + with_drift(window_ms),
            followers: BTreeMap::new(),
        }
    }

    /// Records that the leader answered a request of `follower` at `now`, and that the
    /// follower has applied all entries up to `applied`.
    pub fn answer(&mut self, now: ClockTime, follower: RunId, applied: u64) {
        let entry = self.followers.entry(follower).or_insert(FollowerEntry {
            applied,
            answered_at: now,
        });
        entry.applied = entry.applied.max(applied);
        entry.answered_at = now;
    }

    /// Removes a follower that will never act on its view again.
    pub fn remove(&mut self, follower: RunId) {
        self.followers.remove(&follower);
    }

    /// Returns whether every follower that may act on its view at `now` has applied the
    /// entry at `index`.
    pub fn in_force(&self, now: ClockTime, index: u64) -> bool {
        now >= self.complete_from && self.lagging(now, index) == 0
    }

    /// Returns how many followers may still act on a view without the entry at `index`.
    pub fn lagging(&self, now: ClockTime, index: u64) -> usize {
        self.followers
            .values()
            .filter(|entry| {
                entry.applied < index && now < entry.answered_at + with_drift(self.window_ms)
            })
            .count()
    }

    /// Removes followers whose view stopped being fresh at least one window ago.
    ///
    /// Call it now and then, so that the table doesn't grow with each process run.
    pub fn expire(&mut self, now: ClockTime) {
        let limit = 2 * with_drift(self.window_ms);
        self.followers
            .retain(|_, entry| now < entry.answered_at + limit);
    }
}

/// Returns `millis` extended by the allowance for clock drift.
fn with_drift(millis: u64) -> u64 {
    millis + millis * DRIFT_ALLOWANCE_PER_MILLE / 1_000
}
