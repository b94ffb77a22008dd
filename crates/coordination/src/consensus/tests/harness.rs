//! Simulated group of nodes whose messages get lost, delayed and duplicated, and whose processes crash,
//! freeze and lose their disks. It checks the safety of consensus as it runs.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::clock::ClockTime;
use crate::consensus::log::HELD_ENTRY_BYTES;
use crate::consensus::*;
use crate::ident::NodeId;
use crate::repair::RepairConfig;
use crate::repair::RepairPlanner;
use crate::repair::RepairStep;

/// Time that passes in one simulation step.
pub(super) const STEP_MS: u64 = 10;

/// Size of the entries that a node keeps in memory with their commands, in bytes.
const KEPT_BYTES: usize = 2 * (HELD_ENTRY_BYTES + 8);

/// Commands from this number on make the instance with the rest as its number retire.
const RETIRE_COMMANDS: u64 = 1 << 40;

/// Contents of a data folder.
#[derive(Debug, Clone, Default)]
pub(super) struct Disk {
    pub(super) vote: VoteRecord,
    /// Snapshot that the log begins after.
    pub(super) base: LogSnapshot,
    /// Newest snapshot.
    pub(super) snapshot: LogSnapshot,
    pub(super) entries: Vec<LogEntry>,
}

impl Disk {
    /// Makes `snapshot` the only one.
    fn begin_after(&mut self, snapshot: LogSnapshot) {
        assert!(snapshot.data.inline().is_some(), "snapshot without data");
        self.base = snapshot.clone();
        self.snapshot = snapshot;
    }

    fn save(&mut self, output: &ConsensusOutput) {
        match output {
            ConsensusOutput::SaveVote(vote) => self.vote = *vote,
            ConsensusOutput::AppendEntries(entries) => {
                let first = entries[0].index;
                self.entries.retain(|entry| entry.index < first);
                self.entries.extend(entries.iter().cloned());
                let stored = |it: &LogEntry| matches!(it.body, EntryBody::Stored(_));
                assert!(!entries.iter().any(stored), "entry without its command");
            }
            ConsensusOutput::SaveSnapshot(snapshot) => {
                let matches = self
                    .entries
                    .iter()
                    .any(|it| it.index == snapshot.index && it.term == snapshot.term);
                if matches || self.base.index == snapshot.index {
                    self.entries.retain(|entry| entry.index > snapshot.index);
                } else {
                    let covers = snapshot.index < self.snapshot.index;
                    assert!(!covers, "snapshot is older than the stored one");
                    self.entries.clear();
                }
                self.begin_after(snapshot.clone());
            }
            _ => {}
        }
    }

    /// Makes the newest snapshot the base.
    fn release(&mut self) {
        let index = self.snapshot.index;
        self.entries.retain(|entry| entry.index > index);
        self.base = self.snapshot.clone();
    }

    /// Reads the command of an entry if the node holds it no longer. Returns whether the entry
    /// has it.
    fn load(&self, entry: &mut LogEntry) -> bool {
        let EntryBody::Stored(length) = entry.body else {
            return true;
        };
        let stored = self.entries.iter().find(|it| it.index == entry.index);
        let Some(stored) = stored else {
            return false;
        };
        assert_eq!(stored.term, entry.term, "stored entry was replaced");
        let EntryBody::Command(command) = &stored.body else {
            panic!("stored entry has no command");
        };
        assert_eq!(command.len(), length as usize);
        entry.body = stored.body.clone();
        true
    }

    /// Reads what a message lacks. Returns whether it is complete.
    fn complete(&self, message: &mut ConsensusMessage) -> bool {
        match message {
            ConsensusMessage::Append { entries, .. } => {
                entries.iter_mut().all(|entry| self.load(entry))
            }
            ConsensusMessage::Snapshot { snapshot, .. } => {
                assert_eq!(snapshot.data, SnapshotData::Stored);
                let found = snapshot.index == self.base.index;
                if found {
                    *snapshot = self.base.clone();
                }
                found
            }
            _ => true,
        }
    }
}

