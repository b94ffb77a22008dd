//! Tests what callers learn of calls to the leader that were tried more than once.

use tokio::sync::mpsc::Receiver;

use bergamotlane_service::frames::LeaderCall;
use bergamotlane_service::frames::LeaderReply;
use bergamotlane_service::jobs::JobSubmission;
use bergamotlane_service::leader_client::CallFailure;
use bergamotlane_service::leader_client::CallRequest;
use bergamotlane_service::leader_client::CallResult;
use bergamotlane_service::leader_client::LeaderClient;
use bergamotlane_service::state::StateCommand;
use bergamotlane_storage::clock::now;

/// Time limit of a call, in milliseconds.
const CALL_LIMIT_MS: u64 = 20_000;

fn submission() -> LeaderCall {
    LeaderCall::Change(StateCommand::Submit(Box::new(JobSubmission {
        id: "j".to_owned(),
        customer: None,
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
