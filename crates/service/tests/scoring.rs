//! Tests the queue of reward calls: deadline order within a service's slots, failed calls, items
//! that are given up, and the share of callers under a seeded load.

use std::collections::HashMap;

use bytes::Bytes;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::jobs::ItemEnd;
use bergamotlane_service::scoring::ScoreEnd;
use bergamotlane_service::scoring::ScoreKey;
use bergamotlane_service::scoring::ScoreQueue;
use bergamotlane_service::scoring::ScoreTask;
use bergamotlane_service::scoring::ScoreTerms;
use bergamotlane_service::texts::TextKey;
use bergamotlane_service::work::PartialText;

const START: ClockTime = ClockTime(50_000);

fn terms(due_ms: u64) -> ScoreTerms {
    ScoreTerms {
        due: START + due_ms,
        expires: START + 40_000,
        max_errors: 3,
        service: Some("desk".to_owned()),
    }
}

fn task(job: &str, item: u32, due_ms: u64) -> ScoreTask {
    ScoreTask {
        job: job.to_owned(),
        item,
        terms: terms(due_ms),
        text: PartialText {
            events: vec![Bytes::from_static(b"a"), Bytes::from_static(b"b")],
            last_id: Some(1),
            versions: vec![4],
            build: None,
            is_complete: true,
        },
        text_key: TextKey {
            customer: None,
            item: format!("i{item}"),
        },
        run: u64::from(item),
        replicated_events: 0,
    }
}

fn slots(count: u32) -> HashMap<String, u32> {
    HashMap::from([("desk".to_owned(), count)])
}

fn scored(stamp: &str) -> ScoreEnd {
    ScoreEnd {
        score: Some(stamp.to_owned()),
        server_errors: 0,
    }
}

fn failed(server_errors: u32) -> ScoreEnd {
    ScoreEnd {
        score: None,
        server_errors,
    }
}

#[test]
fn calls_start_by_deadline_within_the_slots_of_the_service() {
    let mut queue = ScoreQueue::default();
    let late = queue.add(START, task("a", 0, 7_500));
    let soon = queue.add(START, task("b", 1, 3_000));
    let soonest = queue.add(START, task("c", 2, 1_000));
    assert_eq!(queue.next_calls(START, &slots(2)), [soonest, soon]);
    assert_eq!(queue.next_calls(START, &slots(2)), []);
    queue.finish_call(START + 1, soonest, scored("s"));
    assert_eq!(queue.next_calls(START + 1, &slots(2)), [late]);
}

#[test]
fn a_scored_item_is_listed_with_its_text_versions_and_score() {
    let mut queue = ScoreQueue::default();
    let key = queue.add(START, task("a", 5, 1_000));
    queue.next_calls(START, &slots(1));
    let (job, result) = queue.finish_call(START, key, scored("s")).unwrap();
    assert_eq!((job.as_str(), result.item), ("a", 5));
    assert_eq!(result.end, ItemEnd::Completed);
    assert_eq!(result.text, Bytes::from_static(b"a\nb").into());
    assert_eq!(result.versions, [4]);
    assert_eq!(result.score.as_deref(), Some("s"));
    assert!(queue.is_empty());
    assert_eq!(queue.finish_call(START, key, scored("again")), None);
}

#[rstest]
#[case::single_errors(&[1, 1, 1])]
#[case::several_in_one_call(&[2, 1])]
#[case::with_lost_answers_between(&[1, 0, 0, 1, 0, 1])]
fn an_item_is_given_up_once_at_its_limit_of_server_errors(#[case] errors: &[u32]) {
    let mut queue = ScoreQueue::default();
    let key = queue.add(START, task("a", 0, 1_000));
    let mut time = START;
    for (index, count) in errors.iter().enumerate() {
        assert_eq!(queue.next_calls(time, &slots(1)), [key]);
        let end = queue.finish_call(time, key, failed(*count));
        let is_last = index + 1 == errors.len();
        assert_eq!(end.is_some(), is_last);
        if let Some((_, result)) = end {
            assert_eq!((result.end, result.score), (ItemEnd::Terminated, None));
        }
        time = time + 1_000;
    }
    assert!(queue.is_empty());
}

