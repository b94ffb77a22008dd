//! A trainer with large steps carries groups over after its engines were down for some seconds.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http::Message;
use crate::http::call;
use crate::http::read_message;
use crate::world::HEARTBEAT_MS;
use crate::world::HOST;
use crate::world::KEY;
use crate::world::Record;
use crate::world::World;
use crate::world::job_call;

/// Samples of a step ("10 trainers with 8,192 samples a step").
const ITEMS: usize = 8_192;

/// Items of a group.
const GROUP: usize = 4;

/// Steps that are completed before the disruption.
const STEPS: usize = 5;

/// The trainer's time budget for a step.
const STEP_MS: u64 = 12_000;

/// Length of the disruption: `for_s` of `cold_return`.
const DARK_MS: u64 = 4_500;

/// `cold-start-s`.
const COLD_MS: u64 = 3_000;

/// Time that an item takes.
const ITEM_MS: u64 = 400;

/// Time that a change of version takes.
const LOAD_MS: u64 = 900;

/// Slots of an engine.
const CAPACITY: u64 = 64;

/// Numbers of the engines' addresses.
const ENGINES: [u8; 6] = [41, 42, 43, 44, 45, 46];

/// `ack-ms`.
const ACK_MS: u64 = 4_000;

/// Time for which the deployment is watched after the first try of the last submission.
const WATCH_MS: u64 = 30_000;

fn plan(version: u64) -> String {
    let timeout_ms = 10_000 + version;
    let text = "{\"version\":VERSION,\"routes\":[{\"name\":\"r-roll\",\"host\":\"desk.example\",\"path-prefix\":\"/roll/\",\"kind\":\"rollout\",\"timeout-ms\":TIMEOUT,\"target-latency-ms\":400,\"priority\":1,\"service\":\"llm\",\"max-attempts\":3,\"item-ttl-s\":40.0,\"result-deadline-ms\":7500,\"single-version\":false,\"auth-exempt\":false,\"sticky\":true,\"resumable\":true}],\"services\":[{\"name\":\"llm\",\"health-path\":\"/health\",\"max-conns\":170,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":14.0,\"engine\":{\"capacity\":64,\"kv-capacity-tokens\":31283,\"kv-token-bytes\":18432,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"mint\",\"api-keys\":[\"k9mint7f2\"],\"priority\":1}]}";
    text.replace("VERSION", &version.to_string())
        .replace("TIMEOUT", &timeout_ms.to_string())
}

/// Engine that streams one event an item. Its ID changes with each start.
struct FastEngine {
    number: u8,
    address: SocketAddr,
    keepers: Vec<SocketAddr>,
    starts: AtomicU64,
    started_at: AtomicU64,
    is_dark: AtomicBool,
    running: AtomicU64,
    /// Version of the weights, the one that is being loaded, and the number of accepted orders.
    weights: Mutex<(u64, Option<u64>, u64)>,
    /// Newest version that the trainer has named.
    newest: Arc<AtomicU64>,
    record: Arc<Record>,
}

