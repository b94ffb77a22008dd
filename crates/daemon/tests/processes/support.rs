//! A group of real daemons and stand-ins on loopback, ended by PID.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use reqwest::Method;
use serde_json::Value;
use tempfile::TempDir;

/// Key that operators show.
const OPERATOR_KEY: &str = "test-operator-key-0123456789";

/// Longest wait for something that must happen.
const PATIENCE: Duration = Duration::from_secs(60);

/// Pause between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// First port used by tests.
const FIRST_PORT: u16 = 18_500;

/// Ports of one test process, and how many test processes may run side by side.
const PORTS_PER_SPAN: u16 = 1_000;
const PORT_SPANS: u16 = 14;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A process that ends with its handle.
pub struct Process {
    child: Child,
}

impl Process {
    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status();
        assert!(
            status.is_ok_and(|it| it.success()),
            "could not signal {pid}"
        );
    }

    /// Ends the process at once, as a crash would.
    pub fn crash(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Waits until the process has ended by itself; returns whether it did so cleanly.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|it| it.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // A stopped process takes the kill as well.
        self.crash();
    }
}

/// Addresses of one daemon.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub targets: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// Daemons, platform and targets.
pub struct Cluster {
    folder: TempDir,
    pub daemons: Vec<Option<Process>>,
    pub addresses: Vec<Addresses>,
    pub platform: SocketAddr,
    pub client: reqwest::Client,
    standins: Vec<Process>,
    disks: usize,
    voters: usize,
}

/// Returns an address that nobody listens on, below the range that the system hands out
/// for outgoing connections, so that none of those takes it before its daemon starts.
fn free_address() -> SocketAddr {
    loop {
        let place = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let spread = std::process::id() as u16 % PORT_SPANS * PORTS_PER_SPAN;
        let port = FIRST_PORT + (spread + place) % (PORT_SPANS * PORTS_PER_SPAN);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}

fn example(name: &str) -> PathBuf {
    let daemon = Path::new(env!("CARGO_BIN_EXE_bergamotlaned"));
    daemon.parent().unwrap().join("examples").join(name)
}

/// Returns the first sample sheet, with a shorter deadline for generations: a new leader
/// waits that long before it grants slots of a cold engine that it doesn't know of.
fn sheet() -> Vec<u8> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let sheet = fs::read_to_string(root.join("examples/sheets/nilecraft.csv")).unwrap();
    sheet.replace(",60000,", ",10000,").into_bytes()
}

impl Cluster {
    /// Starts `count` daemons, of which the first `disks` have a disk and `voters` vote,
    /// and applies the first sample sheet.
    pub async fn start(count: usize, disks: usize, voters: usize) -> Self {
        let addresses = (0..count)
            .map(|_| Addresses {
                callers: free_address(),
                targets: free_address(),
                operators: free_address(),
                peers: free_address(),
            })
            .collect();
        let mut cluster = Self {
            folder: tempfile::tempdir().unwrap(),
            daemons: (0..count).map(|_| None).collect(),
            addresses,
            platform: free_address(),
            client: reqwest::Client::new(),
            standins: Vec::new(),
            disks,
            voters,
        };
        let key = cluster.folder.path().join("operator.key");
        fs::write(key, OPERATOR_KEY).unwrap();
        let key = cluster.folder.path().join("cluster.key");
        fs::write(key, "test-cluster-key-0123456789").unwrap();
        let platform = cluster.platform.to_string();
        cluster.spawn("platform", &["--listen", &platform]);
        for place in 0..count {
            cluster.start_daemon(place);
        }
        let formed = async |cluster: &Self| {
            let status = cluster.status(0).await;
            status["formed"] == true && status["instances"].as_array().unwrap().len() == count
        };
        cluster.until("the group forms", formed).await;
        let answer = cluster.operate(0, Method::PUT, "/v1/sheet?number=1&wait=in-force", sheet());
        assert_eq!(answer.await["in_force"], true);
        cluster
    }

    fn spawn(&mut self, name: &str, arguments: &[&str]) {
        let mut command = Command::new(example(name));
        command
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        let child = command.spawn().expect("stand-in starts");
        self.standins.push(Process { child });
    }

