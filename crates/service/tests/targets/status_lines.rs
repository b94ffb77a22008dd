//! Status lines that end no request, against each path on which an answer is read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use crate::forward::forwarder;
use crate::forward::request;
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
use bergamotlane_service::relay::RelayReply;
use bergamotlane_service::run::RunProgress;
use bergamotlane_service::run::RunRequest;
use bergamotlane_service::run::StreamLimits;
use bergamotlane_service::run::run_item;
use bergamotlane_service::work::PartialText;
use bergamotlane_service::work::RunEnd;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::body_end::BodyEnd;

/// Body of each answer, which is that of a whole stream as well.
const BODY: &str = "id: 0\ndata: piece 0\n\n";

/// Target that answers each request with the same status line, and keeps its connections open.
struct StatusTarget {
    address: SocketAddr,
    /// Number of requests on each connection.
    requests: Arc<Mutex<Vec<u32>>>,
}

impl StatusTarget {
    async fn start(line: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::<Mutex<Vec<u32>>>::default();
        let counts = Arc::clone(&requests);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let number = {
                    let mut counts = counts.lock().unwrap();
                    counts.push(0);
                    counts.len() - 1
                };
                tokio::spawn(serve(stream, line, Arc::clone(&counts), number));
            }
        });
        Self { address, requests }
    }

    fn counts(&self) -> Vec<u32> {
        self.requests.lock().unwrap().clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    line: &'static str,
    counts: Arc<Mutex<Vec<u32>>>,
    connection: usize,
) {
    while let Some(head) = read_request(&mut stream).await {
        counts.lock().unwrap()[connection] += 1;
        let id = header_value(&head, "x-id").unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 {line}\r\nx-id: {id}\r\nx-stamp: s\r\nx-version: 1\r\n\
             content-length: {}\r\n\r\n{BODY}",
            BODY.len()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Forwards a request of a kind to a target.
async fn forward(target: &StatusTarget, kind: RouteKind) -> PlainOutcome {
    let forwarder = forwarder(5_000);
    let views = [view("t", target.address)];
    forwarder.chooser().update(now(), &views);
    forwarder.forward(&request(kind, 2_000)).await.outcome
}

/// Runs an item at a target.
async fn run(target: &StatusTarget) -> RunEnd {
    let request = RunRequest {
        target: "t".to_owned(),
        address: target.address,
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
    let pool = TargetPool::new();
    run_item(pool, TestDialect, request, progress, stop, |_| {}).await
}

/// Guards against a status line that ends no request and that a caller or an item gets as an answer, with
/// the target's stamp and body; on a connection that is used again, or for a request that runs twice.
#[rstest]
fn a_status_line_that_ends_no_request_is_no_answer(
    #[values(
        "000",
        "000 Nothing",
        "001 Nothing",
        "099 Nothing",
        "100 Continue",
        "101 Switching Protocols",
        "102 Processing",
        "199 Unknown",
        "20 OK",
        "2000 OK",
        "600",
        "600 Unknown",
        "601 Unknown",
        "700 Unknown",
        "999 Unknown"
    )]
    line: &'static str,
) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        for kind in [RouteKind::Safe, RouteKind::Unsafe, RouteKind::Stream] {
            let target = StatusTarget::start(line).await;
            let outcome = forward(&target, kind).await;
            assert!(
                matches!(outcome, PlainOutcome::Failed),
                "{kind:?}: {outcome:?}"
            );
            let counts = target.counts();
            assert!(
                counts.iter().all(|it| *it <= 1),
                "{kind:?}: {counts:?} by connection"
            );
            if kind != RouteKind::Safe {
                assert_eq!(counts.iter().sum::<u32>(), 1, "{kind:?}");
            }
        }
        let target = StatusTarget::start(line).await;
        let end = run(&target).await;
        let is_broken = matches!(&end, RunEnd::Broken(text) if text.events.is_empty());
        assert!(is_broken, "item: {end:?}");
    });
}

/// Guards against a status of a proper answer that is taken for none.
#[rstest]
fn a_final_status_is_an_answer(
    #[values(200, 201, 299, 300, 399, 400, 404, 499, 500, 502, 599)] status: u16,
) {
    let line: &'static str = Box::leak(format!("{status} Status").into_boxed_str());
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let target = StatusTarget::start(line).await;
        match forward(&target, RouteKind::Unsafe).await {
            PlainOutcome::Answered(answer) => {
                assert_eq!(answer.status.as_u16(), status);
                assert_eq!(answer.body, BODY);
            }
            other => panic!("{other:?}"),
        }
    });
}

/// Guards against a status line that an entry of an earlier build passes on for a relayed request.
#[rstest]
#[case(0, false)]
#[case(101, false)]
#[case(199, false)]
#[case(200, true)]
#[case(599, true)]
#[case(600, false)]
#[case(999, false)]
#[case(2_000, false)]
fn a_relayed_answer_has_a_final_status(#[case] status: u16, #[case] is_answer: bool) {
    let reply = RelayReply::Answered {
        status,
        stamp: Some("s".to_owned()),
        headers: Vec::new(),
        body: Bytes::from_static(b"whole"),
        end: Some(BodyEnd::Length),
        leaving: None,
    };
    let outcome = reply.into_outcome().unwrap();
    let is_answered = matches!(outcome, PlainOutcome::Answered(_));
    assert_eq!(is_answered, is_answer, "{outcome:?}");
    assert!(is_answered || matches!(outcome, PlainOutcome::Failed));
}

/// Guards against a connection that is used again after a status line that ends no request.
#[rstest]
#[case::final_status("200 OK", &[2])]
#[case::switched("101 Switching Protocols", &[1, 1])]
#[case::unknown("600 Unknown", &[1, 1])]
#[tokio::test]
async fn a_connection_without_an_answer_is_not_used_again(
    #[case] line: &'static str,
    #[case] expected: &[u32],
) {
    let target = StatusTarget::start(line).await;
    let pool = TargetPool::new();
    for id in ["first", "second"] {
        let request = Request::post("/").body(Full::new(Bytes::new())).unwrap();
        let request = unrepeated(request, RequestMark::of(id));
        let sent = pool.send(target.address, request, |_| false).await;
        if let Ok(answer) = sent {
            let (head, body) = answer.response.into_parts();
            read_body(&head.headers, body, 100).await.unwrap();
            answer.connection.keep();
        }
    }
    assert_eq!(target.counts(), expected);
}
