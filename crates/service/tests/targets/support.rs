//! A minimal target dialect for the tests, and stub targets with configurable faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::common::target_view;
use bergamotlane_policy::rate::RequestRate;
use bergamotlane_service::carried::RequestMark;
use bergamotlane_service::dialect::AnswerMetadata;
use bergamotlane_service::dialect::OrderHolder;
use bergamotlane_service::dialect::OutboundCall;
use bergamotlane_service::dialect::RequestMetadata;
use bergamotlane_service::dialect::TargetDialect;
use bergamotlane_service::load_report::LoadReport;
use bergamotlane_service::pool::RepeatRule;
use bergamotlane_service::pool::TargetRequest;
use bergamotlane_service::registry::TargetView;
use bergamotlane_service::state::UsageCounts;
use bergamotlane_service::weights::OrderReport;

/// Dialect that carries the metadata of requests and answers in short `x-` headers.
#[derive(Debug, Clone, Copy)]
pub struct TestDialect;

/// Placeholder for calls that these tests never send.
fn empty_call() -> OutboundCall {
    OutboundCall {
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: None,
    }
}

impl TargetDialect for TestDialect {
    fn write_metadata(&self, headers: &mut HeaderMap, metadata: &RequestMetadata<'_>) {
        let id = HeaderValue::from_str(metadata.request_id).unwrap();
        headers.insert("x-id", id);
        if let Some(last) = metadata.last_event {
            headers.insert("x-last", HeaderValue::from(last));
        }
    }

    fn read_metadata(&self, headers: &HeaderMap) -> AnswerMetadata {
        let text = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
        AnswerMetadata {
            request_id: text("x-id"),
            stamp: text("x-stamp"),
            not_run: headers.contains_key("x-not-run"),
            version: text("x-version").and_then(|version| version.parse().ok()),
            rate_limit: text("x-limit").and_then(|limit| RequestRate::parse(&limit)),
            is_leaving: headers.contains_key("x-leaving"),
            load: text("x-load").and_then(|load| LoadReport::parse(&load)),
        }
    }

    fn max_output_tokens(&self, _headers: &[(String, String)]) -> Option<u64> {
        None
    }

    fn version_line(&self, line: &str) -> Option<u64> {
        line.strip_prefix("version: ")?.parse().ok()
    }

    fn weight_order(
        &self,
        _: &OrderHolder,
        _: &str,
        _: &str,
        _: u64,
        _: u64,
        _: bool,
    ) -> OutboundCall {
        empty_call()
    }

    fn order_state(&self, _: &str) -> OutboundCall {
        empty_call()
    }

    fn read_order_state(&self, _: &[u8]) -> Option<OrderReport> {
        None
    }

    fn usage_report(&self, _: &OrderHolder, _: u64, _: &UsageCounts) -> OutboundCall {
        empty_call()
    }

    fn scale_order(&self, _: &OrderHolder, _: &str, _: &str, _: u32, _: bool) -> OutboundCall {
        empty_call()
    }
}

