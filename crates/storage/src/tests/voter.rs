//! Tests of a consensus node with its data folder.

use bytes::Bytes;

use super::group::COMMAND_BYTES;
use super::group::Group;
use super::group::Member;
use super::group::TAIL_BYTES;
use super::group::command;
use bergamotlane_coordination::consensus::ConsensusMessage;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_coordination::consensus::LogEntry;
use bergamotlane_coordination::ident::NodeId;

/// Returns the index of the entry that holds the command `number`.
fn index_of(member: &Member, number: u64) -> u64 {
    let log = member.voter.node.log();
    let mut indexes = log.snapshot().index + 1..=log.last_index();
    let holds = |index: &u64| {
        let found = member.voter.read_command(*index, 0..8).unwrap();
        found.is_some_and(|bytes| bytes[..] == number.to_le_bytes())
    };
    indexes.find(holds).unwrap()
}

#[test]
fn a_log_of_many_times_the_bound_keeps_its_commands_on_disk_alone() {
    let mut group = Group::new(1);
    group.propose(10 * (TAIL_BYTES / COMMAND_BYTES) as u64);
    group.assert_all_applied();
    let member = &group.members[&NodeId(1)];
    assert!(member.voter.folder.log_bytes() > 10 * TAIL_BYTES as u64);
    for number in [0, 1, 77, group.proposed - 1] {
        let index = index_of(member, number);
        let read = |range| member.voter.read_command(index, range).unwrap();
        let length = COMMAND_BYTES as u32;
        assert_eq!(read(0..length), Some(command(number)));
        assert_eq!(read(3..900), Some(command(number).slice(3..900)));
        assert_eq!(read(length..length), Some(Bytes::new()));
        assert_eq!(read(0..length + 1), None);
    }
    let past_end = member.voter.node.log().last_index() + 1;
    assert_eq!(member.voter.read_command(past_end, 0..0).unwrap(), None);
}

#[test]
fn a_voter_that_lags_gets_commands_that_the_leader_has_evicted() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let late = *group.members.keys().find(|it| **it != leader).unwrap();
    group.cut_off = Some(late);
    group.propose(200);
    assert!(group.members[&late].numbers.is_empty());
    group.cut_off = None;
    for _ in 0..50 {
        group.step();
    }
    group.assert_all_applied();
}

#[test]
fn a_voter_that_lags_behind_the_base_gets_it_and_the_entries_after_it() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let late = *group.members.keys().find(|it| **it != leader).unwrap();
    group.cut_off = Some(late);
    group.propose(50);
    let member = group.members.get_mut(&leader).unwrap();
    member.take_snapshot();
    let base = member.applied;
    group.propose(100);
    let member = group.members.get_mut(&leader).unwrap();
    member.take_snapshot();
    member.voter.release_log(base + 1).unwrap();
    assert_eq!(member.voter.node.log().snapshot().index, base);
    group.members.get_mut(&late).unwrap().first_applied = None;
    group.cut_off = None;
    for _ in 0..150 {
        group.step();
    }
    group.assert_all_applied();
    let late = &group.members[&late];
    assert_eq!(late.voter.node.log().snapshot().index, base);
    assert_eq!(late.first_applied, Some(base + 1));
}

/// A leader that sent an unanswered snapshot anew with each heartbeat held one copy for each.
#[test]
fn an_unanswered_snapshot_is_not_sent_with_each_heartbeat() {
    let mut group = Group::new(3);
    let leader = group.leader();
    let late = *group.members.keys().find(|it| **it != leader).unwrap();
    group.cut_off = Some(late);
    group.propose(50);
    let member = group.members.get_mut(&leader).unwrap();
    member.take_snapshot();
    let base = member.applied;
    member.voter.release_log(base + 1).unwrap();
    group.cut_off = None;
    group.loses_snapshots = true;
    group.sent.clear();
    let start = group.time;
    while group.time.since(start) < 10_000 {
        group.step();
    }
    let to_late = group.sent.iter().filter(|(to, _)| *to == late);
    let snapshots = to_late.clone().filter(|(_, is_snapshot)| *is_snapshot);
    assert!((4..=6).contains(&snapshots.count()), "every two seconds");
    assert!(to_late.count() >= 90, "heartbeats go on");
    assert!(group.members[&late].numbers.is_empty());
    group.loses_snapshots = false;
    for _ in 0..200 {
        group.step();
    }
    group.assert_all_applied();
}

