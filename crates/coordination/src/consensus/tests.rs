//! Randomised schedules of drops, delays, duplicates, crashes, freezes, lost disks and
//! membership changes, checked against what consensus promises.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;

use super::*;
use crate::clock::ClockTime;
use crate::consensus::role::role_chart;
use crate::ident::NodeId;
use crate::repair::RepairConfig;
use crate::repair::RepairPlanner;

const STEP_MS: u64 = 10;

/// What a data folder holds.
#[derive(Debug, Clone, Default)]
struct Disk {
    vote: VoteRecord,
    snapshot: LogSnapshot,
    entries: Vec<LogEntry>,
}

impl Disk {
    fn save(&mut self, output: &ConsensusOutput) {
        match output {
            ConsensusOutput::SaveVote(vote) => self.vote = *vote,
            ConsensusOutput::AppendEntries(entries) => {
                let first = entries[0].index;
                self.entries.retain(|entry| entry.index < first);
                self.entries.extend(entries.iter().cloned());
            }
            ConsensusOutput::SaveSnapshot(snapshot) => {
                let matches = self
                    .entries
                    .iter()
                    .any(|it| it.index == snapshot.index && it.term == snapshot.term);
                if matches || self.snapshot.index == snapshot.index {
                    self.entries.retain(|entry| entry.index > snapshot.index);
                } else {
                    let covers = snapshot.index < self.snapshot.index;
                    assert!(!covers, "snapshot goes back");
                    self.entries.clear();
                }
                self.snapshot = snapshot.clone();
            }
            _ => {}
        }
    }
}

struct Member {
    disk: Disk,
    node: Option<ConsensusNode>,
    record: MemberRecord,
    /// Parts per thousand by which the clock runs fast.
    drift: i64,
    frozen_until: u64,
    down_until: u64,
    hash: u64,
    applied: u64,
    planner: Option<RepairPlanner>,
    wiped: bool,
}

struct Flight {
    due: u64,
    from: NodeId,
    to: NodeId,
    message: ConsensusMessage,
}

struct Harness {
    random: StdRng,
    time: u64,
    members: BTreeMap<NodeId, Member>,
    flights: Vec<Flight>,
    leaders: BTreeMap<u64, NodeId>,
    /// State hash after each committed index, as first applied anywhere.
    history: BTreeMap<u64, u64>,
    accepted: Vec<(u64, u64)>,
    proposals: u64,
    cut: Option<(NodeId, bool, u64)>,
    config: ConsensusConfig,
    /// Steps between two proposals, about. A quiet group hides no fault behind the
    /// comparison of logs.
    pause_steps: u32,
}

fn mix(hash: u64, value: u64) -> u64 {
    (hash ^ value)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(23)
}

/// Reads the state out of a snapshot; the first snapshot of a group is empty.
fn read_hash(data: &[u8]) -> u64 {
    data.first_chunk().map_or(0, |it| u64::from_le_bytes(*it))
}

fn body_value(body: &EntryBody) -> u64 {
    match body {
        EntryBody::Noop => 1,
        EntryBody::Command(bytes) => u64::from_le_bytes(bytes[..8].try_into().unwrap()),
        EntryBody::Membership(membership) => membership
            .members()
            .fold(2, |hash, (node, _)| mix(hash, node.0)),
    }
}

impl Harness {
    fn new(seed: u64, voters: u64, spares: u64) -> Self {
        let mut harness = Self {
            random: StdRng::seed_from_u64(seed),
            time: 0,
            members: BTreeMap::new(),
            flights: Vec::new(),
            leaders: BTreeMap::new(),
            history: BTreeMap::new(),
            accepted: Vec::new(),
            proposals: 0,
            cut: None,
            config: ConsensusConfig::default(),
            pause_steps: if seed.is_multiple_of(2) { 10 } else { 600 },
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
            member.disk.snapshot = LogSnapshot {
                index: 1,
                term: 1,
                membership: membership.clone(),
                data: Bytes::new(),
            };
            member.disk.vote.term = 1;
        }
        harness.history.insert(1, 0);
        harness
    }

