//! Processes of the project, engines, operator and record of a script.

use std::fs;
use std::fs::File;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::call;
use crate::http::read_message;

pub const DRAIN_MS: u64 = 2_000;
pub const HEARTBEAT_MS: u64 = 1_200;
pub const KEY: &str = "Token k9mint7f2";
pub const HOST: &str = "desk.example";

/// Processes that were started and not ended.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script after a time, with all processes that it started.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in PIDS.lock().unwrap().iter() {
            let command = format!("kill -KILL {pid}");
            Command::new("sh").args(["-c", &command]).status().ok();
        }
        eprintln!("the script took too long");
        std::process::exit(2);
    });
}

/// Record of what was sent, answered and run, with milliseconds since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>7} ms  {text}\n", self.ms());
        self.file.lock().unwrap().write_all(line.as_bytes()).ok();
    }
}

/// A process of the project; killed on drop.
pub struct Process {
    pub name: String,
    child: Child,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {} 2>/dev/null", self.child.id());
        Command::new("sh").args(["-c", &command]).status().ok();
    }

    pub fn kill(&mut self) {
        self.signal("CONT");
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment on loopback addresses: three keepers and two entries.
pub struct World {
    pub record: Arc<Record>,
    pub net: String,
    pub port: u16,
    pub root: PathBuf,
    pub folder: PathBuf,
    pub processes: Vec<Process>,
    pub bounds: String,
    pub status_s: u64,
}

impl World {
    /// Arguments: the folder of the case, and a temporary folder.
    pub fn new(case: &str, temporary: &str) -> Self {
        let pid = std::process::id();
        let net = format!("127.{}.{}", 60 + pid / 200 % 100, 1 + pid % 200);
        let file = File::create(PathBuf::from(case).join("record.txt")).unwrap();
        Self {
            record: Arc::new(Record {
                started: Instant::now(),
                file: Mutex::new(file),
            }),
            net,
            port: 17_000 + (pid % 900) as u16 * 10,
            root: std::env::current_dir().unwrap(),
            folder: PathBuf::from(temporary),
            processes: Vec::new(),
            bounds: String::new(),
            status_s: 120,
        }
    }

    pub fn address(&self, number: u8, port: u16) -> SocketAddr {
        format!("{}.{number}:{}", self.net, self.port + port)
            .parse()
            .unwrap()
    }

    pub fn control(&self, keeper: u8) -> SocketAddr {
        self.address(keeper, 2)
    }

    pub fn keepers(&self) -> Vec<SocketAddr> {
        (1..=3).map(|it| self.control(it)).collect()
    }

    pub fn front(&self, entry: u8) -> SocketAddr {
        self.address(10 + entry, 3)
    }

    /// Writes the settings file of a machine and returns its path.
    fn settings(&self, number: u8, bootstrap: bool) -> (String, PathBuf) {
        let is_keeper = number < 10;
        let zone = ["a", "b", "c"][usize::from((number - 1) % 10 % 3)];
        let name = match is_keeper {
            true => format!("store-{zone}-1"),
            false => format!("front-{zone}-1"),
        };
        let ip = format!("{}.{number}", self.net);
        let port = self.port;
        let seeds: Vec<String> = (1..=3)
            .map(|it| format!("\"{}.{it}:{}\"", self.net, port + 2))
            .collect();
        let (class, serves, listen, disk, memory) = match is_keeper {
            true => (
                "store",
                "\"store\",\"control\"",
                format!("control = \"{ip}:{}\"", port + 2),
                380,
                280,
            ),
            false => (
                "front",
                "\"front\"",
                format!(
                    "front = \"{ip}:{}\"\nready = \"{ip}:{}\"",
                    port + 3,
                    port + 4
                ),
                0,
                260,
            ),
        };
        let role = if is_keeper { "keeper" } else { "entry" };
        let data = match is_keeper {
            true => format!("data-dir = {:?}\n", self.folder.join(&name)),
            false => String::new(),
        };
        let text = format!(
            "node = \"{name}\"\nrole = \"{role}\"\nmachine-class = \"{class}\"\nserves = [{serves}]\n\
             ip = \"{ip}\"\nzone = \"z-{zone}\"\nregion = \"r\"\ninternal-ports = [{port},{}]\n\
             seed-nodes = [{}]\nbootstrap = {bootstrap}\nloss-counts = {is_keeper}\n\
             discovery = \"register\"\nentry = \"vip\"\nheartbeat-ms = {HEARTBEAT_MS}\nconfig-mode = \"highest\"\n{data}\
             [zones]\nz-a = \"r\"\nz-b = \"r\"\nz-c = \"r\"\n[listen]\n{listen}\n\
             [limits]\ncpu-share = 0.5\ncpu-cores = 1\nmemory-mb = {memory}\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = {disk}\n\
             [fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4.4\n\
             drain-ms = {DRAIN_MS}\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\n\
             outer-ms = 5000\nfail-closed = false\nrevoke-ms = 5000\nfencing-required = true\nlease-ms = 3000\n\
             thaw-ms = 300\nusage-window-s = 5\nusage-tolerance = 0.05\nusage-late-s = 10\ncold-over = 1.5\n\
             cold-slack = 5\nevac-ms = 5000\nrecover-s = 12\npass-ms = 120\nretry-after-s = 0\nfinish-s = 10\n\
             status-s = {}\ncancel-ms = 3000\nsettle-ms = 1000\nquota-over = 0.1\n{}",
            port + 1,
            seeds.join(","),
            self.status_s,
            self.bounds,
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).unwrap();
        (name, path)
    }

    /// Starts the process of a machine: 1 to 3 are keepers, 11 and later ones entries.
    pub fn start(&mut self, number: u8, bootstrap: bool) {
        let (name, path) = self.settings(number, bootstrap);
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{name}.log")))
            .unwrap();
        let child = Command::new(self.root.join("target/release/bergamotlane-platform"))
            .current_dir(&self.root)
            .env("BERGAMOTLANE_BOOT", path)
            .stdout(Stdio::from(log.try_clone().unwrap()))
            .stderr(Stdio::from(log))
            .spawn()
            .unwrap();
        PIDS.lock().unwrap().push(child.id());
        // The script ends what is listed there, should this process be ended before.
        let list = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join("pids"));
        writeln!(list.unwrap(), "{}", child.id()).ok();
        self.record.line(&format!("platform: starts {name}"));
        self.processes.retain(|it| it.name != name);
        self.processes.push(Process { name, child });
    }

    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes
            .iter_mut()
            .find(|it| it.name == name)
            .unwrap()
    }

    pub fn start_all(&mut self, entries: u8) {
        for keeper in 1..=3 {
            self.start(keeper, true);
        }
        for entry in 1..=entries {
            self.start(10 + entry, true);
        }
    }

    pub fn keeper_name(number: u8) -> String {
        format!("store-{}-1", ["a", "b", "c"][usize::from(number - 1)])
    }

    /// Log of a machine.
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }

    /// Sends an order of the operator to one node after the other until it is confirmed; returns the time
    /// of the confirmation, or `None` after `limit`.
    pub fn order(
        &self,
        method: &str,
        path: &str,
        body: &str,
        first: u8,
        limit: Duration,
    ) -> Option<(u64, Message)> {
        let end = Instant::now() + limit;
        let mut node = first;
        while Instant::now() < end {
            let address = self.control(node);
            self.record
                .line(&format!("operator: sends {method} {path} to keeper {node}"));
            let sent = call(
                address,
                method,
                path,
                &[("content-type", "application/json")],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            match sent {
                Ok(answer) if answer.status() / 100 == 2 => {
                    self.record.line(&format!(
                        "operator: {method} {path} is confirmed by keeper {node}"
                    ));
                    return Some((self.record.ms(), answer));
                }
                Ok(answer) => self.record.line(&format!(
                    "operator: keeper {node} answers {}",
                    answer.status()
                )),
                Err(error) => self
                    .record
                    .line(&format!("operator: no answer of keeper {node}: {error}")),
            }
            node = node % 3 + 1;
            thread::sleep(Duration::from_millis(150));
        }
        None
    }

    /// Ends all processes.
    pub fn stop(&mut self) {
        self.processes.clear();
        PIDS.lock().unwrap().clear();
        fs::remove_file(self.folder.join("pids")).ok();
        self.record.line("all processes are ended");
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if !self.processes.is_empty() {
            self.stop();
        }
    }
}

