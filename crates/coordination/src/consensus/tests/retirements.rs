//! Checks that instances retire from simulated groups, whatever fails at each step.
//!
//! Whatever the order of events, what a leader with a lease confirmed survives as long as no more disks
//! are lost than allowed; a retirement that one leader calls completed is completed for every later
//! one; and a group with enough instances in touch has its wanted size, without retired instances,
//! after a bounded number of leaderships.

use std::collections::BTreeSet;

use rand::RngExt;
use rstest::rstest;

use super::harness::Harness;
use super::harness::STEP_MS;
use super::harness::instance_name;
use super::harness::retire_command;
use super::*;
use crate::repair::RetirementVerdict;

/// Number of voters that each group should have; it bears the loss of one disk at a time.
const WANTED_VOTERS: usize = 3;

/// Time without faults after which a group must have recovered from all earlier ones, in milliseconds.
const CATCH_UP_MS: u64 = 8_000;

/// Largest number of faults in one phase of a schedule.
const MAX_FAULTS: usize = 6;

/// What fails when a leader has appended a change of the membership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepFault {
    Nothing,
    LeaderCrashes,
    LeaderFreezes,
    /// All voters but the leader lose power.
    OthersLosePower,
    AllLosePower,
    /// One of the voters that stay, if there are any.
    StayingCrashes,
    StayingFreezes,
    StayingIsCutOff,
    StayingLosesDisk,
    LearnerLosesDisk,
    /// The leader loses its disk as soon as it has called a retirement completed.
    LeaderLosesDiskOnceCompleted,
    /// The same, while the other voters have no power.
    OthersLosePowerAndLeaderItsDisk,
}

const RANDOM_FAULTS: [StepFault; 12] = [
    StepFault::Nothing,
    StepFault::LeaderCrashes,
    StepFault::LeaderFreezes,
    StepFault::OthersLosePower,
    StepFault::AllLosePower,
    StepFault::StayingCrashes,
    StepFault::StayingFreezes,
    StepFault::StayingIsCutOff,
    StepFault::StayingLosesDisk,
    StepFault::LearnerLosesDisk,
    StepFault::LeaderLosesDiskOnceCompleted,
    StepFault::OthersLosePowerAndLeaderItsDisk,
];

/// Simulated group together with the operator who lets instances retire.
struct RetiringGroup {
    seed: u64,
    harness: Harness,
    /// Names of the instances that the operator wants to retire.
    orders: BTreeSet<String>,
    /// Names of those whose retirement was called completed.
    completed: BTreeSet<String>,
    /// Whether the operator takes instances away once their retirement is completed.
    takes_away: bool,
    fault: StepFault,
    faults_left: usize,
    /// Whether a disk may be lost in this phase.
    may_lose_disk: bool,
    last_version: (u64, u64),
}

impl RetiringGroup {
    /// Creates a group of three voters with spares that start at `spares_from`.
    fn new(seed: u64, spares: u64, spares_from: u64) -> Self {
        let mut harness = Harness::new(seed, WANTED_VOTERS as u64, spares);
        harness.steps_per_proposal = 10;
        harness.lost_after_ms = 1_500;
        for number in 1..=spares {
            let spare = NodeId(WANTED_VOTERS as u64 + number);
            harness.stop(spare, spares_from);
        }
        Self {
            seed,
            harness,
            orders: BTreeSet::new(),
            completed: BTreeSet::new(),
            takes_away: true,
            fault: StepFault::Nothing,
            faults_left: 0,
            may_lose_disk: true,
            last_version: (0, 0),
        }
    }

    fn order(&mut self, numbers: impl IntoIterator<Item = u64>) {
        self.orders.extend(numbers.into_iter().map(instance_name));
    }

    /// Lets `fault` happen at each change of the membership, up to [`MAX_FAULTS`] times.
    fn set_fault(&mut self, fault: StepFault) {
        self.fault = fault;
        self.faults_left = MAX_FAULTS;
        self.may_lose_disk = true;
    }

