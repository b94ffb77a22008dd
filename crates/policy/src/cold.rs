//! Budget of a cold target: how many requests it may get from all senders together.
//!
//! The ledger of the leader holds one for each cold target. It counts what it gave out within a
//! sliding window, and rises from a low rate, so that a target that crashes under its first requests
//! gets fewer of them when it starts again.

use std::collections::VecDeque;

use bergamotlane_coordination::clock::ClockTime;

/// Time for which a caller's request counts among a cold target's requests per second, in
/// milliseconds. It is longer than a second by [`MAX_SEND_DELAY_MS`], so that no second has more
/// requests sent.
pub const COLD_WINDOW_MS: u64 = 1_000 + MAX_SEND_DELAY_MS;

/// Time for a connection to a cold target, in milliseconds. Requests that are sent in two bursts may
/// arrive closer together by as much.
const CONNECT_MS: u64 = 240;

/// Time for which any other request counts, in milliseconds, since runs start in bursts over new
/// connections. All requests together stay within what the rate allows for this time. A new owner
/// gives nothing out for as long.
pub const ARRIVAL_WINDOW_MS: u64 = COLD_WINDOW_MS + CONNECT_MS;

/// Longest time between giving out a permit for a cold target and sending its request, in
/// milliseconds. A sender drops a permit that is older.
pub const MAX_SEND_DELAY_MS: u64 = 60;

/// Time over which a cold target's budget rises to its full rate, in milliseconds.
pub const RISE_MS: u64 = 1_500;

/// Divisor of the full budget that yields the budget at the start of a target.
const FIRST_DIVISOR: u64 = 4;

/// Which start of a target a budget is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdStart {
    /// The target says that it is cold.
    Announced {
        /// Time of its start, in milliseconds since 1970.
        born: u64,
    },
    /// The target was warm when it was last known, and may have started again since.
    Suspected {
        /// Time of its last known start, in milliseconds since 1970.
        born: u64,
    },
}

/// Permit that was given out.
#[derive(Debug, Clone, Copy)]
struct GivenPermit {
    /// Time at which its request is sent, or later by [`MAX_SEND_DELAY_MS`] at most.
    sent_at: ClockTime,
    /// Time from which it no longer counts among the requests per second.
    counts_until: ClockTime,
}

/// Budget of one cold target.
#[derive(Debug, Clone)]
pub struct ColdBudget {
    start: ColdStart,
    per_window: u32,
    /// Time before which nothing is given out.
    from: ClockTime,
    /// Time from which the budget rises.
    rises_from: ClockTime,
    /// Permits that were given out, oldest first.
    given: VecDeque<GivenPermit>,
}

impl ColdBudget {
    /// Returns a budget that gives nothing out before `from`.
    pub fn new(now: ClockTime, start: ColdStart, per_s: u32, from: ClockTime) -> Self {
        Self {
            start,
            per_window: per_s,
            from,
            rises_from: now.max(from),
            given: VecDeque::new(),
        }
    }

    /// Changes the rate, and begins the rise anew if the target has started again. What was given out
    /// still counts.
    pub fn update(&mut self, now: ClockTime, start: ColdStart, per_s: u32, from: ClockTime) {
        self.per_window = per_s;
        if self.start != start {
            self.start = start;
            self.from = from;
            self.rises_from = now.max(from);
        }
    }

    /// Returns how many requests the target may get within a window now.
    fn allowance(&self, now: ClockTime) -> u32 {
        if now < self.from {
            return 0;
        }
        if matches!(self.start, ColdStart::Suspected { .. }) {
            return self.per_window;
        }
        let full = u64::from(self.per_window);
        let first = full / FIRST_DIVISOR;
        let risen_ms = now.since(self.rises_from).min(RISE_MS);
        (first + (full - first) * risen_ms / RISE_MS)
            .max(1)
            .min(full) as u32
    }

    /// Returns the most permits that may count among the requests per second, and the most within
    /// [`ARRIVAL_WINDOW_MS`].
    fn limits(&self, now: ClockTime) -> [u32; 2] {
        let allowance = self.allowance(now);
        // While the budget rises, a longer time allows no more.
        let arrivals = match allowance < self.per_window {
            true => allowance,
            false => (u64::from(allowance) * ARRIVAL_WINDOW_MS).div_ceil(1_000) as u32,
        };
        [allowance, arrivals]
    }

    /// Returns until when each permit counts against the two [limits](Self::limits), as far as it still
    /// does.
    fn counted(&self, now: ClockTime) -> [Vec<ClockTime>; 2] {
        let per_second = self.given.iter().map(|it| it.counts_until);
        let arrivals = self.given.iter().map(|it| it.sent_at + ARRIVAL_WINDOW_MS);
        [
            per_second.filter(|it| *it > now).collect(),
            arrivals.filter(|it| *it > now).collect(),
        ]
    }

    /// Returns the number of permits that are free now. If callers share the target, half of the budget
    /// is left to them.
    pub fn free(&self, now: ClockTime, has_callers: bool) -> u32 {
        let counted = self.counted(now);
        let limits = self.limits(now).into_iter().zip(&counted);
        let free = limits.map(|(most, counted)| {
            let callers_part = if has_callers { most / 2 } else { 0 };
            most.saturating_sub(callers_part + counted.len() as u32)
        });
        free.min().unwrap_or(0)
    }

    /// Deducts a request that is sent at `sent_at`. A caller's request counts for a shorter time.
    pub fn charge(&mut self, now: ClockTime, sent_at: ClockTime, is_callers: bool) {
        let is_past = |it: &GivenPermit| it.sent_at + ARRIVAL_WINDOW_MS <= now;
        while self.given.front().is_some_and(is_past) {
            self.given.pop_front();
        }
        let counts_ms = match is_callers {
            true => COLD_WINDOW_MS,
            false => ARRIVAL_WINDOW_MS,
        };
        self.given.push_back(GivenPermit {
            sent_at,
            counts_until: sent_at + counts_ms,
        });
    }

    /// Returns the time until a permit is free for a caller, in milliseconds, if the budget stays as it
    /// is.
    pub fn free_in_ms(&self, now: ClockTime) -> u64 {
        let limits = self.limits(now).into_iter().zip(self.counted(now));
        let frees = limits.map(|(most, mut counted)| {
            counted.sort_unstable();
            let excess = counted.len().checked_sub(most.max(1) as usize);
            excess.map_or(now, |it| counted[it])
        });
        let free_at = frees.chain([self.from, now + 1]).max();
        free_at.map_or(1, |it| it.since(now))
    }
}