    fn add(&mut self, id: NodeId) {
        let drift = self.random.random_range(-5..=5);
        self.members.insert(
            id,
            Member {
                disk: Disk::default(),
                node: None,
                record: MemberRecord {
                    name: format!("n{}", id.0),
                    address: String::new(),
                    zone: format!("z{}", id.0 % 3),
                },
                drift,
                frozen_until: 0,
                down_until: 0,
                hash: 0,
                applied: 0,
                planner: None,
                wiped: false,
            },
        );
    }

    fn local(&self, id: NodeId) -> ClockTime {
        let drift = self.members[&id].drift;
        ClockTime((self.time as i64 * (1_000 + drift) / 1_000) as u64)
    }

    fn start(&mut self, id: NodeId) {
        let now = self.local(id);
        let config = self.config;
        let seed = self.random.random_range(0..u64::MAX);
        let member = self.members.get_mut(&id).unwrap();
        let disk = &member.disk;
        member.hash = read_hash(&disk.snapshot.data);
        member.applied = disk.snapshot.index;
        member.planner = None;
        let start = NodeStart {
            node: id,
            vote: disk.vote,
            log: ReplicatedLog::new(disk.snapshot.clone(), disk.entries.clone()),
            seed,
        };
        member.node = Some(ConsensusNode::new(now, config, start));
    }

    /// Calls `act` on a running node and carries out its outputs, or crashes on the way.
    fn act(
        &mut self,
        id: NodeId,
        act: impl FnOnce(&mut ConsensusNode, ClockTime, &mut Vec<ConsensusOutput>),
    ) {
        let now = self.local(id);
        let mut out = Vec::new();
        let Some(node) = self.members.get_mut(&id).unwrap().node.as_mut() else {
            return;
        };
        act(node, now, &mut out);
        let crash_after = match self.random.random_ratio(1, 4_000) {
            true => Some(self.random.random_range(0..=out.len())),
            false => None,
        };
        self.carry_out(id, out, crash_after);
    }

