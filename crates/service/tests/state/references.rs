//! The state holds references to bodies and texts, which are in the log.

use std::cell::RefCell;
use std::convert::Infallible;

use bytes::Bytes;
use rstest::rstest;

use crate::support::TestLog;
use crate::support::inline;
use crate::support::list;
use crate::support::plan;
use crate::support::result;
use crate::support::submit;
use crate::support::submit_scored;
use bergamotlane_service::jobs::ItemResult;
use bergamotlane_service::jobs::TableSize;
use bergamotlane_service::payload::PayloadRef;
use bergamotlane_service::payload::decode_command;
use bergamotlane_service::payload::encode_command;
use bergamotlane_service::payload_reads::read_payloads;
use bergamotlane_service::state::ServiceState;
use bergamotlane_service::state::StateCommand;
use bergamotlane_wire::codec;

/// Returns a log with two jobs, of which the first is settled.
fn log() -> TestLog {
    let mut log = TestLog::default();
    log.append(&plan(1, "{\"version\":1}"));
    log.append(&submit("a", 2));
    log.append(&list("a", vec![result(1, "second"), result(0, "first")]));
    log.append(&submit_scored("b"));
    log.append(&list("b", vec![result(0, "third")]));
    log
}

fn replayed(log: &TestLog) -> ServiceState {
    let mut state = ServiceState::default();
    log.replay(&mut state);
    state
}

fn texts(state: &ServiceState, log: &TestLog, job: &str) -> Vec<Option<Bytes>> {
    let results = &state.jobs.get(job).unwrap().results;
    let texts: Vec<PayloadRef> = results.iter().map(|it| it.text.clone()).collect();
    read_payloads(&texts, |index, range| log.read(index, range)).unwrap()
}

#[test]
fn payloads_are_read_through_their_references() {
    let log = log();
    let state = replayed(&log);
    let expected = [Bytes::from("second"), Bytes::from("first")];
    assert_eq!(texts(&state, &log, "a"), expected.map(Some));
    let item = &state.jobs.get("b").unwrap().submission.items[1];
    let reward = &item.reward.as_ref().unwrap().body;
    let bodies = [item.body.clone(), reward.clone()];
    let bodies = read_payloads(&bodies, |index, range| log.read(index, range)).unwrap();
    let expected = [Bytes::from("body 1 of b"), Bytes::from("body of score-1")];
    assert_eq!(bodies, expected.map(Some));
}

#[test]
fn replicas_agree_with_and_without_a_snapshot_on_the_way() {
    let log = log();
    let whole = replayed(&log);
    for count in 0..=log.0.len() {
        let first = TestLog(log.0[..count].to_vec());
        let snapshot = codec::encode(&replayed(&first));
        let mut state: ServiceState = codec::decode(&snapshot).unwrap();
        state.adopt(count as u64);
        log.replay(&mut state);
        assert_eq!(state, whole, "snapshot after {count} entries");
    }
}

/// Guards against a keeper whose memory grows with the texts that it has listed.
#[test]
fn the_size_of_the_state_does_not_depend_on_that_of_the_texts() {
    let encoded_size = |text: &str| {
        let mut log = TestLog::default();
        log.append(&submit("j", 8));
        log.append(&list("j", (0..8).map(|it| result(it, text)).collect()));
        let state = replayed(&log);
        let size = state.jobs.size();
        assert_eq!(
            size,
            TableSize {
                jobs: 1,
                items: 8,
                inline_bytes: 0,
                stored_bytes: 8 * text.len() as u64,
            }
        );
        codec::encode(&state).len()
    };
    let (short, long) = (
        encoded_size("0123456789"),
        encoded_size(&"x".repeat(60_000)),
    );
    // The numbers in the references have a few more digits.
    assert!(long < short + 8 * 16, "{short} and {long} bytes");
}

/// Guards against a plan that keeps the log entry that it came from in memory.
#[test]
fn nothing_in_the_state_is_a_part_of_a_log_entry() {
    let command = encode_command(&plan(1, "{\"version\":1}")).unwrap();
    let mut state = ServiceState::default();
    state.apply(1, decode_command(1, &command).unwrap());
    let document = state.plan.unwrap().document;
    assert_eq!(document, "{\"version\":1}");
    assert!(!command.as_ptr_range().contains(&document.as_ptr()));
}