    /// Runs the group; in a calm one, nothing fails but messages.
    fn run(&mut self, duration_ms: u64, is_calm: bool) {
        self.harness.crashes = !is_calm;
        for _ in 0..duration_ms / STEP_MS {
            self.harness.step(false);
            if !is_calm {
                self.fail_at_step();
            }
            self.serve_operator();
        }
    }

    /// Returns the leader that may answer the operator.
    fn confirmed_leader(&self) -> Option<NodeId> {
        let ids = self.harness.members.keys().copied();
        let mut leaders = ids.filter(|id| {
            let member = &self.harness.members[id];
            let node = member.node.as_ref().filter(|_| self.harness.is_acting(*id));
            let now = self.harness.local_time(*id);
            let confirmed = node.and_then(|it| it.confirmed_commit(now));
            confirmed.is_some_and(|commit| member.applied >= commit)
        });
        leaders.next()
    }

    /// Sends the leader all orders again, and asks it which of them are completed.
    fn serve_operator(&mut self) {
        let Some(leader) = self.confirmed_leader() else {
            return;
        };
        for name in self.orders.clone() {
            if self.completed.contains(&name) {
                continue;
            }
            let member = &self.harness.members[&leader];
            let Some(node) = &member.node else {
                return;
            };
            if !member.retiring.contains(&name) {
                self.order_retirement(leader, &name);
            } else if node.has_left(&name) {
                self.complete(leader, name);
            }
        }
        self.assert_promises(leader);
    }

    fn order_retirement(&mut self, leader: NodeId, name: &str) {
        let now = self.harness.local_time(leader);
        let member = self.harness.members.get_mut(&leader).unwrap();
        let (Some(planner), Some(node)) = (&mut member.planner, &member.node) else {
            return;
        };
        let verdict = planner.judge_retirement(now, &node.group_status(), name);
        if verdict != RetirementVerdict::Accepted {
            return;
        }
        planner.record_retiring([&name.to_owned()]);
        self.harness.call_node(leader, |node, now, out| {
            node.propose(now, retire_command(name), out).ok();
        });
    }

    /// Takes an instance away whose retirement is completed. That doesn't count as a loss.
    fn complete(&mut self, leader: NodeId, name: String) {
        if self.takes_away {
            for id in self.nodes_of(&name) {
                self.harness.take_away(id);
            }
        }
        self.completed.insert(name);
        if matches!(
            self.fault,
            StepFault::LeaderLosesDiskOnceCompleted | StepFault::OthersLosePowerAndLeaderItsDisk
        ) {
            self.lose_disk(leader);
        }
    }

    /// Returns the nodes of an instance that have their disks.
    fn nodes_of(&self, name: &str) -> Vec<NodeId> {
        let members = self.harness.members.iter();
        let nodes = members.filter(|(_, it)| it.record.name == name && !it.disk_lost);
        nodes.map(|(id, _)| *id).collect()
    }

    /// Checks what holds at each leader at any time.
    fn assert_promises(&self, leader: NodeId) {
        let seed = self.seed;
        let member = &self.harness.members[&leader];
        let Some(node) = &member.node else {
            return;
        };
        for name in &self.completed {
            assert!(
                node.has_left(name),
                "seed {seed}: {leader} has {name} in its group, whose retirement was completed"
            );
        }
        let members = self.harness.members.values().filter(|it| !it.disk_lost);
        let names: BTreeSet<&String> = members.map(|it| &it.record.name).collect();
        let remaining = names.iter().filter(|it| !member.retiring.contains(**it));
        assert!(
            remaining.count() >= WANTED_VOTERS,
            "seed {seed}: too few remain beside {:?}",
            member.retiring
        );
    }

