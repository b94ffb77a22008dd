//! Tests how an instance tells the loss of its own path from targets that are down.

use proptest::prelude::*;
use rstest::rstest;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::reach::ReachTable;

const START: ClockTime = ClockTime(60_000);

/// Guards against one target that is down, or two that failed long apart, that pass for a lost path;
/// and against a lost path with a single target that goes unnoticed.
#[rstest]
#[case::one_of_many(3, &[(0, "x"), (100, "x"), (200, "x")], false)]
#[case::two_of_many(3, &[(0, "x"), (100, "y")], true)]
#[case::long_apart(3, &[(0, "x"), (6_000, "y")], false)]
#[case::only_target(1, &[(0, "x")], true)]
#[case::no_target_known(0, &[(0, "x")], true)]
fn the_path_is_lost_once_two_targets_cannot_be_reached(
    #[case] known: usize,
    #[case] failures: &[(u64, &str)],
    #[case] expected: bool,
) {
    let mut table = ReachTable::default();
    for (after_ms, target) in failures {
        table.record_failure(START + *after_ms, target, known);
    }
    assert_eq!(table.is_lost(), expected);
}

/// Guards against a path that stays lost after a target has answered.
#[test]
fn one_answer_ends_a_lost_path() {
    let mut table = ReachTable::default();
    table.record_failure(START, "x", 3);
    table.record_failure(START, "y", 3);
    table.record_success();
    assert!(!table.is_lost());
    table.record_failure(START + 1, "x", 3);
    assert!(!table.is_lost());
}

proptest! {
    /// Guards against a lost path while a target has answered after all but one of the failures.
    #[test]
    fn a_path_is_lost_only_by_two_targets_since_the_last_answer(
        steps in proptest::collection::vec(proptest::option::of(0_u8..4), 1..60)
    ) {
        let mut table = ReachTable::default();
        let mut failed = std::collections::BTreeSet::new();
        for (step, target) in steps.into_iter().enumerate() {
            match target {
                Some(target) => {
                    table.record_failure(START + step as u64, &target.to_string(), 4);
                    failed.insert(target);
                }
                None => {
                    table.record_success();
                    failed.clear();
                }
            }
            prop_assert_eq!(table.is_lost(), failed.len() >= 2);
        }
    }
}
