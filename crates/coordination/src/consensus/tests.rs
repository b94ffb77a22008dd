//! Checks the safety and liveness of consensus in simulated groups under faults, and rules of single
//! nodes.

mod harness;
mod retirements;

use bytes::Bytes;
use rstest::rstest;

use self::harness::Harness;
use super::*;
use crate::clock::ClockTime;
use crate::consensus::election::NO_LEADER_SPREAD_MS;
use crate::consensus::log::HELD_ENTRY_BYTES;
use crate::consensus::replication::MAX_UNANSWERED_BYTES;
use crate::consensus::role::role_chart;
use crate::ident::NodeId;

#[rstest]
#[case::three_voters(3, 1, 0..250)]
#[case::five_voters(5, 2, 1_000..1_120)]
#[case::three_voters_many_spares(3, 4, 2_000..2_120)]
fn randomised_schedules_preserve_safety_and_progress(
    #[case] voters: u64,
    #[case] spares: u64,
    #[case] seeds: std::ops::Range<u64>,
) {
    for seed in seeds {
        let mut harness = Harness::new(seed, voters, spares);
        for _ in 0..1_500 {
            harness.step(true);
        }
        // No entry that a leader with a lease has reported as committed was lost.
        for (index, hash) in &harness.confirmed {
            assert_eq!(harness.history.get(index), Some(hash), "seed {seed}");
        }
        harness.partition = None;
        harness.steps_per_proposal = 10;
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
            applied: 0,
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

/// Creates voter 1 of three, restarted at `now` with a stored `term`.
fn restarted(now: ClockTime, term: u64) -> ConsensusNode {
    let snapshot = LogSnapshot {
        index: 1,
        term: 1,
        membership: three_voters(),
        data: SnapshotData::default(),
    };
    let start = NodeStart {
        node: NodeId(1),
        vote: VoteRecord {
            term,
            ..VoteRecord::default()
        },
        log: ReplicatedLog::new(snapshot, Vec::new()),
        applied: 0,
        seed: 7,
    };
    ConsensusNode::new(now, ConsensusConfig::default(), start)
}

/// Guards against a leader that was started a moment ago and must not act yet, although another
/// node could have led.
#[test]
fn a_node_that_stands_back_starts_its_election_after_the_others() {
    let now = ClockTime(10_000);
    let mut node = restarted(now, 4);
    node.stand_back(now, now + 3_000);
    let config = ConsensusConfig::default();
    let others_until = now + config.lease_ms + config.election_spread_ms;
    assert!(node.election_due >= others_until);
    assert!(node.election_due <= others_until + config.election_spread_ms);
    let mut out = Vec::new();
    for from in [2, 3] {
        let message = ConsensusMessage::Standing {
            term: 4,
            leads: false,
        };
        node.receive(now + 100, NodeId(from), message, &mut out);
    }
    let others_until = now + 100 + NO_LEADER_SPREAD_MS;
    assert!(node.election_due >= others_until);
    assert!(node.election_due <= others_until + NO_LEADER_SPREAD_MS);
    node.reset_election(now + 3_000);
    assert!(node.election_due <= now + 3_000 + config.lease_ms + config.election_spread_ms);
}

/// Guards against a node that leads, ends and no longer knows that it has led.
#[test]
fn a_node_stores_that_it_was_a_candidate_before_it_leads_and_keeps_that() {
    let mut node = restarted(ClockTime(0), 4);
    let mut out = Vec::new();
    node.start_transfer_election(ClockTime(0), &mut out);
    node.enter_term(ClockTime(1), 9, &mut out);
    let stored = out.iter().filter_map(|it| match it {
        ConsensusOutput::SaveVote(vote) => Some((vote.term, vote.voted_for, vote.may_have_led)),
        _ => None,
    });
    let expected = [(5, Some(NodeId(1)), true), (9, None, true)];
    assert_eq!(stored.collect::<Vec<_>>(), expected);
    let is_save = |it: &ConsensusOutput| matches!(it, ConsensusOutput::SaveVote(_));
    let is_request = |it: &ConsensusOutput| matches!(it, ConsensusOutput::Send { .. });
    assert!(out.iter().position(is_save) < out.iter().position(is_request));
}

/// Returns whether a voter grants a pre-vote 200 ms after its start, well within a lease,
/// if it has received `reports` of sender, term and whether the sender leads.
fn grants_early(reports: &[(u64, u64, bool)]) -> bool {
    let now = ClockTime(10_000);
    let mut node = restarted(now, 4);
    let mut out = Vec::new();
    for (from, term, leads) in reports {
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
#[case::no_report(&[], false)]
#[case::one_report_is_missing(&[(2, 4, false)], false)]
#[case::one_leads(&[(2, 4, false), (3, 4, true)], false)]
#[case::one_report_is_of_an_older_term(&[(2, 4, false), (3, 3, false)], false)]
#[case::a_leader_has_stepped_down(&[(2, 4, false), (3, 4, true), (3, 4, false)], true)]
#[case::no_voter_leads(&[(2, 4, false), (3, 4, false)], true)]
fn votes_are_granted_early_once_every_other_voter_reports_that_it_does_not_lead(
    #[case] reports: &[(u64, u64, bool)],
    #[case] granted: bool,
) {
    assert_eq!(grants_early(reports), granted);
}

#[test]
fn a_voter_with_a_lost_data_folder_does_not_delay_an_election() {
    let now = ClockTime(10_000);
    let mut node = restarted(now, 4);
    let mut out = Vec::new();
    let report = ConsensusMessage::Standing {
        term: 4,
        leads: false,
    };
    node.receive(now + 100, NodeId(2), report, &mut out);
    node.mark_replaced(now + 110, NodeId(3));
    out.clear();
    node.tick(now + 300, &mut out);
    assert_eq!(node.role(), NodeRole::PreCandidate);
}

#[test]
fn a_candidate_does_not_report_on_the_term_that_it_may_win() {
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
    let report = ConsensusMessage::Standing {
        term: 4,
        leads: false,
    };
    assert_eq!(node.leadership_status(), report);
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
        applied: 0,
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

/// Returns the only voter of a group with a log of ten stored commands of three MiB each, whose
/// first entry has index 2.
fn sole_voter(applied: u64) -> ConsensusNode {
    sole_voter_with(applied, 10, &EntryBody::Stored(3 * 1024 * 1024))
}

/// Returns the only voter of a group with a log of `count` entries, the first of which has index 2.
fn sole_voter_with(applied: u64, count: u64, body: &EntryBody) -> ConsensusNode {
    let mut membership = three_voters();
    membership.voters.retain(|node, _| *node == NodeId(1));
    sole_voter_of(membership, applied, count, body)
}

/// Returns the only voter of a group with these members and such a log.
fn sole_voter_of(
    membership: GroupMembership,
    applied: u64,
    count: u64,
    body: &EntryBody,
) -> ConsensusNode {
    let snapshot = LogSnapshot {
        index: 1,
        term: 1,
        membership,
        data: SnapshotData::default(),
    };
    let entries = (2..2 + count).map(|index| LogEntry {
        index,
        term: 1,
        body: body.clone(),
    });
    let start = NodeStart {
        node: NodeId(1),
        vote: VoteRecord {
            term: 1,
            ..VoteRecord::default()
        },
        log: ReplicatedLog::new(snapshot, entries.collect()),
        applied,
        seed: 7,
    };
    ConsensusNode::new(ClockTime(0), ConsensusConfig::default(), start)
}

/// Ticks a sole voter once, with its log durable. Returns the indexes that are to be applied.
fn tick_sole_voter(node: &mut ConsensusNode, time: ClockTime) -> Vec<u64> {
    let mut out = Vec::new();
    node.tick(time, &mut out);
    let last = node.log().last_index();
    node.mark_synced(time, last, &mut out);
    let indexes = out.iter().filter_map(|output| match output {
        ConsensusOutput::Apply(entry) => Some(entry.index),
        _ => None,
    });
    indexes.collect()
}

/// A start handed out all entries after the snapshot at once, whose commands were then in memory
/// together.
#[test]
fn evicted_entries_are_applied_in_bounded_portions() {
    let mut node = sole_voter(0);
    let mut applied = Vec::new();
    for step in 1..=4 {
        let time = ClockTime(step * 20);
        assert_eq!(node.confirmed_commit(time), None);
        let indexes = tick_sole_voter(&mut node, time);
        assert!(indexes.len() <= 4, "at tick {step}: {indexes:?}");
        applied.extend(indexes);
    }
    assert_eq!(applied, (2..=12).collect::<Vec<_>>());
    assert_eq!(node.confirmed_commit(ClockTime(80)), Some(12));
}

/// Guards against a start that hands out all entries after the snapshot at once if they are small: each
/// takes memory beside its command.
#[rstest]
#[case::small_commands(EntryBody::Stored(3))]
#[case::no_commands(EntryBody::Noop)]
fn small_entries_are_applied_in_bounded_portions(#[case] body: EntryBody) {
    let mut node = sole_voter_with(0, 1_000, &body);
    node.limit_applied(100 * size_of::<ConsensusOutput>());
    let mut applied = Vec::new();
    for step in 1..=100 {
        let indexes = tick_sole_voter(&mut node, ClockTime(step * 20));
        assert!(indexes.len() <= 100, "at tick {step}: {}", indexes.len());
        applied.extend(indexes);
    }
    assert_eq!(applied, (2..=1_002).collect::<Vec<_>>());
    assert!(!node.has_unapplied());
}

/// Returns the entries that an output sends to a node.
fn entries_sent_to(to: NodeId, output: &ConsensusOutput) -> &[LogEntry] {
    match output {
        ConsensusOutput::Send {
            to: receiver,
            message: ConsensusMessage::Append { entries, .. },
        } if *receiver == to => entries,
        _ => &[],
    }
}

/// Guards against a peer that is sent any number of small entries before it has answered, while others
/// go on: it holds all of them at once when it reads its links again.
#[rstest]
#[case::small_commands(EntryBody::Stored(3))]
#[case::no_commands(EntryBody::Noop)]
fn a_peer_that_does_not_answer_is_sent_a_bounded_number_of_small_entries(#[case] body: EntryBody) {
    let (peer, count) = (NodeId(2), 100_000);
    let mut membership = three_voters();
    let record = membership.voters.remove(&peer).unwrap();
    membership.voters.remove(&NodeId(3));
    membership.learners.insert(peer, record);
    let mut node = sole_voter_of(membership, 0, count, &body);
    let mut out = Vec::new();
    tick_sole_voter(&mut node, ClockTime(20));
    let lacks_all = ConsensusMessage::AppendReply {
        term: node.term(),
        matched: None,
        prev_index: count + 1,
        hint: 2,
        round: 1,
    };
    node.receive(ClockTime(20), peer, lacks_all, &mut out);
    for _ in 0..1_000 {
        let command = Bytes::from_static(&[1; 3]);
        node.propose(ClockTime(21), command, &mut out).unwrap();
    }
    let sent = out.iter().flat_map(|it| entries_sent_to(peer, it));
    let sent_bytes = sent.count() * size_of::<LogEntry>();
    let is_bounded = sent_bytes > 0 && sent_bytes <= MAX_UNANSWERED_BYTES;
    assert!(is_bounded, "{sent_bytes} bytes");
}

#[rstest]
#[case::newer_than_the_base(9, 9)]
#[case::after_the_end_of_the_log(12, 1)]
#[case::none(0, 1)]
fn a_node_starts_from_the_snapshot_of_its_state_machine(#[case] applied: u64, #[case] first: u64) {
    let mut node = sole_voter(applied);
    assert_eq!((node.commit_index(), node.applied_index()), (first, first));
    let indexes = tick_sole_voter(&mut node, ClockTime(20));
    assert_eq!(indexes.first(), Some(&(first + 1)));
}

/// Guards against a log whose small entries take several times the memory that they may, since only
/// their commands were counted in full.
#[test]
fn the_entries_that_are_held_with_small_commands_take_no_more_than_they_may() {
    let (mut node, keep_bytes) = (sole_voter(11), 100_000);
    let mut out = Vec::new();
    tick_sole_voter(&mut node, ClockTime(0));
    for _ in 0..4_000 {
        let command = Bytes::from_static(&[1]);
        node.propose(ClockTime(0), command, &mut out).unwrap();
    }
    let last = node.log().last_index();
    node.mark_synced(ClockTime(0), last, &mut out);
    node.evict_commands(keep_bytes);
    let entries = node.log().entries_from(0);
    let held = entries.filter(|it| matches!(it.body, EntryBody::Command(_)));
    let count = held.count();
    assert!(count > 0 && count * 2 * size_of::<LogEntry>() <= keep_bytes);
}

#[test]
fn only_the_oldest_synced_commands_are_evicted() {
    let mut node = sole_voter(11);
    let mut out = Vec::new();
    node.tick(ClockTime(0), &mut out);
    let synced = node.log().last_index();
    node.mark_synced(ClockTime(0), synced, &mut out);
    for _ in 0..4 {
        let command = Bytes::from_static(&[1; 10]);
        node.propose(ClockTime(0), command, &mut out).unwrap();
    }
    node.evict_commands(0);
    assert_eq!(node.log().held_bytes(), 40, "not durable");
    node.mark_synced(ClockTime(0), synced + 3, &mut out);
    node.evict_commands(2 * (HELD_ENTRY_BYTES + 10) + 5);
    assert_eq!(node.log().held_bytes(), 20);
    node.evict_commands(0);
    assert_eq!(node.log().held_bytes(), 10);
    let body = |index| node.log().entry(index).unwrap().body;
    assert_eq!(body(synced + 3), EntryBody::Stored(10));
    assert_eq!(
        body(synced + 4),
        EntryBody::Command(Bytes::from_static(&[1; 10]))
    );
}

/// Guards against a node that counts as caught up while it replays its log, lacks entries that the leader
/// has committed, or has not heard of the leader since.
#[test]
fn a_node_has_caught_up_once_it_has_applied_what_the_leader_committed() {
    let snapshot = LogSnapshot {
        index: 1,
        term: 1,
        membership: three_voters(),
        data: SnapshotData::default(),
    };
    let noop = |index: u64| LogEntry {
        index,
        term: 1,
        body: EntryBody::Noop,
    };
    let start = NodeStart {
        node: NodeId(1),
        vote: VoteRecord::default(),
        log: ReplicatedLog::new(snapshot, vec![noop(2), noop(3)]),
        applied: 0,
        seed: 1,
    };
    let mut node = ConsensusNode::new(ClockTime(0), ConsensusConfig::default(), start);
    assert_eq!(node.caught_up_at(), None);
    let mut append = |at: u64, entries: Vec<LogEntry>, prev_index: u64, commit: u64| {
        let message = ConsensusMessage::Append {
            term: 1,
            prev_index,
            prev_term: 1,
            entries,
            commit,
            round: 0,
        };
        node.receive(ClockTime(at), NodeId(2), message, &mut Vec::new());
        node.caught_up_at()
    };
    assert_eq!(
        append(100, Vec::new(), 3, 5),
        None,
        "two entries are missing"
    );
    assert_eq!(append(200, vec![noop(4)], 3, 5), None);
    assert_eq!(append(300, vec![noop(5)], 4, 5), Some(ClockTime(300)));
    assert_eq!(append(400, Vec::new(), 9, 9), Some(ClockTime(300)));
    assert_eq!(append(500, Vec::new(), 5, 5), Some(ClockTime(500)));
}
