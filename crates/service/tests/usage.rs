//! Tests which usage windows a leader closes, and when.

use std::collections::BTreeMap;

use rstest::rstest;

use bergamotlane_service::usage::CalendarWindow;
use bergamotlane_service::usage::UsageSums;
use bergamotlane_service::usage::UsageTally;
use bergamotlane_service::usage::WindowCursor;

const WINDOW_MS: u64 = 5_000;
const DELAY_MS: u64 = 2_500;

/// Returns the calendar time in a window, this long after its begin.
fn at(window: u64, offset_ms: u64) -> CalendarWindow {
    CalendarWindow {
        now_ms: window * WINDOW_MS + offset_ms,
        window_ms: WINDOW_MS,
    }
}

fn tally_of(windows: &[u64]) -> UsageTally {
    let counts = BTreeMap::from([("mint".to_owned(), 2)]);
    let windows = windows.iter().map(|it| (*it, counts.clone())).collect();
    let mut tally = UsageTally::default();
    tally.merge(1, UsageSums { windows });
    tally
}

/// Returns the windows that are due at a time.
fn due(cursor: &mut WindowCursor, last_closed: Option<u64>, tally: &UsageTally) -> Vec<u64> {
    let take = || cursor.take_due(last_closed, tally, at(103, 3_000), DELAY_MS);
    std::iter::from_fn(take).collect()
}

/// Guards against windows that a new leader leaves out.
#[rstest]
#[case::after_the_last_closed_one(Some(99), &[], &[100, 101, 102])]
#[case::none_is_closed_but_some_have_counts(None, &[101, 102, 103], &[101, 102])]
#[case::nothing_is_known(None, &[], &[])]
#[case::all_are_closed(Some(102), &[101, 102, 103], &[])]
#[case::old_ones_are_skipped(Some(7), &[], &[91, 92, 93, 94, 95, 96, 97, 98, 99, 100, 101, 102])]
#[case::a_clock_that_is_ahead(None, &[104], &[])]
fn a_leader_closes_each_window_after_the_last_closed_one(
    #[case] last_closed: Option<u64>,
    #[case] counted: &[u64],
    #[case] expected: &[u64],
) {
    let tally = tally_of(counted);
    let mut cursor = WindowCursor::default();
    assert_eq!(due(&mut cursor, last_closed, &tally), expected);
    assert!(due(&mut cursor, last_closed, &tally).is_empty());
}

#[test]
fn a_window_is_closed_a_while_after_its_end() {
    let tally = UsageTally::default();
    let mut cursor = WindowCursor::default();
    let mut take = |calendar| cursor.take_due(Some(99), &tally, calendar, DELAY_MS);
    assert_eq!(take(at(101, DELAY_MS - 1)), None);
    assert_eq!(take(at(101, DELAY_MS)), Some(100));
    assert_eq!(take(at(101, DELAY_MS)), None);
}
