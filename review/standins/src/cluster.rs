//! Starts the project's program and engines as processes on loopback addresses of their own.

use std::env;
use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http::Message;
use crate::http::call;
use crate::unix_ms;

/// Program of the deploy file, in the root of the repository.
const PROGRAM: &str = "target/release/bergamotlane-platform";

/// Longest wait for something that has to come true before a case can begin.
const SETUP_LIMIT: Duration = Duration::from_secs(25);

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Key of the only tenant.
pub const KEY: &str = "3d3zji9n73hh2b9wu3fe";

/// Host of all routes.
pub const HOST: &str = "ficu95.example";

/// What a case writes down for its reader.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt");
        Self {
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Writes a line with the time of day in milliseconds.
    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().expect("record.txt");
        writeln!(file, "{} {line}", unix_ms()).ok();
    }
}

/// Ends the case because it could not run.
pub fn could_not_run(record: &Record, why: &str) -> ! {
    record.note(&format!("could not run: {why}"));
    panic!("could not run: {why}");
}

/// IDs of the processes that were started and not yet ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case with 2, and all that it started, if it takes longer than it may.
pub fn limit_time(record: &Record) {
    let record = record.clone();
    thread::spawn(move || {
        sleep(TIME_LIMIT);
        record.note("could not run: it took too long");
        for id in STARTED.lock().expect("processes").iter() {
            let id = id.to_string();
            Command::new("kill").args(["-KILL", &id]).status().ok();
        }
        std::process::exit(2);
    });
}

/// A process that is killed on drop.
pub struct Process {
    child: Child,
}

impl Process {
    fn new(child: Child) -> Self {
        STARTED.lock().expect("processes").push(child.id());
        Self { child }
    }
}

