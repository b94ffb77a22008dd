//! Memory of a replica that plays an hour of jobs. The only test of its binary, since it reads the
//! memory of its process.

use std::collections::VecDeque;
use std::fs;
use std::path::Path;

use bytes::Bytes;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusConfig;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::consensus::MemberRecord;
use bergamotlane_coordination::consensus::NodeStart;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_service::jobs::ItemEnd;
use bergamotlane_service::jobs::ItemResult;
use bergamotlane_service::jobs::ItemSpec;
use bergamotlane_service::jobs::JobSubmission;
use bergamotlane_service::payload::PayloadRef;
use bergamotlane_service::payload::decode_command;
use bergamotlane_service::payload::encode_command;
use bergamotlane_service::state::ServiceState;
use bergamotlane_service::state::StateCommand;
use bergamotlane_storage::DataFolder;
use bergamotlane_storage::DiskVoter;
use bergamotlane_storage::SnapshotThresholds;
use bergamotlane_wire::codec;

/// Time between two jobs, in seconds.
const JOB_INTERVAL_S: usize = 5;

/// Number of jobs in an hour.
const JOBS: usize = 3_600 / JOB_INTERVAL_S;

/// Number of jobs within their retention of eight minutes.
const KEPT_JOBS: usize = 480 / JOB_INTERVAL_S;

/// Number of items in a job.
const ITEMS: u32 = 8;

/// Size of an item's body, and of its text, in bytes.
const PAYLOAD_BYTES: usize = 32 * 1024;

/// Bodies and texts of the jobs within their retention, in KB.
const KEPT_KB: u64 = (KEPT_JOBS * ITEMS as usize * 2 * PAYLOAD_BYTES / 1024) as u64;

/// Memory that a replica may add to its process, in KB: half of what it keeps on disk.
const MEMORY_KB: u64 = KEPT_KB / 2;

/// Size of the youngest commands that the log holds in memory, in bytes.
const LOG_TAIL_BYTES: usize = 4 * 1024 * 1024;

/// Returns a payload that depends on its job, its item and its kind.
fn payload(job: &str, item: u32, kind: &str) -> Bytes {
    let words = format!("{kind} {item} of {job}, ");
    let bytes: Vec<u8> = words.bytes().cycle().take(PAYLOAD_BYTES).collect();
    Bytes::from(bytes)
}

fn submission(job: &str) -> StateCommand {
    let item = |index: u32| ItemSpec {
        id: format!("{job}-{index}"),
        path: "/p/1".to_owned(),
        headers: Vec::new(),
        body: payload(job, index, "body").into(),
        tokens: 16,
        group: "g".to_owned(),
        expected_tokens: None,
        reward: None,
    };
    StateCommand::Submit(Box::new(JobSubmission {
        id: job.to_owned(),
        customer: Some("mint".to_owned()),
        former_customer: None,
        host: "desk.example".to_owned(),
        path: "/p/".to_owned(),
        model: "m".to_owned(),
        min_version: 1,
        desired: 1,
        items: (0..ITEMS).map(item).collect(),
    }))
}

fn listing(job: &str) -> StateCommand {
    let result = |item: u32| ItemResult {
        item,
        end: ItemEnd::Completed,
        text: payload(job, item, "text").into(),
        versions: vec![1],
        score: None,
        fault: None,
    };
    let results = (0..ITEMS).map(|item| (job.to_owned(), result(item)));
    StateCommand::List(results.collect())
}

/// Returns a value of this process's memory status, in KB.
fn memory_kb(name: &str) -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|it| it.strip_prefix(name));
    let number = line.and_then(|it| it.split_whitespace().next());
    number.unwrap().parse().unwrap()
}

/// Only voter of a group, with the state that it has applied.
struct SingleReplica {
    voter: DiskVoter,
    state: ServiceState,
    time: ClockTime,
}

impl SingleReplica {
    /// Opens a data folder, and founds the group if the folder is new.
    fn open(path: &Path) -> Self {
        let time = ClockTime(1_000);
        let (folder, content) = DataFolder::open(path, NodeId(1)).unwrap();
        let start = NodeStart {
            node: NodeId(1),
            vote: content.vote,
            log: content.log,
            applied: content.applied,
            seed: 1,
        };
        let voter = DiskVoter {
            node: ConsensusNode::new(time, ConsensusConfig::default(), start),
            folder,
            snapshots: SnapshotThresholds::default(),
            log_tail_bytes: LOG_TAIL_BYTES,
        };
        let mut replica = Self {
            voter,
            state: ServiceState::default(),
            time,
        };
        if replica.voter.node.log().last_index() == 0 {
            replica.found();
        }
        let snapshot = replica.voter.read_snapshot().unwrap();
        let data = snapshot.data.inline().filter(|it| !it.is_empty());
        if let Some(data) = data {
            replica.state = codec::decode(data).unwrap();
        }
        replica.state.skip(snapshot.index);
        while !replica.voter.leads() || replica.voter.node.confirmed_commit(replica.time).is_none()
        {
            replica.pass_time();
        }
        replica
    }