#[test]
fn calls_without_a_server_error_are_repeated_after_growing_pauses() {
    let mut queue = ScoreQueue::default();
    let key = queue.add(START, task("a", 0, 1_000));
    let mut time = START;
    let mut pauses = Vec::new();
    for _ in 0..8 {
        let from = time;
        while queue.next_calls(time, &slots(1)).is_empty() {
            time = time + 10;
        }
        pauses.push(time.since(from));
        assert_eq!(queue.finish_call(time, key, failed(0)), None);
    }
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert!(pauses.iter().all(|it| *it <= 1_000), "{pauses:?}");
}

#[test]
fn an_item_without_a_route_waits_until_a_plan_has_one() {
    let mut queue = ScoreQueue::default();
    let mut unrouted = task("a", 0, 1_000);
    unrouted.terms.service = None;
    let key = queue.add(START, unrouted);
    assert_eq!(queue.next_calls(START, &slots(4)), []);
    queue.set_terms(|_| Some(terms(1_000)));
    assert_eq!(queue.next_calls(START, &slots(4)), [key]);
}

/// Guards against items that are given up, ordered or failed by the plan under which their texts were
/// queued, although another one is in force.
#[test]
fn items_that_wait_follow_the_plan_in_force() {
    let mut queue = ScoreQueue::default();
    let first = queue.add(START, task("a", 0, 1_000));
    let second = queue.add(START, task("b", 1, 2_000));
    queue.set_terms(|task| {
        let due_ms = if task.job == "a" { 5_000 } else { 2_000 };
        Some(ScoreTerms {
            expires: START + 60_000,
            max_errors: 2,
            ..terms(due_ms)
        })
    });
    assert_eq!(queue.expire(START + 40_000), []);
    assert_eq!(queue.next_calls(START, &slots(1)), [second]);
    assert_eq!(queue.errors_left(first), 2);
    queue.set_terms(|_| None);
    assert_eq!(queue.expire(START + 59_999), []);
    assert_eq!(queue.expire(START + 60_000).len(), 2);
}

/// Guards against a text that is scored although the plan in force doesn't accept it.
#[test]
fn a_text_that_does_not_fit_leaves_the_queue_once() {
    let mut queue = ScoreQueue::default();
    let unfit = queue.add(START, task("a", 3, 1_000));
    let kept = queue.add(START, task("b", 1, 1_000));
    queue.next_calls(START, &slots(1));
    let taken = queue.take_unfit(|task| task.job == "b");
    assert_eq!(taken, [(unfit, "a".to_owned(), 3)]);
    assert_eq!(queue.finish_call(START, unfit, scored("s")), None);
    assert!(queue.take_unfit(|task| task.job == "b").is_empty());
    assert_eq!(queue.next_calls(START, &slots(1)), [kept]);
}

/// Guards against an item that waits for a call it may not make, after a plan has lowered the number of
/// server errors below those that it has met.
#[test]
fn an_item_past_a_lowered_limit_of_errors_is_given_up() {
    let mut queue = ScoreQueue::default();
    let key = queue.add(START, task("a", 0, 1_000));
    queue.next_calls(START, &slots(1));
    assert_eq!(queue.finish_call(START, key, failed(2)), None);
    assert_eq!(queue.expire(START + 1), []);
    queue.set_terms(|_| {
        Some(ScoreTerms {
            max_errors: 1,
            ..terms(1_000)
        })
    });
    assert_eq!(queue.expire(START + 2).len(), 1);
}

#[test]
fn the_items_of_an_ended_job_are_dropped_and_late_answers_ignored() {
    let mut queue = ScoreQueue::default();
    let ended = queue.add(START, task("a", 0, 1_000));
    let kept = queue.add(START, task("b", 1, 1_000));
    queue.next_calls(START, &slots(4));
    assert_eq!(queue.drop_job("a"), [ended]);
    assert_eq!(queue.finish_call(START, ended, scored("s")), None);
    assert!(queue.finish_call(START, kept, scored("s")).is_some());
}

