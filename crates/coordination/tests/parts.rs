//! Tests of charts, freshness and repair through the public interface.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use proptest::prelude::*;
use rstest::rstest;

use bergamotlane_coordination::chart::ChartError;
use bergamotlane_coordination::chart::ChartLabel;
use bergamotlane_coordination::chart::StateChart;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::consensus::GroupStatus;
use bergamotlane_coordination::consensus::MemberRecord;
use bergamotlane_coordination::freshness::FollowerTable;
use bergamotlane_coordination::freshness::ViewFreshness;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_coordination::repair::RepairConfig;
use bergamotlane_coordination::repair::RepairPlanner;
use bergamotlane_coordination::repair::RepairStep;
use bergamotlane_coordination::repair::RetirementVerdict;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DoorState {
    Open,
    Shut,
}

impl ChartLabel for DoorState {
    const ALL: &'static [Self] = &[Self::Open, Self::Shut];

    fn label(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Shut => "shut",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DoorEvent {
    Pull,
}

impl ChartLabel for DoorEvent {
    const ALL: &'static [Self] = &[Self::Pull];

    fn label(self) -> &'static str {
        "pull"
    }
}

#[rstest]
#[case::unhandled("open pull -> shut", ChartError::Unhandled { state: "shut", event: "pull" })]
#[case::unreachable(
    "open pull -> open\nshut pull -> open",
    ChartError::Unreachable { state: "shut" }
)]
#[case::unknown(
    "open pull -> ajar\nopen pull -> shut\nshut pull -> open",
    ChartError::UnknownLabel { line: 1, label: "ajar".to_owned() }
)]
#[case::syntax("open pull shut\nopen pull -> shut\nshut pull -> open", ChartError::Syntax { line: 1 })]
fn an_invalid_chart_is_rejected(#[case] text: &str, #[case] expected: ChartError) {
    let errors = StateChart::<DoorState, DoorEvent>::parse(text).unwrap_err();
    assert_eq!(errors, vec![expected]);
}

#[test]
fn a_view_is_fresh_only_with_all_entries_committed_at_the_request() {
    let mut freshness = ViewFreshness::new(2_000);
    assert!(!freshness.is_fresh(ClockTime(0)));
    assert!(!freshness.confirm(ClockTime(100), 7, 6));
    assert!(!freshness.is_fresh(ClockTime(100)));
    assert!(freshness.confirm(ClockTime(100), 7, 7));
    assert!(freshness.is_fresh(ClockTime(2_099)));
    assert!(!freshness.is_fresh(ClockTime(2_100)));
    // A late answer to an older request neither shortens nor extends the window.
    freshness.confirm(ClockTime(50), 7, 7);
    assert_eq!(freshness.fresh_until(), Some(ClockTime(2_100)));
}

proptest! {
    /// Once the leader reports a change as in force, no follower acts on a view without it,
    /// no matter which answers are lost or late, and even if clocks drift by the allowance.
    #[test]
    fn in_force_means_that_nobody_acts_on_an_older_view(
        steps in prop::collection::vec((0_u64..4, 0_u64..900, any::<bool>(), 0_u64..300), 1..120),
        drifts in prop::collection::vec(-5_i64..=5, 4),
    ) {
        const WINDOW_MS: u64 = 2_000;
        let local = |follower: u64, time: u64| {
            let drift = drifts[follower as usize];
            ClockTime((time as i64 * (1_000 + drift) / 1_000) as u64)
        };
        let mut table = FollowerTable::new(ClockTime(0), WINDOW_MS);
        let mut views = [ViewFreshness::new(WINDOW_MS); 4];
        let mut applied = [0_u64; 4];
        let mut time = 0;
        let mut commit = 0;
        for (position, (follower, pause, commits, delay)) in steps.into_iter().enumerate() {
            let asked = time;
            time += delay;
            // The leader answers a request that was sent `delay` ago. Some requests are lost on
            // the way to the leader, and some answers on the way back.
            if position % 7 != 6 {
                table.answer(ClockTime(time), RunId(follower), applied[follower as usize]);
                if position % 5 != 4 {
                    applied[follower as usize] = commit;
                    let asked_at = local(follower, asked);
                    views[follower as usize].confirm(asked_at, commit, commit);
                }
            }
            commit += u64::from(commits);
            time += pause;
            if !table.in_force(ClockTime(time), commit) {
                continue;
            }
            for other in 0..4_u64 {
                let fresh = views[other as usize].is_fresh(local(other, time));
                prop_assert!(!fresh || applied[other as usize] >= commit);
            }
        }
    }
}

