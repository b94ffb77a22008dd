//! Stand-in of an engine: it announces itself, runs requests for tokens, and answers orders and reports.

use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::http;
use crate::http::Message;
use crate::http::read_message;
use crate::json::Json;
use crate::record::Record;

/// What an engine does with a request.
#[derive(Debug, Clone, Copy)]
pub enum Deed {
    /// Streams this many events, with a pause before each.
    Stream { events: u64, gap_ms: u64 },
    /// Works for a time and answers with a status.
    Status { code: u16, work_ms: u64 },
    /// As `Status`, and a second copy of the answer arrives where the next one on the channel is expected.
    StatusTwice { code: u16, work_ms: u64 },
}

/// Chooses what to do with a request by its ID and its number among those with this ID at all engines.
pub type Behaviour = dyn Fn(&Message, &str, u64) -> Deed + Send + Sync;

pub struct Engine {
    pub id: String,
    service: &'static str,
    zone: &'static str,
    pub address: SocketAddr,
    capacity: usize,
    born: u64,
    pub version: AtomicU64,
    orders: AtomicU64,
    running: AtomicUsize,
    /// Answers so far, each with its time.
    pub answers: Mutex<Vec<u64>>,
    behaviour: Arc<Behaviour>,
    record: Arc<Record>,
}

/// Number of runs of each request so far, by its ID.
#[derive(Default)]
pub struct Runs(Mutex<std::collections::BTreeMap<String, u64>>);

impl Runs {
    fn count(&self, id: &str) -> u64 {
        let mut runs = self.0.lock().unwrap();
        let count = runs.entry(id.to_owned()).or_default();
        *count += 1;
        *count
    }

    pub fn of(&self, id: &str) -> u64 {
        self.0.lock().unwrap().get(id).copied().unwrap_or(0)
    }
}