#[test]
fn an_item_past_its_time_to_live_is_given_up() {
    let mut queue = ScoreQueue::default();
    let key = queue.add(START, task("a", 0, 1_000));
    assert_eq!(queue.expire(START + 39_999), []);
    let expired = queue.expire(START + 40_000);
    assert_eq!(expired.len(), 1);
    assert_eq!(expired[0].0, key);
    assert_eq!(expired[0].2.end, ItemEnd::Terminated);
}

#[test]
fn each_complete_text_is_replicated_once_and_again_to_a_new_voter() {
    let mut queue = ScoreQueue::default();
    queue.add(START, task("a", 0, 1_000));
    assert_eq!(queue.take_unreplicated().len(), 1);
    assert!(queue.take_unreplicated().is_empty());
    queue.restart_replication();
    assert_eq!(queue.take_unreplicated().len(), 1);
}

/// Plays a burst of reward calls of two steps through a service with `limit` slots, each call
/// taking 100 to 300 ms. Returns how long each step took.
fn play_steps(limit: u32, by_deadline: bool) -> (u64, u64) {
    let mut random = StdRng::seed_from_u64(20);
    let mut queue = ScoreQueue::default();
    let mut job_of: HashMap<ScoreKey, &str> = HashMap::new();
    // The step that is due last has its texts first, as after a change of leader.
    for item in 0..120 {
        let key = queue.add(
            START,
            task("late", item, if by_deadline { 7_500 } else { 0 }),
        );
        job_of.insert(key, "late");
    }
    for item in 0..60 {
        let key = queue.add(
            START,
            task("soon", item, if by_deadline { 2_000 } else { 0 }),
        );
        job_of.insert(key, "soon");
    }
    let mut running: Vec<(u64, ScoreKey)> = Vec::new();
    let mut ends = HashMap::from([("soon", 0), ("late", 0)]);
    for elapsed in 0.. {
        let time = START + elapsed;
        for (_, key) in running.extract_if(.., |(end, _)| *end <= elapsed) {
            queue.finish_call(time, key, scored("s"));
            ends.insert(job_of[&key], elapsed);
        }
        let started = queue.next_calls(time, &slots(limit));
        running.extend(
            started
                .iter()
                .map(|it| (elapsed + random.random_range(100..300), *it)),
        );
        assert!(running.len() <= limit as usize);
        if queue.is_empty() {
            break;
        }
    }
    (ends["soon"], ends["late"])
}

/// Pattern: earliest deadline first against first come, first served, when texts of a later step
/// are complete before those of the step that its trainer waits for.
#[test]
fn the_step_that_is_due_first_does_not_wait_for_the_burst_of_another() {
    let (soon, late) = play_steps(20, true);
    let (soon_fifo, late_fifo) = play_steps(20, false);
    assert!(soon * 2 < soon_fifo, "{soon} ms against {soon_fifo} ms");
    let (all, all_fifo) = (soon.max(late), soon_fifo.max(late_fifo));
    assert!(all * 10 <= all_fifo * 11, "{all} ms against {all_fifo} ms");
}

proptest! {
    /// No schedule of failures, successes and ended jobs makes an item end twice or vanish.
    #[test]
    fn every_item_ends_exactly_once(
        steps in proptest::collection::vec((0_u8..4, 0_usize..12), 1..200),
    ) {
        let mut queue = ScoreQueue::default();
        let keys: Vec<ScoreKey> = (0..12)
            .map(|item| queue.add(START, task(if item < 6 { "a" } else { "b" }, item, 1_000)))
            .collect();
        let mut ended = vec![0_u32; keys.len()];
        let mut time = START;
        for (step, index) in steps {
            time = time + 300;
            queue.next_calls(time, &slots(5));
            let end = match step {
                0 => scored("s"),
                1 => failed(1),
                2 => failed(0),
                _ => {
                    for key in queue.drop_job("b") {
                        ended[key.0 as usize - 1] += 1;
                    }
                    continue;
                }
            };
            if queue.finish_call(time, keys[index], end).is_some() {
                ended[index] += 1;
            }
        }
        for (_, _, result) in queue.expire(START + 1_000_000) {
            ended[result.item as usize] += 1;
        }
        prop_assert_eq!(ended, vec![1; 12]);
    }
}
