//! Replicas of the state over data folders: what their logs hold, release and send to each other.

use std::collections::BTreeMap;
use std::path::PathBuf;

use bytes::Bytes;
use tempfile::TempDir;

use crate::support::list;
use crate::support::plan;
use crate::support::result;
use crate::support::submit;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusConfig;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::MemberRecord;
use bergamotlane_coordination::consensus::NodeStart;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_service::payload::PayloadRef;
use bergamotlane_service::payload::decode_command;
use bergamotlane_service::payload::encode_command;
use bergamotlane_service::payload_reads::read_payloads;
use bergamotlane_service::state::ServiceState;
use bergamotlane_service::state::StateCommand;
use bergamotlane_storage::DataFolder;
use bergamotlane_storage::DiskVoter;
use bergamotlane_storage::SnapshotThresholds;
use bergamotlane_wire::codec;

/// Size of a text, in bytes.
const TEXT_BYTES: usize = 40_000;

/// Step of the tests' clock, in milliseconds.
const STEP_MS: u64 = 50;

/// Most steps until a group has settled.
const MAX_STEPS: usize = 200;

struct DiskReplica {
    path: PathBuf,
    voter: DiskVoter,
    state: ServiceState,
    outputs: Vec<ConsensusOutput>,
}

impl DiskReplica {
    /// Opens the data folder and restores the state from its newest snapshot. No command stays in
    /// memory once it is synced.
    fn open(time: ClockTime, path: PathBuf, node: u64) -> Self {
        let (folder, content) = DataFolder::open(&path, NodeId(node)).unwrap();
        let start = NodeStart {
            node: NodeId(folder.identity().node),
            vote: content.vote,
            log: content.log,
            applied: content.applied,
            seed: 7,
        };
        let voter = DiskVoter {
            node: ConsensusNode::new(time, ConsensusConfig::default(), start),
            folder,
            snapshots: SnapshotThresholds::default(),
            log_tail_bytes: 0,
        };
        let snapshot = voter.read_snapshot().unwrap();
        let mut replica = Self {
            path,
            voter,
            state: ServiceState::default(),
            outputs: Vec::new(),
        };
        replica.restore(&snapshot);
        replica
    }

    fn restore(&mut self, snapshot: &LogSnapshot) {
        let data = snapshot.data.inline().unwrap();
        if !data.is_empty() {
            self.state = codec::decode(data).unwrap();
        }
        self.state.adopt(snapshot.index);
    }

    fn apply(&mut self, index: u64, body: &EntryBody) {
        assert_eq!(index, self.state.index + 1);
        match body {
            EntryBody::Command(command) => {
                let command = decode_command(index, command).unwrap();
                self.state.apply(index, command);
            }
            EntryBody::Stored(_) => panic!("the command of entry {index} was not read"),
            EntryBody::Noop | EntryBody::Membership(_) => self.state.skip(index),
        }
    }

    fn texts(&self, job: &str) -> Vec<Option<Bytes>> {
        let results = &self.state.jobs.get(job).unwrap().results;
        let texts: Vec<PayloadRef> = results.iter().map(|it| it.text.clone()).collect();
        read_payloads(&texts, |index, range| self.voter.read_command(index, range)).unwrap()
    }

    /// Writes a snapshot on a thread of its own and releases the log.
    fn take_snapshot(&mut self) {
        let writer = self.voter.start_snapshot(self.state.index).unwrap();
        let state = self.state.clone();
        let thread = std::thread::spawn(move || writer.write(&codec::encode(&state)));
        self.voter.finish_snapshot(thread.join().unwrap().unwrap());
        self.release();
    }

    fn release(&mut self) {
        let first_needed = self.state.first_needed_entry();
        self.voter.release_log(first_needed).unwrap();
    }
}

/// Replicas that exchange messages without a network, the first one with the only vote.
struct DiskGroup {
    folder: TempDir,
    time: ClockTime,
    replicas: Vec<DiskReplica>,
}

fn member(node: u64) -> MemberRecord {
    MemberRecord {
        name: format!("keeper-{node}"),
        address: format!("127.0.0.1:{node}"),
        zone: "a".to_owned(),
    }
}

impl DiskGroup {
    fn start() -> Self {
        let mut group = Self {
            folder: tempfile::tempdir().unwrap(),
            time: ClockTime(1_000),
            replicas: Vec::new(),
        };
        group.open(1);
        let leader = &mut group.replicas[0];
        let membership = GroupMembership {
            voters: BTreeMap::from([(NodeId(1), member(1))]),
            ..GroupMembership::default()
        };
        leader
            .voter
            .node
            .bootstrap(group.time, membership, &mut leader.outputs);
        group.run_until("there is a leader", |it| it.replicas[0].voter.leads());
        group
    }

    fn open(&mut self, node: u64) {
        let path = self.folder.path().join(node.to_string());
        self.replicas.push(DiskReplica::open(self.time, path, node));
    }

    /// Stops the first replica and starts it again.
    fn restart(&mut self) {
        let DiskReplica { path, voter, .. } = self.replicas.remove(0);
        drop(voter);
        let replica = DiskReplica::open(self.time, path, 1);
        self.replicas.insert(0, replica);
        self.run_until("there is a leader", |it| {
            let replica = &it.replicas[0];
            replica.voter.leads() && replica.state.index == replica.voter.node.log().last_index()
        });
    }

