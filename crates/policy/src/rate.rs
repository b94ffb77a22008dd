//! Rate limits that overloaded targets advertise, and the token buckets that enforce them.
//!
//! Such a limit is global: it covers all senders of requests. One ledger, held by the leader, gives
//! out the permits for each limited target; a process that can't reach the leader falls back to a
//! ledger of its own with its share of the rate.

use std::collections::HashMap;

use bergamotlane_coordination::clock::ClockTime;

use crate::cold::ARRIVAL_WINDOW_MS;
use crate::cold::ColdBudget;
use crate::cold::ColdStart;

/// Time over which a target's unused permits add up, in seconds.
const BURST_S: f64 = 1.0;

/// Largest rate that a limit can name, in thousandths of a request per second.
const MAX_MILLI_PER_S: f64 = 1e12;

/// Rate of requests, in thousandths of a request per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestRate(pub u64);

impl RequestRate {
    /// Parses a decimal number of requests per second; returns `None` if it is none, negative or not
    /// finite.
    pub fn parse(text: &str) -> Option<Self> {
        let per_s: f64 = text.trim().parse().ok()?;
        let is_valid = per_s.is_finite() && per_s >= 0.0;
        is_valid.then(|| Self((per_s * 1_000.0).min(MAX_MILLI_PER_S) as u64))
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Returns an equal share of the rate for each of `count` processes.
    pub fn share(self, count: u32) -> Self {
        Self(self.0 / u64::from(count.max(1)))
    }
}

/// Claim of a request on a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitClaim {
    /// A caller waits for the request. It takes any permit that is free within this time, in
    /// milliseconds.
    Caller(u64),
    /// Nobody waits for the request itself, so it leaves half of the burst to callers.
    Background,
}

/// Answer to the question whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitReply {
    /// The request may be sent after this delay, in milliseconds.
    Granted(u64),
    /// The request must not be sent; a permit becomes free after this time, in milliseconds.
    Denied(u64),
}

/// Token bucket of one target. It starts empty, since others may just have sent requests.
#[derive(Debug, Clone)]
pub struct RateBucket {
    rate: RequestRate,
    tokens: f64,
    filled_at: ClockTime,
}

impl RateBucket {
    /// Returns an empty bucket that fills from `now` on.
    pub fn new(now: ClockTime, rate: RequestRate) -> Self {
        Self {
            rate,
            tokens: 0.0,
            filled_at: now,
        }
    }

    /// Sets the number of permits that the bucket holds.
    pub fn with_tokens(mut self, tokens: f64) -> Self {
        self.tokens = tokens;
        self
    }

    /// Changes the rate from `now` on.
    pub fn set_rate(&mut self, now: ClockTime, rate: RequestRate) {
        self.fill(now);
        self.rate = rate;
    }

    /// Returns the number of permits at `now`, negative after requests that were sent without
    /// asking.
    fn tokens_at(&self, now: ClockTime) -> f64 {
        let elapsed_s = now.since(self.filled_at) as f64 / 1_000.0;
        let capacity = 1.0 + self.rate.per_s() * BURST_S;
        (self.tokens + self.rate.per_s() * elapsed_s).min(capacity)
    }

    fn fill(&mut self, now: ClockTime) {
        self.tokens = self.tokens_at(now);
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns the number of permits that background requests leave to callers.
    fn callers_part(&self) -> f64 {
        self.rate.per_s() * BURST_S / 2.0
    }

    /// Takes a permit if the claim allows.
    pub fn reserve(&mut self, now: ClockTime, claim: PermitClaim) -> PermitReply {
        self.fill(now);
        let (max_wait_ms, needed) = match claim {
            PermitClaim::Caller(max_wait_ms) => (max_wait_ms, 1.0),
            PermitClaim::Background => (0, 1.0 + self.callers_part()),
        };
        let missing = (needed - self.tokens).max(0.0);
        let wait_ms = (missing * 1_000.0 / self.rate.per_s()).ceil() as u64;
        if missing > 0.0 && wait_ms > max_wait_ms {
            return PermitReply::Denied(wait_ms);
        }
        self.tokens -= 1.0;
        PermitReply::Granted(if missing > 0.0 { wait_ms } else { 0 })
    }

    /// Deducts a request that was sent without asking.
    pub fn charge(&mut self, now: ClockTime) {
        self.fill(now);
        self.tokens -= 1.0;
    }

    /// Returns the number of permits that are free now. If callers share the target, their part is
    /// left out.
    pub fn free(&self, now: ClockTime, has_callers: bool) -> u32 {
        let callers_part = if has_callers {
            self.callers_part()
        } else {
            0.0
        };
        (self.tokens_at(now) - callers_part).max(0.0) as u32
    }
}

/// Buckets of the targets that name a limit, and budgets of the cold ones, by target ID.
#[derive(Debug, Default)]
pub struct RateLedger {
    buckets: HashMap<String, RateBucket>,
    cold: HashMap<String, ColdBudget>,
    /// Time before which no announced cold target gets anything.
    cold_from: ClockTime,
}

impl RateLedger {
    /// Returns the ledger of a process that gives out permits from `now` on and doesn't know what
    /// another one gave out until then: cold targets get nothing for one window.
    pub fn of_new_owner(now: ClockTime) -> Self {
        Self {
            cold_from: now + ARRIVAL_WINDOW_MS,
            ..Self::default()
        }
    }