    /// Lets the fault of this phase happen if a leader has appended a change of the membership.
    fn fail_at_step(&mut self) {
        let leaders = self.harness.members.iter().filter(|(id, member)| {
            let node = member
                .node
                .as_ref()
                .filter(|_| self.harness.is_acting(**id));
            node.is_some_and(|it| it.role() == NodeRole::Leader)
        });
        let Some((leader, member)) =
            leaders.max_by_key(|(_, it)| it.node.as_ref().map(|it| it.term()))
        else {
            return;
        };
        let (leader, node) = (*leader, member.node.as_ref().unwrap());
        let version = node.membership_version();
        if version <= self.last_version || self.faults_left == 0 {
            return;
        }
        self.last_version = version;
        self.faults_left -= 1;
        let membership = node.membership().clone();
        self.fail(leader, &membership);
    }

    fn fail(&mut self, leader: NodeId, membership: &GroupMembership) {
        let voters: Vec<NodeId> = membership.voters.keys().copied().collect();
        let stays = |id: &&NodeId| !self.orders.contains(&self.harness.members[*id].record.name);
        let staying: Vec<NodeId> = voters.iter().filter(stays).copied().collect();
        let one = |harness: &mut Harness, ids: &[NodeId]| {
            (!ids.is_empty()).then(|| ids[harness.random.random_range(0..ids.len())])
        };
        let until = self.harness.time + self.harness.random.random_range(200..3_000);
        let staying = one(&mut self.harness, &staying);
        match self.fault {
            StepFault::Nothing | StepFault::LeaderLosesDiskOnceCompleted => {}
            StepFault::LeaderCrashes => self.harness.stop(leader, until),
            StepFault::LeaderFreezes => self.freeze(leader, until),
            StepFault::OthersLosePower | StepFault::OthersLosePowerAndLeaderItsDisk => {
                let others = voters.iter().filter(|it| **it != leader);
                others.for_each(|it| self.harness.stop(*it, until));
            }
            StepFault::AllLosePower => voters.iter().for_each(|it| self.harness.stop(*it, until)),
            StepFault::StayingCrashes => staying
                .into_iter()
                .for_each(|it| self.harness.stop(it, until)),
            StepFault::StayingFreezes => staying.into_iter().for_each(|it| self.freeze(it, until)),
            StepFault::StayingIsCutOff => {
                self.harness.partition = staying.map(|it| (it, false, until));
            }
            StepFault::StayingLosesDisk => staying.into_iter().for_each(|it| self.lose_disk(it)),
            StepFault::LearnerLosesDisk => {
                let learners: Vec<NodeId> = membership.learners.keys().copied().collect();
                let learner = one(&mut self.harness, &learners);
                learner.into_iter().for_each(|it| self.lose_disk(it));
            }
        }
    }

    fn freeze(&mut self, id: NodeId, until: u64) {
        self.harness.members.get_mut(&id).unwrap().frozen_until = until;
    }

    /// Loses the disk of a node, once in a phase; its instance comes back with another folder.
    fn lose_disk(&mut self, id: NodeId) {
        let member = &self.harness.members[&id];
        if !std::mem::take(&mut self.may_lose_disk) || member.disk_lost {
            return;
        }
        let record = member.record.clone();
        self.harness.take_away(id);
        let replacement = NodeId(self.harness.members.keys().last().unwrap().0 + 1);
        self.harness.add(replacement);
        let back_at = self.harness.time + 1_000;
        let member = self.harness.members.get_mut(&replacement).unwrap();
        member.record = record;
        member.down_until = back_at;
    }

    /// Adds spares, and returns the number of the last instance.
    fn add_spares(&mut self, count: u64) -> u64 {
        let last = self.harness.members.keys().last().unwrap().0;
        for number in last + 1..=last + count {
            self.harness.add(NodeId(number));
        }
        last + count
    }