    fn run_until(&mut self, what: &str, is_done: impl Fn(&Self) -> bool) {
        for _ in 0..MAX_STEPS {
            self.time = self.time + STEP_MS;
            for replica in &mut self.replicas {
                replica.voter.node.tick(self.time, &mut replica.outputs);
            }
            self.process_outputs();
            if is_done(self) {
                return;
            }
        }
        panic!("{what}: not after {MAX_STEPS} steps");
    }

    fn process_outputs(&mut self) {
        while let Some(at) = self.replicas.iter().position(|it| !it.outputs.is_empty()) {
            let replica = &mut self.replicas[at];
            let outputs = std::mem::take(&mut replica.outputs);
            let from = replica.voter.node.id();
            for output in replica.voter.persist(self.time, outputs).unwrap() {
                match output {
                    ConsensusOutput::Apply(entry) => {
                        self.replicas[at].apply(entry.index, &entry.body);
                    }
                    ConsensusOutput::Restore(snapshot) => self.replicas[at].restore(&snapshot),
                    ConsensusOutput::Send { to, message } => {
                        let mut others = self.replicas.iter_mut();
                        if let Some(other) = others.find(|it| it.voter.node.id() == to) {
                            let node = &mut other.voter.node;
                            node.receive(self.time, from, message, &mut other.outputs);
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    /// Has the leader commit a command.
    fn commit(&mut self, command: &StateCommand) {
        let command = encode_command(command).unwrap();
        let leader = &mut self.replicas[0];
        let (node, outputs) = (&mut leader.voter.node, &mut leader.outputs);
        let index = node.propose(self.time, command, outputs).unwrap();
        self.process_outputs();
        assert!(self.replicas[0].state.index >= index);
    }

    /// Commits a job whose items are all listed.
    fn run_job(&mut self, id: &str) {
        self.commit(&submit(id, 4));
        for item in 0..4 {
            self.commit(&list(id, vec![result(item, &text(id, item))]));
        }
    }

    fn forget(&mut self, ids: &[&str]) {
        let ids = ids.iter().map(|it| (*it).to_owned());
        self.commit(&StateCommand::ForgetJobs(ids.collect()));
    }
}

fn text(id: &str, item: u32) -> String {
    format!("{id}{item}").repeat(TEXT_BYTES / (id.len() + 1))
}

fn all_texts(id: &str) -> Vec<Option<Bytes>> {
    (0..4).map(|it| Some(Bytes::from(text(id, it)))).collect()
}

/// Guards against results that are lost with the memory that held them.
#[test]
fn results_are_read_after_eviction_and_after_a_restart() {
    let mut group = DiskGroup::start();
    group.commit(&plan(1, "{\"version\":1}"));
    group.run_job("a");
    group.replicas[0].take_snapshot();
    group.run_job("b");
    assert_eq!(group.replicas[0].voter.command_bytes_in_memory(), 0);
    assert_eq!(group.replicas[0].texts("a"), all_texts("a"));
    let before = group.replicas[0].state.jobs.clone();
    group.restart();
    let replica = &group.replicas[0];
    assert_eq!(replica.state.jobs, before);
    assert_eq!(replica.voter.command_bytes_in_memory(), 0);
    assert_eq!(replica.texts("a"), all_texts("a"));
    assert_eq!(replica.texts("b"), all_texts("b"));
    assert_eq!(
        replica.state.plan.as_ref().unwrap().document,
        "{\"version\":1}"
    );
}

/// Guards against a disk that fills up with the texts of jobs that nobody may read any more.
#[test]
fn forgotten_jobs_leave_the_disk_and_the_others_stay_readable() {
    let mut group = DiskGroup::start();
    for id in ["a", "b", "c"] {
        group.run_job(id);
        group.replicas[0].take_snapshot();
    }
    let before = group.replicas[0].voter.disk_bytes();
    group.forget(&["a", "b"]);
    group.replicas[0].release();
    let after = group.replicas[0].voter.disk_bytes();
    let dropped = 8 * TEXT_BYTES as u64;
    assert!(
        after + dropped * 9 / 10 < before,
        "{before} bytes, then {after}"
    );
    assert_eq!(group.replicas[0].texts("c"), all_texts("c"));
    group.restart();
    let replica = &group.replicas[0];
    assert_eq!(replica.state.jobs.size().jobs, 1);
    assert_eq!(replica.texts("c"), all_texts("c"));
}

/// Guards against a keeper that joins and can't read results that it has references to.
#[test]
fn a_replica_that_joins_after_a_release_reads_the_same_results() {
    let mut group = DiskGroup::start();
    for id in ["a", "b", "c"] {
        group.run_job(id);
        group.replicas[0].take_snapshot();
    }
    group.forget(&["a"]);
    group.replicas[0].release();
    group.open(2);
    let leader = &mut group.replicas[0];
    let membership = leader.voter.node.membership();
    let membership = membership.with_learner(NodeId(2), member(2));
    let node = &mut leader.voter.node;
    node.propose_membership(group.time, membership, &mut leader.outputs)
        .unwrap();
    group.run_until("the new replica has the state", |it| {
        it.replicas[1].state == it.replicas[0].state
    });
    let joined = &group.replicas[1];
    assert!(joined.voter.node.log().snapshot().index > 1);
    assert_eq!(joined.texts("b"), all_texts("b"));
    assert_eq!(joined.texts("c"), all_texts("c"));
}
