//! Requests that are sent to a target twice, after silence or a break, of which one copy is refused.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::forward::forwarder;
use crate::forward::request;
use crate::scripted::OWN_ANSWER;
use crate::scripted::ScriptedAnswer;
use crate::scripted::refusal;
use crate::scripted::status;
use crate::support::StubBehaviour;
use crate::support::StubTarget;
use crate::support::TestDialect;
use crate::support::header_value;
use crate::support::read_request;
use crate::support::view;
use bergamotlane_service::plain::PlainOutcome;
use bergamotlane_service::plan::RouteKind;
use bergamotlane_service::pool::TargetPool;
use bergamotlane_service::run::RunProgress;
use bergamotlane_service::run::RunRequest;
use bergamotlane_service::run::StreamLimits;
use bergamotlane_service::run::run_item;
use bergamotlane_service::work::PartialText;
use bergamotlane_service::work::RunEnd;
use bergamotlane_storage::clock::now;

/// Time limit of a request, in milliseconds.
const LIMIT_MS: u64 = 2_000;

/// Time after which a second target is there. The first copy is on its way by then, the second one isn't.
const SECOND_TARGET_AFTER: Duration = Duration::from_millis(100);

/// Longest time for which a target is silent, in milliseconds; a test ends before.
const FOR_EVER_MS: u64 = 60_000;

/// What a target does with a request.
#[derive(Debug, Clone, Copy)]
enum TargetAction {
    Answer(ScriptedAnswer),
    /// Answers after a time in milliseconds.
    AnswerAfter(u64, ScriptedAnswer),
    /// Closes the connection without an answer after a time in milliseconds.
    CloseAfter(u64),
}

const SILENCE: TargetAction = TargetAction::AnswerAfter(FOR_EVER_MS, OWN_ANSWER);

/// Starts a target that handles its requests, on all connections together, in the order of `actions`.
async fn start_target(actions: Vec<TargetAction>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, actions.clone(), Arc::clone(&count)));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, actions: Vec<TargetAction>, count: Arc<AtomicUsize>) {
    while let Some(head) = read_request(&mut stream).await {
        let earlier = count.fetch_add(1, Ordering::Relaxed);
        let answer = match actions[earlier] {
            TargetAction::Answer(answer) => answer,
            TargetAction::AnswerAfter(wait_ms, answer) => {
                sleep(Duration::from_millis(wait_ms)).await;
                answer
            }
            TargetAction::CloseAfter(wait_ms) => {
                sleep(Duration::from_millis(wait_ms)).await;
                return;
            }
        };
        let bytes = answer.bytes(header_value(&head, "x-id"));
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// What comes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Outcome {
    /// A copy of it succeeded.
    Served,
    /// It failed, and may have run.
    Unclear,
}

/// Guards against a request that runs at two targets although it may run at one only: a refusal of one
/// copy says nothing of the other one, which may run. If the other one is answered, that counts.
#[rstest]
#[case::silent_and_limited(SILENCE, refusal(429), Outcome::Unclear)]
#[case::silent_and_refused(SILENCE, refusal(503), Outcome::Unclear)]
#[case::silent_and_misdirected(SILENCE, status(421), Outcome::Unclear)]
#[case::broken_and_refused(TargetAction::CloseAfter(0), refusal(503), Outcome::Unclear)]
#[case::broken_and_misdirected(TargetAction::CloseAfter(0), status(421), Outcome::Unclear)]
#[case::breaks_after_the_refusal(TargetAction::CloseAfter(900), refusal(429), Outcome::Unclear)]
#[case::slow_and_limited(
    TargetAction::AnswerAfter(900, OWN_ANSWER),
    refusal(429),
    Outcome::Served
)]
#[tokio::test]
async fn a_refused_copy_says_nothing_of_the_other_one(
    #[case] first: TargetAction,
    #[case] second: ScriptedAnswer,
    #[case] expected: Outcome,
) {
    let second = TargetAction::Answer(second);
    assert_eq!(forward_twice(first, second).await, (expected, 0));
}