/// A request as an engine has seen it.
#[derive(Debug, Clone)]
pub struct Seen {
    pub at: u64,
    pub request: String,
}

/// How a model engine streams an item.
#[derive(Debug, Clone, Copy)]
pub struct Stream {
    pub events: u64,
    pub pause_ms: u64,
}

/// Engine of a plain service.
pub struct Engine {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub is_draining: AtomicBool,
    pub drain_confirmed_at: AtomicU64,
    pub is_gone: AtomicBool,
    pub seen: Mutex<Vec<Seen>>,
    /// Set on a model engine.
    pub stream: Option<Stream>,
    /// Number of accepted orders, and the version of the weights.
    weights: Mutex<(u64, u64)>,
    sequence: Mutex<u64>,
    /// Time of the last check-in; the next one follows heartbeat-ms later.
    checked_in_at: AtomicU64,
    keepers: Vec<SocketAddr>,
    record: Arc<Record>,
}

impl Engine {
    pub fn start(world: &World, id: &str, service: &str, zone: &str, number: u8) -> Arc<Self> {
        Self::start_with(world, id, service, zone, number, None)
    }

    pub fn start_with(
        world: &World,
        id: &str,
        service: &str,
        zone: &str,
        number: u8,
        stream: Option<Stream>,
    ) -> Arc<Self> {
        let address: SocketAddr = format!("{}.{number}:{}", world.net, world.port + 6)
            .parse()
            .unwrap();
        let listener = TcpListener::bind(address).unwrap();
        let engine = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            is_draining: AtomicBool::new(false),
            drain_confirmed_at: AtomicU64::new(0),
            is_gone: AtomicBool::new(false),
            seen: Mutex::default(),
            stream,
            weights: Mutex::new((0, 1)),
            sequence: Mutex::new(0),
            checked_in_at: AtomicU64::new(0),
            keepers: world.keepers(),
            record: Arc::clone(&world.record),
        });
        let server = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&server);
                thread::spawn(move || engine.serve(stream));
            }
        });
        let beats = Arc::clone(&engine);
        thread::spawn(move || {
            while !beats.is_gone.load(Ordering::SeqCst) {
                let last = beats.checked_in_at.load(Ordering::SeqCst);
                if last == 0 || beats.record.ms() >= last + HEARTBEAT_MS {
                    beats.check_in();
                }
                thread::sleep(Duration::from_millis(20));
            }
        });
        engine
    }

    /// Sends a check-in to one node after the other until it is acknowledged.
    pub fn check_in(&self) {
        // One at a time, so that the numbers go up in the order of sending.
        let mut sequence = self.sequence.lock().unwrap();
        self.checked_in_at
            .store(self.record.ms().max(1), Ordering::SeqCst);
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let version = self.weights.lock().unwrap().1;
        let models = match self.stream {
            Some(_) => format!("[{{\"name\":\"m\",\"version\":{version},\"adapters\":[]}}]"),
            None => "[]".to_owned(),
        };
        for keeper in self.keepers.iter().cycle().take(6) {
            *sequence += 1;
            let body = format!(
                "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"capacity\":12,\"state\":\"{state}\",\"cold-left-ms\":0,\"models\":{models},\"sequence\":{},\"born\":1700000000000}}",
                self.service, self.address, self.zone, *sequence
            );
            let path = format!("/-/instances/{}", self.id);
            let sent = call(
                *keeper,
                "PUT",
                &path,
                &[("content-type", "application/json")],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            if sent.is_ok_and(|it| it.status() / 100 == 2) {
                if is_draining {
                    self.record.line(&format!(
                        "engine {}: its check-in as draining is acknowledged",
                        self.id
                    ));
                    let now = self.record.ms();
                    self.drain_confirmed_at
                        .compare_exchange(0, now, Ordering::SeqCst, Ordering::SeqCst)
                        .ok();
                }
                return;
            }
        }
    }

    /// Answers a report or an order.
    fn control(&self, request: &Message) -> String {
        let mut weights = self.weights.lock().unwrap();
        let mut status = "200 OK";
        if request.start.starts_with("POST /-/order") {
            let text = request.text();
            let number = |name: &str| {
                let rest = text.split(&format!("\"{name}\":")).nth(1)?;
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse::<u64>().ok()
            };
            let version = number("version").unwrap_or(0);
            status = match number("expect") {
                Some(expect) if expect != weights.0 => "409 Conflict",
                _ if version == weights.1 => "200 OK",
                _ => {
                    *weights = (weights.0 + 1, version);
                    "202 Accepted"
                }
            };
            self.record.line(&format!(
                "engine {}: order for version {version} is answered {status}",
                self.id
            ));
        }
        let body = format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":{},\"adapters\":[]}}],\"busy\":false,\"sequence\":{},\"queue-depth\":0,\"running\":0,\"kv-used\":0,\"kv-total\":90000,\"handles\":0}}",
            weights.1, weights.0
        );
        format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Streams the events of an item; `None` once the caller has left.
    fn generate(&self, request: &Message, stream: Stream, writer: &mut TcpStream) -> Option<()> {
        let id = request
            .header("x-bergamotlane-request-id")
            .unwrap_or_default()
            .to_owned();
        if request
            .header("x-bergamotlane-expect-instance")
            .is_some_and(|it| it != self.id)
        {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nx-bergamotlane-request-id: {id}\r\nx-bergamotlane-not-run: 1\r\ncontent-length: 0\r\n\r\n"
            );
            return writer.write_all(text.as_bytes()).ok();
        }
        let last = request
            .header("last-event-id")
            .and_then(|it| it.parse::<u64>().ok());
        let first = last.map_or(1, |it| it + 1);
        let at = self.record.ms();
        self.record.line(&format!(
            "engine {}: runs item {id} from event {first}",
            self.id
        ));
        self.seen.lock().unwrap().push(Seen {
            at,
            request: id.clone(),
        });
        let version = self.weights.lock().unwrap().1;
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-bergamotlane-request-id: {id}\r\nx-bergamotlane-server-stamp: s.{}.{id}\r\nx-bergamotlane-weight-versions: {version}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes()).ok()?;
        for event in first..=stream.events {
            thread::sleep(Duration::from_millis(stream.pause_ms));
            let data = format!("id: {event}\ndata: {id} piece {event}\n\n");
            let chunk = format!("{:x}\r\n{data}\r\n", data.len());
            if writer.write_all(chunk.as_bytes()).is_err() {
                self.record.line(&format!(
                    "engine {}: item {id} is dropped before event {event}",
                    self.id
                ));
                return None;
            }
        }
        writer.write_all(b"0\r\n\r\n").ok()?;
        self.record
            .line(&format!("engine {}: item {id} is complete", self.id));
        Some(())
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if request.start.contains(" /-/") {
                if writer.write_all(self.control(&request).as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if let Some(stream) = self.stream {
                if self.generate(&request, stream, &mut writer).is_none() {
                    return;
                }
                continue;
            }
            let id = request
                .header("x-bergamotlane-request-id")
                .unwrap_or_default()
                .to_owned();
            let expected = request
                .header("x-bergamotlane-expect-instance")
                .is_none_or(|it| it == self.id);
            let answer = match expected {
                true => {
                    let at = self.record.ms();
                    self.record.line(&format!(
                        "engine {}: runs request {id} ({})",
                        self.id, request.start
                    ));
                    self.seen.lock().unwrap().push(Seen {
                        at,
                        request: id.clone(),
                    });
                    thread::sleep(Duration::from_millis(10));
                    format!(
                        "HTTP/1.1 200 OK\r\nx-bergamotlane-request-id: {id}\r\nx-bergamotlane-server-stamp: s.{}.{id}\r\ncontent-length: 2\r\n\r\nok",
                        self.id
                    )
                }
                false => format!(
                    "HTTP/1.1 421 Misdirected Request\r\nx-bergamotlane-request-id: {id}\r\nx-bergamotlane-not-run: 1\r\ncontent-length: 0\r\n\r\n"
                ),
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}

/// Makes a call about a batch job at an entry, records it and returns the answer.
pub fn job_call(
    record: &Record,
    front: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    body: &str,
) -> Option<Message> {
    job_call_as(record, KEY, front, method, path, id, body)
}

/// As [`job_call`], with another key.
pub fn job_call_as(
    record: &Record,
    key: &str,
    front: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    body: &str,
) -> Option<Message> {
    let headers = [
        ("host", HOST),
        ("authorization", key),
        ("x-bergamotlane-request-id", id),
        ("content-type", "application/json"),
    ];
    let sent = call(
        front,
        method,
        path,
        &headers,
        body.as_bytes(),
        Duration::from_secs(3),
    )
    .ok();
    let status = sent.as_ref().map_or(0, Message::status);
    let text = sent.as_ref().map(Message::text).unwrap_or_default();
    let short: String = text.chars().take(160).collect();
    record.line(&format!(
        "trainer: {method} {path} is answered {status} {short}"
    ));
    sent
}

/// Sends a request to an entry, records it and returns the status, or 0 without an answer.
pub fn request(world_record: &Record, front: SocketAddr, path: &str, id: &str) -> u16 {
    world_record.line(&format!("requester: sends {id} {path}"));
    let headers = [
        ("host", HOST),
        ("authorization", KEY),
        ("x-bergamotlane-request-id", id),
        ("x-bergamotlane-deadline-ms", "1500"),
    ];
    let sent = call(
        front,
        "POST",
        path,
        &headers,
        b"look",
        Duration::from_millis(1_600),
    );
    let status = sent.map_or(0, |it| it.status());
    world_record.line(&format!("requester: {id} is answered {status}"));
    status
}