#[test]
fn the_log_is_needed_from_the_first_job_on_that_is_not_forgotten() {
    let mut log = log();
    let mut state = replayed(&log);
    assert_eq!(state.first_needed_entry(), 2);
    log.append(&StateCommand::ForgetJobs(vec!["a".to_owned()]));
    log.replay(&mut state);
    assert_eq!(state.first_needed_entry(), 4);
    log.append(&StateCommand::ForgetJobs(vec!["b".to_owned()]));
    log.replay(&mut state);
    assert_eq!(state.first_needed_entry(), 8);
    assert_eq!(state.jobs.size(), TableSize::default());
}

#[test]
fn a_clone_of_the_state_keeps_its_jobs_as_they_were() {
    let mut log = log();
    let mut state = replayed(&log);
    let (clone, encoded) = (state.clone(), codec::encode(&state));
    log.append(&list("b", vec![result(1, "fourth")]));
    log.append(&StateCommand::EndJob("a".to_owned()));
    log.replay(&mut state);
    assert_ne!(state, clone);
    assert_eq!(codec::encode(&clone), encoded);
}

/// Guards against a command whose payload another replica would look up in vain.
#[test]
fn a_command_with_a_reference_is_not_encoded() {
    let state = replayed(&log());
    let found: ItemResult = state.jobs.get("a").unwrap().results[0].clone();
    assert!(encode_command(&list("b", vec![found])).is_err());
    // The next command must not be encoded with what the failed one has left behind.
    let next = encode_command(&list("b", vec![result(0, "t")])).unwrap();
    assert!(decode_command(1, &next).is_ok());
}

#[test]
fn a_payload_whose_entry_is_gone_is_missing() {
    let mut log = log();
    let mut state = replayed(&log);
    log.0[2] = None;
    assert_eq!(texts(&state, &log, "a"), [None, None]);
    state
        .jobs
        .resolve(|index, range| log.read(index, range))
        .unwrap();
    assert_eq!(inline(&state.jobs.get("a").unwrap().results[0].text), b"");
    let open = &state.jobs.get("b").unwrap().submission.items[1];
    assert_eq!(inline(&open.body), b"body 1 of b");
}

fn entry(index: u64, start: u32, length: u32) -> PayloadRef {
    PayloadRef::Entry {
        index,
        start,
        length,
    }
}

#[rstest]
#[case::neighbours(&[entry(1, 10, 5), entry(1, 15, 5), entry(1, 25, 5)], &[(1, 10, 30)])]
#[case::other_entry(&[entry(1, 10, 5), entry(2, 15, 5)], &[(1, 10, 15), (2, 15, 20)])]
#[case::backwards(&[entry(1, 15, 5), entry(1, 10, 5)], &[(1, 15, 20), (1, 10, 15)])]
#[case::far_apart(&[entry(1, 0, 5), entry(1, 90_000, 5)], &[(1, 0, 5), (1, 90_000, 90_005)])]
#[case::held_in_full(
    &[entry(1, 0, 5), PayloadRef::Inline(Bytes::from_static(b"x")), entry(1, 5, 5)],
    &[(1, 0, 5), (1, 5, 10)]
)]
fn payloads_that_are_close_together_are_read_at_once(
    #[case] payloads: &[PayloadRef],
    #[case] expected: &[(u64, u32, u32)],
) {
    let command: Vec<u8> = (0..100_000_u32).map(|it| (it % 251) as u8).collect();
    let command = Bytes::from(command);
    let reads = RefCell::new(Vec::new());
    let found = read_payloads(payloads, |index, range| {
        reads.borrow_mut().push((index, range.start, range.end));
        let range = range.start as usize..range.end as usize;
        Ok::<_, Infallible>(Some(command.slice(range)))
    });
    let parts = payloads.iter().map(|it| match it {
        PayloadRef::Inline(bytes) => Some(bytes.clone()),
        PayloadRef::Entry { start, length, .. } => {
            Some(command.slice(*start as usize..(start + length) as usize))
        }
    });
    assert_eq!(found.unwrap(), parts.collect::<Vec<_>>());
    assert_eq!(reads.into_inner(), expected);
}