/// The entries of an earlier output are read before a later one replaces them on disk.
#[test]
fn outputs_are_completed_in_their_order() {
    let mut group = Group::new(1);
    group.propose(100);
    let member = group.members.get_mut(&NodeId(1)).unwrap();
    let index = index_of(member, 7);
    let stored = member.voter.node.log().entry(index).unwrap();
    assert!(matches!(stored.body, EntryBody::Stored(_)));
    let append = |entry: &LogEntry| ConsensusMessage::Append {
        term: 1,
        prev_index: index - 1,
        prev_term: 1,
        entries: vec![entry.clone()],
        commit: 1,
        round: 1,
    };
    let to = NodeId(2);
    let replaced = LogEntry {
        index,
        term: stored.term + 1,
        body: EntryBody::Command(command(1_000)),
    };
    let outputs = vec![
        ConsensusOutput::Apply(stored.clone()),
        ConsensusOutput::Send {
            to,
            message: append(&stored),
        },
        ConsensusOutput::AppendEntries(vec![replaced]),
    ];
    let ready = member.voter.persist(group.time, outputs).unwrap();
    let full = LogEntry {
        body: EntryBody::Command(command(7)),
        ..stored
    };
    let message = append(&full);
    let expected = [
        ConsensusOutput::Apply(full),
        ConsensusOutput::Send { to, message },
    ];
    assert_eq!(ready, expected);
}

#[test]
fn a_restart_applies_from_the_newest_snapshot_on_and_keeps_older_commands() {
    let mut group = Group::new(1);
    group.propose(60);
    let member = group.members.get_mut(&NodeId(1)).unwrap();
    member.take_snapshot();
    let newest = member.applied;
    group.propose(60);
    group.restart(1);
    let member = &group.members[&NodeId(1)];
    assert_eq!(member.applied, newest);
    assert_eq!(member.voter.node.commit_index(), newest);
    assert_eq!(member.voter.command_bytes_in_memory(), 0);
    assert_eq!(member.voter.node.log().snapshot().index, 1);
    index_of(member, 0);
    group.leader();
    group.assert_all_applied();
    let member = &group.members[&NodeId(1)];
    assert_eq!(member.first_applied, Some(newest + 1));
}

#[test]
fn releasing_the_log_frees_its_segments() {
    let mut group = Group::new(1);
    group.propose(500);
    let member = group.members.get_mut(&NodeId(1)).unwrap();
    let before = member.voter.disk_bytes();
    assert!(before > 500 * COMMAND_BYTES as u64);
    member.take_snapshot();
    let first_needed = member.applied + 1;
    // An entry that is still needed keeps all that follows it.
    member.voter.release_log(first_needed - 1).unwrap();
    assert!(member.voter.disk_bytes() > before);
    member.voter.release_log(first_needed).unwrap();
    assert!(member.voter.disk_bytes() < 16 * 1024);
    assert_eq!(
        member.voter.read_command(first_needed - 1, 0..1).unwrap(),
        None
    );
    group.propose(10);
    group.restart(1);
    group.leader();
    group.assert_all_applied();
}

#[test]
fn a_snapshot_is_due_once_until_it_is_written() {
    let mut group = Group::new(1);
    group.leader();
    let member = group.members.get_mut(&NodeId(1)).unwrap();
    member.voter.snapshots.log_bytes = 50 * COMMAND_BYTES as u64;
    group.propose(40);
    assert!(!group.members[&NodeId(1)].voter.needs_snapshot());
    group.propose(20);
    let member = group.members.get_mut(&NodeId(1)).unwrap();
    assert!(member.voter.needs_snapshot());
    let index = member.applied;
    assert!(
        member.voter.start_snapshot(index + 1).is_none(),
        "not applied"
    );
    let writer = member.voter.start_snapshot(index).unwrap();
    assert!(
        member.voter.start_snapshot(index - 1).is_none(),
        "one is written"
    );
    assert!(!member.voter.needs_snapshot());
    group.propose(30);
    let member = group.members.get_mut(&NodeId(1)).unwrap();
    member.voter.finish_snapshot(writer.write(b"").unwrap());
    assert!(!member.voter.needs_snapshot());
    assert!(member.voter.start_snapshot(index).is_none(), "as new");
    group.propose(30);
    let member = group.members.get_mut(&NodeId(1)).unwrap();
    assert!(member.voter.needs_snapshot());
    // An abandoned snapshot leaves nothing, even if it is written later.
    let writer = member.voter.start_snapshot(member.applied).unwrap();
    member.voter.abandon_snapshot();
    let disk_bytes = member.voter.disk_bytes();
    member.voter.finish_snapshot(writer.write(b"late").unwrap());
    assert_eq!(member.voter.disk_bytes(), disk_bytes);
    assert_eq!(member.voter.read_snapshot().unwrap().index, index);
    group.restart(1);
    assert_eq!(group.members[&NodeId(1)].applied, index);
}
