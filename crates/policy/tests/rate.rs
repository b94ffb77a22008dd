//! Tests of the permits for targets that name a limit.

use proptest::prelude::*;
use rstest::rstest;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::PermitClaim;
use bergamotlane_policy::rate::PermitReply;
use bergamotlane_policy::rate::RateBucket;
use bergamotlane_policy::rate::RateLedger;
use bergamotlane_policy::rate::RequestRate;

/// Length of the windows in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Returns the largest number of times within a window.
fn busiest_window(times: &[u64]) -> usize {
    let counts = times.iter().enumerate().map(|(index, start)| {
        let later = times[index..].iter();
        later.filter(|it| **it < start + WINDOW_MS).count()
    });
    counts.max().unwrap_or(0)
}

#[rstest]
#[case("2.5", Some(2_500))]
#[case(" 1 ", Some(1_000))]
#[case("0", Some(0))]
#[case("1e99", Some(1_000_000_000_000))]
#[case("-1", None)]
#[case("NaN", None)]
#[case("inf", None)]
#[case("", None)]
#[case("2,5", None)]
fn limits_are_decimal_numbers(#[case] text: &str, #[case] rate: Option<u64>) {
    assert_eq!(RequestRate::parse(text), rate.map(RequestRate));
}

#[test]
fn a_target_that_takes_nothing_gets_nothing() {
    let mut bucket = RateBucket::new(ClockTime(0), RequestRate(0));
    let reply = bucket.reserve(ClockTime(100_000), PermitClaim::Caller(10_000));
    assert_eq!(reply, PermitReply::Denied(u64::MAX));
}

proptest! {
    /// Guards against pauses, bursts and waits that add up to more than a target takes: all permits of
    /// a window stay under one and a half times its limit and five.
    #[test]
    fn any_window_stays_within_the_limit(
        rate in 100_u64..50_000,
        bursts in prop::collection::vec((0_u64..6_000, 1_usize..200, 0_u64..300), 1..40),
    ) {
        let mut ledger = RateLedger::default();
        let mut time = 0;
        let mut sent = Vec::new();
        let asks = bursts.iter().flat_map(|(pause_ms, count, max_wait_ms)| {
            let next = (0..*count).map(|index| if index == 0 { *pause_ms } else { 1 });
            next.map(move |pause_ms| (pause_ms, *max_wait_ms))
        });
        for (pause_ms, max_wait_ms) in asks {
            time += pause_ms;
            let bucket = ledger.bucket(ClockTime(time), "t", RequestRate(rate));
            if let PermitReply::Granted(wait_ms) = bucket.reserve(ClockTime(time), PermitClaim::Caller(max_wait_ms)) {
                prop_assert!(wait_ms <= max_wait_ms);
                sent.push(time + wait_ms);
            }
        }
        sent.sort_unstable();
        let allowed = 1.5 * RequestRate(rate).per_s() * WINDOW_MS as f64 / 1_000.0 + 5.0;
        prop_assert!(busiest_window(&sent) as f64 <= allowed);
    }

    /// Guards against a fleet whose processes all spend their first permit at once when no leader
    /// can be asked.
    #[test]
    fn shares_of_many_processes_stay_within_the_limit(
        rate in 1_000_u64..20_000,
        count in 1_u32..250,
    ) {
        let share = RequestRate(rate).share(count);
        let mut sent = Vec::new();
        for index in 0..count {
            let tokens = f64::from(index) / f64::from(count);
            let mut bucket = RateBucket::new(ClockTime(0), share).with_tokens(tokens);
            for time in (0..20_000).step_by(50) {
                if bucket.reserve(ClockTime(time), PermitClaim::Caller(0)) == PermitReply::Granted(0) {
                    sent.push(time);
                }
            }
        }
        sent.sort_unstable();
        let allowed = 1.5 * RequestRate(rate).per_s() * WINDOW_MS as f64 / 1_000.0 + 5.0;
        prop_assert!(busiest_window(&sent) as f64 <= allowed);
    }
}

/// Guards against callers that are refused although the target would take them: a steady load
/// above the limit gets nearly all that the limit allows.
#[test]
fn a_load_above_the_limit_gets_what_the_limit_allows() {
    let mut bucket = RateBucket::new(ClockTime(0), RequestRate(2_000));
    let replies = (0..20_000)
        .step_by(100)
        .map(|time| bucket.reserve(ClockTime(time), PermitClaim::Caller(75)));
    let granted = replies
        .filter(|it| matches!(it, PermitReply::Granted(_)))
        .count();
    assert!((38..=41).contains(&granted), "{granted}");
}

#[test]
fn requests_that_were_sent_without_asking_are_deducted() {
    let mut ledger = RateLedger::default();
    let rate = RequestRate(1_000);
    ledger.bucket(ClockTime(0), "t", rate);
    ledger.charge(ClockTime(1_000), "t");
    assert_eq!(
        ledger
            .bucket(ClockTime(1_500), "t", rate)
            .free(ClockTime(1_500), false),
        0
    );
    assert_eq!(
        ledger
            .bucket(ClockTime(2_500), "t", rate)
            .free(ClockTime(2_500), false),
        1
    );
}
