//! Processes of the program under review on a loopback network of their own, and their operator.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::record::Record;

/// A machine with one process.
pub struct Machine {
    pub name: String,
    pub ip: String,
    zone: &'static str,
    is_keeper: bool,
    pub child: Option<Child>,
}

pub struct Cluster {
    program: PathBuf,
    folder: PathBuf,
    net: String,
    port: u16,
    pub record: Arc<Record>,
    pub platform: SocketAddr,
    pub machines: Vec<Machine>,
}

impl Cluster {
    pub fn new(
        program: &Path,
        folder: &Path,
        record: &Arc<Record>,
        platform: SocketAddr,
        net: &str,
        port: u16,
    ) -> Self {
        Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            net: net.to_owned(),
            port,
            record: Arc::clone(record),
            platform,
            machines: Vec::new(),
        }
    }

    /// Starts three store machines, which are the seeds, and the given number of front machines.
    pub fn start(&mut self, fronts: usize) {
        for number in 1..=3 {
            self.add(&format!("store-{number}"), number, true, true);
        }
        for number in 1..=fronts {
            self.add(&format!("front-{number}"), 10 + number, false, true);
        }
    }

    /// Adds a machine and starts its process.
    pub fn add(&mut self, name: &str, host: usize, is_keeper: bool, bootstrap: bool) -> usize {
        self.machines.push(Machine {
            name: name.to_owned(),
            ip: format!("{}.{host}", self.net),
            zone: ["zone-a", "zone-b", "zone-c"][host % 3],
            is_keeper,
            child: None,
        });
        let index = self.machines.len() - 1;
        self.run(index, bootstrap);
        index
    }

    /// Starts the process of a machine.
    pub fn run(&mut self, index: usize, bootstrap: bool) {
        let machine = &self.machines[index];
        let settings = self.settings(machine, bootstrap);
        let path = self.folder.join(format!("{}.toml", machine.name));
        fs::write(&path, settings).unwrap();
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = fs::File::options().create(true).append(true).open(log);
        let log = log.unwrap();
        let child = Command::new(&self.program)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("BERGAMOTLANE_BOOT", path)
            .stdin(Stdio::null())
            .stderr(Stdio::from(log.try_clone().unwrap()))
            .stdout(Stdio::from(log))
            .spawn()
            .unwrap();
        self.record.say(format!(
            "machine {} starts, bootstrap = {bootstrap}",
            machine.name
        ));
        self.machines[index].child = Some(child);
    }

    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let (port, net, ip) = (self.port, &self.net, &machine.ip);
        let seeds: Vec<String> = (1..=3)
            .map(|it| format!("\"{net}.{it}:{}\"", port + 2))
            .collect();
        let (serves, class, listen) = match machine.is_keeper {
            true => (
                "\"store\",\"control\"",
                "store",
                format!("control = \"{ip}:{}\"", port + 2),
            ),
            false => (
                "\"front\"",
                "front",
                format!(
                    "front = \"{ip}:{}\"\nready = \"{ip}:{}\"",
                    port + 3,
                    port + 4
                ),
            ),
        };
        let data = match machine.is_keeper {
            true => format!("data-dir = {:?}\n", self.folder.join(&machine.name)),
            false => String::new(),
        };
        let (memory, disk) = if machine.is_keeper {
            (280, 380)
        } else {
            (260, 0)
        };
        format!(
            "node = \"{}\"\nrole = \"{class}\"\nmachine-class = \"{class}\"\nserves = [{serves}]\n\
             ip = \"{ip}\"\nzone = \"{}\"\nregion = \"r\"\ninternal-ports = [{port},{}]\n\
             seed-nodes = [{}]\nbootstrap = {bootstrap}\nloss-counts = {}\n\
             discovery = \"register\"\nentry = \"vip\"\nheartbeat-ms = 1200\n{data}\
             config-mode = \"highest\"\n[zones]\nzone-a = \"r\"\nzone-b = \"r\"\nzone-c = \"r\"\n\
             [listen]\n{listen}\n[limits]\nmemory-mb = {memory}\nmax-fds = 4100\ndisk-mb = {disk}\n\
             [fault-tolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\ncontact-ms = 3000\n\
             ack-ms = 4000\ndrain-ms = 2000\ngrace-s = 8\nconfig-apply-ms = 2000\n\
             fencing-required = true\nlease-ms = 3000\nusage-window-s = 5\nusage-tolerance = 0.05\n\
             usage-late-s = 10\nevac-ms = 5000\nrecover-s = 12\nstatus-s = 120\ncancel-ms = 3000\n\
             settle-ms = 1000\n[cloud]\naddress = \"{}\"\nrate-per-s = 50.0\n\
             duties = [\"usage_reporting\"]\nduty-per-s = 50.0\n",
            machine.name,
            machine.zone,
            port + 1,
            seeds.join(","),
            machine.is_keeper,
            self.platform,
        )
    }

    pub fn index_of(&self, name: &str) -> usize {
        let mut machines = self.machines.iter();
        machines.position(|it| it.name == name).unwrap()
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.machines[index].ip, self.port + 2)
            .parse()
            .unwrap()
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.machines[index].ip, self.port + 3)
            .parse()
            .unwrap()
    }

    /// Addresses that serve control, of the machines that have a process.
    pub fn controls(&self) -> Vec<SocketAddr> {
        let keepers = (0..self.machines.len())
            .filter(|it| self.machines[*it].is_keeper && self.machines[*it].child.is_some());
        keepers.map(|it| self.control(it)).collect()
    }

    pub fn fronts(&self) -> Vec<SocketAddr> {
        let fronts = (0..self.machines.len()).filter(|it| !self.machines[*it].is_keeper);
        fronts.map(|it| self.front(it)).collect()
    }

    /// Sends one signal to the processes of machines, all at once.
    pub fn signal(&mut self, name: &str, indexes: &[usize]) {
        let children = indexes
            .iter()
            .filter_map(|it| self.machines[*it].child.as_ref());
        let pids: Vec<String> = children.map(|it| it.id().to_string()).collect();
        Command::new("kill")
            .arg(format!("-{name}"))
            .args(&pids)
            .status()
            .ok();
        let names: Vec<&str> = indexes
            .iter()
            .map(|it| self.machines[*it].name.as_str())
            .collect();
        self.record
            .say(format!("SIG{name} to {}", names.join(", ")));
        if name == "KILL" {
            for index in indexes {
                if let Some(mut child) = self.machines[*index].child.take() {
                    child.wait().ok();
                }
            }
        }
    }

    /// Removes the disk of a machine without a process.
    pub fn wipe(&self, index: usize) {
        let machine = &self.machines[index];
        fs::remove_dir_all(self.folder.join(&machine.name)).ok();
        self.record
            .say(format!("machine {} loses its disk", machine.name));
    }

    /// Text that a machine's process has logged so far.
    pub fn log(&self, index: usize) -> String {
        let path = self
            .folder
            .join(format!("{}.log", self.machines[index].name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// The machine that says in its log that it began to lead last, by the term it names.
    pub fn leader(&self) -> Option<usize> {
        let term_of = |index: usize| {
            let log = self.log(index);
            let begun = log.lines().filter(|it| it.contains("\"lead: begun\""));
            let terms = begun.filter_map(|it| {
                let (_, rest) = it.split_once("\"term\":")?;
                let end = rest.find(|it: char| !it.is_ascii_digit())?;
                rest[..end].parse::<u64>().ok()
            });
            terms.max()
        };
        let keepers = (0..self.machines.len())
            .filter(|it| self.machines[*it].is_keeper && self.machines[*it].child.is_some());
        let led = keepers.filter_map(|it| Some((term_of(it)?, it)));
        led.max().map(|(_, index)| index)
    }

    /// One call of the operator at one machine.
    pub fn operate_at(
        &self,
        index: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<Message> {
        let limit = Duration::from_secs(1);
        let answer = http::call(self.control(index), method, path, &[], body, limit);
        let name = &self.machines[index].name;
        match &answer {
            Ok(it) => self.record.say(format!(
                "operator {method} {path} at {name} -> {} {}",
                it.status(),
                it.text().chars().take(60).collect::<String>()
            )),
            Err(error) => self.record.say(format!(
                "operator {method} {path} at {name} -> none ({error})"
            )),
        }
        answer.ok()
    }

    /// A call of the operator at one machine after the other until one answers with success, or the
    /// time is over.
    pub fn operate(
        &self,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<Message> {
        let end = Instant::now() + limit;
        let mut pause = Duration::from_millis(50);
        while Instant::now() < end {
            for index in 0..self.machines.len() {
                if !self.machines[index].is_keeper || self.machines[index].child.is_none() {
                    continue;
                }
                let answer = self.operate_at(index, method, path, body);
                if let Some(answer) = answer.filter(|it| it.status() / 100 == 2) {
                    return Some(answer);
                }
            }
            sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(500));
        }
        None
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                child.kill().ok();
                child.wait().ok();
            }
        }
    }
}