    fn found(&mut self) {
        let record = MemberRecord {
            name: "a".to_owned(),
            address: "127.0.0.1:1".to_owned(),
            zone: "z".to_owned(),
        };
        let membership = GroupMembership {
            voters: [(NodeId(1), record)].into(),
            ..GroupMembership::default()
        };
        let mut outputs = Vec::new();
        let node = &mut self.voter.node;
        node.bootstrap(self.time, membership, &mut outputs);
        self.process(outputs);
    }

    /// Lets 50 ms pass.
    fn pass_time(&mut self) {
        self.time = self.time + 50;
        let mut outputs = Vec::new();
        self.voter.node.tick(self.time, &mut outputs);
        self.process(outputs);
    }

    /// Proposes a command, and returns once it is applied.
    fn commit(&mut self, command: &StateCommand) {
        let mut outputs = Vec::new();
        let bytes = encode_command(command).unwrap();
        let proposed = self.voter.node.propose(self.time, bytes, &mut outputs);
        self.process(outputs);
        assert_eq!(self.state.index, proposed.unwrap());
    }

    /// Stores outputs, applies committed entries and takes a snapshot if one is due.
    fn process(&mut self, outputs: Vec<ConsensusOutput>) {
        for output in self.voter.persist(self.time, outputs).unwrap() {
            let ConsensusOutput::Apply(entry) = output else {
                continue;
            };
            match entry.body {
                EntryBody::Command(bytes) => {
                    let command = decode_command(entry.index, &bytes).unwrap();
                    self.state.apply(entry.index, command);
                }
                EntryBody::Noop | EntryBody::Membership(_) => self.state.skip(entry.index),
                EntryBody::Stored(_) => panic!("entry {} without its command", entry.index),
            }
        }
        if self.voter.needs_snapshot() {
            let writer = self.voter.start_snapshot(self.state.index).unwrap();
            let written = writer.write(&codec::encode(&self.state)).unwrap();
            self.voter.finish_snapshot(written);
            let first_needed = self.state.first_needed_entry();
            self.voter.release_log(first_needed).unwrap();
        }
    }

    /// Checks that a job has all of its texts.
    fn check_texts(&self, job: &str) {
        let record = self.state.jobs.get(job).unwrap();
        assert_eq!(record.results.len(), ITEMS as usize);
        for result in &record.results {
            let expected = payload(job, result.item, "text");
            let text = match &result.text {
                PayloadRef::Inline(bytes) => bytes.clone(),
                PayloadRef::Entry {
                    index,
                    start,
                    length,
                } => {
                    let range = *start..*start + *length;
                    self.voter.read_command(*index, range).unwrap().unwrap()
                }
            };
            assert!(text == expected, "{job}: another text");
        }
    }
}

/// Guards against a replica whose memory grows with its uptime, or holds all bodies and texts that
/// can still be read, while it runs and after it has read its folder again.
#[test]
fn an_hour_of_jobs_takes_less_memory_than_what_can_still_be_read() {
    let folder = tempfile::tempdir().unwrap();
    let allowed_kb = memory_kb("VmRSS:") + MEMORY_KB;
    let mut replica = SingleReplica::open(folder.path());
    let mut kept = VecDeque::new();
    for number in 0..JOBS {
        let job = format!("job{number}");
        replica.commit(&submission(&job));
        replica.commit(&listing(&job));
        kept.push_back(job);
        if kept.len() > KEPT_JOBS {
            let job: String = kept.pop_front().unwrap();
            replica.check_texts(&job);
            replica.commit(&StateCommand::ForgetJobs(vec![job]));
        }
    }
    let running_kb = memory_kb("VmHWM:");
    drop(replica);
    let replica = SingleReplica::open(folder.path());
    for job in &kept {
        replica.check_texts(job);
    }
    let restarted_kb = memory_kb("VmHWM:");
    assert!(
        restarted_kb <= allowed_kb,
        "{running_kb} KB while jobs ran, {restarted_kb} KB after a restart, {allowed_kb} KB allowed"
    );
}
