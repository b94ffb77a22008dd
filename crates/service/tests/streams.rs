//! Tests what is known of the software that began callers' streams: in the replicated state, and at an
//! entry that asks the leader.

use bytes::Bytes;
use rstest::rstest;
use tokio::sync::mpsc::Receiver;

use bergamotlane_service::frames::LeaderCall;
use bergamotlane_service::frames::LeaderReply;
use bergamotlane_service::leader_client::CallRequest;
use bergamotlane_service::leader_client::CallResult;
use bergamotlane_service::leader_client::LeaderClient;
use bergamotlane_service::payload::decode_command;
use bergamotlane_service::payload::encode_command;
use bergamotlane_service::software::SoftwareBuild;
use bergamotlane_service::state::ServiceState;
use bergamotlane_service::state::StateCommand;
use bergamotlane_service::streams::ResumeRefusal;
use bergamotlane_service::streams::StreamClient;
use bergamotlane_service::streams::StreamKey;
use bergamotlane_service::streams::StreamRecord;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::codec;

/// Number of streams that outgrows a table.
const MANY_STREAMS: u64 = 50_500;

fn build(version: &str) -> SoftwareBuild {
    SoftwareBuild {
        service: "chat".to_owned(),
        version: version.to_owned(),
    }
}

fn key(request: &str) -> StreamKey {
    StreamKey::of(Some("mint"), request)
}

fn begin(request: &str, version: &str) -> StateCommand {
    let encoded = encode_command(&StateCommand::BeginStream {
        stream: key(request),
        build: build(version),
    });
    decode_command(1, &encoded.unwrap()).unwrap()
}

/// Answers each call to the leader with `reply`, or says that there is none.
fn answer_calls(mut calls: Receiver<CallRequest>, reply: Option<LeaderReply>) {
    tokio::spawn(async move {
        while let Some(request) = calls.recv().await {
            assert!(matches!(
                request.call,
                LeaderCall::BeginStream { .. } | LeaderCall::FindStream(_)
            ));
            let result = match reply.clone() {
                Some(reply) => CallResult::Answered(reply),
                None => CallResult::NoLeader,
            };
            request.reply.send(result).ok();
        }
    });
}

/// Guards against a stream that changes its origin, since a later record under its ID replaces the
/// first, and against records that a snapshot loses.
#[test]
fn the_first_record_of_a_stream_stays() {
    let mut state = ServiceState::default();
    state.apply(1, begin("r1", "v1"));
    state.apply(2, begin("r1", "v2"));
    state.apply(3, begin("r2", "v2"));
    let restored: ServiceState = codec::decode(&codec::encode(&state)).unwrap();
    assert_eq!(restored.streams.get(key("r1")), Some(&build("v1")));
    assert_eq!(restored.streams.get(key("r2")), Some(&build("v2")));
    let other_customer = StreamKey::of(Some("desk"), "r1");
    assert_eq!(restored.streams.get(other_customer), None);
}

/// Guards against records that grow without bound; the oldest streams go first.
#[test]
fn the_oldest_streams_are_dropped_first() {
    let mut state = ServiceState::default();
    for index in 0..MANY_STREAMS {
        let stream = key(&index.to_string());
        let build = build("v1");
        state.apply(index, StateCommand::BeginStream { stream, build });
    }
    assert!(state.streams.len() < MANY_STREAMS as usize);
    assert_eq!(state.streams.get(key("0")), None);
    let newest = key(&(MANY_STREAMS - 1).to_string());
    assert_eq!(state.streams.get(newest), Some(&build("v1")));
}

/// Guards against a snapshot of an earlier release that can't be read.
#[test]
fn a_state_without_streams_is_read() {
    let state = ServiceState::default();
    let mut value: ciborium::Value = codec::decode(&codec::encode(&state)).unwrap();
    let fields = value.as_map_mut().unwrap();
    fields.retain(|(name, _)| name.as_text() != Some("streams"));
    let old: Bytes = codec::encode(&value);
    assert_eq!(codec::decode::<ServiceState>(&old).unwrap(), state);
}

/// Guards against a take-up that is joined to a guess: without a leader, or with one that doesn't know
/// the stream, it is refused.
#[rstest]
#[case::known(Some(LeaderReply::Stream(build("v1"))), Ok(build("v1")))]
#[case::unknown(Some(LeaderReply::Missing), Err(ResumeRefusal::UnknownOrigin))]
#[case::no_leader(None, Err(ResumeRefusal::NoLeader))]
#[tokio::test]
async fn a_take_up_learns_the_origin_of_its_stream_or_is_refused(
    #[case] reply: Option<LeaderReply>,
    #[case] expected: Result<SoftwareBuild, ResumeRefusal>,
) {
    let (leader, calls) = LeaderClient::new();
    answer_calls(calls, reply);
    let client = StreamClient::new(leader);
    assert_eq!(client.find(key("r1"), now() + 100).await, expected);
}

/// Guards against events that leave before their stream is recorded while a leader is there, and
/// against streams that wait long while there is none; the entry itself remembers those.
#[rstest]
#[case::recorded(Some(LeaderReply::Done), StreamRecord::Durable, Ok(build("v2")))]
#[case::no_leader(None, StreamRecord::Pending, Ok(build("v2")))]
#[case::other_build(
    Some(LeaderReply::Conflict),
    StreamRecord::Conflict,
    Err(ResumeRefusal::UnknownOrigin)
)]
#[tokio::test]
async fn a_stream_is_recorded_before_its_answer_leaves(
    #[case] reply: Option<LeaderReply>,
    #[case] expected: StreamRecord,
    #[case] found: Result<SoftwareBuild, ResumeRefusal>,
) {
    let (leader, calls) = LeaderClient::new();
    answer_calls(calls, reply);
    let client = StreamClient::new(leader);
    assert_eq!(client.record(key("r1"), build("v2")).await, expected);
    assert_eq!(client.find(key("r1"), now() + 100).await, found);
}
