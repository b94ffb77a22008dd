//! Late second copies of answers, which arrive where the next answer on their connection is expected.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
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
use crate::scripted::whole;
use crate::support::TestDialect;
use crate::support::header_value;
use crate::support::read_request;
use crate::support::unrepeated;
use crate::support::view;
use bergamotlane_service::answer_body::read_body;
use bergamotlane_service::carried::RequestMark;
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
const LIMIT_MS: u64 = 5_000;

/// Largest number of requests that a connection carries.
const MAX_CARRIED: usize = 512;

/// Time that a target takes for a request.
const WORK_TIME: Duration = Duration::from_millis(5);

/// Target that may send each answer a second time where the next one on its connection is expected.
struct CopyingTarget {
    address: SocketAddr,
    /// Number of requests on each connection.
    requests: Arc<Mutex<Vec<usize>>>,
}

impl CopyingTarget {
    /// Starts a target that answers its requests in the order of `answers`, and all further ones with the
    /// last of them, and sends each of them twice.
    async fn start(answers: Vec<ScriptedAnswer>) -> Self {
        Self::start_with(answers, true).await
    }

    async fn start_with(answers: Vec<ScriptedAnswer>, sends_copies: bool) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests: Arc<Mutex<Vec<usize>>> = Arc::default();
        let counts = Arc::clone(&requests);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let index = {
                    let mut counts = counts.lock().unwrap();
                    counts.push(0);
                    counts.len() - 1
                };
                let (answers, counts) = (answers.clone(), Arc::clone(&counts));
                tokio::spawn(Self::serve(stream, answers, sends_copies, counts, index));
            }
        });
        Self { address, requests }
    }

    async fn serve(
        mut stream: TcpStream,
        answers: Vec<ScriptedAnswer>,
        sends_copies: bool,
        counts: Arc<Mutex<Vec<usize>>>,
        index: usize,
    ) {
        let mut copy = String::new();
        while let Some(head) = read_request(&mut stream).await {
            let earlier = {
                let mut counts = counts.lock().unwrap();
                counts[index] += 1;
                counts.iter().sum::<usize>() - 1
            };
            let answer = answers.get(earlier).or(answers.last()).unwrap();
            let own = answer.bytes(header_value(&head, "x-id"));
            if stream.write_all(copy.as_bytes()).await.is_err() {
                return;
            }
            sleep(WORK_TIME).await;
            if stream.write_all(own.as_bytes()).await.is_err() {
                return;
            }
            if sends_copies {
                copy = own;
            }
        }
    }

    fn requests(&self) -> Vec<usize> {
        self.requests.lock().unwrap().clone()
    }
}