    fn carry_out(&mut self, id: NodeId, out: Vec<ConsensusOutput>, crash_after: Option<usize>) {
        let mut appended = false;
        for (place, output) in out.into_iter().enumerate() {
            if crash_after == Some(place) {
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
                ConsensusOutput::Send { to, message } => self.send(id, to, message),
                ConsensusOutput::Apply(entry) => self.apply(id, &entry),
                ConsensusOutput::Restore(snapshot) => {
                    member.hash = read_hash(&snapshot.data);
                    member.applied = snapshot.index;
                    let known = self.history.get(&snapshot.index);
                    assert_eq!(known, Some(&member.hash), "snapshot differs");
                }
                ConsensusOutput::RoleChanged { role, term } => {
                    if role == NodeRole::Leader {
                        let first = *self.leaders.entry(term).or_insert(id);
                        assert_eq!(first, id, "two leaders in term {term}");
                        let now = self.local(id);
                        let config = RepairConfig {
                            voter_count: 3,
                            lost_after_ms: 4_000,
                        };
                        let member = self.members.get_mut(&id).unwrap();
                        member.planner = Some(RepairPlanner::new(now, config));
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
                .map_or(member.disk.snapshot.index, |it| it.index);
            let now = self.local(id);
            let mut out = Vec::new();
            let node = self.members.get_mut(&id).unwrap().node.as_mut().unwrap();
            node.mark_synced(now, last, &mut out);
            self.carry_out(id, out, None);
        }
    }

    fn apply(&mut self, id: NodeId, entry: &LogEntry) {
        let member = self.members.get_mut(&id).unwrap();
        assert_eq!(member.applied + 1, entry.index, "gap in applied entries");
        member.applied = entry.index;
        member.hash = mix(mix(member.hash, entry.term), body_value(&entry.body));
        let first = *self.history.entry(entry.index).or_insert(member.hash);
        assert_eq!(first, member.hash, "state differs at {}", entry.index);
    }

    fn crash(&mut self, id: NodeId) {
        let down = self.random.random_range(50..3_000);
        let member = self.members.get_mut(&id).unwrap();
        member.node = None;
        member.down_until = self.time + down;
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: ConsensusMessage) {
        if self.random.random_ratio(1, 50) {
            return;
        }
        if let Some((node, inbound_only, _)) = self.cut
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
            self.flights.push(Flight {
                due: self.time + delay,
                from,
                to,
                message: message.clone(),
            });
        }
    }

    fn is_acting(&self, id: NodeId) -> bool {
        let member = &self.members[&id];
        member.node.is_some() && member.frozen_until <= self.time
    }

    fn step(&mut self, faults: bool) {
        self.time += STEP_MS;
        let ids: Vec<NodeId> = self.members.keys().copied().collect();
        for id in &ids {
            let member = &self.members[id];
            if !member.wiped && member.node.is_none() && member.down_until <= self.time {
                self.start(*id);
            }
        }
        if faults {
            self.inject();
        }
        self.deliver();
        for id in ids {
            if self.is_acting(id) {
                self.act(id, |node, now, out| node.tick(now, out));
                self.work(id);
            }
        }
        self.check_leases();
    }

    fn deliver(&mut self) {
        let time = self.time;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.flights)
            .into_iter()
            .partition(|it| it.due <= time);
        self.flights = later;
        for flight in due {
            if !self.members.contains_key(&flight.to) {
                continue;
            }
            if !self.is_acting(flight.to) {
                // A frozen process finds its messages when it goes on.
                if self.members[&flight.to].node.is_some() {
                    self.flights.push(flight);
                }
                continue;
            }
            let now = self.local(flight.to);
            let record = self.members[&flight.from].record.clone();
            if let Some(planner) = &mut self.members.get_mut(&flight.to).unwrap().planner {
                planner.record_seen(now, flight.from, record);
            }
            self.act(flight.to, |node, now, out| {
                node.receive(now, flight.from, flight.message, out);
            });
        }
    }

    /// Tells a random member this one's standing, as a new connection does.
    fn tell_standing(&mut self, id: NodeId) {
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
        let standing = self.members[&id]
            .node
            .as_ref()
            .map(ConsensusNode::leadership_status);
        if let Some(message) = standing {
            self.send(id, to, message);
        }
    }

    /// Proposes commands and repairs, compacts, and notes what was accepted.
    fn work(&mut self, id: NodeId) {
        self.tell_standing(id);
        let propose = self.random.random_ratio(1, self.pause_steps);
        let value = self.proposals + 1;
        let Some(node) = self.members[&id].node.as_ref() else {
            return;
        };
        if node.role() == NodeRole::Leader {
            if propose {
                self.proposals = value;
                self.act(id, |node, now, out| {
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
        if node.confirmed_commit(self.local(id)).is_some() {
            self.accepted.push((node.commit_index(), member.hash));
        }
        if member.applied > node.log().snapshot().index + 40 {
            let (applied, hash) = (member.applied, member.hash);
            let data = Bytes::copy_from_slice(&hash.to_le_bytes());
            self.act(id, |node, _, out| node.compact(applied, data, out));
        }
    }

    fn repair(&mut self, id: NodeId) {
        let now = self.local(id);
        // Spares with a disk keep in touch with the leader.
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
        let step = planner.next_step(now, id, &membership);
        if let Some(next) = step.and_then(|step| step.apply(&membership)) {
            self.act(id, |node, now, out| {
                node.propose_membership(now, next, out).ok();
            });
        }
    }

    fn inject(&mut self) {
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
            self.cut = Some((id, self.random.random_bool(0.5), until));
        }
        if self.cut.is_some_and(|it| it.2 <= self.time) {
            self.cut = None;
        }
        if self.random.random_ratio(1, 800) {
            self.wipe(id);
        }
    }

    /// Loses a disk, if the group as every live voter sees it can bear it.
    fn wipe(&mut self, id: NodeId) {
        let fresh = NodeId(self.members.keys().last().unwrap().0 + 1);
        let lost = |node: &NodeId| *node == id || self.members[node].wiped;
        let bearable = self.members.values().all(|member| {
            let entries = member.disk.entries.iter().filter_map(|it| match &it.body {
                EntryBody::Membership(membership) => Some(membership),
                _ => None,
            });
            let mut all = entries.chain([&member.disk.snapshot.membership]);
            all.all(|it| {
                it.voters.keys().filter(|node| lost(node)).count() * 2 < it.voters.len().max(1)
            })
        });
        let spare = !self
            .members
            .values()
            .any(|it| it.disk.snapshot.membership.contains(id));
        if !bearable || spare || self.members.len() > 12 {
            return;
        }
        let member = self.members.get_mut(&id).unwrap();
        member.wiped = true;
        member.node = None;
        member.disk = Disk::default();
        self.add(fresh);
    }

    fn check_leases(&self) {
        let holders: Vec<NodeId> = self
            .members
            .keys()
            .copied()
            .filter(|id| self.is_acting(*id))
            .filter(|id| {
                let node = self.members[id].node.as_ref().unwrap();
                node.lease_until(self.local(*id)).is_some()
            })
            .collect();
        assert!(holders.len() <= 1, "two live leases: {holders:?}");
    }
}

#[rstest]
#[case::three_voters(3, 1, 0..250)]
#[case::five_voters(5, 2, 1_000..1_120)]
#[case::three_voters_many_spares(3, 4, 2_000..2_120)]
fn randomised_schedules_keep_the_promises(
    #[case] voters: u64,
    #[case] spares: u64,
    #[case] seeds: std::ops::Range<u64>,
) {
    for seed in seeds {
        let mut harness = Harness::new(seed, voters, spares);
        for _ in 0..1_500 {
            harness.step(true);
        }
        // What a leader with a lease had committed is still the history.
        for (index, hash) in &harness.accepted {
            assert_eq!(harness.history.get(index), Some(hash), "seed {seed}");
        }
        harness.cut = None;
        harness.pause_steps = 10;
        let before = harness.history.len();
        for _ in 0..1_000 {
            harness.step(false);
        }
        assert!(
            harness.history.len() > before,
            "seed {seed}: no progress after the faults ended"
        );
    }
}

#[test]
fn a_restarted_voter_grants_no_vote_within_a_lease() {
    let harness = Harness::new(7, 3, 0);
    let mut node = ConsensusNode::new(
        ClockTime(5_000),
        ConsensusConfig::default(),
        NodeStart {
            node: NodeId(1),
            vote: VoteRecord::default(),
            log: ReplicatedLog::new(
                harness.members[&NodeId(1)].disk.snapshot.clone(),
                Vec::new(),
            ),
            seed: 1,
        },
    );
    let ask = ConsensusMessage::Vote {
        term: 9,
        last_index: 9,
        last_term: 9,
        transfer: false,
    };
    let mut out = Vec::new();
    node.receive(ClockTime(5_999), NodeId(2), ask.clone(), &mut out);
    assert_eq!(out, Vec::new());
    node.receive(ClockTime(6_000), NodeId(2), ask, &mut out);
    let reply = ConsensusMessage::VoteReply {
        term: 9,
        granted: true,
    };
    assert!(out.contains(&ConsensusOutput::Send {
        to: NodeId(2),
        message: reply
    }));
}

fn three_voters() -> GroupMembership {
    let record = |node: u64| MemberRecord {
        name: format!("n{node}"),
        address: String::new(),
        zone: String::new(),
    };
    GroupMembership {
        voters: (1..=3).map(|node| (NodeId(node), record(node))).collect(),
        ..GroupMembership::default()
    }
}

fn restarted(now: ClockTime, term: u64) -> ConsensusNode {
    let snapshot = LogSnapshot {
        index: 1,
        term: 1,
        membership: three_voters(),
        data: Bytes::new(),
    };
    let start = NodeStart {
        node: NodeId(1),
        vote: VoteRecord {
            term,
            voted_for: None,
        },
        log: ReplicatedLog::new(snapshot, Vec::new()),
        seed: 7,
    };
    ConsensusNode::new(now, ConsensusConfig::default(), start)
}

/// A candidate sends a pre-vote 200 ms after the start; whether it is granted.
fn grants_early(standings: &[(u64, u64, bool)]) -> bool {
    let now = ClockTime(10_000);
    let mut node = restarted(now, 4);
    let mut out = Vec::new();
    for (from, term, leads) in standings {
        let message = ConsensusMessage::Standing {
            term: *term,
            leads: *leads,
        };
        node.receive(now + 100, NodeId(*from), message, &mut out);
    }
    out.clear();
    let message = ConsensusMessage::PreVote {
        term: 5,
        last_index: 1,
        last_term: 1,
    };
    node.receive(now + 200, NodeId(2), message, &mut out);
    out.iter().any(|it| {
        matches!(
            it,
            ConsensusOutput::Send {
                message: ConsensusMessage::PreVoteReply { granted: true, .. },
                ..
            }
        )
    })
}

#[rstest]
#[case::nobody_spoke(&[], false)]
#[case::one_is_silent(&[(2, 4, false)], false)]
#[case::one_leads(&[(2, 4, false), (3, 4, true)], false)]
#[case::one_speaks_of_an_older_term(&[(2, 4, false), (3, 3, false)], false)]
#[case::one_led_before_it_spoke_again(&[(2, 4, false), (3, 4, true), (3, 4, false)], true)]
#[case::nobody_leads(&[(2, 4, false), (3, 4, false)], true)]
fn a_promise_is_void_once_every_other_voter_says_that_it_does_not_lead(
    #[case] standings: &[(u64, u64, bool)],
    #[case] granted: bool,
) {
    assert_eq!(grants_early(standings), granted);
}

#[test]
fn a_voter_whose_folder_is_lost_holds_up_no_election() {
    let now = ClockTime(10_000);
    let mut node = restarted(now, 4);
    let mut out = Vec::new();
    let standing = ConsensusMessage::Standing {
        term: 4,
        leads: false,
    };
    node.receive(now + 100, NodeId(2), standing, &mut out);
    node.mark_replaced(now + 110, NodeId(3));
    out.clear();
    node.tick(now + 300, &mut out);
    assert_eq!(node.role(), NodeRole::PreCandidate);
}

#[test]
fn a_candidate_does_not_speak_for_the_term_that_it_may_win() {
    let now = ClockTime(10_000);
    let mut node = restarted(now, 4);
    let mut out = Vec::new();
    node.tick(now + 5_000, &mut out);
    for from in [2, 3] {
        let message = ConsensusMessage::PreVoteReply {
            term: 5,
            granted: true,
        };
        node.receive(now + 5_010, NodeId(from), message, &mut out);
    }
    assert_eq!((node.role(), node.term()), (NodeRole::Candidate, 5));
    let standing = ConsensusMessage::Standing {
        term: 4,
        leads: false,
    };
    assert_eq!(node.leadership_status(), standing);
}

#[test]
fn a_voter_refuses_a_candidate_that_lacks_entries() {
    let mut harness = Harness::new(7, 3, 0);
    let disk = &mut harness.members.get_mut(&NodeId(1)).unwrap().disk;
    disk.entries = vec![LogEntry {
        index: 2,
        term: 4,
        body: EntryBody::Noop,
    }];
    let start = NodeStart {
        node: NodeId(1),
        vote: VoteRecord::default(),
        log: ReplicatedLog::new(disk.snapshot.clone(), disk.entries.clone()),
        seed: 1,
    };
    let mut node = ConsensusNode::new(ClockTime(0), ConsensusConfig::default(), start);
    for (term, last_term, last_index, expected) in
        [(5, 3, 9, false), (6, 4, 1, false), (7, 4, 2, true)]
    {
        let ask = ConsensusMessage::Vote {
            term,
            last_index,
            last_term,
            transfer: false,
        };
        let mut out = Vec::new();
        node.receive(ClockTime(1_000), NodeId(2), ask, &mut out);
        let granted = out.iter().any(|it| {
            let ConsensusOutput::Send { message, .. } = it else {
                return false;
            };
            matches!(message, ConsensusMessage::VoteReply { granted: true, .. })
        });
        assert_eq!(granted, expected, "term {term}");
    }
}

#[test]
fn the_role_chart_is_complete() {
    assert_eq!(role_chart().start(), NodeRole::Follower);
}
