//! Tests of the quarantine of requests under which targets crash.

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::suspect::RequestDigest;
use bergamotlane_policy::suspect::SuspectTable;
use bergamotlane_policy::suspect::TargetStart;

const START: ClockTime = ClockTime(100_000);

/// Number of crashes after which the request must be stopped.
const MAX_CRASHES: usize = 3;

/// Most tries that may be sent after that.
const MAX_LATE: usize = 3;

fn digest(number: u32) -> RequestDigest {
    RequestDigest::of(&[b"mint", b"POST", b"desk.example", &number.to_le_bytes()])
}

fn target(number: u64) -> TargetStart {
    TargetStart {
        id: "t".to_owned(),
        born: number,
    }
}

/// Guards against two requests that count as one because their parts join to the same bytes.
#[test]
fn digests_keep_the_parts_of_a_request_apart() {
    assert_eq!(digest(1), digest(1));
    assert_ne!(digest(1), digest(2));
    let (left, right): (&[&[u8]], &[&[u8]]) = (&[b"ab", b"c"], &[b"a", b"bc"]);
    assert_ne!(RequestDigest::of(left), RequestDigest::of(right));
}

/// Guards against a request that comes for an hour, twice a second, and crashes each target that
/// runs it: after the third crash it is sent three times more at most.
#[test]
fn a_request_that_always_crashes_its_target_is_nearly_never_sent() {
    let mut table = SuspectTable::default();
    let mut sent = 0;
    for time in (0..3_600_000).step_by(500) {
        let now = START + time;
        table.expire(now);
        if table.quarantine_left_ms(now, digest(1)).is_none() {
            sent += 1;
            table.record_crash(now + 80, digest(1), target(time));
        }
    }
    assert!(sent <= MAX_CRASHES + MAX_LATE, "{sent}");
}

/// Guards against quarantine of a request that was merely running when its target crashed.
#[test]
fn one_crash_is_no_reason_to_refuse_and_an_answer_clears() {
    let mut table = SuspectTable::default();
    assert_eq!(table.record_crash(START, digest(1), target(1)), 1);
    assert_eq!(table.record_crash(START + 5, digest(1), target(1)), 1);
    assert_eq!(table.quarantine_left_ms(START + 10, digest(1)), None);
    assert!(table.clear(digest(1)));
    assert!(table.is_empty());
    table.record_crash(START + 20, digest(1), target(2));
    assert_eq!(table.quarantine_left_ms(START + 30, digest(1)), None);
}

/// Guards against an entry that forgets what the leader knows, or keeps what the leader has cleared,
/// and against an entry's own crash that is lost before the leader hears of it.
#[test]
fn entries_follow_the_leader_but_keep_their_latest_crashes() {
    let mut leader = SuspectTable::default();
    leader.record_crash(START, digest(1), target(1));
    leader.record_crash(START + 10, digest(1), target(2));
    let mut entry = SuspectTable::default();
    entry.record_crash(START, digest(2), target(3));
    entry.replace(START + 100, &leader.reports(START + 100), 10_000);
    assert!(entry.quarantine_left_ms(START + 100, digest(1)).is_some());
    assert!(entry.contains(digest(2)));

    leader.clear(digest(1));
    entry.replace(START + 60_000, &leader.reports(START + 60_000), 10_000);
    assert!(entry.is_empty());
}

/// Guards against memory that grows with each crash.
#[test]
fn the_number_of_suspects_is_bounded() {
    let mut table = SuspectTable::default();
    for number in 0..5_000 {
        table.record_crash(START + u64::from(number), digest(number), target(1));
    }
    assert_eq!(table.reports(START + 5_000).len(), 512);
    assert!(table.contains(digest(4_999)));
    assert!(table.expire(START + 1_000_000));
    assert!(table.is_empty());
}
