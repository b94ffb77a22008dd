//! Tests what is kept of a target's messages that arrive while the plan in force lacks its service.

#[path = "common/announcements.rs"]
mod announcements;
#[path = "common/leader.rs"]
mod leader;

use proptest::prelude::*;
use rstest::rstest;

use crate::leader::EARLIER;
use crate::leader::LATER;
use crate::leader::Leader;
use crate::leader::Message;
use crate::leader::Message::Departure;
use crate::leader::Message::Draining;
use crate::leader::Message::Ready;
use crate::leader::Message::SaysLeaving;
use crate::leader::announcement;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::plan::RoutingPlan;
use bergamotlane_service::plan::ServiceSpec;
use bergamotlane_service::registry::TargetAnnouncement;
use bergamotlane_service::state::PlanRecord;

const START: ClockTime = ClockTime(100_000);

/// Interval between two announcements of a target, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

/// Time by which a message is late at the most, in milliseconds.
const LATEST_MS: u64 = 3_900;

/// Number of messages that a sender outside the deployment sends here.
const FLOOD: u64 = 1_500;

/// Largest number of targets outside the plan that a leader may keep, and that the state may.
const MAX_UNSERVED: usize = 1_024;

/// What the next leader knows.
#[derive(Debug, Clone, Copy)]
enum Election {
    /// The same leader goes on.
    None,
    /// The last view and the state.
    WithView,
    /// The state alone.
    WithoutView,
}

/// Puts a plan with these services in force.
fn set_services(leader: &mut Leader, names: &[&str]) {
    let service = |name: &&str| ServiceSpec {
        name: (*name).to_owned(),
        max_connections: 8,
        cold_per_s: 0.0,
        models: Vec::new(),
        scale: None,
    };
    let plan = RoutingPlan {
        services: names.iter().map(service).collect(),
        ..RoutingPlan::default()
    };
    leader.state.plan = Some(PlanRecord {
        plan,
        ..PlanRecord::default()
    });
}

fn elect(leader: &mut Leader, now: ClockTime, election: Election) {
    match election {
        Election::None => {}
        Election::WithView => leader.elect(now),
        Election::WithoutView => leader.elect_without_view(now),
    }
}

/// Guards against a target whose leaving was confirmed while the plan lacked its service, and that is used
/// once the service is back: by what the leader knew from before, or by an announcement that arrives
/// late. `known` tells whether the target was heard of before.
#[rstest]
fn a_target_that_left_while_its_service_was_out_stays_gone(
    #[values(
        Draining { born: LATER, sequence: 5 },
        SaysLeaving { born: LATER },
        Departure
    )]
    leaving: Message,
    #[values(true, false)] known: bool,
    #[values(true, false)] announced_meanwhile: bool,
    #[values(Election::None, Election::WithView, Election::WithoutView)] election: Election,
) {
    let mut leader = Leader::default();
    set_services(&mut leader, &["llm"]);
    let ready = |sequence| Ready {
        born: LATER,
        sequence,
    };
    if known {
        leader.deliver(START, ready(1));
    }
    set_services(&mut leader, &[]);
    if announced_meanwhile {
        leader.deliver(START + 100, ready(2));
    }
    leader.deliver(START + 200, leaving);
    elect(&mut leader, START + 300, election);
    set_services(&mut leader, &["llm"]);
    assert!(!leader.uses(LATER), "when the service is back");
    for (sequence, late_ms) in [(3, 400), (4, 3_900)] {
        leader.deliver(START + late_ms, ready(sequence));
        assert!(!leader.uses(LATER), "{late_ms} ms later");
    }
}

/// Guards against a departure of an unknown start that keeps its ID out of use for ever.
#[rstest]
fn a_start_that_runs_on_after_the_departure_of_an_unknown_one_is_used(
    #[values(Election::None, Election::WithView, Election::WithoutView)] election: Election,
) {
    let mut leader = Leader::default();
    set_services(&mut leader, &["llm"]);
    leader.deliver(START, Departure);
    for sequence in 1..=5 {
        let message = Ready {
            born: LATER,
            sequence,
        };
        leader.deliver(START + sequence * HEARTBEAT_MS, message);
    }
    assert!(leader.uses(LATER));
    let end = START + 6 * HEARTBEAT_MS;
    elect(&mut leader, end, election);
    leader.deliver(
        end,
        Ready {
            born: LATER,
            sequence: 6,
        },
    );
    assert!(leader.uses(LATER), "at the next leader");
}