/// Guards against the same if the first copy is the one that is refused, while the second one may run.
#[rstest]
#[case::second_is_silent(SILENCE, Outcome::Unclear)]
#[case::second_runs(TargetAction::AnswerAfter(300, OWN_ANSWER), Outcome::Served)]
#[case::second_breaks(TargetAction::CloseAfter(0), Outcome::Unclear)]
#[case::second_breaks_later(TargetAction::CloseAfter(400), Outcome::Unclear)]
#[tokio::test]
async fn a_refusal_of_the_first_copy_says_nothing_of_the_second(
    #[case] second: TargetAction,
    #[case] expected: Outcome,
) {
    let first = TargetAction::AnswerAfter(600, refusal(503));
    assert_eq!(forward_twice(first, second).await, (expected, 0));
}

/// Guards against a request that is given up although each of its copies was refused.
#[rstest]
#[case::second_is_first(900, 0)]
#[case::first_is_first(600, 500)]
#[tokio::test]
async fn a_request_of_which_all_copies_are_refused_goes_to_another_target(
    #[case] first_ms: u64,
    #[case] second_ms: u64,
) {
    let first = TargetAction::AnswerAfter(first_ms, refusal(503));
    let second = TargetAction::AnswerAfter(second_ms, refusal(429));
    assert_eq!(forward_twice(first, second).await, (Outcome::Served, 1));
}

/// Forwards a request that may run at one target, and whose copies that target handles like this. Returns
/// what came of it, and how often it reached another target.
async fn forward_twice(first: TargetAction, second: TargetAction) -> (Outcome, u32) {
    let kept = TargetAction::Answer(OWN_ANSWER);
    let address = start_target(vec![kept, first, second]).await;
    let other = StubTarget::start(StubBehaviour::Healthy).await;
    let forwarder = forwarder(5_000);
    forwarder.chooser().update(now(), &[view("t0", address)]);
    let mut earlier = request(RouteKind::Safe, LIMIT_MS);
    earlier.id = "r0".to_owned();
    forwarder.forward(&earlier).await;

    let mut request = request(RouteKind::Safe, LIMIT_MS);
    request.max_attempts = 1;
    let add_target = async {
        sleep(SECOND_TARGET_AFTER).await;
        let views = [view("t0", address), view("t1", other.address)];
        forwarder.chooser().update(now(), &views);
    };
    let (report, ()) = tokio::join!(forwarder.forward(&request), add_target);
    let outcome = match report.outcome {
        PlainOutcome::Answered(answer) if answer.status.is_success() => Outcome::Served,
        PlainOutcome::Failed | PlainOutcome::Late => Outcome::Unclear,
        outcome => panic!("unexpected: {outcome:?}"),
    };
    (outcome, other.count())
}

/// Guards against an item that starts elsewhere as one that did not run, although its first copy, whose
/// connection broke, may have run.
#[rstest]
#[case::limited(refusal(429))]
#[case::refused(refusal(503))]
#[case::misdirected(status(421))]
#[tokio::test]
async fn a_run_whose_second_copy_is_refused_may_have_run(#[case] second: ScriptedAnswer) {
    let actions = vec![
        TargetAction::Answer(OWN_ANSWER),
        TargetAction::CloseAfter(0),
        TargetAction::Answer(second),
    ];
    let address = start_target(actions).await;
    let pool = TargetPool::new();
    let mut ends = Vec::new();
    for item in ["i0", "i1"] {
        let request = RunRequest {
            target: "e".to_owned(),
            address,
            item: item.to_owned(),
            path: "/p/1".to_owned(),
            host: "desk.example".to_owned(),
            headers: Vec::new(),
            body: Bytes::from_static(b"prompt"),
            customer: None,
            version: 1,
            min_version: 1,
            limits: StreamLimits::default(),
        };
        let (_stop_sender, stop) = oneshot::channel();
        let progress = Arc::new(RunProgress::new(PartialText::default()));
        let run = run_item(
            Arc::clone(&pool),
            TestDialect,
            request,
            progress,
            stop,
            |_| {},
        );
        ends.push(run.await);
    }
    assert!(matches!(ends[0], RunEnd::Completed(_)), "{ends:?}");
    assert_eq!(ends[1], RunEnd::Broken(PartialText::default()));
}