    /// Ends all faults, and checks that the group recovers from them within a bounded number of
    /// leaderships.
    fn assert_recovers(&mut self) {
        let seed = self.seed;
        self.harness.partition = None;
        let time = self.harness.time;
        for member in self.harness.members.values_mut() {
            member.frozen_until = member.frozen_until.min(time);
            if !member.disk_lost {
                member.down_until = member.down_until.min(time + 1_000);
            }
        }
        let before = self.harness.history.len();
        let leaderships = self.harness.leaders.len();
        let may_lose_disk = self.may_lose_disk;
        self.run(CATCH_UP_MS, true);
        if may_lose_disk && !self.may_lose_disk {
            // A disk was lost meanwhile, as a retirement was completed: that was the last fault.
            self.run(CATCH_UP_MS, true);
        }
        for (index, hash) in &self.harness.confirmed {
            assert_eq!(self.harness.history.get(index), Some(hash), "seed {seed}");
        }
        assert!(
            self.harness.history.len() > before,
            "seed {seed}: no progress"
        );
        let leaderships = self.harness.leaders.len() - leaderships;
        let allowed = 3 + self.orders.len();
        assert!(
            leaderships <= allowed,
            "seed {seed}: {leaderships} leaderships"
        );
        self.assert_settled();
    }

    /// Checks that the group has its wanted size, and no instance in it that retires.
    fn assert_settled(&self) {
        let seed = self.seed;
        let leader = self.confirmed_leader();
        let leader = leader.unwrap_or_else(|| panic!("seed {seed}: no leader"));
        let member = &self.harness.members[&leader];
        let membership = member.node.as_ref().unwrap().membership();
        let voters: Vec<&MemberRecord> = membership.voters.values().collect();
        assert_eq!(voters.len(), WANTED_VOTERS, "seed {seed}: {voters:?}");
        let retires = |it: &&MemberRecord| member.retiring.contains(&it.name);
        assert!(!voters.iter().any(retires), "seed {seed}: {voters:?}");
        let is_lost = |id: &NodeId| self.harness.members[id].disk_lost;
        assert!(
            !membership.voters.keys().any(is_lost),
            "seed {seed}: {voters:?}"
        );
        assert_eq!(
            member.retiring, self.completed,
            "seed {seed}: not completed"
        );
    }
}

/// Guards against a change of the group that is begun anew, undone or passed on by each leader without
/// end, so that nobody serves and nobody is replaced.
#[rstest]
fn retirements_are_completed_whatever_fails_at_each_step(
    #[values(&[1], &[1, 2], &[2, 3], &[1, 2, 3])] retiring: &[u64],
    #[values(
        StepFault::Nothing,
        StepFault::LeaderCrashes,
        StepFault::LeaderFreezes,
        StepFault::OthersLosePower,
        StepFault::AllLosePower,
        StepFault::StayingCrashes,
        StepFault::StayingFreezes,
        StepFault::StayingIsCutOff,
        StepFault::StayingLosesDisk,
        StepFault::LearnerLosesDisk,
        StepFault::LeaderLosesDiskOnceCompleted,
        StepFault::OthersLosePowerAndLeaderItsDisk
    )]
    fault: StepFault,
    #[values(0, 5_000)] spares_from: u64,
) {
    for seed in 0..4 {
        let mut group = RetiringGroup::new(seed, 3, spares_from);
        group.run(2_000, true);
        group.order(retiring.iter().copied());
        group.set_fault(fault);
        group.run(6_000, false);
        group.assert_recovers();
        assert_eq!(group.completed, group.orders, "seed {seed}");
    }
}

/// Guards against orders that are accepted because each is judged without the others.
#[test]
fn orders_that_would_leave_too_few_are_not_accepted_together() {
    for seed in 0..8 {
        let mut group = RetiringGroup::new(seed, 1, 0);
        group.run(2_000, true);
        group.order([1, 2, 3]);
        group.assert_recovers();
        assert_eq!(group.completed.len(), 1, "seed {seed}");
    }
}

