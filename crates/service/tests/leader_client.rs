//! Tests what callers learn of calls to the leader that were tried more than once.

use std::collections::BTreeSet;

use rstest::rstest;
use tokio::sync::mpsc::Receiver;

use bergamotlane_service::frames::LeaderCall;
use bergamotlane_service::frames::LeaderReply;
use bergamotlane_service::jobs::JobSubmission;
use bergamotlane_service::leader_client::CallFailure;
use bergamotlane_service::leader_client::CallRequest;
use bergamotlane_service::leader_client::CallResult;
use bergamotlane_service::leader_client::CallScope;
use bergamotlane_service::leader_client::LeaderClient;
use bergamotlane_service::leader_client::replica_link;
use bergamotlane_service::link::LinkId;
use bergamotlane_service::state::StateCommand;
use bergamotlane_storage::clock::now;

/// Time limit of a call, in milliseconds.
const CALL_LIMIT_MS: u64 = 20_000;

fn submission() -> LeaderCall {
    LeaderCall::Change(StateCommand::Submit(Box::new(JobSubmission {
        id: "j".to_owned(),
        customer: None,
        former_customer: None,
        host: "h".to_owned(),
        path: "/p".to_owned(),
        model: "m".to_owned(),
        min_version: 1,
        desired: 1,
        items: Vec::new(),
    })))
}

/// Ends the tries of a call with these results, one after the other.
async fn end_tries(queue: &mut Receiver<CallRequest>, results: Vec<CallResult>) {
    for result in results {
        let request = queue.recv().await.unwrap();
        request.reply.send(result).unwrap();
    }
}

/// Guards against a caller who is told that a job was refused while an earlier try of it is still on
/// its way and will be accepted.
#[tokio::test]
async fn a_refusal_after_an_unanswered_try_is_unclear() {
    let (client, mut queue) = LeaderClient::new();
    let refused = CallResult::Answered(LeaderReply::NoPermit(1_000));
    let tries = end_tries(&mut queue, vec![CallResult::Broken, refused]);
    let call = client.call(submission(), now() + CALL_LIMIT_MS);
    let (reply, ()) = tokio::join!(call, tries);
    assert_eq!(reply, Err(CallFailure::Unclear));
}

#[tokio::test]
async fn a_refusal_after_tries_that_were_not_sent_is_certain() {
    let (client, mut queue) = LeaderClient::new();
    let refused = CallResult::Answered(LeaderReply::NoPermit(1_000));
    let tries = end_tries(&mut queue, vec![CallResult::NoLeader, refused]);
    let call = client.call(submission(), now() + CALL_LIMIT_MS);
    let (reply, ()) = tokio::join!(call, tries);
    assert_eq!(reply, Ok(LeaderReply::NoPermit(1_000)));
}

/// Guards against calls that pile up while the owner of the links is behind.
#[tokio::test]
async fn calls_that_nobody_takes_are_bounded_in_number() {
    let (client, mut queue) = LeaderClient::new();
    let calls = (0..3_000).map(|_| {
        let client = client.clone();
        tokio::spawn(async move { client.call(LeaderCall::ReadPlan, now() + 50).await })
    });
    for call in calls.collect::<Vec<_>>() {
        assert!(call.await.unwrap().is_err());
    }
    let mut count = 0;
    while let Ok(request) = queue.try_recv() {
        count += 1;
        assert!(request.reply.is_closed());
    }
    assert!((1..=1_024).contains(&count), "{count}");
    // There is room again, and whoever was put off is told that nothing was sent.
    let tries = end_tries(&mut queue, vec![CallResult::Answered(LeaderReply::Done)]);
    let call = client.call(LeaderCall::ReadPlan, now() + CALL_LIMIT_MS);
    let (reply, ()) = tokio::join!(call, tries);
    assert_eq!(reply, Ok(LeaderReply::Done));
}