/// Guards against a start that replaced an earlier one while the plan lacked the service, so that
/// requests still go to the address of the earlier one.
#[rstest]
fn a_start_that_replaced_an_earlier_one_meanwhile_is_the_one_in_use(
    #[values(Election::None, Election::WithView)] election: Election,
) {
    let mut leader = Leader::default();
    set_services(&mut leader, &["llm"]);
    leader.deliver(
        START,
        Ready {
            born: EARLIER,
            sequence: 9,
        },
    );
    set_services(&mut leader, &[]);
    leader.deliver(
        START + 100,
        Ready {
            born: LATER,
            sequence: 1,
        },
    );
    elect(&mut leader, START + 200, election);
    set_services(&mut leader, &["llm"]);
    assert!(leader.uses(LATER) && !leader.uses(EARLIER));
}

/// Guards against a sender outside the deployment whose announcements take a target out: they name a
/// service that the plan lacks, and the target's ID or its address.
#[rstest]
fn an_announcement_of_another_sender_does_not_take_a_target_out(
    #[values("x", "other")] id: &str,
    #[values(true, false)] is_draining: bool,
) {
    let mut leader = Leader::default();
    set_services(&mut leader, &["llm"]);
    let message = |sequence| Ready {
        born: EARLIER,
        sequence,
    };
    leader.deliver(START, message(1));
    let foreign = TargetAnnouncement {
        id: id.to_owned(),
        service: "unknown".to_owned(),
        ..announcement(LATER, 99, is_draining)
    };
    let is_confirmed = leader.announce(START + 100, foreign);
    assert_eq!(is_confirmed, id != "x");
    assert!(leader.uses(EARLIER));
    leader.elect(START + 200);
    assert!(leader.uses(EARLIER), "at the next leader");
    leader.deliver(START + 300, message(2));
    assert!(leader.uses(EARLIER), "after its next announcement");
}

/// Guards against memory that grows with the senders outside the deployment, and against room for
/// departed targets of the plan that is lost to them.
#[test]
fn what_is_kept_of_targets_outside_the_plan_is_bounded() {
    let mut leader = Leader::default();
    set_services(&mut leader, &["llm"]);
    leader.deliver(
        START,
        Ready {
            born: LATER,
            sequence: 1,
        },
    );
    leader.deliver(START + 1, Departure);
    for number in 0..FLOOD {
        for is_draining in [false, true] {
            let foreign = TargetAnnouncement {
                id: format!("{is_draining}-{number}"),
                service: "unknown".to_owned(),
                address: format!("10.1.{}.{}:80", number / 200, number % 200)
                    .parse()
                    .unwrap(),
                ..announcement(LATER, 1, is_draining)
            };
            leader.announce(START + 2, foreign);
        }
    }
    assert!(leader.registry.len() <= MAX_UNSERVED);
    assert!(leader.state.leaving.len() <= 1 + MAX_UNSERVED);
    assert!(leader.state.is_leaving("x", LATER, true));
}

/// Change around a target that leaves.
#[derive(Debug, Clone, Copy)]
enum Step {
    SetServed(bool),
    Elect(Election),
    Deliver(Message),
}

fn steps() -> impl Strategy<Value = Step> {
    let ready = (1..9_u64).prop_map(|sequence| Ready {
        born: LATER,
        sequence,
    });
    prop_oneof![
        any::<bool>().prop_map(Step::SetServed),
        Just(Step::Elect(Election::WithView)),
        Just(Step::Elect(Election::WithoutView)),
        Just(Step::Deliver(Departure)),
        ready.prop_map(Step::Deliver),
    ]
}

fn play(leader: &mut Leader, now: ClockTime, step: Step) {
    match step {
        Step::SetServed(true) => set_services(leader, &["llm"]),
        Step::SetServed(false) => set_services(leader, &[]),
        Step::Elect(election) => elect(leader, now, election),
        Step::Deliver(message) => leader.deliver(now, message),
    }
}

proptest! {
    /// Guards against any order of plans, elections and late messages that brings a start back whose
    /// leaving was confirmed.
    #[test]
    fn no_order_of_plans_and_elections_brings_a_start_back_that_left(
        before in prop::collection::vec(steps(), 0..6),
        is_served in any::<bool>(),
        leaving in prop::sample::select(vec![
            Draining { born: LATER, sequence: 10 },
            SaysLeaving { born: LATER },
            Departure,
        ]),
        after in prop::collection::vec((0..LATEST_MS, steps()), 0..10),
    ) {
        let mut leader = Leader::default();
        for step in before {
            play(&mut leader, START, step);
        }
        play(&mut leader, START, Step::SetServed(is_served));
        let left = START + HEARTBEAT_MS;
        leader.deliver(left, leaving);
        let mut after = after;
        after.sort_by_key(|(at, _)| *at);
        for (at, step) in after {
            play(&mut leader, left + at, step);
            prop_assert!(!leader.uses(LATER));
        }
    }
}