#[test]
fn a_new_leader_reports_nothing_in_force_until_old_views_expire() {
    let table = FollowerTable::new(ClockTime(0), 2_000);
    assert!(!table.in_force(ClockTime(2_019), 1));
    assert!(table.in_force(ClockTime(2_020), 1));
}

fn record(node: u64) -> MemberRecord {
    MemberRecord {
        name: format!("n{node}"),
        address: String::new(),
        zone: format!("z{}", node % 3),
    }
}

fn planner(now: u64, seen: &[u64]) -> RepairPlanner {
    let config = RepairConfig {
        voter_count: 3,
        lost_after_ms: 1_000,
        silent_after_ms: 10_000,
    };
    let mut planner = RepairPlanner::new(ClockTime(0), config);
    for node in seen {
        planner.record_seen(ClockTime(now), NodeId(*node), record(*node));
    }
    planner
}

fn membership(voters: &[u64], learners: &[u64]) -> GroupMembership {
    let records = |nodes: &[u64]| -> BTreeMap<NodeId, MemberRecord> {
        nodes.iter().map(|it| (NodeId(*it), record(*it))).collect()
    };
    GroupMembership {
        voters: records(voters),
        learners: records(learners),
        barred: BTreeSet::new(),
    }
}

/// Returns the status of a group that node 1 leads, of which the nodes `answered` answered it at `now`.
fn status(now: u64, members: GroupMembership, answered: &[u64]) -> GroupStatus {
    let answered_at = answered.iter().map(|it| (NodeId(*it), ClockTime(now)));
    GroupStatus {
        leader: NodeId(1),
        answered_at: answered_at.collect(),
        caught_up: answered.iter().map(|it| NodeId(*it)).collect(),
        membership: members,
    }
}

fn step_text(step: Option<&RepairStep>) -> Option<String> {
    step.map(|step| match step {
        RepairStep::AddLearner(node, _) => format!("add {}", node.0),
        RepairStep::Promote(node) => format!("promote {}", node.0),
        RepairStep::Remove(node) => format!("remove {}", node.0),
        RepairStep::Transfer(nodes) => {
            let nodes: Vec<String> = nodes.iter().map(|it| it.0.to_string()).collect();
            format!("transfer to {}", nodes.join(" or "))
        }
    })
}

#[rstest]
#[case::a_complete_group_needs_no_step(&[2, 3, 9], &[1, 2, 3], &[], None)]
#[case::a_lost_voter_is_replaced_from_its_zone(&[2, 6, 8], &[1, 2, 3], &[], Some("add 6"))]
#[case::a_learner_is_promoted(&[2, 6], &[1, 2, 3], &[6], Some("promote 6"))]
#[case::the_lost_voter_is_removed_last(&[2, 6], &[1, 2, 3, 6], &[], Some("remove 3"))]
#[case::a_lost_learner_is_removed(&[2, 3], &[1, 2, 3], &[6], Some("remove 6"))]
#[case::without_a_spare_nothing_changes(&[2], &[1, 2, 3], &[], None)]
#[case::a_new_group_grows(&[5], &[1], &[], Some("add 5"))]
#[case::a_voter_too_many_leaves_the_fullest_zone(&[2, 3, 4], &[1, 2, 3, 4], &[], Some("remove 4"))]
fn repair_takes_one_step_at_a_time(
    #[case] seen: &[u64],
    #[case] voters: &[u64],
    #[case] learners: &[u64],
    #[case] expected: Option<&str>,
) {
    let mut planner = planner(5_000, seen);
    let status = status(5_000, membership(voters, learners), seen);
    let step = planner.next_step(ClockTime(5_000), &status);
    assert_eq!(step_text(step.as_ref()).as_deref(), expected);
    if let Some(step) = step {
        let next = step.apply(&status).unwrap();
        assert!(status.membership.is_single_step(&next));
    }
}