pub(super) struct Member {
    pub(super) disk: Disk,
    pub(super) node: Option<ConsensusNode>,
    pub(super) record: MemberRecord,
    /// Parts per thousand by which the clock of the member runs fast.
    pub(super) drift: i64,
    pub(super) frozen_until: u64,
    pub(super) down_until: u64,
    /// State of the state machine, as a hash over all applied entries.
    pub(super) hash: u64,
    pub(super) applied: u64,
    pub(super) planner: Option<RepairPlanner>,
    pub(super) disk_lost: bool,
    /// Instances that retire, as far as the member has applied it.
    pub(super) retiring: BTreeSet<String>,
    /// Since when the process has not been running.
    pub(super) down_since: Option<u64>,
    /// When the member was last elected.
    led_from: u64,
}

/// Message in transit.
pub(super) struct PendingMessage {
    /// Time at which the message arrives.
    due: u64,
    from: NodeId,
    to: NodeId,
    message: ConsensusMessage,
}

pub(super) struct Harness {
    pub(super) random: StdRng,
    pub(super) time: u64,
    pub(super) members: BTreeMap<NodeId, Member>,
    pub(super) pending: Vec<PendingMessage>,
    /// First leader seen in each term.
    pub(super) leaders: BTreeMap<u64, NodeId>,
    /// State hash after each committed index, as first applied on any member.
    pub(super) history: BTreeMap<u64, u64>,
    /// Commit index and state hash of a leader whenever its commit index was confirmed.
    pub(super) confirmed: Vec<(u64, u64)>,
    pub(super) proposals: u64,
    /// Partitioned member, whether only messages to it are lost, and the end time.
    pub(super) partition: Option<(NodeId, bool, u64)>,
    pub(super) config: ConsensusConfig,
    /// Average number of steps between two proposals. With few proposals all logs have the
    /// same end, so the check that a candidate's log is up to date refuses no vote and can't
    /// hide a fault in the other checks.
    pub(super) steps_per_proposal: u32,
    /// Number of voters that the group should have.
    pub(super) wanted_voters: usize,
    /// Whether nodes crash now and then while they execute their outputs.
    pub(super) crashes: bool,
    /// Time without a sign of life after which a member is replaced.
    pub(super) lost_after_ms: u64,
}

/// Returns `hash` extended by `value`; the result depends on the order of the values.
fn extend_hash(hash: u64, value: u64) -> u64 {
    (hash ^ value)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(23)
}

/// Returns the state hash and the instances that retire in a snapshot; both are empty in the first
/// snapshot of a group.
fn read_state(data: &SnapshotData) -> (u64, BTreeSet<String>) {
    let data = data.inline().expect("snapshot without data");
    let words = data.chunks_exact(8);
    let mut words = words.map(|it| u64::from_le_bytes(it.try_into().unwrap()));
    let hash = words.next().unwrap_or_default();
    (hash, words.map(instance_name).collect())
}

/// Returns the snapshot of a state.
fn write_state(hash: u64, retiring: &BTreeSet<String>) -> Bytes {
    let mut data = hash.to_le_bytes().to_vec();
    for name in retiring {
        let number: u64 = name[1..].parse().unwrap();
        data.extend(number.to_le_bytes());
    }
    Bytes::from(data)
}

/// Returns the name of an instance.
pub(super) fn instance_name(number: u64) -> String {
    format!("n{number}")
}

/// Returns the command that makes an instance retire.
pub(super) fn retire_command(name: &str) -> Bytes {
    let number: u64 = name[1..].parse().unwrap();
    Bytes::from((RETIRE_COMMANDS + number).to_le_bytes().to_vec())
}

/// Returns the number that stands for an entry in the state hash.
fn body_value(body: &EntryBody) -> u64 {
    match body {
        EntryBody::Noop => 1,
        EntryBody::Stored(_) => panic!("applied entry without its command"),
        EntryBody::Command(bytes) => u64::from_le_bytes(bytes[..8].try_into().unwrap()),
        EntryBody::Membership(membership) => membership
            .members()
            .fold(2, |hash, (node, _)| extend_hash(hash, node.0)),
    }
}

