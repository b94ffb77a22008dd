//! Permits for requests to targets that name a limit on the rate of their requests, or are cold.
//!
//! The leader gives out the permits, so that all processes together stay within the limit. A process
//! that gets no answer from the leader spends only its share of a named limit, and sends nothing to a
//! cold target.

use std::sync::Mutex;
use std::sync::PoisonError;

use crate::frames::LeaderCall;
use crate::frames::LeaderReply;
use crate::leader_client::LeaderClient;
use crate::metrics::METRICS;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::cold::MAX_SEND_DELAY_MS;
use bergamotlane_policy::rate::PermitClaim;
use bergamotlane_policy::rate::PermitReply;
use bergamotlane_policy::rate::RateLedger;
use bergamotlane_policy::rate::RequestRate;
use bergamotlane_storage::clock::now;

/// Longest wait for the leader's answer, in milliseconds.
const ANSWER_LIMIT_MS: u64 = 60;

/// Time after which the leader is asked again for a permit for a cold target if it gave no answer, in
/// milliseconds.
const COLD_RETRY_MS: u64 = 100;

/// Time limit for a report of a named limit, in milliseconds.
const REPORT_LIMIT_MS: u64 = 2_000;

/// Shortest time after which a caller without a permit should return, in milliseconds.
const MIN_RETURN_MS: u64 = 50;

/// Longest time after which a caller without a permit should return, in milliseconds, before it is
/// spread.
const MAX_RETURN_MS: u64 = 5_000;

/// Returns the time after which a caller should return if a permit becomes free in `free_in_ms`,
/// both in milliseconds. Up to as much is added, so that callers don't all return at once.
pub fn return_ms(free_in_ms: u64) -> u64 {
    let wait_ms = free_in_ms.clamp(MIN_RETURN_MS, MAX_RETURN_MS);
    wait_ms + rand::random_range(0..=wait_ms)
}

/// Request for a permit.
#[derive(Debug, Clone, Copy)]
pub struct PermitQuery<'a> {
    /// ID of the target.
    pub target: &'a str,
    /// Limit that the target names, if any.
    pub rate: Option<RequestRate>,
    /// Whether the target is cold.
    pub is_cold: bool,
    /// Claim of the request.
    pub claim: PermitClaim,
    /// Number of processes that share the limit while the leader can't be asked.
    pub sharers: u32,
}

/// Gets permits from the leader, and tells it which limits targets name.
#[derive(Debug)]
pub struct PermitClient {
    leader: LeaderClient,
    /// Shares of the limits that this process spends without the leader.
    shares: Mutex<RateLedger>,
}

impl PermitClient {
    /// Returns a client that asks the leader through `leader`.
    pub fn new(leader: LeaderClient) -> Self {
        Self {
            leader,
            shares: Mutex::default(),
        }
    }

    /// Asks whether a request may be sent to a target that names a limit or is cold.
    pub async fn acquire(&self, query: PermitQuery<'_>) -> PermitReply {
        let call = LeaderCall::Permit {
            target: query.target.to_owned(),
            rate: query.rate.map_or(0, |it| it.0),
            max_wait_ms: match query.claim {
                PermitClaim::Caller(max_wait_ms) => Some(max_wait_ms),
                PermitClaim::Background => None,
            },
            is_cold: query.is_cold,
        };
        let asked_at = now();
        let answer = self.leader.call(call, asked_at + ANSWER_LIMIT_MS).await;
        let is_recent = now().since(asked_at) <= MAX_SEND_DELAY_MS;
        let mut shares = self.shares.lock().unwrap_or_else(PoisonError::into_inner);
        let (reply, source) = match answer {
            Ok(LeaderReply::ColdPermit(wait_ms)) if is_recent => {
                (PermitReply::Granted(wait_ms), "leader")
            }
            Ok(LeaderReply::Permit(wait_ms)) if !query.is_cold => {
                shares.remove(query.target);
                (PermitReply::Granted(wait_ms), "leader")
            }
            Ok(LeaderReply::NoPermit(free_in_ms)) => {
                shares.remove(query.target);
                (PermitReply::Denied(free_in_ms), "leader")
            }
            // What others send to a cold target isn't known.
            _ if query.is_cold => (PermitReply::Denied(COLD_RETRY_MS), "none"),
            _ => (acquire_share(&mut shares, now(), query), "share"),
        };
        let outcome = match reply {
            PermitReply::Granted(_) => "granted",
            PermitReply::Denied(_) => "denied",
        };
        let labels = [outcome, source];
        METRICS.permits.with_label_values(&labels).inc();
        reply
    }

    /// Tells the leader which limit a target names, or that it no longer names any, in its answer to
    /// a request that was sent at `sent_at`.
    pub fn report(&self, target: &str, rate: Option<RequestRate>, sent_at: ClockTime) {
        let call = LeaderCall::NameLimit {
            target: target.to_owned(),
            rate: rate.map(|it| it.0),
            age_ms: now().since(sent_at),
        };
        let leader = self.leader.clone();
        tokio::spawn(async move {
            // Without an answer, the next request that meets the limit reports it again.
            leader.call(call, now() + REPORT_LIMIT_MS).await.ok();
        });
    }
}

/// Takes a permit from this process's share of a limit. A new share starts anywhere between empty
/// and one permit, so that the processes don't all send their first requests at once.
fn acquire_share(shares: &mut RateLedger, now: ClockTime, query: PermitQuery<'_>) -> PermitReply {
    let Some(rate) = query.rate.map(|it| it.share(query.sharers)) else {
        return PermitReply::Granted(0);
    };
    let tokens = rand::random::<f64>();
    let bucket = shares.bucket_with(now, query.target, rate, tokens);
    bucket.reserve(now, query.claim)
}
