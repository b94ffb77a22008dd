//! A group of voters in one process, each with its data folder.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::path::Path;

use bytes::Bytes;
use tempfile::TempDir;

use crate::DataFolder;
use crate::DiskVoter;
use crate::SnapshotThresholds;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusConfig;
use bergamotlane_coordination::consensus::ConsensusMessage;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::consensus::LogEntry;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::MemberRecord;
use bergamotlane_coordination::consensus::NodeStart;
use bergamotlane_coordination::consensus::SnapshotData;
use bergamotlane_coordination::ident::NodeId;

pub(super) const TAIL_BYTES: usize = 64 * 1024;

pub(super) const COMMAND_BYTES: usize = 4 * 1024;

/// Size of a segment in bytes.
const SMALL_SEGMENT_BYTES: u64 = 128 * 1024;

/// Returns the command that is proposed as number `number`.
pub(super) fn command(number: u64) -> Bytes {
    let mut bytes = vec![number as u8; COMMAND_BYTES];
    bytes[..8].copy_from_slice(&number.to_le_bytes());
    Bytes::from(bytes)
}

/// A voter and the state of its state machine: the numbers of the commands that it has applied.
pub(super) struct Member {
    pub(super) voter: DiskVoter,
    pub(super) applied: u64,
    pub(super) numbers: Vec<u64>,
    /// Index of the first entry that was applied since the start.
    pub(super) first_applied: Option<u64>,
}

impl Member {
    pub(super) fn open(path: &Path, node: u64, time: ClockTime) -> Self {
        let (mut folder, content) = DataFolder::open(path, NodeId(node)).unwrap();
        folder.set_segment_bytes(SMALL_SEGMENT_BYTES);
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
            log_tail_bytes: TAIL_BYTES,
        };
        let mut member = Self {
            applied: 0,
            numbers: Vec::new(),
            first_applied: None,
            voter,
        };
        let snapshot = member.voter.read_snapshot().unwrap();
        member.restore(&snapshot);
        member
    }

    pub(super) fn restore(&mut self, snapshot: &LogSnapshot) {
        let data = snapshot.data.inline().expect("snapshot without data");
        self.numbers = data
            .chunks(8)
            .map(|chunk| u64::from_le_bytes(chunk.try_into().unwrap()))
            .collect();
        self.applied = snapshot.index;
    }

    pub(super) fn apply(&mut self, entry: LogEntry) {
        assert_eq!(entry.index, self.applied + 1);
        self.first_applied.get_or_insert(entry.index);
        self.applied = entry.index;
        if let EntryBody::Command(bytes) = entry.body {
            let number = u64::from_le_bytes(bytes[..8].try_into().unwrap());
            assert_eq!(bytes, command(number));
            self.numbers.push(number);
        }
    }

    /// Carries out outputs and returns the messages among them.
    pub(super) fn process(
        &mut self,
        time: ClockTime,
        outputs: Vec<ConsensusOutput>,
    ) -> Vec<(NodeId, ConsensusMessage)> {
        let mut messages = Vec::new();
        for output in self.voter.persist(time, outputs).unwrap() {
            match output {
                ConsensusOutput::Send { to, message } => messages.push((to, message)),
                ConsensusOutput::Apply(entry) => self.apply(entry),
                ConsensusOutput::Restore(snapshot) => self.restore(&snapshot),
                _ => {}
            }
        }
        assert!(self.voter.command_bytes_in_memory() <= TAIL_BYTES);
        messages
    }

    pub(super) fn take_snapshot(&mut self) {
        let writer = self.voter.start_snapshot(self.applied).unwrap();
        let data: Vec<u8> = self
            .numbers
            .iter()
            .flat_map(|it| it.to_le_bytes())
            .collect();
        let written = std::thread::spawn(move || writer.write(&data));
        let written = written.join().unwrap().unwrap();
        self.voter.finish_snapshot(written);
    }
}

fn membership(nodes: std::ops::RangeInclusive<u64>) -> GroupMembership {
    let record = |node: u64| MemberRecord {
        name: format!("n{node}"),
        address: String::new(),
        zone: String::new(),
    };
    GroupMembership {
        voters: nodes.map(|node| (NodeId(node), record(node))).collect(),
        ..GroupMembership::default()
    }
}

