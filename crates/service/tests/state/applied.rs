//! Tests the replicated state: plan versions, idempotent submissions, results at fixed
//! positions, closed usage windows and the encoding of commands in the log.

use std::collections::BTreeMap;

use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;

use crate::support::inline;
use crate::support::list;
use crate::support::plan;
use crate::support::resolved;
use crate::support::result;
use crate::support::reward;
use crate::support::submission;
use crate::support::submit;
use crate::support::submit_scored;
use bergamotlane_service::jobs::ItemFault;
use bergamotlane_service::jobs::ItemResult;
use bergamotlane_service::jobs::RewardCall;
use bergamotlane_service::payload::decode_command;
use bergamotlane_service::payload::encode_command;
use bergamotlane_service::state::ServiceState;
use bergamotlane_service::state::StateCommand;
use bergamotlane_service::usage::UsageSums;
use bergamotlane_service::usage::UsageTally;

#[rstest]
#[case::higher(8, "new")]
#[case::equal_with_other_document(7, "old")]
#[case::lower(6, "old")]
fn the_plan_with_the_highest_version_is_in_force(#[case] version: u64, #[case] expected: &str) {
    let mut state = ServiceState::default();
    state.apply(1, plan(7, "old"));
    state.apply(2, plan(version, "new"));
    assert_eq!(state.plan.unwrap().document, expected);
}

/// Guards against an evacuation, or its end, that is confirmed because it is in force while the other one,
/// proposed before it, is still to be applied and undoes it.
#[rstest]
#[case::plan_of_this_version(plan(7, "same"), true)]
#[case::earlier_plan(plan(6, "earlier"), true)]
#[case::later_plan(plan(8, "later"), false)]
#[case::named_version(name_version(3), true)]
#[case::newer_version(name_version(4), false)]
#[case::retirement(StateCommand::Retire("store-1".to_owned()), true)]
#[case::other_retirement(StateCommand::Retire("store-2".to_owned()), false)]
#[case::evacuation_in_force(StateCommand::Evacuate("a".to_owned()), false)]
#[case::end_of_no_evacuation(StateCommand::Restore("b".to_owned()), false)]
fn only_what_no_later_entry_undoes_is_confirmed_without_an_entry(
    #[case] command: StateCommand,
    #[case] expected: bool,
) {
    let mut state = ServiceState::default();
    let before = [
        plan(7, "same"),
        name_version(3),
        StateCommand::Retire("store-1".to_owned()),
        StateCommand::Evacuate("a".to_owned()),
    ];
    for (index, command) in (1..).zip(before) {
        state.apply(index, command);
    }
    assert_eq!(state.has_for_good(&command), expected);
}

fn name_version(version: u64) -> StateCommand {
    StateCommand::NameVersion {
        model: "m".to_owned(),
        version,
    }
}

#[test]
fn a_repeated_submission_changes_nothing() {
    let mut state = ServiceState::default();
    state.apply(1, submit("j", 2));
    state.apply(
        2,
        StateCommand::List(vec![("j".to_owned(), result(1, "t"))]),
    );
    let before = state.jobs.clone();
    state.apply(3, submit("j", 5));
    assert_eq!(state.jobs, before);
}

#[test]
fn the_first_result_of_an_item_is_kept_at_its_position() {
    let mut state = ServiceState::default();
    state.apply(1, submit("j", 3));
    for (index, (item, text)) in [(2, "c"), (0, "a"), (2, "other")].iter().enumerate() {
        let results = vec![("j".to_owned(), result(*item, text))];
        state.apply(2 + index as u64, StateCommand::List(results));
    }
    let job = state.jobs.get("j").unwrap();
    let listed: Vec<(u32, &[u8])> = job
        .results
        .iter()
        .map(|result| (result.item, inline(&result.text)))
        .collect();
    assert_eq!(listed, [(2, b"c".as_slice()), (0, b"a".as_slice())]);
    assert!(job.is_open(1) && !job.is_open(2));
}

#[test]
fn an_ended_job_keeps_its_results_and_accepts_no_more() {
    let mut state = ServiceState::default();
    state.apply(1, submit("j", 2));
    state.apply(
        2,
        StateCommand::List(vec![("j".to_owned(), result(0, "a"))]),
    );
    state.apply(3, StateCommand::EndJob("j".to_owned()));
    state.apply(
        4,
        StateCommand::List(vec![("j".to_owned(), result(1, "b"))]),
    );
    let job = state.jobs.get("j").unwrap();
    assert_eq!(job.results.len(), 1);
    assert!(job.ended && job.is_settled());
}

#[test]
fn a_finished_text_is_found_only_for_its_customer_and_allowed_versions() {
    let mut state = ServiceState::default();
    state.apply(1, submit("j", 2));
    state.apply(
        2,
        StateCommand::List(vec![("j".to_owned(), result(0, "a"))]),
    );
    let item = &submission("later", 1).items[0];
    let found = |customer: &str, min_version| {
        state
            .jobs
            .finished(Some(customer), item, min_version)
            .map(|result| result.text.clone())
    };
    assert_eq!(found("mint", 1), Some(Bytes::from_static(b"a").into()));
    assert_eq!(found("mint", 2), None);
    assert_eq!(found("ridge", 1), None);
}