/// Guards against a leader that passes a retirement on instead of carrying it out, and against one that
/// removes so many that those which remain are no quorum.
#[rstest]
#[case::a_voter_is_replaced_first(&[2], &[1, 2, 3], &[], Some("add 5"))]
#[case::then_it_is_removed(&[2], &[1, 2, 3, 5], &[], Some("remove 2"))]
#[case::a_leader_that_retires_repairs_the_group_first(&[1], &[1, 2, 3], &[], Some("add 4"))]
#[case::and_transfers_its_lead_last(&[1], &[1, 2, 3, 4], &[], Some("transfer to 2 or 3 or 4"))]
#[case::all_voters_retire(&[1, 2, 3], &[1, 2, 3], &[], Some("add 5"))]
#[case::one_goes_for_each_that_has_come(&[1, 2, 3], &[1, 2, 3, 5], &[], Some("remove 2"))]
#[case::the_leader_is_the_last(&[1, 2, 3], &[1, 4, 5, 6], &[], Some("transfer to 4 or 5 or 6"))]
#[case::a_learner_that_retires_goes(&[5], &[1, 2, 3], &[5], Some("remove 5"))]
#[case::a_spare_that_retires_is_not_added(&[2, 4, 5, 6], &[1, 2, 3], &[], None)]
fn instances_that_retire_are_replaced_one_by_one(
    #[case] retiring: &[u64],
    #[case] voters: &[u64],
    #[case] learners: &[u64],
    #[case] expected: Option<&str>,
) {
    let others = [2, 3, 4, 5, 6];
    let mut planner = planner(5_000, &others);
    let names: Vec<String> = retiring.iter().map(|it| record(*it).name).collect();
    planner.record_retiring(&names);
    let status = status(5_000, membership(voters, learners), &others);
    let step = planner.next_step(ClockTime(5_000), &status);
    assert_eq!(step_text(step.as_ref()).as_deref(), expected);
}

/// Guards against a leader that passes its lead to a voter which lacks entries and can't be elected.
#[rstest]
#[case::one_lacks_entries(&[3, 4], Some("transfer to 3 or 4"))]
#[case::all_lack_entries(&[], None)]
fn a_leader_that_retires_waits_for_a_voter_that_has_all_entries(
    #[case] caught_up: &[u64],
    #[case] expected: Option<&str>,
) {
    let mut planner = planner(5_000, &[2, 3, 4]);
    planner.record_retiring(&[record(1).name]);
    let mut status = status(5_000, membership(&[1, 2, 3, 4], &[]), &[2, 3, 4]);
    status.caught_up = caught_up.iter().map(|it| NodeId(*it)).collect();
    let step = planner.next_step(ClockTime(5_000), &status);
    assert_eq!(step_text(step.as_ref()).as_deref(), expected);
}

/// Guards against a new leader that takes a voter for live which it has not heard of, and removes a live
/// one in its place: the group is then left with the lost one.
#[rstest]
#[case::not_heard_of_yet(100, &[2, 3], None)]
#[case::known_to_be_lost(1_100, &[2, 3], Some("remove 4"))]
#[case::heard_of(100, &[2, 3, 4], Some("remove 2"))]
fn no_voter_is_removed_on_the_belief_that_another_one_is_live(
    #[case] now: u64,
    #[case] answered: &[u64],
    #[case] expected: Option<&str>,
) {
    let mut planner = planner(now, answered);
    planner.record_retiring(&[record(2).name]);
    let status = status(now, membership(&[1, 2, 3, 4], &[]), answered);
    let step = planner.next_step(ClockTime(now), &status);
    assert_eq!(step_text(step.as_ref()).as_deref(), expected);
}

