//! Starts a cluster of daemons and stand-ins as child processes on the loopback interface.

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

use bergamotlane_standins::folder::TestFolder;

/// Key that operators send with their requests.
const OPERATOR_KEY: &str = "test-operator-key-0123456789";

/// Longest wait for a response or a condition before a test fails.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// First port that tests use.
const FIRST_PORT: u16 = 18_500;

/// Number of ports in the range of one test process.
const PORTS_PER_RANGE: u16 = 1_000;

/// Number of port ranges, which test processes that run at the same time share out by PID.
const PORT_RANGES: u16 = 14;

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// A child process, which is killed when its handle is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Sends a signal, given as an option of `kill` such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([name, &pid]).status();
        assert!(
            status.is_ok_and(|status| status.success()),
            "could not signal {pid}"
        );
    }

    /// Kills the process, without a chance to clean up.
    pub fn crash(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Waits until the process exits; returns whether it exited with status 0.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // SIGKILL also ends a process that is stopped by SIGSTOP.
        self.crash();
    }
}

/// Listening addresses of one daemon.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub callers: SocketAddr,
    pub targets: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

/// A running cluster: daemons, the platform and targets.
pub struct Cluster {
    folder: TestFolder,
    /// Processes of the daemons; `None` before the first start.
    pub daemons: Vec<Option<Process>>,
    pub addresses: Vec<Addresses>,
    pub platform: SocketAddr,
    pub client: reqwest::Client,
    standins: Vec<Process>,
    /// Number of daemons with a data folder.
    disks: usize,
    /// Number of voters of the group.
    voters: usize,
}

/// Returns an address on which nothing listens.
///
/// Its port is below the ephemeral range, so that no outgoing connection takes it before the
/// daemon starts.
fn free_address() -> SocketAddr {
    loop {
        let offset = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let range_start = std::process::id() as u16 % PORT_RANGES * PORTS_PER_RANGE;
        let port = FIRST_PORT + (range_start + offset) % (PORT_RANGES * PORTS_PER_RANGE);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}

/// Returns the path of a stand-in's executable.
fn standin_path(name: &str) -> PathBuf {
    let daemon = Path::new(env!("CARGO_BIN_EXE_bergamotlaned"));
    daemon.parent().unwrap().join("examples").join(name)
}

/// Returns the sample sheet `nilecraft.csv`, with a shorter deadline for generations: a new
/// leader waits that long before it grants slots of a cold engine whose grants it doesn't know.
fn sheet() -> Vec<u8> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let sheet = fs::read_to_string(root.join("examples/sheets/nilecraft.csv")).unwrap();
    sheet.replace(",60000,", ",10000,").into_bytes()
}