impl FastEngine {
    fn start(world: &World, number: u8, newest: &Arc<AtomicU64>) -> Arc<Self> {
        let address: SocketAddr = format!("{}.{number}:{}", world.net, world.port + 6)
            .parse()
            .unwrap();
        let engine = Arc::new(Self {
            number,
            address,
            keepers: world.keepers(),
            starts: AtomicU64::new(1),
            started_at: AtomicU64::new(0),
            is_dark: AtomicBool::new(false),
            running: AtomicU64::new(0),
            weights: Mutex::new((1, None, 0)),
            newest: Arc::clone(newest),
            record: Arc::clone(&world.record),
        });
        let listener = TcpListener::bind(address).unwrap();
        let server = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let engine = Arc::clone(&server);
                thread::spawn(move || engine.serve(stream));
            }
        });
        let beats = Arc::clone(&engine);
        thread::spawn(move || beats.check_in_always());
        engine
    }

    fn id(&self) -> String {
        format!("i-{}-{}", self.number, self.starts.load(Ordering::SeqCst))
    }

    /// Milliseconds for which the engine stays cold; those that were there from the start are warm.
    fn cold_left_ms(&self) -> u64 {
        let started_at = self.started_at.load(Ordering::SeqCst);
        match started_at {
            0 => 0,
            at => (at + COLD_MS).saturating_sub(self.record.ms()),
        }
    }

    fn check_in_always(&self) {
        let mut sequence = 0;
        loop {
            let id = self.id();
            let mut waited = 0;
            if !self.is_dark.load(Ordering::SeqCst) {
                for keeper in self.keepers.iter().cycle().take(3) {
                    sequence += 1;
                    let start = self.starts.load(Ordering::SeqCst);
                    let body = format!(
                        "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\"capacity\":{CAPACITY},\"state\":\"ready\",\"cold-left-ms\":{},\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":{},\"adapters\":[]}}],\"sequence\":{sequence},\"born\":{}}}",
                        self.address,
                        self.cold_left_ms(),
                        self.weights.lock().unwrap().0,
                        1_700_000_000_000_u64 + start * 60_000
                    );
                    let path = format!("/-/instances/{id}");
                    let limit = Duration::from_secs(1);
                    let sent = call(*keeper, "PUT", &path, &[], body.as_bytes(), limit);
                    if sent.is_ok_and(|it| it.status() == 200) {
                        break;
                    }
                }
            }
            while waited < HEARTBEAT_MS && self.id() == id {
                thread::sleep(Duration::from_millis(20));
                waited += 20;
            }
        }
    }

    /// Falls silent for [`DARK_MS`] and comes back as another start, cold.
    fn go_dark(&self) {
        self.is_dark.store(true, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(DARK_MS));
        self.started_at.store(self.record.ms(), Ordering::SeqCst);
        self.starts.fetch_add(1, Ordering::SeqCst);
        self.running.store(0, Ordering::SeqCst);
        // A new engine has the newest version, and knows nothing of earlier orders.
        *self.weights.lock().unwrap() = (self.newest.load(Ordering::SeqCst), None, 0);
        self.is_dark.store(false, Ordering::SeqCst);
    }

    /// Answers a report or an order, which takes [`LOAD_MS`]; runs go on under the new version.
    fn answer_control(self: &Arc<Self>, request: &Message) -> String {
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
            let differs = number("expect").is_some_and(|it| it != weights.2);
            if version > self.newest.load(Ordering::SeqCst) {
                status = "400 Bad Request";
            } else if differs || weights.1.is_some() {
                status = "409 Conflict";
            } else if version != weights.0 {
                status = "202 Accepted";
                weights.1 = Some(version);
                weights.2 += 1;
                let engine = Arc::clone(self);
                let own_start = self.starts.load(Ordering::SeqCst);
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(LOAD_MS));
                    let mut weights = engine.weights.lock().unwrap();
                    if engine.starts.load(Ordering::SeqCst) == own_start {
                        weights.0 = version;
                        weights.1 = None;
                    }
                });
            }
        }
        let body = format!(
            "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":{},\"adapters\":[]}}],\"busy\":{},\"sequence\":{},\"queue-depth\":0,\"running\":{},\"kv-used\":0,\"kv-total\":90000,\"handles\":0}}",
            weights.0,
            weights.1.is_some(),
            weights.2,
            self.running.load(Ordering::SeqCst)
        );
        format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        let own_start = self.starts.load(Ordering::SeqCst);
        // A channel ends with the start that it was opened to; while the engine is dark, nothing is said.
        let is_alive = || {
            while self.is_dark.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
            }
            self.starts.load(Ordering::SeqCst) == own_start
        };
        while let Ok(Some(request)) = read_message(&mut reader) {
            if !is_alive() {
                return None;
            }
            let id = request
                .header("x-bergamotlane-request-id")
                .unwrap_or_default()
                .to_owned();
            let refuse = |status: &str| {
                format!(
                    "HTTP/1.1 {status}\r\nx-bergamotlane-request-id: {id}\r\nx-bergamotlane-not-run: 1\r\ncontent-length: 0\r\n\r\n"
                )
            };
            if request
                .header("x-bergamotlane-expect-instance")
                .is_some_and(|it| it != self.id())
            {
                writer
                    .write_all(refuse("421 Misdirected Request").as_bytes())
                    .ok()?;
                continue;
            }
            if request.start.contains(" /-/") {
                let text = self.answer_control(&request);
                writer.write_all(text.as_bytes()).ok()?;
                continue;
            }
            let (version, loading, _) = *self.weights.lock().unwrap();
            let expected = request.header("x-bergamotlane-expect-version");
            if expected.is_some_and(|it| it != version.to_string()) {
                writer
                    .write_all(refuse("421 Misdirected Request").as_bytes())
                    .ok()?;
                continue;
            }
            if loading.is_some() {
                writer
                    .write_all(refuse("503 Service Unavailable").as_bytes())
                    .ok()?;
                continue;
            }
            if self.running.fetch_add(1, Ordering::SeqCst) >= CAPACITY {
                self.running.fetch_sub(1, Ordering::SeqCst);
                writer
                    .write_all(refuse("503 Service Unavailable").as_bytes())
                    .ok()?;
                continue;
            }
            thread::sleep(Duration::from_millis(ITEM_MS));
            if !is_alive() {
                return None;
            }
            self.running.fetch_sub(1, Ordering::SeqCst);
            // The only event is made now, under the version of now.
            let version = self.weights.lock().unwrap().0;
            let event = format!("id: 1\ndata: {id} whole\n\n");
            let text = format!(
                "HTTP/1.1 200 OK\r\nx-bergamotlane-request-id: {id}\r\nx-bergamotlane-server-stamp: s.{id}\r\nx-bergamotlane-weight-versions: {version}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n0\r\n\r\n",
                event.len()
            );
            writer.write_all(text.as_bytes()).ok()?;
        }
        Some(())
    }
}