/// Voters in one process.
pub(super) struct Group {
    folders: Vec<TempDir>,
    pub(super) members: BTreeMap<NodeId, Member>,
    /// Voter that gets no messages.
    pub(super) cut_off: Option<NodeId>,
    /// Whether snapshots get lost.
    pub(super) loses_snapshots: bool,
    pub(super) time: ClockTime,
    pub(super) proposed: u64,
    /// Receiver of each message of a leader, and whether it is a snapshot.
    pub(super) sent: Vec<(NodeId, bool)>,
}

impl Group {
    pub(super) fn new(count: u64) -> Self {
        let mut group = Self {
            folders: Vec::new(),
            members: BTreeMap::new(),
            cut_off: None,
            loses_snapshots: false,
            time: ClockTime(0),
            proposed: 0,
            sent: Vec::new(),
        };
        for node in 1..=count {
            let folder = tempfile::tempdir().unwrap();
            let (mut data, _) = DataFolder::open(folder.path(), NodeId(node)).unwrap();
            let snapshot = LogSnapshot {
                index: 1,
                term: 1,
                membership: membership(1..=count),
                data: SnapshotData::default(),
            };
            data.save(&ConsensusOutput::SaveSnapshot(snapshot)).unwrap();
            drop(data);
            let member = Member::open(folder.path(), node, group.time);
            group.members.insert(NodeId(node), member);
            group.folders.push(folder);
        }
        group
    }

    /// Restarts a voter from its folder.
    pub(super) fn restart(&mut self, node: u64) {
        self.members.remove(&NodeId(node));
        let path = self.folders[node as usize - 1].path();
        let member = Member::open(path, node, self.time);
        self.members.insert(NodeId(node), member);
    }

    /// Advances the time and delivers all messages.
    pub(super) fn step(&mut self) {
        self.time = self.time + 20;
        let mut mail = VecDeque::new();
        for (node, member) in &mut self.members {
            let mut outputs = Vec::new();
            member.voter.node.tick(self.time, &mut outputs);
            let messages = member.process(self.time, outputs);
            mail.extend(
                messages
                    .into_iter()
                    .map(|(to, message)| (*node, to, message)),
            );
        }
        self.deliver(mail);
    }

    pub(super) fn deliver(&mut self, mut mail: VecDeque<(NodeId, NodeId, ConsensusMessage)>) {
        while let Some((from, to, message)) = mail.pop_front() {
            let is_snapshot = matches!(message, ConsensusMessage::Snapshot { .. });
            if is_snapshot || matches!(message, ConsensusMessage::Append { .. }) {
                self.sent.push((to, is_snapshot));
            }
            if is_snapshot && self.loses_snapshots {
                continue;
            }
            if self.cut_off == Some(to) || self.cut_off == Some(from) {
                continue;
            }
            let member = self.members.get_mut(&to).unwrap();
            let mut outputs = Vec::new();
            let node = &mut member.voter.node;
            node.receive(self.time, from, message, &mut outputs);
            let messages = member.process(self.time, outputs);
            mail.extend(
                messages
                    .into_iter()
                    .map(|(next, message)| (to, next, message)),
            );
        }
    }

    /// Returns the voter that leads, after waiting for one.
    pub(super) fn leader(&mut self) -> NodeId {
        for _ in 0..1_000 {
            let time = self.time;
            let mut members = self.members.iter();
            let leads = |member: &Member| member.voter.node.confirmed_commit(time).is_some();
            if let Some((node, _)) = members.find(|(_, member)| leads(member)) {
                return *node;
            }
            self.step();
        }
        panic!("no voter leads");
    }

    /// Proposes commands one by one, each of which is committed before the next.
    pub(super) fn propose(&mut self, count: u64) {
        let leader = self.leader();
        for _ in 0..count {
            let member = self.members.get_mut(&leader).unwrap();
            let mut outputs = Vec::new();
            let bytes = command(self.proposed);
            let node = &mut member.voter.node;
            node.propose(self.time, bytes, &mut outputs).unwrap();
            let messages = member.process(self.time, outputs);
            let mail = messages
                .into_iter()
                .map(|(to, message)| (leader, to, message));
            self.deliver(mail.collect());
            self.proposed += 1;
        }
        self.step();
    }

    pub(super) fn assert_all_applied(&self) {
        for (node, member) in &self.members {
            let expected: Vec<u64> = (0..self.proposed).collect();
            assert_eq!(member.numbers, expected, "{node:?}");
        }
    }
}