    /// Starts daemon `place`, on the data folder that it had before.
    pub fn start_daemon(&mut self, place: usize) {
        let own = self.addresses[place];
        let path = self.folder.path();
        let seeds: Vec<String> = self.addresses[..self.disks.min(3)]
            .iter()
            .map(|it| it.peers.to_string())
            .collect();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path.join(format!("daemon{place}.log")))
            .unwrap();
        let zones = ["cai-a", "cai-b", "cai-c"];
        let mut command = Command::new(env!("CARGO_BIN_EXE_bergamotlaned"));
        command
            .args([
                "--name",
                &format!("entry{place}"),
                "--zone",
                zones[place % 3],
            ])
            .args([
                "--peers",
                &own.peers.to_string(),
                "--seeds",
                &seeds.join(","),
            ])
            .args(["--callers", &own.callers.to_string()])
            .args(["--targets", &own.targets.to_string()])
            .args(["--operators", &own.operators.to_string()])
            .args(["--platform", &self.platform.to_string()])
            .args(["--founder", "entry0", "--voters", &self.voters.to_string()])
            .args(["--voter-lost-ms", "2500", "--window-ms", "700"])
            .args(["--shrink-ms", "300", "--drain-ms", "2000"])
            .arg("--cluster-key-file")
            .arg(path.join("cluster.key"))
            .arg("--operator-key-file")
            .arg(path.join("operator.key"));
        if place < self.disks {
            command.arg("--data").arg(self.data(place));
        }
        let child = command.stderr(log).spawn().expect("daemon starts");
        self.daemons[place] = Some(Process { child });
    }

    /// Returns the data folder of a daemon.
    pub fn data(&self, place: usize) -> PathBuf {
        self.folder.path().join(format!("data{place}"))
    }

    /// Returns a running daemon's process.
    pub fn daemon(&mut self, place: usize) -> &mut Process {
        self.daemons[place].as_mut().expect("daemon was started")
    }

    /// Starts a stand-in target of `service` and waits until all daemons know it.
    pub async fn target(&mut self, kind: &str, service: &str, more: &[&str]) -> SocketAddr {
        let address = free_address();
        let listen = address.to_string();
        let entries: Vec<String> = self
            .addresses
            .iter()
            .map(|it| it.targets.to_string())
            .collect();
        let (entries, key) = (entries.join(","), format!("{service}-target-key"));
        let mut arguments = vec!["--listen", &listen, "--service", service];
        arguments.extend(["--key", &key, "--entries", &entries]);
        if !more.contains(&"--zone") {
            arguments.extend(["--zone", "cai-a"]);
        }
        arguments.extend(more);
        self.spawn(kind, &arguments);
        for place in 0..self.addresses.len() {
            let known = async |cluster: &Self| {
                let targets = cluster.operate(place, Method::GET, "/v1/targets", Vec::new());
                let targets = targets.await;
                let mut targets = targets.as_array().unwrap().iter();
                targets.any(|it| it["address"] == listen)
            };
            self.until("the target is known", known).await;
        }
        address
    }

    /// Sends an operator's request to a daemon; returns null if there is no answer.
    pub async fn operate(&self, place: usize, method: Method, path: &str, body: Vec<u8>) -> Value {
        let url = format!("http://{}{path}", self.addresses[place].operators);
        let request = self.client.request(method, url).bearer_auth(OPERATOR_KEY);
        match request.body(body).timeout(PATIENCE).send().await {
            Ok(response) => response.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        }
    }

    /// Returns the status as a daemon sees it.
    pub async fn status(&self, place: usize) -> Value {
        self.operate(place, Method::GET, "/v1/status", Vec::new())
            .await
    }

    /// Returns the place of the leader as a daemon knows it.
    pub async fn leader(&self, place: usize) -> Option<usize> {
        let status = self.status(place).await;
        let name = status["leader"].as_str()?;
        name.strip_prefix("entry")?.parse().ok()
    }

    /// Returns a caller's request to a daemon.
    pub fn call(&self, place: usize, method: Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.addresses[place].callers);
        let request = self.client.request(method, url);
        request.bearer_auth("state-mint-demo-key").timeout(PATIENCE)
    }

    /// Returns what a stand-in recorded.
    pub async fn audit(&self, address: SocketAddr) -> Value {
        let url = format!("http://{address}/audit");
        let response = self.client.get(url).send().await.unwrap();
        response.json().await.unwrap()
    }

    /// Orders a fault at a stand-in.
    pub async fn fault(&self, address: SocketAddr, kind: &str, count: u32) {
        let url = format!("http://{address}/faults");
        let body = serde_json::json!({ "kind": kind, "count": count });
        self.client.post(url).json(&body).send().await.unwrap();
    }

    /// Waits until `check` holds.
    pub async fn until(&self, what: &str, check: impl AsyncFn(&Self) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !check(self).await {
            if Instant::now() > end {
                for place in 0..self.addresses.len() {
                    let log = self.folder.path().join(format!("daemon{place}.log"));
                    eprintln!("{}", fs::read_to_string(log).unwrap_or_default());
                }
                panic!("gave up waiting until {what}");
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Runs the stand-in trainer and returns its report.
    pub async fn train(&self, arguments: &[&str]) -> tokio::task::JoinHandle<Value> {
        let entries: Vec<String> = self
            .addresses
            .iter()
            .map(|it| it.callers.to_string())
            .collect();
        let mut command = tokio::process::Command::new(example("trainer"));
        command
            .args([
                "--entries",
                &entries.join(","),
                "--trainer",
                "relief-trainer",
            ])
            .args(["--key", "relief-trainer-demo-key"])
            .args(arguments)
            .kill_on_drop(true);
        tokio::spawn(async move {
            let output = command.output().await.expect("trainer runs");
            serde_json::from_slice(&output.stdout).unwrap_or_default()
        })
    }
}