/// What the operator sees while the trainer asks for its step.
#[derive(Default)]
struct Watch {
    orders: u32,
    /// Orders without a confirmation after `ack-ms`, with 3 ms more for the route.
    unconfirmed: u32,
}

/// Sends a new desired state to one node after the other. Returns whether it is confirmed in time.
fn is_confirmed(record: &Record, keepers: &[SocketAddr], version: u64) -> bool {
    let sent_at = record.ms();
    let body = plan(version);
    for keeper in keepers.iter().cycle() {
        let left_ms = (sent_at + ACK_MS + 3).saturating_sub(record.ms());
        if left_ms == 0 {
            break;
        }
        let limit = Duration::from_millis(left_ms.min(1_000));
        let sent = call(*keeper, "PUT", "/-/config", &[], body.as_bytes(), limit);
        let status = sent.map_or(0, |it| it.status());
        let took = record.ms() - sent_at;
        record.line(&format!("operator: version {version} is answered {status} by {keeper}, {took} ms after it was first sent"));
        if status == 200 && took <= ACK_MS + 3 {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!(
        "operator: version {version} has no confirmation after ack-ms"
    ));
    false
}

/// Items of a step, as indexes of the trainer's samples.
fn step_body(step: usize, samples: &[usize]) -> String {
    let items: Vec<String> = samples
        .iter()
        .map(|it| {
            format!(
                "{{\"id\":\"p{it:07}\",\"path\":\"/roll/3/91c4\",\"headers\":{{\"X-Bergamotlane-Model\":\"m\",\"X-Bergamotlane-Token-Count\":\"16,10\"}},\"body\":\"q83vEjRWeJA=\",\"token-count\":26,\"group-id\":\"g{:06}\"}}",
                it / GROUP
            )
        })
        .collect();
    let desired = samples.len() / GROUP;
    format!(
        "{{\"train-step\":{step},\"model\":\"m\",\"desired\":{desired},\"min-version\":{},\"items\":[{}]}}",
        step.max(1),
        items.join(",")
    )
}

/// Reads a step as a trainer does until all is listed or its time is up. Returns the samples that were not
/// listed.
fn read_step(world: &World, step: usize, samples: &[usize], until: u64) -> Vec<usize> {
    let mut missing: std::collections::BTreeSet<usize> = samples.iter().copied().collect();
    let mut after = 0;
    while !missing.is_empty() && world.record.ms() < until {
        let path = format!("/-/lots/step{step}?after={after}");
        let answer = job_call(&world.record, world.front(1), "GET", &path, "read", "");
        let text = answer
            .filter(|it| it.status() == 200)
            .map(|it| it.text())
            .unwrap_or_default();
        let ids = text.split("{\"id\":\"p").skip(1);
        let found: Vec<usize> = ids.filter_map(|it| it.get(..7)?.parse().ok()).collect();
        after += found.len();
        if found.is_empty() {
            thread::sleep(Duration::from_millis(500));
        }
        for it in found {
            missing.remove(&it);
        }
    }
    missing.into_iter().collect()
}

pub fn run(folder: &str, temporary: &str, has_trouble: bool) -> i32 {
    let mut world = World::new(folder, temporary);
    world.start_all(2);
    let record = Arc::clone(&world.record);
    let newest = Arc::new(AtomicU64::new(1));
    let engines: Vec<Arc<FastEngine>> = ENGINES
        .iter()
        .map(|it| FastEngine::start(&world, *it, &newest))
        .collect();
    if world
        .order("PUT", "/-/config", &plan(3), 1, Duration::from_secs(20))
        .is_none()
    {
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let mut next_sample = 0;
    let mut carried: Vec<usize> = Vec::new();
    for step in 0..=STEPS {
        let mut samples: Vec<usize> = carried.clone();
        samples.extend(next_sample..next_sample + ITEMS - carried.len());
        next_sample += ITEMS - carried.len();
        let body = step_body(step, &samples);
        let begun = record.ms();
        let mut is_accepted = false;
        while !is_accepted && record.ms() < begun + STEP_MS {
            let answer = job_call(
                &record,
                world.front(1),
                "POST",
                &format!("/roll/step{step}"),
                &format!("step{step}"),
                &body,
            );
            is_accepted = answer.is_some_and(|it| it.status() == 202);
        }
        if !is_accepted {
            return 2;
        }
        if has_trouble && step == STEPS {
            thread::sleep(Duration::from_millis(700));
            record
                .line("disruption: the engines of the zone are dark for 4.5 s, and come back cold");
            for engine in &engines {
                let engine = Arc::clone(engine);
                thread::spawn(move || engine.go_dark());
            }
        }
        let missing = read_step(&world, step, &samples, begun + STEP_MS);
        record.line(&format!(
            "trainer: step {step} has {} of {ITEMS} samples after {} ms, and is ended",
            ITEMS - missing.len(),
            record.ms() - begun
        ));
        job_call(
            &record,
            world.front(1),
            "DELETE",
            &format!("/-/lots/step{step}"),
            "end",
            "",
        );
        // It trains, and names the next version: engines begin with 1, and step k asks for k and newer.
        thread::sleep(Duration::from_millis(500));
        let version = step as u64 + 2;
        newest.store(version, Ordering::SeqCst);
        let body = format!("{{\"model\":\"m\",\"version\":{version}}}");
        let limit = Duration::from_secs(8);
        if world
            .order("POST", "/-/version-put", &body, 1, limit)
            .is_none()
        {
            return 2;
        }
        // Groups that were not complete come again, with all their items, as at most half of the next step.
        let mut groups: Vec<usize> = missing.iter().map(|it| it / GROUP).collect();
        groups.dedup();
        groups.truncate(ITEMS / GROUP / 2);
        carried = groups
            .iter()
            .flat_map(|it| it * GROUP..(it + 1) * GROUP)
            .collect();
    }
    record.line(&format!(
        "trainer: carries {} groups over",
        carried.len() / GROUP
    ));
    let step = STEPS + 1;
    let mut samples: Vec<usize> = carried.clone();
    samples.extend(next_sample..next_sample + ITEMS - carried.len());
    let body = step_body(step, &samples);
    // Nothing is disturbed from here on. The trainer asks for its step, and others of the tenant read an
    // earlier one and the operator reads the desired state, all at once.
    let asked_at = record.ms();
    let operator = {
        let record = Arc::clone(&record);
        let (front, keepers) = (world.front(2), world.keepers());
        thread::spawn(move || {
            let mut watch = Watch::default();
            for version in 4.. {
                if record.ms() + ACK_MS > asked_at + WATCH_MS {
                    break;
                }
                watch.orders += 1;
                watch.unconfirmed += u32::from(!is_confirmed(&record, &keepers, version));
                let headers = [
                    ("host", HOST),
                    ("authorization", KEY),
                    ("x-bergamotlane-request-id", "other"),
                ];
                let limit = Duration::from_secs(3);
                let read = call(front, "GET", "/-/lots/step1?after=0", &headers, b"", limit);
                let read = read.map_or(0, |it| it.status());
                record.line(&format!("others: a read of step 1 is answered {read}"));
                thread::sleep(Duration::from_millis(500));
            }
            watch
        })
    };
    let mut is_accepted = false;
    let mut tries = 0;
    while !is_accepted && record.ms() < asked_at + WATCH_MS {
        tries += 1;
        let front = world.front(1 + tries as u8 % 2);
        let answer = job_call(
            &record,
            front,
            "POST",
            &format!("/roll/step{step}"),
            &format!("step{step}"),
            &body,
        );
        is_accepted = answer.is_some_and(|it| it.status() == 202);
        if !is_accepted {
            thread::sleep(Duration::from_millis(200));
        }
    }
    let Watch {
        orders,
        unconfirmed,
    } = operator.join().unwrap();
    let leaders: usize = (1..=3)
        .map(|it| {
            world
                .log(&World::keeper_name(it))
                .matches("lead: begun")
                .count()
        })
        .sum();
    world.stop();
    let text = format!(
        "the next step, with {} items carried over, was accepted: {is_accepted} ({tries} tries in 30 s); {unconfirmed} of {orders} new desired states had no confirmation after ack-ms; {leaders} leaderships by the logs",
        carried.len()
    );
    record.line(&format!("result: {text}"));
    println!("{text}");
    i32::from(!is_accepted && unconfirmed > 0)
}