impl Harness {
    /// Creates a group of `voters` voters, and `spares` nodes that aren't members yet.
    pub(super) fn new(seed: u64, voters: u64, spares: u64) -> Self {
        let mut harness = Self {
            random: StdRng::seed_from_u64(seed),
            time: 0,
            members: BTreeMap::new(),
            pending: Vec::new(),
            leaders: BTreeMap::new(),
            history: BTreeMap::new(),
            confirmed: Vec::new(),
            proposals: 0,
            partition: None,
            config: ConsensusConfig::default(),
            steps_per_proposal: if seed.is_multiple_of(2) { 10 } else { 600 },
            wanted_voters: voters as usize,
            crashes: true,
            lost_after_ms: 4_000,
        };
        for id in 1..=voters + spares {
            harness.add(NodeId(id));
        }
        let records = |ids: std::ops::RangeInclusive<u64>, harness: &Self| {
            ids.map(|id| (NodeId(id), harness.members[&NodeId(id)].record.clone()))
                .collect()
        };
        let membership = GroupMembership {
            voters: records(1..=voters, &harness),
            learners: BTreeMap::new(),
            barred: BTreeSet::new(),
        };
        for id in 1..=voters {
            let member = harness.members.get_mut(&NodeId(id)).unwrap();
            member.disk.begin_after(LogSnapshot {
                index: 1,
                term: 1,
                membership: membership.clone(),
                data: SnapshotData::default(),
            });
            member.disk.vote.term = 1;
        }
        harness.history.insert(1, 0);
        harness
    }

    pub(super) fn add(&mut self, id: NodeId) {
        let drift = self.random.random_range(-5..=5);
        self.members.insert(
            id,
            Member {
                disk: Disk::default(),
                node: None,
                record: MemberRecord {
                    name: instance_name(id.0),
                    address: String::new(),
                    zone: format!("z{}", id.0 % 3),
                },
                drift,
                frozen_until: 0,
                down_until: 0,
                hash: 0,
                applied: 0,
                planner: None,
                disk_lost: false,
                retiring: BTreeSet::new(),
                down_since: Some(self.time),
                led_from: 0,
            },
        );
    }

    /// Returns the time on the member's drifting clock.
    pub(super) fn local_time(&self, id: NodeId) -> ClockTime {
        let drift = self.members[&id].drift;
        ClockTime((self.time as i64 * (1_000 + drift) / 1_000) as u64)
    }

    /// Starts a member's process from its disk.
    fn start(&mut self, id: NodeId) {
        let now = self.local_time(id);
        let config = self.config;
        let seed = self.random.random_range(0..u64::MAX);
        let member = self.members.get_mut(&id).unwrap();
        let disk = &member.disk;
        (member.hash, member.retiring) = read_state(&disk.snapshot.data);
        member.applied = disk.snapshot.index;
        member.planner = None;
        member.down_since = None;
        let start = NodeStart {
            node: id,
            vote: disk.vote,
            log: ReplicatedLog::new(disk.base.clone(), disk.entries.clone()),
            applied: disk.snapshot.index,
            seed,
        };
        member.node = Some(ConsensusNode::new(now, config, start));
    }

    /// Calls `call` on a running node and executes its outputs. Rarely, the node crashes
    /// before all of them are executed.
    pub(super) fn call_node(
        &mut self,
        id: NodeId,
        call: impl FnOnce(&mut ConsensusNode, ClockTime, &mut Vec<ConsensusOutput>),
    ) {
        let now = self.local_time(id);
        let mut out = Vec::new();
        let Some(node) = self.members.get_mut(&id).unwrap().node.as_mut() else {
            return;
        };
        call(node, now, &mut out);
        let crash_after = match self.crashes && self.random.random_ratio(1, 4_000) {
            true => Some(self.random.random_range(0..=out.len())),
            false => None,
        };
        self.execute_outputs(id, out, crash_after);
    }

