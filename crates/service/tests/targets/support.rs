//! A dialect of the tests' own, and stand-ins of targets that misbehave on request.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::sleep;

use bergamotlane_service::dialect::AnswerMetadata;
use bergamotlane_service::dialect::OrderHolder;
use bergamotlane_service::dialect::OutboundCall;
use bergamotlane_service::dialect::RequestMetadata;
use bergamotlane_service::dialect::TargetDialect;
use bergamotlane_service::registry::TargetNotice;
use bergamotlane_service::registry::TargetStage;
use bergamotlane_service::registry::TargetView;
use bergamotlane_service::state::UsageCounts;
use bergamotlane_service::weights::OrderReport;

#[derive(Debug, Clone, Copy)]
pub struct TestDialect;

fn no_call() -> OutboundCall {
    OutboundCall {
        path: "/".to_owned(),
        headers: HeaderMap::new(),
        body: None,
    }
}

impl TargetDialect for TestDialect {
    fn write_metadata(&self, headers: &mut HeaderMap, marks: &RequestMetadata<'_>) {
        let id = HeaderValue::from_str(marks.request_id).unwrap();
        headers.insert("x-id", id);
        if let Some(last) = marks.last_event {
            headers.insert("x-last", HeaderValue::from(last));
        }
    }

    fn read_metadata(&self, headers: &HeaderMap) -> AnswerMetadata {
        let text = |name: &str| Some(headers.get(name)?.to_str().ok()?.to_owned());
        AnswerMetadata {
            request_id: text("x-id"),
            is_stamped: headers.contains_key("x-stamp"),
            not_run: headers.contains_key("x-not-run"),
            version: text("x-version").and_then(|it| it.parse().ok()),
        }
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
        no_call()
    }

    fn order_state(&self, _: &str) -> OutboundCall {
        no_call()
    }

    fn read_order_state(&self, _: &[u8]) -> Option<OrderReport> {
        None
    }

    fn usage_report(&self, _: &OrderHolder, _: u64, _: &UsageCounts) -> OutboundCall {
        no_call()
    }

    fn scale_order(&self, _: &OrderHolder, _: &str, _: &str, _: u32, _: bool) -> OutboundCall {
        no_call()
    }
}

/// What a stand-in does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Manner {
    /// Answers.
    Sound,
    /// Answers after a while, in milliseconds.
    Slow(u64),
    /// Says that it did not run the request.
    TurnsAway,
    /// Reports a failure of its own.
    Fails,
    /// Closes the connection instead of an answer.
    Closes,
    /// Stops in the middle of the answer.
    Truncates,
    /// Answers another request.
    Crosses,
    /// Sends something that is no answer.
    Garbles,
    /// Sends a second answer behind the first.
    Repeats,
    /// Answers without vouching for it.
    Unstamped,
    /// Takes no connection.
    Gone,
    /// Streams some events, and breaks off in the middle of the next.
    BreaksOffAfter(u64),
    /// Streams events of which one is missing.
    SkipsOne,
    /// Streams all events, under another version from the second on.
    ChangesVersion,
}

/// Events of a whole stream.
pub const EVENTS: u64 = 4;

/// A stand-in and how many requests have reached it.
pub struct StandIn {
    pub address: SocketAddr,
    pub requests: Arc<AtomicU32>,
}

impl StandIn {
    pub async fn start(manner: Manner) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicU32::new(0));
        let stand_in = Self {
            address,
            requests: Arc::clone(&requests),
        };
        if manner == Manner::Gone {
            return stand_in;
        }
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, manner, Arc::clone(&requests)));
            }
        });
        stand_in
    }

    pub fn count(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap().to_lowercase();
    let length = field(&head, "content-length").map_or(0, |it| it.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}

fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines();
    lines.find_map(|it| it.strip_prefix(name)?.strip_prefix(": "))
}

fn answer(status: &str, id: &str, stamped: bool, extra: &str, body: &str) -> String {
    let stamp = if stamped { "x-stamp: s\r\n" } else { "" };
    format!(
        "HTTP/1.1 {status}\r\nx-id: {id}\r\n{stamp}{extra}content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn serve(mut stream: TcpStream, manner: Manner, requests: Arc<AtomicU32>) {
    while let Some(head) = read_head(&mut stream).await {
        requests.fetch_add(1, Ordering::Relaxed);
        let id = field(&head, "x-id").unwrap_or_default();
        let whole = answer("200 OK", id, true, "", "whole");
        let text = match manner {
            Manner::Sound => whole,
            Manner::Slow(millis) => {
                sleep(Duration::from_millis(millis)).await;
                whole
            }
            Manner::TurnsAway => answer(
                "503 Service Unavailable",
                id,
                true,
                "x-not-run: 1\r\n",
                "full",
            ),
            Manner::Fails => answer("500 Internal Server Error", id, true, "", "broken"),
            Manner::Closes | Manner::Gone => return,
            Manner::Truncates => whole[..whole.len() - 2].to_owned(),
            Manner::Crosses => answer("200 OK", "another", true, "", "not yours"),
            Manner::Garbles => "what is this?\r\n\r\n".to_owned(),
            Manner::Repeats => format!("{whole}{}", answer("200 OK", "late", true, "", "late")),
            Manner::Unstamped => answer("200 OK", id, false, "", "whole"),
            Manner::BreaksOffAfter(_) | Manner::SkipsOne | Manner::ChangesVersion => {
                events(&head, id, manner)
            }
        };
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        let ends = matches!(manner, Manner::Truncates | Manner::BreaksOffAfter(_));
        if ends {
            return;
        }
    }
}

fn events(head: &str, id: &str, manner: Manner) -> String {
    let first = field(head, "x-last").map_or(0, |it| it.parse::<u64>().unwrap() + 1);
    let mut body = String::new();
    for event in first..EVENTS {
        let text = match manner {
            Manner::SkipsOne if event == 1 => continue,
            Manner::ChangesVersion if event == 1 => {
                format!("version: 2\nid: {event}\ndata: piece {event}\n\n")
            }
            _ => format!("id: {event}\ndata: piece {event}\n\n"),
        };
        if manner == Manner::BreaksOffAfter(event - first) {
            body.push_str(&text[..text.len() / 2]);
            let head = format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\nx-version: 1\r\n");
            return format!("{head}content-length: 4000\r\n\r\n{body}");
        }
        body.push_str(&text);
    }
    answer("200 OK", id, true, "x-version: 1\r\n", &body)
}

/// Returns the view of a target.
pub fn view(id: &str, address: SocketAddr) -> TargetView {
    TargetView {
        notice: TargetNotice {
            id: id.to_owned(),
            service: "desk".to_owned(),
            address,
            zone: "a".to_owned(),
            capacity: 4,
            is_draining: false,
            cold_left_ms: 0,
            models: BTreeMap::new(),
            sequence: 1,
            born: 1,
            is_reclaimable: false,
        },
        stage: TargetStage::Ready,
    }
}