    /// Keeps a budget for a cold target that can take `per_s` requests a second.
    pub fn set_cold(&mut self, now: ClockTime, id: &str, start: ColdStart, per_s: u32) {
        let from = match start {
            ColdStart::Announced { .. } => self.cold_from,
            ColdStart::Suspected { .. } => ClockTime::default(),
        };
        match self.cold.get_mut(id) {
            Some(budget) => budget.update(now, start, per_s, from),
            None => {
                let budget = ColdBudget::new(now, start, per_s, from);
                self.cold.insert(id.to_owned(), budget);
            }
        }
    }

    /// Keeps the budgets of the targets for which `is_cold` returns true.
    pub fn retain_cold(&mut self, is_cold: impl Fn(&str) -> bool) {
        self.cold.retain(|id, _| is_cold(id));
    }

    /// Returns the number of requests that a cold target may get now, none if it has no budget. If
    /// callers share the target, their part is left out.
    pub fn cold_free(&self, now: ClockTime, id: &str, has_callers: bool) -> u32 {
        let budget = self.cold.get(id);
        budget.map_or(0, |it| it.free(now, has_callers))
    }

    /// Takes a permit for a request to a target that is cold, names a limit of `rate`, or both.
    pub fn reserve(
        &mut self,
        now: ClockTime,
        id: &str,
        rate: Option<RequestRate>,
        claim: PermitClaim,
    ) -> PermitReply {
        let has_callers = claim == PermitClaim::Background;
        if let Some(budget) = self.cold.get_mut(id)
            && budget.free(now, has_callers) == 0
        {
            return PermitReply::Denied(budget.free_in_ms(now));
        }
        let reply = match rate {
            Some(rate) => self.bucket(now, id, rate).reserve(now, claim),
            None => PermitReply::Granted(0),
        };
        if let (PermitReply::Granted(wait_ms), Some(budget)) = (reply, self.cold.get_mut(id)) {
            budget.charge(now, now + wait_ms, !has_callers);
        }
        reply
    }

    /// Returns the bucket of a target with the rate that it names now.
    pub fn bucket(&mut self, now: ClockTime, id: &str, rate: RequestRate) -> &mut RateBucket {
        self.bucket_with(now, id, rate, 0.0)
    }

    /// Returns the bucket of a target, which holds `tokens` permits if it is new.
    pub fn bucket_with(
        &mut self,
        now: ClockTime,
        id: &str,
        rate: RequestRate,
        tokens: f64,
    ) -> &mut RateBucket {
        if !self.buckets.contains_key(id) {
            let bucket = RateBucket::new(now, rate).with_tokens(tokens);
            self.buckets.insert(id.to_owned(), bucket);
        }
        let bucket = self.buckets.get_mut(id).expect("the bucket exists");
        if bucket.rate != rate {
            bucket.set_rate(now, rate);
        }
        bucket
    }

    /// Deducts a request to a target that was sent without asking, if the target has a bucket or a
    /// budget.
    pub fn charge(&mut self, now: ClockTime, id: &str) {
        if let Some(budget) = self.cold.get_mut(id) {
            budget.charge(now, now, false);
        }
        if let Some(bucket) = self.buckets.get_mut(id) {
            bucket.charge(now);
        }
    }

    /// Returns the number of permits for a target that are free now; none if it has no bucket. If
    /// callers share the target, their part is left out.
    pub fn free(&self, now: ClockTime, id: &str, has_callers: bool) -> u32 {
        let bucket = self.buckets.get(id);
        bucket.map_or(0, |it| it.free(now, has_callers))
    }

    /// Drops the bucket of a target.
    pub fn remove(&mut self, id: &str) {
        self.buckets.remove(id);
    }

    /// Keeps the buckets of the targets for which `is_limited` returns true.
    pub fn retain(&mut self, is_limited: impl Fn(&str) -> bool) {
        self.buckets.retain(|id, _| is_limited(id));
    }
}