/// Guards against a retirement that is never completed, or completes by removing live voters, because a
/// lost voter is being replaced at the same time.
#[rstest]
fn retirements_are_completed_while_a_lost_voter_is_replaced(
    #[values(1, 2, 3)] lost: u64,
    #[values(0, 500, 1_600, 2_500)] ordered_after_ms: u64,
) {
    for seed in 0..8 {
        let mut group = RetiringGroup::new(seed, 3, 0);
        group.run(2_000, true);
        group.lose_disk(NodeId(lost));
        group.run(ordered_after_ms, true);
        group.order([1, 2]);
        group.assert_recovers();
        assert_eq!(group.completed, group.orders, "seed {seed}");
    }
}

/// Guards against a group that adds a retired instance which still runs and removes it again, without
/// end, and against one that does so with a spare that retires.
#[rstest]
#[case::a_voter(1)]
#[case::another_voter(3)]
#[case::a_spare(5)]
fn a_retired_instance_that_still_runs_is_left_alone(#[case] retiring: u64) {
    for seed in 0..8 {
        let mut group = RetiringGroup::new(seed, 3, 0);
        group.takes_away = false;
        group.run(2_000, true);
        group.order([retiring]);
        group.assert_recovers();
        // A later loss leaves the group short of a voter, for which there are two other spares.
        let leader = group.confirmed_leader().unwrap();
        group.lose_disk(leader);
        group.assert_recovers();
        let leader = group.confirmed_leader().unwrap();
        let membership = |group: &RetiringGroup| {
            let node = group.harness.members[&leader].node.as_ref().unwrap();
            node.membership().clone()
        };
        let settled = membership(&group);
        for _ in 0..300 {
            group.run(STEP_MS, true);
            assert_eq!(membership(&group), settled, "seed {seed}");
        }
    }
}

/// Guards against a retired instance whose name comes back with an empty disk: it must not become a
/// member again, since the operator may still take it away.
#[test]
fn a_retired_name_that_comes_back_with_an_empty_disk_stays_out() {
    for seed in 0..8 {
        let mut group = RetiringGroup::new(seed, 2, 0);
        group.takes_away = false;
        group.run(2_000, true);
        group.order([2]);
        group.assert_recovers();
        group.may_lose_disk = true;
        group.lose_disk(NodeId(2));
        group.assert_recovers();
    }
}

/// Guards, in any order of events, against what the cases above guard against one by one, and against
/// answers on what isn't committed, or on voters that are only believed to be live.
#[test]
fn no_order_of_events_breaks_the_promises_of_retirements() {
    for seed in 10_000..10_200 {
        let mut group = RetiringGroup::new(seed, 3, 0);
        group.run(2_000, true);
        for _ in 0..4 {
            let added = group.harness.random.random_range(0..=2);
            let highest = group.add_spares(added);
            let random = &mut group.harness.random;
            let fault = RANDOM_FAULTS[random.random_range(0..RANDOM_FAULTS.len())];
            let retiring = random.random_range(0..=4);
            let numbers: Vec<u64> = (0..retiring)
                .map(|_| random.random_range(1..=highest))
                .collect();
            let loses_first = random.random_bool(0.3);
            let waits_ms = random.random_range(0..2_000);
            group.set_fault(fault);
            if loses_first {
                group.lose_random_voter();
            }
            group.run(waits_ms, false);
            group.order(numbers);
            group.run(4_000, false);
            group.assert_recovers();
        }
    }
}

impl RetiringGroup {
    /// Loses the disk of one of the leader's voters, itself included.
    fn lose_random_voter(&mut self) {
        let Some(leader) = self.confirmed_leader() else {
            return;
        };
        let node = self.harness.members[&leader].node.as_ref().unwrap();
        let voters: Vec<NodeId> = node.membership().voters.keys().copied().collect();
        let voter = voters[self.harness.random.random_range(0..voters.len())];
        self.lose_disk(voter);
    }
}