fn read() -> LeaderCall {
    LeaderCall::ReadJob {
        job: "j".to_owned(),
        customer: None,
        after: 0,
        wait_ms: 1_000,
    }
}

fn page() -> LeaderReply {
    LeaderReply::Results {
        total: 1,
        next: 0,
        results: Vec::new(),
    }
}

/// Answers a request, which must be for `scope`.
fn answer(request: CallRequest, scope: CallScope, result: CallResult) {
    assert_eq!(request.scope, scope);
    request.reply.send(result).unwrap();
}

async fn answer_next(queue: &mut Receiver<CallRequest>, scope: CallScope, result: CallResult) {
    answer(queue.recv().await.unwrap(), scope, result);
}

/// Guards against a read that a replica can't answer and that then ends there, goes to another replica
/// or is refused: the leader is asked next, and again until it answers.
#[rstest]
#[case::nothing_to_read(CallResult::Answered(LeaderReply::NotLeader))]
#[case::no_replica_in_the_zone(CallResult::NoLeader)]
#[case::broken_link(CallResult::Broken)]
#[tokio::test]
async fn a_read_goes_to_the_leader_if_the_replica_has_nothing(#[case] result: CallResult) {
    let (client, mut queue) = LeaderClient::new();
    let tries = async {
        answer_next(&mut queue, CallScope::Replica, result).await;
        answer_next(&mut queue, CallScope::Leader, CallResult::NoLeader).await;
        answer_next(&mut queue, CallScope::Leader, CallResult::Answered(page())).await;
    };
    let call = client.call(read(), now() + CALL_LIMIT_MS);
    let (reply, ()) = tokio::join!(call, tries);
    assert_eq!(reply, Ok(page()));
}

/// Guards against a read that waits for a replica that is silent.
#[tokio::test]
async fn a_read_does_not_wait_for_a_silent_replica() {
    let (client, mut queue) = LeaderClient::new();
    let tries = async {
        let silent = queue.recv().await.unwrap();
        assert_eq!(silent.scope, CallScope::Replica);
        let request = queue.recv().await.unwrap();
        assert!(silent.reply.is_closed());
        answer(request, CallScope::Leader, CallResult::Answered(page()));
    };
    let call = client.call(read(), now() + CALL_LIMIT_MS);
    let (reply, ()) = tokio::join!(call, tries);
    assert_eq!(reply, Ok(page()));
}

/// Guards against a call that a replica can't answer for sure and that goes there.
#[tokio::test]
async fn other_calls_go_to_the_leader_alone() {
    let (client, mut queue) = LeaderClient::new();
    let tries = async {
        let done = CallResult::Answered(LeaderReply::Done);
        answer_next(&mut queue, CallScope::Leader, done).await;
    };
    let call = client.call(submission(), now() + CALL_LIMIT_MS);
    let (reply, ()) = tokio::join!(call, tries);
    assert_eq!(reply, Ok(LeaderReply::Done));
}

/// Guards against a read that waits at a leader which is asked as a replica, so that it is given up after
/// a moment, sent again and answered twice; and against reads that leave the zone without need.
#[rstest]
#[case::leader_elsewhere("a", Some(3), &[1, 2])]
#[case::no_leader("a", None, &[1, 2])]
#[case::leader_in_the_zone("a", Some(1), &[])]
#[case::no_keeper_in_the_zone("c", Some(1), &[])]
fn reads_go_to_replicas_of_the_zone(
    #[case] zone: &str,
    #[case] leader: Option<u64>,
    #[case] expected: &[u64],
) {
    let links = [(1, "a"), (2, "a"), (3, "b")];
    let chosen = (0..4).filter_map(|run| {
        let links = links.iter().map(|it| (LinkId(it.0), it.1));
        replica_link(zone, leader.map(LinkId), links, run)
    });
    let chosen: BTreeSet<LinkId> = chosen.collect();
    assert_eq!(chosen, expected.iter().map(|it| LinkId(*it)).collect());
}
