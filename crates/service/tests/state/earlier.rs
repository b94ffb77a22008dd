//! Log entries and snapshots of the build at 2bcf767, and snapshots for it. The files in `fixtures/`
//! were written by that build.

use std::collections::BTreeSet;

use bytes::Bytes;
use rstest::rstest;
use serde::Deserialize;
use serde::Serialize;

use crate::earlier_state::EarlierState;
use crate::support::TestLog;
use crate::support::inline;
use crate::support::list;
use crate::support::resolved;
use crate::support::result;
use bergamotlane_service::frames::HelloFrame;
use bergamotlane_service::frames::STATE_FORMAT;
use bergamotlane_service::jobs::TableSize;
use bergamotlane_service::payload::decode_command;
use bergamotlane_service::payload::encode_command;
use bergamotlane_service::state::ServiceState;
use bergamotlane_service::state::StateCommand;
use bergamotlane_wire::codec;

const STATE: &[u8] = include_bytes!("../fixtures/state-2bcf767.cbor");
const PLAN: &[u8] = include_bytes!("../fixtures/plan-2bcf767.command");
const SUBMIT: &[u8] = include_bytes!("../fixtures/submit-2bcf767.command");
const LIST: &[u8] = include_bytes!("../fixtures/list-2bcf767.command");

fn earlier_log() -> TestLog {
    let commands = [PLAN, SUBMIT, LIST].map(|it| Some(Bytes::from_static(it)));
    TestLog(commands.to_vec())
}

#[rstest]
#[case::plan(PLAN)]
#[case::submit(SUBMIT)]
#[case::list(LIST)]
fn log_entries_have_the_same_bytes_as_before(#[case] entry: &'static [u8]) {
    let entry = Bytes::from_static(entry);
    let command = decode_command(5, &entry).unwrap();
    let command = resolved(command, 5, &entry);
    assert_eq!(encode_command(&command).unwrap(), entry);
}

#[test]
fn an_earlier_snapshot_is_read_and_needs_no_earlier_entry() {
    let mut state: ServiceState = codec::decode(STATE).unwrap();
    state.adopt(3);
    let job = state.jobs.get("j").unwrap();
    assert_eq!(inline(&job.results[1].text), b"text of item 3");
    assert_eq!(inline(&job.submission.items[1].body), b"body 1 of j");
    let plan = state.plan.as_ref().unwrap();
    assert_eq!(plan.document, "{\"version\":7}");
    assert_eq!(state.first_needed_entry(), 4);
    let size = state.jobs.size();
    assert_eq!((size.items, size.stored_bytes), (4, 0));
    // What is listed later is in the log.
    let mut log = earlier_log();
    log.append(&list("j", vec![result(1, "later")]));
    log.replay(&mut state);
    assert_eq!(state.jobs.size().stored_bytes, 5);
    assert_eq!(state.first_needed_entry(), 4);
}

#[test]
fn a_snapshot_with_payloads_in_full_is_read_by_an_earlier_build() {
    let log = earlier_log();
    let mut state = ServiceState::default();
    log.replay(&mut state);
    assert!(codec::decode::<EarlierState>(&codec::encode(&state)).is_err());
    state
        .jobs
        .resolve(|index, range| log.read(index, range))
        .unwrap();
    assert_ne!(state.jobs.size(), TableSize::default());
    let encoded = codec::encode(&state);
    let found: EarlierState = codec::decode(&encoded).unwrap();
    assert_eq!(found, codec::decode(STATE).unwrap());
}

#[test]
fn a_keeper_of_an_earlier_build_names_no_format_of_snapshots() {
    let hello = HelloFrame {
        run: 1,
        cluster: None,
        node: Some(2),
        name: "keeper-2".to_owned(),
        zone: "a".to_owned(),
        address: None,
        control: None,
        relay: None,
        max_frame_bytes: None,
        founds: false,
        keepers: BTreeSet::new(),
        state_format: STATE_FORMAT,
        asks_for_cold: true,
        batches_heartbeats: false,
    };
    let mut value: ciborium::Value = codec::decode(&codec::encode(&hello)).unwrap();
    let fields = value.as_map_mut().unwrap();
    fields.retain(|(name, _)| name.as_text() != Some("state_format"));
    let earlier: HelloFrame = codec::decode(&codec::encode(&value)).unwrap();
    assert!(earlier.state_format < hello.state_format);
}

/// Command as builds before `ReturnTarget` knew it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
enum EarlierCommand {
    LeaveTarget {
        id: String,
        born: u64,
        departed: bool,
    },
}

/// Guards against an entry on a departure that keepers of two builds can't both read, and against a
/// return that an earlier build takes for another command instead of skipping it.
#[test]
fn a_departure_is_read_by_an_earlier_build_and_from_one() {
    let earlier = EarlierCommand::LeaveTarget {
        id: "x".to_owned(),
        born: 10,
        departed: true,
    };
    let mut head = Vec::new();
    ciborium::into_writer(&earlier, &mut head).unwrap();
    let entry = [(head.len() as u32).to_le_bytes().as_slice(), &head].concat();
    let leave = |follows| StateCommand::LeaveTarget {
        id: "x".to_owned(),
        born: 10,
        departed: true,
        follows,
        unserved: follows,
        any_start: follows,
    };
    assert_eq!(
        decode_command(1, &Bytes::from(entry)).unwrap(),
        leave(false)
    );
    let read_earlier = |command: &StateCommand| {
        let entry = encode_command(command).unwrap();
        ciborium::from_reader::<EarlierCommand, _>(&entry[size_of::<u32>()..])
    };
    assert_eq!(read_earlier(&leave(true)).unwrap(), earlier);
    let back = StateCommand::ReturnTarget {
        id: "x".to_owned(),
        born: 10,
    };
    assert!(read_earlier(&back).is_err());
}