impl Cluster {
    /// Starts the platform and `count` daemons, and applies the sample sheet.
    ///
    /// The first `disks` daemons have a data folder, and the group has `voters` voters.
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
            folder: TestFolder::create(),
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
        for index in 0..count {
            cluster.start_daemon(index);
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

    /// Starts a stand-in.
    fn spawn(&mut self, name: &str, arguments: &[&str]) {
        let mut command = Command::new(standin_path(name));
        command
            .args(arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        let child = command.spawn().expect("stand-in starts");
        self.standins.push(Process { child });
    }

    /// Returns the number of stand-ins that have exited.
    pub fn exited_standins(&mut self) -> usize {
        let standins = self.standins.iter_mut();
        let exited = standins.filter_map(|it| it.child.try_wait().ok().flatten());
        exited.count()
    }

    /// Starts the daemon at `index`, with the data folder of its earlier runs.
    pub fn start_daemon(&mut self, index: usize) {
        let own = self.addresses[index];
        let path = self.folder.path();
        let seeds: Vec<String> = self.addresses[..self.disks.min(3)]
            .iter()
            .map(|addresses| addresses.peers.to_string())
            .collect();
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(path.join(format!("daemon{index}.log")))
            .unwrap();
        let zones = ["cai-a", "cai-b", "cai-c"];
        let mut command = Command::new(env!("CARGO_BIN_EXE_bergamotlaned"));
        command
            .args([
                "--name",
                &format!("entry{index}"),
                "--zone",
                zones[index % 3],
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
        if index < self.disks {
            command.arg("--data").arg(self.data(index));
        }
        let child = command.stderr(log).spawn().expect("daemon starts");
        self.daemons[index] = Some(Process { child });
    }

    /// Returns the data folder of a daemon.
    pub fn data(&self, index: usize) -> PathBuf {
        self.folder.path().join(format!("data{index}"))
    }

    /// Returns the process of a daemon that was started.
    pub fn daemon(&mut self, index: usize) -> &mut Process {
        self.daemons[index].as_mut().expect("daemon was started")
    }

    /// Starts a stand-in target of `service` and waits until all daemons list it; without a
    /// `--zone` among the extra arguments it is in `cai-a`.
    pub async fn target(
        &mut self,
        kind: &str,
        service: &str,
        extra_arguments: &[&str],
    ) -> SocketAddr {
        let address = free_address();
        let listen = address.to_string();
        let entries: Vec<String> = self
            .addresses
            .iter()
            .map(|addresses| addresses.targets.to_string())
            .collect();
        let (entries, key) = (entries.join(","), format!("{service}-target-key"));
        let mut arguments = vec!["--listen", &listen, "--service", service];
        arguments.extend(["--key", &key, "--entries", &entries]);
        if !extra_arguments.contains(&"--zone") {
            arguments.extend(["--zone", "cai-a"]);
        }
        arguments.extend(extra_arguments);
        self.spawn(kind, &arguments);
        for index in 0..self.addresses.len() {
            let known = async |cluster: &Self| {
                let targets = cluster.operate(index, Method::GET, "/v1/targets", Vec::new());
                let targets = targets.await;
                let mut targets = targets.as_array().unwrap().iter();
                targets.any(|target| target["address"] == listen)
            };
            self.until("the target is known", known).await;
        }
        address
    }

    /// Sends an operator's request to a daemon; returns null without a JSON response.
    pub async fn operate(&self, index: usize, method: Method, path: &str, body: Vec<u8>) -> Value {
        let url = format!("http://{}{path}", self.addresses[index].operators);
        let request = self.client.request(method, url).bearer_auth(OPERATOR_KEY);
        match request.body(body).timeout(WAIT_LIMIT).send().await {
            Ok(response) => response.json().await.unwrap_or_default(),
            Err(_) => Value::Null,
        }
    }

    /// Returns the status that a daemon reports.
    pub async fn status(&self, index: usize) -> Value {
        self.operate(index, Method::GET, "/v1/status", Vec::new())
            .await
    }

    /// Returns the index of the leader that a daemon reports.
    pub async fn leader(&self, index: usize) -> Option<usize> {
        let status = self.status(index).await;
        let name = status["leader"].as_str()?;
        name.strip_prefix("entry")?.parse().ok()
    }

    /// Returns a request of a caller of `state-mint` to a daemon.
    pub fn call(&self, index: usize, method: Method, path: &str) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.addresses[index].callers);
        let request = self.client.request(method, url);
        request
            .bearer_auth("state-mint-demo-key")
            .timeout(WAIT_LIMIT)
    }

    /// Returns the record of the requests that a stand-in got.
    pub async fn audit(&self, address: SocketAddr) -> Value {
        let url = format!("http://{address}/audit");
        let response = self.client.get(url).send().await.unwrap();
        response.json().await.unwrap()
    }

    /// Makes a stand-in handle its next `count` requests with a fault.
    pub async fn fault(&self, address: SocketAddr, kind: &str, count: u32) {
        let url = format!("http://{address}/faults");
        let body = serde_json::json!({ "kind": kind, "count": count });
        self.client.post(url).json(&body).send().await.unwrap();
    }

    /// Waits until `check` holds; panics with the daemons' logs after [`WAIT_LIMIT`].
    pub async fn until(&self, condition: &str, check: impl AsyncFn(&Self) -> bool) {
        let give_up_at = Instant::now() + WAIT_LIMIT;
        while !check(self).await {
            if Instant::now() > give_up_at {
                for index in 0..self.addresses.len() {
                    let log = self.folder.path().join(format!("daemon{index}.log"));
                    eprintln!("{}", fs::read_to_string(log).unwrap_or_default());
                }
                panic!("timed out waiting until {condition}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Starts the stand-in trainer; the task returns its report, or null without one.
    pub async fn train(&self, arguments: &[&str]) -> tokio::task::JoinHandle<Value> {
        let entries: Vec<String> = self
            .addresses
            .iter()
            .map(|addresses| addresses.callers.to_string())
            .collect();
        let mut command = tokio::process::Command::new(standin_path("trainer"));
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