/// Guards against a member that is connected but never answers, as one whose storage has failed, which
/// keeps a change of the group from ever coming to its end.
#[test]
fn a_member_that_shows_signs_of_life_but_never_answers_is_replaced() {
    let mut planner = planner(0, &[2, 6, 9]);
    let group = membership(&[1, 2], &[6]);
    let mut steps = Vec::new();
    for now in (0..10_200).step_by(100) {
        for node in [2, 6, 9] {
            planner.record_seen(ClockTime(now), NodeId(node), record(node));
        }
        let step = planner.next_step(ClockTime(now), &status(now, group.clone(), &[2]));
        steps.extend(step.filter(|it| *it != RepairStep::Promote(NodeId(6))));
    }
    assert_eq!(steps, [RepairStep::Remove(NodeId(6))]);
    let status = status(10_200, membership(&[1, 2], &[]), &[2]);
    let step = planner.next_step(ClockTime(10_200), &status);
    assert_eq!(step_text(step.as_ref()).as_deref(), Some("add 9"));
}

/// Guards against orders that leave too few instances because each is judged without the others, or by
/// instances that are gone.
#[rstest]
#[case::enough_remain(100, &[2, 3, 4], &[], RetirementVerdict::Accepted)]
#[case::another_order_was_accepted(2_000, &[2, 3, 4], &[2], RetirementVerdict::TooFew)]
#[case::one_is_lost(2_000, &[2, 3], &[], RetirementVerdict::TooFew)]
#[case::one_was_not_heard_of_yet(100, &[2, 3], &[], RetirementVerdict::Unsure)]
fn an_order_to_retire_is_judged_by_the_instances_that_are_known_to_remain(
    #[case] now: u64,
    #[case] answered: &[u64],
    #[case] accepted: &[u64],
    #[case] expected: RetirementVerdict,
) {
    let mut planner = planner(now, answered);
    let names: Vec<String> = accepted.iter().map(|it| record(*it).name).collect();
    planner.record_retiring(&names);
    let status = status(now, membership(&[1, 2, 3, 4], &[]), answered);
    let verdict = planner.judge_retirement(ClockTime(now), &status, &record(3).name);
    assert_eq!(verdict, expected);
}

/// Guards against a step that skips a stage, above all the removal of a leader that still leads.
#[rstest]
#[case::a_member_is_not_added(RepairStep::AddLearner(NodeId(2), record(2)), None)]
#[case::a_voter_is_not_promoted(RepairStep::Promote(NodeId(2)), None)]
#[case::a_spare_is_not_promoted(RepairStep::Promote(NodeId(9)), None)]
#[case::a_leader_is_not_removed(RepairStep::Remove(NodeId(1)), None)]
#[case::a_spare_is_not_removed(RepairStep::Remove(NodeId(9)), None)]
#[case::a_spare_is_added(
    RepairStep::AddLearner(NodeId(9), record(9)),
    Some((&[1, 2, 3][..], &[6, 9][..]))
)]
#[case::a_learner_is_promoted(RepairStep::Promote(NodeId(6)), Some((&[1, 2, 3, 6][..], &[][..])))]
#[case::a_learner_is_removed(RepairStep::Remove(NodeId(6)), Some((&[1, 2, 3][..], &[][..])))]
#[case::a_voter_is_removed(RepairStep::Remove(NodeId(2)), Some((&[1, 3][..], &[6][..])))]
fn a_step_is_taken_only_from_its_stage(
    #[case] step: RepairStep,
    #[case] expected: Option<(&[u64], &[u64])>,
) {
    let status = status(0, membership(&[1, 2, 3], &[6]), &[]);
    let expected = expected.map(|(voters, learners)| membership(voters, learners));
    assert_eq!(step.apply(&status), expected);
}