/// How a stub target handles each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StubBehaviour {
    /// Sends a correct answer.
    Healthy,
    /// Sends a correct answer after a delay in milliseconds.
    Slow(u64),
    /// Sends a correct answer with this status that says that the target leaves.
    Leaves(u16),
    /// Sends a correct answer that reports this load.
    Reports(&'static str),
    /// Refuses the request, states that it did not run it, and reports this load.
    RefusesAt(&'static str),
    /// Reports that it is idle in this number of correct answers, and then that it is full.
    FillsAfter(u32),
    /// Says that the target leaves, and closes the connection before the last bytes of the answer.
    LeavesTruncated,
    /// Refuses the request with status 503 and states that it did not run it.
    Refuses,
    /// Reports an internal error with status 500.
    Fails,
    /// Closes the connection without an answer.
    ClosesConnection,
    /// Answers this number of requests; at the next one it stops listening and closes the connection
    /// without an answer.
    CrashesAfter(u32),
    /// Closes the connection before the last bytes of the answer.
    Truncates,
    /// Sends an answer with the ID of another request.
    AnswersOtherRequest,
    /// Sends bytes that are not an HTTP response.
    SendsGarbage,
    /// Sends a second, unrequested answer after the correct one.
    AnswersTwice,
    /// Sends, from the second request of a connection on, a refusal without an ID before the correct
    /// answer, as a late copy of an earlier answer arrives.
    RefusesLate,
    /// Sends an answer without the stamp that confirms it.
    Unstamped,
    /// Accepts no connections.
    RefusesConnections,
    /// Streams this number of events and closes the connection in the middle of the next one.
    BreaksAfter(u64),
    /// Streams one event, and then a byte that belongs to no event every 20 ms for ever.
    Dribbles,
    /// Streams all events, each after a delay in milliseconds.
    StreamsSlowly(u64),
    /// Streams events without end.
    StreamsForever,
    /// Sends an answer with this status whose body never ends.
    EndlessBody(u16),
    /// Sends header fields without end.
    EndlessHead,
    /// Sends interim answers without end.
    EndlessInterims,
    /// Streams all events but the second one.
    SkipsEvent,
    /// Streams all events and announces another weight version from the second one on.
    ChangesVersion,
}

/// Time from the moment at which a crashing target stops listening until it closes its connections.
const CRASH_TIME: Duration = Duration::from_millis(20);

/// Time that a target which becomes full takes for an answer, beside which delays of the machine don't look
/// like a target that is slower than it says.
const FILL_TIME: Duration = Duration::from_millis(50);

/// Report of a target that is full for longer than a request waits.
const FULL_LOAD: &str = "4,400000,4";

/// Number of events in a complete stream.
pub const EVENT_COUNT: u64 = 4;

/// Target that listens on a local port and counts the requests that it receives.
pub struct StubTarget {
    pub address: SocketAddr,
    pub requests: Arc<AtomicU32>,
}

impl StubTarget {
    /// Starts a target that handles every request with the given behaviour.
    pub async fn start(behaviour: StubBehaviour) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicU32::new(0));
        let stub = Self {
            address,
            requests: Arc::clone(&requests),
        };
        // Returning drops the listener, so that connections are refused.
        if behaviour == StubBehaviour::RefusesConnections {
            return stub;
        }
        tokio::spawn(async move {
            let crash = Arc::new(Notify::new());
            loop {
                let stream = tokio::select! {
                    accepted = listener.accept() => accepted.unwrap().0,
                    () = crash.notified() => return,
                };
                let (requests, crash) = (Arc::clone(&requests), Arc::clone(&crash));
                tokio::spawn(serve(stream, behaviour, requests, crash));
            }
        });
        stub
    }

    /// Returns the number of requests that the target has received.
    pub fn count(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Reads a whole request and returns its head in lower case, or `None` once the peer has closed
/// the connection.
pub async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let length = header_value(&head, "content-length").map_or(0, |value| value.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// Returns the value of a header; `head` is in lower case.
pub fn header_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines();
    lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Returns an HTTP response; `extra` holds further header lines, each with its line end.
fn answer(status: &str, id: &str, is_stamped: bool, extra: &str, body: &str) -> String {
    let stamp = if is_stamped { "x-stamp: s\r\n" } else { "" };
    format!(
        "HTTP/1.1 {status}\r\nx-id: {id}\r\n{stamp}{extra}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns an HTTP response that reports a load.
fn reporting(status: &str, id: &str, load: &str) -> String {
    answer(status, id, true, &format!("x-load: {load}\r\n"), "whole")
}

/// Answers the requests of one connection until either side closes it.
async fn serve(
    mut stream: TcpStream,
    behaviour: StubBehaviour,
    requests: Arc<AtomicU32>,
    crash: Arc<Notify>,
) {
    while let Some(head) = read_request(&mut stream).await {
        let earlier = requests.fetch_add(1, Ordering::Relaxed);
        if matches!(behaviour, StubBehaviour::CrashesAfter(count) if earlier >= count) {
            crash.notify_one();
            sleep(CRASH_TIME).await;
            return;
        }
        let id = header_value(&head, "x-id").unwrap_or_default();
        if let Some((start, part, pause)) = endless_answer(behaviour, id) {
            send_forever(stream, &start, part, pause).await;
            return;
        }
        if let StubBehaviour::StreamsSlowly(pause_ms) = behaviour {
            stream_slowly(&mut stream, id, Duration::from_millis(pause_ms)).await;
            continue;
        }
        let complete = answer("200 OK", id, true, "", "whole");
        let response = match behaviour {
            StubBehaviour::Healthy | StubBehaviour::CrashesAfter(_) => complete,
            StubBehaviour::Slow(millis) => {
                sleep(Duration::from_millis(millis)).await;
                complete
            }
            StubBehaviour::Reports(load) => reporting("200 OK", id, load),
            StubBehaviour::RefusesAt(load) => {
                let load = format!("{load}\r\nx-not-run: 1");
                reporting("503 Service Unavailable", id, &load)
            }
            StubBehaviour::FillsAfter(count) => {
                sleep(FILL_TIME).await;
                let is_full = earlier >= count;
                reporting("200 OK", id, if is_full { FULL_LOAD } else { "0,0,4" })
            }
            StubBehaviour::Refuses => answer(
                "503 Service Unavailable",
                id,
                true,
                "x-not-run: 1\r\n",
                "full",
            ),
            StubBehaviour::Leaves(status) => {
                let status = format!("{status} Status");
                answer(&status, id, true, "x-leaving: 1\r\n", "whole")
            }
            StubBehaviour::LeavesTruncated => {
                let whole = answer("200 OK", id, true, "x-leaving: 1\r\n", "whole");
                whole[..whole.len() - 2].to_owned()
            }
            StubBehaviour::Fails => answer("500 Internal Server Error", id, true, "", "broken"),
            StubBehaviour::ClosesConnection | StubBehaviour::RefusesConnections => return,
            StubBehaviour::Truncates => complete[..complete.len() - 2].to_owned(),
            StubBehaviour::AnswersOtherRequest => {
                answer("200 OK", "another", true, "", "not yours")
            }
            StubBehaviour::SendsGarbage => "not an HTTP response\r\n\r\n".to_owned(),
            StubBehaviour::RefusesLate if earlier == 0 => complete,
            StubBehaviour::RefusesLate => {
                let refusal = "HTTP/1.1 503 Full\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
                format!("{refusal}{complete}")
            }
            StubBehaviour::AnswersTwice => {
                format!("{complete}{}", answer("200 OK", "late", true, "", "late"))
            }
            StubBehaviour::Unstamped => answer("200 OK", id, false, "", "whole"),
            StubBehaviour::Dribbles
            | StubBehaviour::StreamsSlowly(_)
            | StubBehaviour::StreamsForever
            | StubBehaviour::EndlessBody(_)
            | StubBehaviour::EndlessHead
            | StubBehaviour::EndlessInterims => unreachable!("answered above"),
            StubBehaviour::BreaksAfter(_)
            | StubBehaviour::SkipsEvent
            | StubBehaviour::ChangesVersion => event_stream(&head, id, behaviour),
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        let closes = matches!(
            behaviour,
            StubBehaviour::Truncates
                | StubBehaviour::LeavesTruncated
                | StubBehaviour::BreaksAfter(_)
        );
        if closes {
            return;
        }
    }
}

/// Kind of part that an endless answer repeats: its text for each number.
type AnswerPart = fn(u64) -> String;

/// Returns the start of an endless answer, the part that it repeats and the pause between parts.
fn endless_answer(behaviour: StubBehaviour, id: &str) -> Option<(String, AnswerPart, Duration)> {
    let head = |status: u16| {
        format!("HTTP/1.1 {status} Status\r\nx-id: {id}\r\nx-stamp: s\r\nx-version: 1\r\n")
    };
    let body = |status: u16| format!("{}connection: close\r\n\r\n", head(status));
    Some(match behaviour {
        StubBehaviour::Dribbles => {
            let start = format!("{}id: 0\ndata: piece 0\n\n", body(200));
            (start, |_| ":".to_owned(), Duration::from_millis(20))
        }
        StubBehaviour::StreamsForever => {
            let part = |number| format!("id: {number}\ndata: {}\n\n", "x".repeat(1_000));
            (body(200), part, Duration::ZERO)
        }
        StubBehaviour::EndlessBody(status) => {
            (body(status), |_| "x".repeat(16_384), Duration::ZERO)
        }
        StubBehaviour::EndlessHead => {
            let part = |number| format!("x-field-{number}: {}\r\n", "x".repeat(100));
            (head(200), part, Duration::ZERO)
        }
        StubBehaviour::EndlessInterims => {
            let part = |_| "HTTP/1.1 102 Processing\r\n\r\n".to_owned();
            (String::new(), part, Duration::ZERO)
        }
        _ => return None,
    })
}

/// Sends parts until the peer closes the connection.
async fn send_forever(mut stream: TcpStream, start: &str, part: AnswerPart, pause: Duration) {
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    for number in 0.. {
        if stream.write_all(part(number).as_bytes()).await.is_err() {
            return;
        }
        if !pause.is_zero() {
            sleep(pause).await;
        }
    }
}

/// Sends a complete stream in chunks, with a pause before each event.
async fn stream_slowly(stream: &mut TcpStream, id: &str, pause: Duration) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\nx-version: 1\r\n\
         transfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok();
    for event in 0..EVENT_COUNT {
        sleep(pause).await;
        let text = format!("id: {event}\ndata: piece {event}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        stream.write_all(chunk.as_bytes()).await.ok();
    }
    stream.write_all(b"0\r\n\r\n").await.ok();
}

/// Returns a response with the events that follow the one named in the request.
fn event_stream(head: &str, id: &str, behaviour: StubBehaviour) -> String {
    let first = header_value(head, "x-last").map_or(0, |last| last.parse::<u64>().unwrap() + 1);
    let mut body = String::new();
    for event in first..EVENT_COUNT {
        let text = match behaviour {
            StubBehaviour::SkipsEvent if event == 1 => continue,
            StubBehaviour::ChangesVersion if event == 1 => {
                format!("version: 2\nid: {event}\ndata: piece {event}\n\n")
            }
            _ => format!("id: {event}\ndata: piece {event}\n\n"),
        };
        if behaviour == StubBehaviour::BreaksAfter(event - first) {
            body.push_str(&text[..text.len() / 2]);
            let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\nx-version: 1\r\n");
            return format!("{head}content-length: 4000\r\n\r\n{body}");
        }
        body.push_str(&text);
    }
    answer("200 OK", id, true, "x-version: 1\r\n", &body)
}

/// Returns the view of a ready target with four slots in zone "a" of the service "desk".
pub fn view(id: &str, address: SocketAddr) -> TargetView {
    let mut view = target_view(id);
    view.announcement.address = address;
    view.announcement.capacity = 4;
    view
}

/// Returns a request that is sent once only.
pub fn unrepeated(message: Request<Full<Bytes>>, mark: RequestMark) -> TargetRequest {
    TargetRequest {
        message,
        mark,
        rule: RepeatRule::Unsent,
    }
}