impl Engine {
    #[allow(clippy::too_many_arguments)]
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        ip: &str,
        capacity: usize,
        record: &Arc<Record>,
        runs: &Arc<Runs>,
        behaviour: Arc<Behaviour>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(format!("{ip}:0"))?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service,
            zone,
            address: listener.local_addr()?,
            capacity,
            born: born.as_millis() as u64,
            version: AtomicU64::new(1),
            orders: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            answers: Mutex::default(),
            behaviour,
            record: Arc::clone(record),
        });
        let (served, runs) = (Arc::clone(&engine), Arc::clone(runs));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (engine, runs) = (Arc::clone(&served), Arc::clone(&runs));
                thread::spawn(move || engine.serve(&stream, &runs).ok());
            }
        });
        Ok(engine)
    }

    /// Announces the engine about every 1.2 s, at the address that the last answer named, or else at one
    /// control address after the other.
    pub fn announce(self: &Arc<Self>, controls: Vec<SocketAddr>) {
        let engine = Arc::clone(self);
        thread::spawn(move || {
            let mut preferred: Option<SocketAddr> = None;
            for sequence in 1_u64.. {
                let models = match engine.service {
                    "llm" => format!(
                        "[{{\"name\":\"m\",\"version\":{},\"adapters\":[]}}]",
                        engine.version.load(Ordering::Relaxed)
                    ),
                    _ => "[]".to_owned(),
                };
                let body = format!(
                    "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
                     \"capacity\":{},\"state\":\"ready\",\"cold-left-ms\":0,\"stage\":\"both\",\
                     \"models\":{models},\"sequence\":{sequence},\"born\":{}}}",
                    engine.service, engine.address, engine.zone, engine.capacity, engine.born
                );
                let path = format!("/-/instances/{}", engine.id);
                let addresses: Vec<SocketAddr> =
                    preferred.iter().chain(&controls).copied().collect();
                for address in addresses {
                    let limit = Duration::from_secs(1);
                    let answer = http::call(address, "PUT", &path, &[], &body, limit);
                    if let Some(answer) = answer.ok().filter(|it| it.status() / 100 == 2) {
                        let named = Json::parse(&answer.text());
                        let named =
                            named.and_then(|it| it.get("heartbeat-addr").text().parse().ok());
                        preferred = named.or(Some(address));
                        break;
                    }
                    preferred = None;
                }
                sleep(Duration::from_millis(1_200));
            }
        });
    }

    fn serve(&self, stream: &TcpStream, runs: &Runs) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        let mut late: Option<Vec<u8>> = None;
        while let Some(request) = read_message(&mut reader, false)? {
            // The second answer comes where the next one is expected.
            if let Some(copy) = late.take() {
                (&*stream).write_all(&copy)?;
                self.record.say(format!(
                    "engine {} sends the second copy of an answer",
                    self.id
                ));
            }
            let id = request
                .header("x-bergamotlane-request-id")
                .unwrap_or_default();
            let expected = request.header("x-bergamotlane-expect-instance");
            let path = request.path().to_owned();
            if expected.is_some_and(|it| it != self.id) {
                let head =
                    format!("X-Bergamotlane-Request-Id: {id}\r\nX-Bergamotlane-Not-Run: 1\r\n");
                answer(stream, 421, &head, b"")?;
            } else if path == "/-/report" {
                let body = format!(
                    "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":{},\"adapters\":[]}}],\
                     \"busy\":false,\"sequence\":{},\"queue-depth\":0,\"running\":{},\"kv-used\":0,\
                     \"kv-total\":90000,\"handles\":0}}",
                    self.version.load(Ordering::Relaxed),
                    self.orders.load(Ordering::Relaxed),
                    self.running.load(Ordering::Relaxed)
                );
                answer(
                    stream,
                    200,
                    "Content-Type: application/json\r\n",
                    body.as_bytes(),
                )?;
            } else if path == "/-/order" {
                let body = Json::parse(&request.text()).unwrap_or(Json::Null);
                let is_expected = match body.get("expect") {
                    Json::Null => true,
                    it => it.number() == self.orders.load(Ordering::Relaxed),
                };
                if is_expected {
                    self.orders.fetch_add(1, Ordering::Relaxed);
                    self.version
                        .store(body.get("version").number(), Ordering::Relaxed);
                }
                answer(stream, if is_expected { 202 } else { 409 }, "", b"")?;
            } else if path == "/health" {
                let head = format!("X-Bergamotlane-Instance-Id: {}\r\n", self.id);
                answer(stream, 200, &head, b"")?;
            } else {
                self.running.fetch_add(1, Ordering::Relaxed);
                let done = self.run(stream, &request, id, runs);
                self.running.fetch_sub(1, Ordering::Relaxed);
                late = done?;
            }
        }
        Ok(())
    }

    fn run(
        &self,
        stream: &TcpStream,
        request: &Message,
        id: &str,
        runs: &Runs,
    ) -> io::Result<Option<Vec<u8>>> {
        let version = self.version.load(Ordering::Relaxed);
        let expected = request.header("x-bergamotlane-expect-version");
        let base = format!(
            "X-Bergamotlane-Request-Id: {id}\r\nX-Bergamotlane-Server-Stamp: {}.{id}\r\n\
             X-Bergamotlane-Instance-Load: {},0,{}\r\nKeep-Alive: timeout=15\r\n",
            self.id,
            self.running.load(Ordering::Relaxed),
            self.capacity
        );
        if expected.is_some_and(|it| it != version.to_string()) {
            answer(
                stream,
                421,
                &format!("{base}X-Bergamotlane-Not-Run: 1\r\n"),
                b"",
            )?;
            return Ok(None);
        }
        let number = runs.count(id);
        let resumed = request
            .header("last-event-id")
            .and_then(|it| it.parse().ok());
        let first = resumed.map_or(1, |it: u64| it + 1);
        let method = request.method();
        self.record.say(format!(
            "engine {} begins run {number} of {id} ({method} {}), from event {first}",
            self.id,
            request.path()
        ));
        match (self.behaviour)(request, id, number) {
            Deed::Stream { events, gap_ms } => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\n{base}X-Bergamotlane-Weight-Versions: {version}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                work(stream, gap_ms)?;
                (&*stream).write_all(head.as_bytes())?;
                for event in first..=events {
                    if event > first {
                        work(stream, gap_ms)?;
                    }
                    let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    (&*stream).write_all(chunk.as_bytes())?;
                }
                (&*stream).write_all(b"0\r\n\r\n")?;
                self.note(id, number, 200);
                Ok(None)
            }
            Deed::Status { code, work_ms } => {
                work(stream, work_ms)?;
                answer(
                    stream,
                    code,
                    &base,
                    format!("run {number} of {id}").as_bytes(),
                )?;
                self.note(id, number, code);
                Ok(None)
            }
            Deed::StatusTwice { code, work_ms } => {
                work(stream, work_ms)?;
                let bytes = encode(code, &base, format!("run {number} of {id}").as_bytes());
                (&*stream).write_all(&bytes)?;
                self.note(id, number, code);
                Ok(Some(bytes))
            }
        }
    }

    fn note(&self, id: &str, number: u64, code: u16) {
        self.answers.lock().unwrap().push(self.record.now_ms());
        self.record.say(format!(
            "engine {} answered run {number} of {id}: {code}",
            self.id
        ));
    }
}

/// Works for a time; an error means that the caller has closed the channel, which ends the run.
fn work(stream: &TcpStream, work_ms: u64) -> io::Result<()> {
    let end = Instant::now() + Duration::from_millis(work_ms);
    let mut byte = [0];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        stream.set_read_timeout(Some(left.min(Duration::from_millis(10))))?;
        match stream.peek(&mut byte) {
            Ok(0) => return Err(io::ErrorKind::ConnectionReset.into()),
            Ok(_) => sleep(left.min(Duration::from_millis(10))),
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            Err(error) => return Err(error),
        }
    }
    stream.set_read_timeout(None)
}

fn encode(code: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {code} X\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn answer(stream: &TcpStream, code: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    (&*stream).write_all(&encode(code, headers, body))
}

/// Starts a stand-in of the platform's interface, which takes every report, and returns its address.
pub fn start_platform(ip: &str) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(format!("{ip}:0"))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let mut reader = BufReader::new(&stream);
                while let Ok(Some(_)) = read_message(&mut reader, false) {
                    if answer(&stream, 200, "", b"").is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(address)
}
