//! Tests the budget of cold targets: the window, the slow start, and the first window of a new owner.

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::cold::ARRIVAL_WINDOW_MS;
use bergamotlane_policy::cold::COLD_WINDOW_MS;
use bergamotlane_policy::cold::ColdStart;
use bergamotlane_policy::cold::RISE_MS;
use bergamotlane_policy::rate::PermitClaim;
use bergamotlane_policy::rate::PermitReply;
use bergamotlane_policy::rate::RateLedger;
use bergamotlane_policy::rate::RequestRate;

const START: ClockTime = ClockTime(100_000);

const PER_S: u32 = 14;

fn announced(born: u64) -> ColdStart {
    ColdStart::Announced { born }
}

/// Takes as many permits as there are and returns their number.
fn take_all(ledger: &mut RateLedger, now: ClockTime, claim: PermitClaim) -> u32 {
    let mut taken = 0;
    while matches!(
        ledger.reserve(now, "x", None, claim),
        PermitReply::Granted(_)
    ) {
        taken += 1;
    }
    taken
}

/// Guards against a target that gets its full rate at once when it comes back, so that it crashes
/// again and again.
#[test]
fn a_cold_target_begins_with_a_quarter_of_its_rate_and_rises_also_when_it_starts_again() {
    let mut ledger = RateLedger::default();
    ledger.set_cold(START, "x", announced(1), PER_S);
    assert_eq!(take_all(&mut ledger, START, PermitClaim::Caller(0)), 3);
    let mut taken = Vec::new();
    for step in 1..=RISE_MS / 10 {
        let now = START + step * 10;
        for _ in 0..take_all(&mut ledger, now, PermitClaim::Caller(0)) {
            taken.push(step * 10);
        }
    }
    let by = |limit_ms: u64| taken.iter().filter(|it| **it < limit_ms).count();
    assert!(by(RISE_MS / 3) <= 4, "{taken:?}");
    assert!((9..=14).contains(&by(RISE_MS)), "{taken:?}");

    let again = START + 5_000;
    ledger.set_cold(again, "x", announced(2), PER_S);
    assert_eq!(take_all(&mut ledger, again, PermitClaim::Caller(0)), 3);
}

/// Guards against a restart that ends the count of what the target has just been given.
#[test]
fn what_was_given_out_counts_after_a_restart_of_the_target() {
    let mut ledger = RateLedger::default();
    ledger.set_cold(START, "x", announced(1), PER_S);
    let late = START + 10_000;
    assert_eq!(take_all(&mut ledger, late, PermitClaim::Caller(0)), PER_S);
    ledger.set_cold(late + 100, "x", announced(2), PER_S);
    let soon = late + ARRIVAL_WINDOW_MS - 1;
    assert_eq!(take_all(&mut ledger, soon, PermitClaim::Caller(0)), 0);
}

/// Guards against two bursts that arrive as one: whatever the connections take, no second has more
/// requests than the rate allows for the time in which they were given out.
#[test]
fn a_second_burst_waits_for_the_connections_of_the_first() {
    let mut ledger = RateLedger::default();
    ledger.set_cold(START, "x", announced(1), PER_S);
    let first = START + 10_000;
    assert_eq!(take_all(&mut ledger, first, PermitClaim::Caller(0)), PER_S);
    let second = first + COLD_WINDOW_MS;
    let left = PER_S * ARRIVAL_WINDOW_MS as u32 / 1_000 + 1 - PER_S;
    assert_eq!(take_all(&mut ledger, second, PermitClaim::Caller(0)), left);
    let third = first + ARRIVAL_WINDOW_MS;
    let taken = take_all(&mut ledger, third, PermitClaim::Caller(0));
    assert_eq!(taken, PER_S - left);
}

/// Guards against a refusal that names a later time than the one at which a permit is free.
#[test]
fn a_refusal_names_the_time_at_which_a_permit_is_free() {
    let mut ledger = RateLedger::default();
    ledger.set_cold(START, "x", announced(1), 2);
    let times = [10_000, 10_400];
    for time in times {
        let reply = ledger.reserve(START + time, "x", None, PermitClaim::Caller(0));
        assert_eq!(reply, PermitReply::Granted(0));
    }
    let now = START + 10_500;
    let reply = ledger.reserve(now, "x", None, PermitClaim::Caller(0));
    let wait_ms = COLD_WINDOW_MS - 500;
    assert_eq!(reply, PermitReply::Denied(wait_ms));
    let earlier = ledger.reserve(now + wait_ms - 1, "x", None, PermitClaim::Caller(0));
    assert!(matches!(earlier, PermitReply::Denied(_)), "{earlier:?}");
    let reply = ledger.reserve(now + wait_ms, "x", None, PermitClaim::Caller(0));
    assert_eq!(reply, PermitReply::Granted(0));
}

/// Guards against runs that leave nothing to callers, and against a wait where a refusal is due.
#[test]
fn runs_leave_half_to_callers_and_a_refusal_comes_at_once() {
    let mut ledger = RateLedger::default();
    ledger.set_cold(START, "x", announced(1), PER_S);
    let now = START + 10_000;
    assert_eq!(ledger.cold_free(now, "x", true), 7);
    assert_eq!(ledger.cold_free(now, "x", false), 14);
    assert_eq!(take_all(&mut ledger, now, PermitClaim::Background), 7);
    assert_eq!(take_all(&mut ledger, now, PermitClaim::Caller(0)), 7);
    let reply = ledger.reserve(now, "x", None, PermitClaim::Caller(10_000));
    assert!(matches!(reply, PermitReply::Denied(1..)), "{reply:?}");
}

/// Guards against a new owner that adds its budget to what the owner before gave out within the same
/// second.
#[test]
fn a_new_owner_gives_nothing_to_a_cold_target_for_one_window() {
    let mut ledger = RateLedger::of_new_owner(START);
    ledger.set_cold(START, "x", announced(1), PER_S);
    let last = START + ARRIVAL_WINDOW_MS - 1;
    assert_eq!(take_all(&mut ledger, last, PermitClaim::Caller(0)), 0);
    assert_eq!(take_all(&mut ledger, last + 1, PermitClaim::Caller(0)), 3);
}

/// Guards against a target that is cold and names a limit as well, and gets more than either allows.
#[test]
fn a_cold_target_that_names_a_limit_keeps_both() {
    let mut ledger = RateLedger::default();
    let rate = Some(RequestRate(2_000));
    ledger.set_cold(START, "x", announced(1), PER_S);
    ledger.bucket(START, "x", RequestRate(2_000));
    let now = START + 10_000;
    let mut granted = 0;
    for _ in 0..20 {
        let reply = ledger.reserve(now, "x", rate, PermitClaim::Caller(0));
        granted += u32::from(matches!(reply, PermitReply::Granted(_)));
    }
    assert_eq!(granted, 3, "a second's permits and one");
    // What the limit denied doesn't count for the cold target.
    assert_eq!(ledger.cold_free(now, "x", false), PER_S - 3);
}

/// Guards against a target whose budget is unknown and that gets requests all the same.
#[test]
fn a_target_without_a_budget_has_no_permits_for_runs() {
    let ledger = RateLedger::default();
    assert_eq!(ledger.cold_free(START, "x", false), 0);
}