    /// Executes outputs, and crashes the node after the first `crash_after` of them.
    fn execute_outputs(
        &mut self,
        id: NodeId,
        out: Vec<ConsensusOutput>,
        crash_after: Option<usize>,
    ) {
        let mut appended = false;
        for (position, output) in out.into_iter().enumerate() {
            if crash_after == Some(position) {
                self.crash(id);
                return;
            }
            let member = self.members.get_mut(&id).unwrap();
            if output.is_durable() {
                member.disk.save(&output);
                appended = true;
                continue;
            }
            match output {
                ConsensusOutput::Send { to, mut message } => {
                    if member.disk.complete(&mut message) {
                        self.send(id, to, message);
                    }
                }
                ConsensusOutput::Apply(mut entry) => {
                    assert!(member.disk.load(&mut entry), "committed entry is missing");
                    self.apply(id, &entry);
                }
                ConsensusOutput::Restore(snapshot) => {
                    (member.hash, member.retiring) = read_state(&snapshot.data);
                    member.applied = snapshot.index;
                    let known = self.history.get(&snapshot.index);
                    assert_eq!(
                        known,
                        Some(&member.hash),
                        "snapshot state differs from the history"
                    );
                }
                ConsensusOutput::RoleChanged { role, term } => {
                    if role == NodeRole::Leader {
                        let first = *self.leaders.entry(term).or_insert(id);
                        assert_eq!(first, id, "two leaders in term {term}");
                        let now = self.local_time(id);
                        let config = RepairConfig {
                            voter_count: self.wanted_voters,
                            lost_after_ms: self.lost_after_ms,
                            silent_after_ms: 10_000,
                        };
                        let member = self.members.get_mut(&id).unwrap();
                        member.planner = Some(RepairPlanner::new(now, config));
                        member.led_from = self.time;
                    }
                }
                _ => unreachable!("durable outputs are handled above"),
            }
        }
        if appended {
            let member = self.members.get_mut(&id).unwrap();
            let last = member
                .disk
                .entries
                .last()
                .map_or(member.disk.base.index, |it| it.index);
            let now = self.local_time(id);
            let mut out = Vec::new();
            let node = self.members.get_mut(&id).unwrap().node.as_mut().unwrap();
            node.mark_synced(now, last, &mut out);
            self.execute_outputs(id, out, None);
        }
        if let Some(node) = &mut self.members.get_mut(&id).unwrap().node {
            node.evict_commands(KEPT_BYTES);
            assert!(node.log().held_bytes() <= 16, "two commands");
        }
    }

    /// Applies an entry, and compares the new state with that of the other members.
    fn apply(&mut self, id: NodeId, entry: &LogEntry) {
        let member = self.members.get_mut(&id).unwrap();
        assert_eq!(
            member.applied + 1,
            entry.index,
            "applied entries have a gap"
        );
        member.applied = entry.index;
        let value = body_value(&entry.body);
        member.hash = extend_hash(extend_hash(member.hash, entry.term), value);
        if let (EntryBody::Command(_), Some(number)) =
            (&entry.body, value.checked_sub(RETIRE_COMMANDS))
        {
            member.retiring.insert(instance_name(number));
        }
        let first = *self.history.entry(entry.index).or_insert(member.hash);
        assert_eq!(
            first, member.hash,
            "state differs from the history at index {}",
            entry.index
        );
    }

    /// Stops a member's process for a random time.
    pub(super) fn crash(&mut self, id: NodeId) {
        let down = self.random.random_range(50..3_000);
        self.stop(id, self.time + down);
    }

    /// Stops a member's process until a time.
    pub(super) fn stop(&mut self, id: NodeId, until: u64) {
        let time = self.time;
        let member = self.members.get_mut(&id).unwrap();
        member.node = None;
        member.down_since.get_or_insert(time);
        member.down_until = until;
    }