impl Process {
    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Writes a line to the process's standard input.
    pub fn tell(&mut self, line: &str) {
        if let Some(input) = &mut self.child.stdin {
            writeln!(input, "{line}").ok();
        }
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        let id = self.child.id();
        STARTED.lock().expect("processes").retain(|it| *it != id);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Settings that the cases choose.
#[derive(Clone, Copy)]
pub struct Layout {
    pub keepers: u8,
    pub entries: u8,
}

/// Keepers, entries and engines of a small deployment.
pub struct Cluster {
    pub record: Record,
    pub folder: PathBuf,
    net: String,
    port: u16,
    layout: Layout,
    keepers: Vec<Option<Process>>,
    entries: Vec<Option<Process>>,
}

const ZONES: [&str; 3] = ["piedmont-a", "piedmont-b", "piedmont-c"];

impl Cluster {
    /// Starts the keepers and entries.
    pub fn start(record: &Record, layout: Layout) -> Self {
        let id = std::process::id();
        let folder = env::temp_dir().join(format!("review-{id}"));
        fs::create_dir_all(folder.join("engines")).expect("temporary folder");
        let net = format!("127.{}.{}", 64 + (id >> 8) % 128, id % 256);
        let mut cluster = Self {
            record: record.clone(),
            folder,
            port: free_port(&net),
            net,
            layout,
            keepers: Vec::new(),
            entries: Vec::new(),
        };
        let platform = cluster.address(200, 9);
        thread::spawn(move || stand_in_for_platform(platform));
        for number in 0..layout.keepers {
            let process = cluster.start_keeper(number, true);
            cluster.keepers.push(Some(process));
        }
        for number in 0..layout.entries {
            let process = cluster.start_entry(number, true);
            cluster.entries.push(Some(process));
        }
        cluster
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let text = format!("{}.{host}:{}", self.net, self.port + port);
        text.parse().expect("loopback address")
    }

    pub fn control(&self, keeper: u8) -> SocketAddr {
        self.address(1 + keeper, 4)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.layout.keepers)
            .map(|it| self.control(it))
            .collect()
    }

    pub fn front(&self, entry: u8) -> SocketAddr {
        self.address(21 + entry, 5)
    }

    pub fn engine_address(&self, host: u8) -> SocketAddr {
        self.address(101 + host, 7)
    }

    fn start_keeper(&self, number: u8, is_first: bool) -> Process {
        let name = format!("store-{}-{number}", ZONES[number as usize % 3]);
        self.start_process(&name, 1 + number, number, true, is_first)
    }

    fn start_entry(&self, number: u8, is_first: bool) -> Process {
        let name = format!("front-{}-{number}", ZONES[number as usize % 3]);
        self.start_process(&name, 21 + number, number, false, is_first)
    }

    /// Writes the settings file as on the users' page, and starts the program.
    fn start_process(
        &self,
        name: &str,
        host: u8,
        number: u8,
        is_keeper: bool,
        is_first: bool,
    ) -> Process {
        let zone = ZONES[number as usize % 3];
        let ip = format!("{}.{host}", self.net);
        let seeds: Vec<String> = self
            .controls()
            .iter()
            .map(|it| format!("\"{it}\""))
            .collect();
        let (role, class, serves, listen, limits) = match is_keeper {
            true => (
                "keeper",
                "store",
                "\"store\",\"control\"",
                format!("control = \"{}\"", self.address(host, 4)),
                "cpu-share = 0.5\nmemory-mb = 130\nmax-fds = 8200\nlink-mbps = 600.0\ndisk-mb = 380",
            ),
            false => (
                "entry",
                "front",
                "\"front\"",
                format!(
                    "front = \"{}\"\nready = \"{}\"",
                    self.address(host, 5),
                    self.address(host, 6)
                ),
                "cpu-share = 0.25\nmemory-mb = 110\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0",
            ),
        };
        let data = self.folder.join(name);
        let zones: Vec<String> = ZONES
            .iter()
            .map(|it| format!("{it} = \"piedmont\""))
            .collect();
        let text = format!(
            "node = \"{name}\"\nrole = \"{role}\"\nmachine-class = \"{class}\"\nserves = [{serves}]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"piedmont\"\n\
             internal-ports = [{},{}]\nseed-nodes = [{}]\nbootstrap = {is_first}\n\
             loss-counts = {is_keeper}\ndiscovery = \"register\"\nentry = \"vip\"\n\
             heartbeat-ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"samples\",\"stream\",\
             \"engine\",\"batch\",\"tenants\",\"leader\",\"places\"]\nconfig-mode = \"highest\"\n\
             data-dir = {data:?}\n[zones]\n{}\n[listen]\n{listen}\n[limits]\n{limits}\ncpu-cores = 1\n\
             [fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\n{}\n\
             [cloud]\naddress = \"{}\"\nrate-per-s = 50.0\n\
             duties = [\"usage_reporting\",\"autoscaling\"]\nduty-per-s = 50.0\n",
            self.port,
            self.port + 3,
            seeds.join(","),
            zones.join("\n"),
            BOUNDS,
            self.address(200, 9),
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).expect("settings file");
        let log = self.folder.join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new(PROGRAM)
            .env("BERGAMOTLANE_BOOT", path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => Process::new(child),
            Err(error) => could_not_run(&self.record, &format!("{PROGRAM}: {error}")),
        }
    }

    /// Starts an engine; `options` are further arguments of it.
    pub fn start_engine(&self, id: &str, host: u8, options: &[&str]) -> Process {
        let controls: Vec<String> = self.controls().iter().map(ToString::to_string).collect();
        let program = env::current_exe().expect("own program");
        let child = Command::new(program)
            .arg("engine")
            .arg(format!("id={id}"))
            .arg(format!("address={}", self.engine_address(host)))
            .arg(format!("controls={}", controls.join(",")))
            .arg(format!(
                "log={}",
                self.folder.join("engines").join(id).display()
            ))
            .args(options)
            .stdin(Stdio::null())
            .spawn();
        self.record
            .note(&format!("engine {id}: started, {}", options.join(" ")));
        Process::new(child.expect("engine"))
    }

    /// Returns the lines that the engines wrote: time, ID and what happened.
    pub fn engine_log(&self) -> Vec<(u64, String, String)> {
        let files = fs::read_dir(self.folder.join("engines"))
            .into_iter()
            .flatten();
        let texts = files.filter_map(|it| fs::read_to_string(it.ok()?.path()).ok());
        let text: String = texts.collect();
        let mut lines: Vec<(u64, String, String)> = text
            .lines()
            .filter_map(|line| {
                let (time, rest) = line.split_once(' ')?;
                let (id, what) = rest.split_once(' ')?;
                Some((time.parse().ok()?, id.to_owned(), what.to_owned()))
            })
            .collect();
        lines.sort_by_key(|it| it.0);
        lines
    }

    /// Waits for a stream without a length that has been under way for `age`; returns its engine's ID.
    pub fn wait_unframed(&self, age: Duration, limit: Duration) -> Option<String> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let log = self.engine_log();
            let found = log.iter().find(|(at, engine, what)| {
                let Some(id) = what.strip_prefix("unframed ") else {
                    return false;
                };
                let ended = format!("ended stream {id} ");
                let has_ended = log
                    .iter()
                    .any(|it| it.1 == *engine && it.2.starts_with(&ended));
                !has_ended && unix_ms().saturating_sub(*at) >= age.as_millis() as u64
            });
            if let Some((_, engine, what)) = found {
                self.record
                    .note(&format!("engine {engine}: {what}, under way"));
                return Some(engine.clone());
            }
            sleep(Duration::from_millis(10));
        }
        None
    }

    /// Writes down what the engines say that they got and ran.
    pub fn record_engines(&self) {
        for (time, id, what) in self.engine_log() {
            self.record.note(&format!("engine {id} at {time}: {what}"));
        }
    }

    /// Sends an operator's order to the keepers in turn until one of them confirms it.
    pub fn order(&self, method: &str, path: &str, body: &str) -> Message {
        let end = Instant::now() + SETUP_LIMIT;
        let mut next = 0_u8;
        while Instant::now() < end {
            let control = self.control(next % self.layout.keepers);
            next += 1;
            let headers = [("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let answer = call(control, method, path, &headers, body.as_bytes(), limit);
            let status = answer.as_ref().map_or(0, Message::status);
            self.record
                .note(&format!("operator: {method} {path} at {control}: {status}"));
            match answer {
                Some(answer) if status / 100 == 2 => return answer,
                Some(_) if matches!(status, 400 | 409 | 412 | 413 | 422) => break,
                _ => sleep(Duration::from_millis(100)),
            }
        }
        could_not_run(&self.record, &format!("{method} {path} was not confirmed"))
    }

    /// Waits until all entries say that they are ready.
    pub fn wait_ready(&self) {
        let end = Instant::now() + SETUP_LIMIT;
        for entry in 0..self.layout.entries {
            let ready = self.address(21 + entry, 6);
            loop {
                let answer = call(ready, "GET", "/-/ready", &[], b"", Duration::from_secs(1));
                if answer.is_some_and(|it| it.status() == 200) {
                    break;
                }
                if Instant::now() > end {
                    could_not_run(&self.record, "an entry is not ready");
                }
                sleep(Duration::from_millis(50));
            }
        }
        self.record.note("all entries are ready");
    }

    /// Sends a request to an entry.
    pub fn request(
        &self,
        entry: u8,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
        limit: Duration,
    ) -> Option<Message> {
        let key = format!("Token {KEY}");
        let limit_ms = limit.as_millis().to_string();
        let mut all = vec![
            ("Host", HOST),
            ("Authorization", key.as_str()),
            ("X-Bergamotlane-Deadline-Ms", limit_ms.as_str()),
        ];
        all.extend_from_slice(headers);
        call(self.front(entry), method, path, &all, body, limit)
    }

    /// Returns the keeper that began to lead in the highest term, by the processes' logs.
    pub fn leader(&self) -> Option<u8> {
        let term = |number: u8| {
            let name = format!("store-{}-{number}.log", ZONES[number as usize % 3]);
            let log = fs::read_to_string(self.folder.join(name)).unwrap_or_default();
            let terms = log.lines().filter(|it| it.contains("lead: begun"));
            terms
                .filter_map(|line| {
                    let rest = line.split("\"term\":").nth(1)?;
                    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                    digits.parse::<u64>().ok()
                })
                .max()
        };
        let numbers = (0..self.layout.keepers).filter(|it| term(*it).is_some());
        numbers.max_by_key(|it| term(*it))
    }

    pub fn kill_keeper(&mut self, number: u8) {
        self.record.note(&format!("keeper {number}: killed"));
        if let Some(mut process) = self.keepers[number as usize].take() {
            process.kill();
        }
    }

    /// Stops a keeper as the platform does for planned work, and waits until it has ended.
    pub fn stop_keeper(&mut self, number: u8) {
        self.record.note(&format!("keeper {number}: SIGTERM"));
        if let Some(mut process) = self.keepers[number as usize].take() {
            let id = process.child.id().to_string();
            Command::new("kill").args(["-TERM", &id]).status().ok();
            process.child.wait().ok();
        }
        self.record.note(&format!("keeper {number}: ended"));
    }

    pub fn restart_keeper(&mut self, number: u8) {
        self.record.note(&format!("keeper {number}: started again"));
        let process = self.start_keeper(number, false);
        self.keepers[number as usize] = Some(process);
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.keepers.clear();
        self.entries.clear();
        if env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Bounds of the users' installation.
const BOUNDS: &str = "seed-lag-s = 3\naddr-reuse-s = 2\ncontact-ms = 3000\nack-ms = 4000\n\
    catch-up-s = 4.4\ndrain-ms = 2000\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2000\n\
    rollback-slack-ms = 250\nouter-ms = 5000\nfail-closed = false\nrevoke-ms = 5000\n\
    fencing-required = true\nlease-ms = 3000\nthaw-ms = 300\nusage-window-s = 5\n\
    usage-tolerance = 0.05\nusage-late-s = 10\ncold-over = 1.5\ncold-slack = 5\nevac-ms = 5000\n\
    recover-s = 12\npass-ms = 120\nretry-after-s = 0\nfinish-s = 10\nstatus-s = 120\n\
    cancel-ms = 3000\nsettle-ms = 1000\nquota-over = 0.1";

/// Returns the first of ten ports that are free on the net's addresses, below the ephemeral range.
fn free_port(net: &str) -> u16 {
    let begin = 20_000 + (std::process::id() % 1_000) as u16 * 10;
    let candidates = (0..200).map(|it| begin + it * 10);
    let mut candidates = candidates.filter(|port| {
        (0..10).all(|it| TcpListener::bind(format!("{net}.1:{}", port + it)).is_ok())
    });
    candidates.next().expect("free ports")
}

/// Stand-in of the platform's interface: takes all reports of use.
fn stand_in_for_platform(address: SocketAddr) {
    let Ok(listener) = TcpListener::bind(address) else {
        return;
    };
    for mut stream in listener.incoming().flatten() {
        thread::spawn(move || {
            let mut reader = crate::http::Reader::new();
            while reader.read(&mut stream, false).is_some() {
                let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(answer).is_err() {
                    return;
                }
            }
        });
    }
}