/// Guards against a score that belongs to another reward call than the one of the later job.
#[test]
fn a_scored_result_is_found_only_for_the_same_reward_call() {
    let mut state = ServiceState::default();
    let mut first = submission("j", 1);
    first.items[0].reward = Some(reward("score-1"));
    state.apply(1, StateCommand::Submit(Box::new(first)));
    let scored = ItemResult {
        score: Some("stamp".to_owned()),
        fault: None,
        ..result(0, "a")
    };
    state.apply(2, StateCommand::List(vec![("j".to_owned(), scored)]));
    let found = |reward: Option<RewardCall>| {
        let mut item = submission("later", 1).items.remove(0);
        item.reward = reward;
        let result = state.jobs.finished(Some("mint"), &item, 1);
        result.and_then(|it| it.score.clone())
    };
    assert_eq!(found(Some(reward("score-1"))).as_deref(), Some("stamp"));
    assert_eq!(found(Some(reward("score-2"))), None);
    assert_eq!(found(None), None);
}

/// Guards against an item that runs again in job after job although it can't succeed.
#[rstest]
#[case::rejected_once(&[ItemFault::Rejected], Some(ItemFault::Rejected))]
#[case::failed_in_two_jobs(&[ItemFault::Failed; 2], None)]
#[case::failed_in_three_jobs(&[ItemFault::Failed; 3], Some(ItemFault::Failed))]
#[case::no_fault(&[], None)]
fn a_fault_of_an_item_lasts_over_jobs(
    #[case] faults: &[ItemFault],
    #[case] expected: Option<ItemFault>,
) {
    let mut state = ServiceState::default();
    let mut index = 0;
    let mut apply = |command| {
        index += 1;
        state.apply(index, command);
    };
    apply(submit("given up", 2));
    apply(list("given up", vec![ItemResult::terminated(0)]));
    for (number, fault) in faults.iter().enumerate() {
        let job = format!("job-{number}");
        apply(submit(&job, 2));
        apply(list(&job, vec![ItemResult::faulty(0, *fault)]));
    }
    assert_eq!(state.jobs.lasting_fault(Some("mint"), "i0"), expected);
    assert_eq!(state.jobs.lasting_fault(Some("mint"), "i1"), None);
    assert_eq!(state.jobs.lasting_fault(Some("ridge"), "i0"), None);
}

#[test]
fn the_first_counts_of_a_closed_window_are_kept() {
    let mut state = ServiceState::default();
    let close = |count| StateCommand::CloseWindow {
        window: 9,
        counts: BTreeMap::from([("mint".to_owned(), count)]),
    };
    state.apply(1, close(4));
    state.apply(2, StateCommand::WindowReported(9));
    state.apply(3, close(5));
    let record = &state.windows[&9];
    assert_eq!((record.counts["mint"], record.reported), (4, true));
}

#[test]
fn repeated_cumulative_counts_of_a_process_are_counted_once() {
    let mut sums = UsageSums::default();
    sums.count(3, "mint");
    let mut tally = UsageTally::default();
    tally.merge(1, sums.clone());
    sums.count(3, "mint");
    tally.merge(1, sums.clone());
    tally.merge(1, sums.clone());
    tally.merge(2, sums);
    assert_eq!(tally.total(3)["mint"], 4);
}

#[test]
fn a_leaving_target_is_recorded_for_its_latest_start() {
    let mut state = ServiceState::default();
    let leave = |born, departed| StateCommand::LeaveTarget {
        id: "x".to_owned(),
        born,
        departed,
        follows: false,
        unserved: false,
        any_start: false,
    };
    state.apply(1, leave(10, false));
    assert!(state.is_leaving("x", 10, false) && !state.is_leaving("x", 10, true));
    assert!(!state.is_leaving("x", 11, false));
    state.apply(2, leave(10, true));
    state.apply(3, leave(9, false));
    assert!(state.is_leaving("x", 10, true));
    for number in 0..2_000 {
        let id = format!("t{number}");
        let leave = StateCommand::LeaveTarget {
            id,
            born: 1,
            departed: true,
            follows: false,
            unserved: false,
            any_start: false,
        };
        state.apply(4 + number, leave);
    }
    assert!(state.leaving.len() <= 1_024 && state.is_leaving("t1999", 1, true));
}

#[rstest]
#[case(submit("j", 3))]
#[case(submit_scored("j"))]
#[case(plan(2, "{\"version\":2}"))]
#[case(StateCommand::List(vec![("j".to_owned(), result(0, "a")), ("j".to_owned(), result(1, ""))]))]
#[case(StateCommand::Evacuate("a".to_owned()))]
fn a_command_round_trips_through_its_log_encoding(#[case] command: StateCommand) {
    let bytes = encode_command(&command).unwrap();
    let decoded = decode_command(7, &bytes).unwrap();
    assert_eq!(resolved(decoded, 7, &bytes), command);
}

#[test]
fn a_truncated_command_is_rejected() {
    let bytes = encode_command(&submit("j", 3)).unwrap();
    for length in 0..bytes.len() {
        assert!(
            decode_command(7, &bytes.slice(..length)).is_err(),
            "the first {length} bytes were accepted as a command"
        );
    }
}

proptest! {
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        // The result doesn't matter: some byte strings are valid commands.
        let _ = decode_command(7, &Bytes::from(bytes));
    }
}