    /// Puts a message in transit, which may get lost, delayed or duplicated.
    fn send(&mut self, from: NodeId, to: NodeId, message: ConsensusMessage) {
        if self.random.random_ratio(1, 50) {
            return;
        }
        if let Some((node, inbound_only, _)) = self.partition
            && (to == node || (from == node && !inbound_only))
        {
            return;
        }
        let copies = 1 + u64::from(self.random.random_ratio(1, 50));
        for _ in 0..copies {
            let delay = match self.random.random_ratio(1, 30) {
                true => self.random.random_range(0..1_500),
                false => self.random.random_range(0..15),
            };
            self.pending.push(PendingMessage {
                due: self.time + delay,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    /// Returns whether the member's process is running and not frozen.
    pub(super) fn is_acting(&self, id: NodeId) -> bool {
        let member = &self.members[&id];
        member.node.is_some() && member.frozen_until <= self.time
    }

    /// Simulates one step, with new faults if `faults` is set.
    pub(super) fn step(&mut self, faults: bool) {
        self.time += STEP_MS;
        let ids: Vec<NodeId> = self.members.keys().copied().collect();
        for id in &ids {
            let member = &self.members[id];
            if !member.disk_lost && member.node.is_none() && member.down_until <= self.time {
                self.start(*id);
            }
        }
        if faults {
            self.inject_faults();
        }
        self.deliver();
        for id in ids {
            if self.is_acting(id) {
                self.call_node(id, |node, now, out| node.tick(now, out));
                self.run_workload(id);
            }
        }
        self.assert_single_lease();
    }

    /// Delivers the messages that are due.
    fn deliver(&mut self) {
        let time = self.time;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|message| message.due <= time);
        self.pending = later;
        for message in due {
            if !self.members.contains_key(&message.to) {
                continue;
            }
            if !self.is_acting(message.to) {
                // A frozen process receives its messages when it resumes.
                if self.members[&message.to].node.is_some() {
                    self.pending.push(message);
                }
                continue;
            }
            let now = self.local_time(message.to);
            let record = self.members[&message.from].record.clone();
            if let Some(planner) = &mut self.members.get_mut(&message.to).unwrap().planner {
                planner.record_seen(now, message.from, record);
            }
            self.call_node(message.to, |node, now, out| {
                node.receive(now, message.from, message.message, out);
            });
        }
    }

    /// Sends the member's leadership status to a random other one, as happens on each new
    /// connection.
    fn send_leadership_status(&mut self, id: NodeId) {
        if !self.random.random_ratio(1, 12) {
            return;
        }
        let others: Vec<NodeId> = self
            .members
            .keys()
            .copied()
            .filter(|it| *it != id)
            .collect();
        let to = others[self.random.random_range(0..others.len())];
        let report = self.members[&id]
            .node
            .as_ref()
            .map(ConsensusNode::leadership_status);
        if let Some(message) = report {
            self.send(id, to, message);
        }
    }

    /// Proposes commands and repairs, records confirmed commits, and compacts the log.
    fn run_workload(&mut self, id: NodeId) {
        self.send_leadership_status(id);
        let propose = self.random.random_ratio(1, self.steps_per_proposal);
        let value = self.proposals + 1;
        let Some(node) = self.members[&id].node.as_ref() else {
            return;
        };
        if node.role() == NodeRole::Leader {
            if propose {
                self.proposals = value;
                self.call_node(id, |node, now, out| {
                    let command = Bytes::copy_from_slice(&value.to_le_bytes());
                    node.propose(now, command, out).ok();
                });
            }
            self.repair(id);
        }
        let member = &self.members[&id];
        let Some(node) = member.node.as_ref() else {
            return;
        };
        if node.confirmed_commit(self.local_time(id)).is_some() {
            self.confirmed.push((node.commit_index(), member.hash));
        }
        self.take_snapshot(id);
    }

    /// Stores a snapshot of a member now and then, and sometimes lets it become the base.
    fn take_snapshot(&mut self, id: NodeId) {
        let member = self.members.get_mut(&id).unwrap();
        let (Some(node), disk) = (member.node.as_mut(), &mut member.disk) else {
            return;
        };
        if member.applied > disk.snapshot.index + 15 {
            let data = write_state(member.hash, &member.retiring);
            disk.snapshot = LogSnapshot {
                data: SnapshotData::Inline(data),
                ..node.log().snapshot_at(member.applied).unwrap()
            };
        }
        if disk.snapshot.index > disk.base.index + 30 {
            disk.release();
            assert!(node.compact(disk.snapshot.index));
        }
    }

    /// Proposes the next repair step of a leader.
    fn repair(&mut self, id: NodeId) {
        let now = self.local_time(id);
        // Running spares have a connection to the leader, which counts as a sign of life.
        let spares: Vec<(NodeId, MemberRecord)> = self
            .members
            .iter()
            .filter(|(spare, member)| member.node.is_some() && **spare != id)
            .map(|(spare, member)| (*spare, member.record.clone()))
            .collect();
        let member = self.members.get_mut(&id).unwrap();
        let Some(node) = member.node.as_ref() else {
            return;
        };
        let membership = node.membership().clone();
        let planner = member.planner.as_mut().unwrap();
        for (spare, record) in spares {
            if !membership.contains(spare) {
                planner.record_seen(now, spare, record);
            }
        }
        planner.record_retiring(&member.retiring);
        let status = node.group_status();
        let step = planner.next_step(now, &status);
        let Some(step) = step else {
            return;
        };
        if let RepairStep::Remove(removed) = &step {
            self.assert_live_voters_remain(id, *removed, &status);
        }
        self.call_node(id, |node, now, out| match &step {
            RepairStep::Transfer(successors) => {
                node.transfer_leadership(successors, out);
            }
            step => {
                if let Some(next) = step.apply(&status) {
                    node.propose_membership(now, next, out).ok();
                }
            }
        });
    }

    /// Checks that a leader removes no running voter while too few others would remain, not counting
    /// those that have been down since before its term.
    fn assert_live_voters_remain(&self, leader: NodeId, removed: NodeId, status: &GroupStatus) {
        let led_from = self.members[&leader].led_from;
        let is_dead = |node: &NodeId| {
            let member = &self.members[node];
            member.down_since.is_some_and(|it| it < led_from)
        };
        if is_dead(&removed) || !status.membership.is_voter(removed) {
            return;
        }
        let voters = status.membership.voters.keys();
        let remaining = voters.filter(|it| **it != removed && !is_dead(it));
        assert!(
            remaining.count() >= self.wanted_voters,
            "{leader} removes {removed} from {:?}",
            status.membership.voters.keys()
        );
    }

    /// Injects random faults: frozen processes, crashes, partitions and lost disks.
    fn inject_faults(&mut self) {
        let ids: Vec<NodeId> = self.members.keys().copied().collect();
        let id = ids[self.random.random_range(0..ids.len())];
        if self.random.random_ratio(1, 300) {
            let until = self.time + self.random.random_range(100..3_000);
            self.members.get_mut(&id).unwrap().frozen_until = until;
        }
        if self.random.random_ratio(1, 400) {
            self.crash(id);
        }
        if self.random.random_ratio(1, 300) {
            let until = self.time + self.random.random_range(500..4_000);
            self.partition = Some((id, self.random.random_bool(0.5), until));
        }
        if self
            .partition
            .is_some_and(|(_, _, until)| until <= self.time)
        {
            self.partition = None;
        }
        if self.random.random_ratio(1, 800) {
            self.lose_disk(id);
        }
    }

    /// Loses a member's disk, if every membership on a remaining disk keeps a majority of
    /// voters with their disks. A new empty node takes the place of the member. Spares keep
    /// their disks.
    pub(super) fn lose_disk(&mut self, id: NodeId) {
        let replacement = NodeId(self.members.keys().last().unwrap().0 + 1);
        let lost = |node: &NodeId| *node == id || self.members[node].disk_lost;
        let keeps_majority = self.members.values().all(|member| {
            let entries = member.disk.entries.iter().filter_map(|it| match &it.body {
                EntryBody::Membership(membership) => Some(membership),
                _ => None,
            });
            let mut memberships = entries.chain([&member.disk.base.membership]);
            memberships.all(|membership| {
                let voters = &membership.voters;
                voters.keys().filter(|node| lost(node)).count() * 2 < voters.len().max(1)
            })
        });
        let spare = !self
            .members
            .values()
            .any(|it| it.disk.snapshot.membership.contains(id));
        if !keeps_majority || spare || self.members.len() > 12 {
            return;
        }
        self.take_away(id);
        self.add(replacement);
    }

    /// Takes a member away for good, together with its disk.
    pub(super) fn take_away(&mut self, id: NodeId) {
        self.stop(id, u64::MAX);
        let member = self.members.get_mut(&id).unwrap();
        member.disk_lost = true;
        member.disk = Disk::default();
    }

    /// Checks that at most one running leader holds a lease.
    fn assert_single_lease(&self) {
        let holders: Vec<NodeId> = self
            .members
            .keys()
            .copied()
            .filter(|id| self.is_acting(*id))
            .filter(|id| {
                let node = self.members[id].node.as_ref().unwrap();
                node.lease_until(self.local_time(*id)).is_some()
            })
            .collect();
        assert!(
            holders.len() <= 1,
            "more than one node holds a lease: {holders:?}"
        );
    }
}