/// Runs the item `i1` at a target.
async fn run(pool: &Arc<TargetPool>, address: SocketAddr) -> RunEnd {
    let request = RunRequest {
        target: "e".to_owned(),
        address,
        item: "i1".to_owned(),
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
    run_item(
        Arc::clone(pool),
        TestDialect,
        request,
        progress,
        stop,
        |_| {},
    )
    .await
}

/// Guards against an item whose next run ends by a late copy of the answer to an earlier one: it is given
/// up, has the text of the earlier run, or starts elsewhere while it runs.
#[rstest]
#[case::failed(status(500))]
#[case::rejected(status(422))]
#[case::misdirected(status(421))]
#[case::refused(refusal(503))]
#[case::limited(refusal(429))]
#[case::broken(status(503))]
#[case::completed(whole("id: 0\ndata: earlier\n\n"))]
#[tokio::test]
async fn a_run_ends_by_its_own_answer(#[case] earlier: ScriptedAnswer) {
    let target = CopyingTarget::start(vec![earlier, OWN_ANSWER]).await;
    let pool = TargetPool::new();
    run(&pool, target.address).await;
    let end = run(&pool, target.address).await;
    let RunEnd::Completed(text) = end else {
        panic!("expected a complete text: {end:?}");
    };
    assert_eq!(text.text(), "own");
}

/// Guards against an item that is given up after two answers of 500 although three are allowed.
#[tokio::test]
async fn each_failure_of_an_item_is_that_of_its_own_run() {
    let answers = vec![status(500), status(500), OWN_ANSWER];
    let target = CopyingTarget::start(answers).await;
    let pool = TargetPool::new();
    let ends = [
        run(&pool, target.address).await,
        run(&pool, target.address).await,
    ];
    assert_eq!(ends, [RunEnd::Failed, RunEnd::Failed]);
    let end = run(&pool, target.address).await;
    assert!(matches!(end, RunEnd::Completed(_)), "{end:?}");
}

/// Guards against a caller's request that is answered by a late copy, when it is tried again at the same
/// target or its caller sends the same ID again.
#[rstest]
#[case::failed(RouteKind::Safe, status(500))]
#[case::refused(RouteKind::Safe, refusal(429))]
#[case::misdirected(RouteKind::Safe, status(421))]
#[case::answered(RouteKind::Safe, whole("earlier"))]
#[case::unsafe_and_failed(RouteKind::Unsafe, status(500))]
#[case::unsafe_and_refused(RouteKind::Unsafe, refusal(503))]
#[case::a_stream(RouteKind::Stream, status(500))]
#[tokio::test]
async fn a_request_gets_its_own_answer(#[case] kind: RouteKind, #[case] earlier: ScriptedAnswer) {
    let target = CopyingTarget::start(vec![earlier, OWN_ANSWER]).await;
    let forwarder = forwarder(5_000);
    let send = async || {
        // The target counts as unknown again, so that its earlier answer keeps nothing off it.
        forwarder.chooser().update(now(), &[]);
        let views = [view("t0", target.address)];
        forwarder.chooser().update(now(), &views);
        let mut request = request(kind, LIMIT_MS);
        request.max_attempts = 1;
        forwarder.forward(&request).await.outcome
    };
    send().await;
    let outcome = send().await;
    let PlainOutcome::Answered(answer) = outcome else {
        panic!("expected an answer: {outcome:?}");
    };
    assert_eq!(
        (answer.status, answer.body.as_ref()),
        (StatusCode::OK, OWN_ANSWER.body.as_bytes())
    );
}

/// Sends a request through a pool, and returns the status of its answer.
async fn send(pool: &Arc<TargetPool>, address: SocketAddr, mark: RequestMark) -> u16 {
    let message = Request::post("/").body(Full::new(Bytes::new())).unwrap();
    let request = unrepeated(message, mark);
    let answer = pool.send(address, request, |_| false).await.ok().unwrap();
    let (head, body) = answer.response.into_parts();
    read_body(&head.headers, body, 100).await.unwrap();
    answer.connection.keep();
    head.status.as_u16()
}

/// Guards against an order or a report that counts as carried out by the late copy of the answer to an
/// earlier one: nothing but the connection tells them apart.
#[tokio::test]
async fn a_request_without_an_id_gets_its_own_answer() {
    let target = CopyingTarget::start(vec![status(202), status(409)]).await;
    let pool = TargetPool::new();
    let mark = RequestMark::WITHOUT_ID;
    let statuses = [
        send(&pool, target.address, mark).await,
        send(&pool, target.address, mark).await,
    ];
    assert_eq!(statuses, [202, 409]);
    assert_eq!(target.requests(), [1, 1]);
}

/// Guards against marks without end, and against a new connection for each request.
#[tokio::test]
async fn a_connection_carries_a_bounded_number_of_different_requests() {
    let target = CopyingTarget::start_with(vec![status(200)], false).await;
    let pool = TargetPool::new();
    for number in 0..=MAX_CARRIED {
        send(&pool, target.address, RequestMark::of(&number.to_string())).await;
    }
    assert_eq!(target.requests(), [MAX_CARRIED, 1]);
}
