//! Tests the order of the messages about targets: each kind late, twice and in any order, around a
//! start that ends and the next one under the same ID.

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
use bergamotlane_coordination::clock::ClockTime;

const START: ClockTime = ClockTime(100_000);

/// Interval between two announcements of a target, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

/// Longest time by which a message is late here, in milliseconds.
const LATEST_MS: u64 = 3_900;

/// Time within which a target that runs must be in use again, in milliseconds.
const RETURN_MS: u64 = 7_200;

/// Returns the announcements of a start that runs, from its first one on, each with its time.
fn heartbeats(born: u64, from: ClockTime, count: u64) -> Vec<(ClockTime, Message)> {
    let at = |sequence: u64| from + (sequence - 1) * HEARTBEAT_MS;
    (1..=count)
        .map(|sequence| (at(sequence), Ready { born, sequence }))
        .collect()
}

/// Delivers messages in the order of their times.
fn play(leader: &mut Leader, mut messages: Vec<(ClockTime, Message)>) {
    messages.sort_by_key(|(at, _)| *at);
    for (at, message) in messages {
        leader.deliver(at, message);
    }
}

/// Guards against a drain that is accepted and then undone by a later announcement of the same start,
/// before it is committed: it would be confirmed, and bind nobody until the next leader.
#[test]
fn a_ready_announcement_before_a_drain_is_committed_is_ignored() {
    let mut leader = Leader::default();
    for message in heartbeats(EARLIER, START, 2) {
        play(&mut leader, vec![message]);
    }
    let drained_at = START + 2 * HEARTBEAT_MS;
    let drain = Draining {
        born: EARLIER,
        sequence: 3,
    };
    let outcome = leader.receive(drained_at, drain);
    let ready = Ready {
        born: EARLIER,
        sequence: 4,
    };
    leader.deliver(drained_at + 20, ready);
    assert!(!leader.uses(EARLIER), "before the drain is committed");
    leader.state.apply(1, outcome.command.unwrap());
    leader.deliver(drained_at + HEARTBEAT_MS, ready);
    assert!(!leader.uses(EARLIER), "after the drain is committed");
    leader.deliver(
        drained_at + HEARTBEAT_MS,
        Ready {
            born: LATER,
            sequence: 1,
        },
    );
    assert!(leader.uses(LATER));
}

/// Messages of the earlier start, with what each of them is.
fn late_messages() -> Vec<Message> {
    vec![
        Ready {
            born: EARLIER,
            sequence: 9,
        },
        Draining {
            born: EARLIER,
            sequence: 9,
        },
        SaysLeaving { born: EARLIER },
        Departure,
    ]
}

/// Plays late messages of the earlier start while the later one runs. Returns the leader and the time
/// of the last announcement.
fn play_late(
    late: &[(u64, Message)],
    drains: bool,
    elected_at: Option<u64>,
) -> (Leader, ClockTime) {
    let mut leader = Leader::default();
    leader.deliver(
        START,
        Ready {
            born: EARLIER,
            sequence: 1,
        },
    );
    if drains {
        leader.deliver(
            START + 10,
            Draining {
                born: EARLIER,
                sequence: 2,
            },
        );
        leader.deliver(START + 2_000, Departure);
    }
    let restarted = START + 2_500;
    let count = (LATEST_MS + RETURN_MS) / HEARTBEAT_MS + 2;
    let mut messages = heartbeats(LATER, restarted, count);
    let last = messages.last().unwrap().0;
    messages.extend(late.iter().map(|(after, it)| (restarted + *after, *it)));
    messages.sort_by_key(|(at, _)| *at);
    let elected = elected_at.map(|it| restarted + it);
    let split = elected.map_or(messages.len(), |time| {
        messages.partition_point(|(at, _)| *at < time)
    });
    let later = messages.split_off(split);
    play(&mut leader, messages);
    if let Some(time) = elected {
        leader.elect(time);
    }
    play(&mut leader, later);
    (leader, last)
}

/// Guards against each kind of message of an earlier start that acts for good on the running one when
/// it arrives late, once or twice, whether the earlier start had drained or just ended.
#[rstest]
fn a_late_message_of_an_earlier_start_does_not_end_the_running_one(
    #[values(0, 1, 2, 3)] kind: usize,
    #[values(1, 2)] times: u64,
    #[values(true, false)] drains: bool,
) {
    let message = late_messages()[kind];
    let late: Vec<_> = (1..=times).map(|it| (it * 700, message)).collect();
    let (mut leader, last) = play_late(&late, drains, None);
    assert!(leader.uses(LATER));
    leader.elect(last);
    assert!(leader.uses(LATER), "at the next leader");
}

/// Guards against a target that comes back although its own departure was confirmed: late announcements
/// of it, one or several, spread or all at once after a partition.
#[rstest]
#[case::after_a_drain(true, &[100, 900, 1_800, 2_700, 3_900, 5_000, 6_000])]
#[case::one(false, &[100])]
#[case::one_after_a_long_partition(false, &[20_000])]
#[case::all_within_the_latest_time(false, &[0, 700, 1_400, 2_100, 2_800, 3_500, 3_900])]
#[case::all_at_once_after_a_partition(false, &[9_000, 9_001, 9_002, 9_003, 9_004])]
#[case::two_far_apart(false, &[100, 3_000, 9_000])]
fn a_departed_start_stays_gone(#[case] drains: bool, #[case] late: &[u64]) {
    let mut leader = Leader::default();
    leader.deliver(
        START,
        Ready {
            born: EARLIER,
            sequence: 1,
        },
    );
    leader.deliver(
        START + 100,
        Ready {
            born: LATER,
            sequence: 1,
        },
    );
    if drains {
        leader.deliver(
            START + 200,
            Draining {
                born: LATER,
                sequence: 2,
            },
        );
    }
    let gone = START + 300;
    leader.deliver(gone, Departure);
    for (sequence, after) in (3..).zip(late) {
        leader.deliver(
            gone + *after,
            Ready {
                born: LATER,
                sequence,
            },
        );
        assert!(!leader.uses(LATER), "{after} ms after the departure");
    }
}

/// Guards against a target that comes back at all although no earlier start is known whose departure
/// it may have been.
#[test]
fn the_first_start_of_a_target_does_not_come_back_after_its_departure() {
    let mut leader = Leader::default();
    leader.deliver(
        START,
        Ready {
            born: LATER,
            sequence: 1,
        },
    );
    leader.deliver(START + 10, Departure);
    play(&mut leader, heartbeats(LATER, START + 100, 20));
    assert!(!leader.uses(LATER));
}

proptest! {
    /// Guards against any order of late messages of an earlier start, each of them any number of times
    /// and around a change of leader, that takes the running one out for good.
    #[test]
    fn no_order_of_late_messages_ends_the_running_start(
        late in prop::collection::vec(
            (0..LATEST_MS, prop::sample::select(late_messages())),
            0..6,
        ),
        elected_at in prop::option::of(0..LATEST_MS),
    ) {
        let (mut leader, last) = play_late(&late, true, elected_at);
        prop_assert!(leader.uses(LATER));
        leader.elect(last);
        prop_assert!(leader.uses(LATER), "at the next leader");
    }

    /// Guards against any order of messages that were under way when a start left, after its drain or
    /// without one, that brings it back.
    #[test]
    fn no_order_of_late_messages_brings_a_departed_start_back(
        late in prop::collection::vec((0..LATEST_MS, 1_u64..8, any::<bool>()), 0..8),
        drains in any::<bool>(),
        elected_at in prop::option::of(0..LATEST_MS),
    ) {
        let mut leader = Leader::default();
        leader.deliver(START, Ready { born: EARLIER, sequence: 1 });
        leader.deliver(START + 100, Ready { born: LATER, sequence: 1 });
        if drains {
            leader.deliver(START + 200, Draining { born: LATER, sequence: 8 });
        }
        let gone = START + 300;
        leader.deliver(gone, Departure);
        let mut late = late;
        late.sort();
        let mut elected_at = elected_at;
        for (after, sequence, is_departure) in late {
            if elected_at.is_some_and(|it| it <= after) {
                leader.elect(gone + after);
                elected_at = None;
            }
            let message = match is_departure {
                true => Departure,
                false => Ready { born: LATER, sequence },
            };
            leader.deliver(gone + after, message);
            prop_assert!(!leader.uses(LATER));
        }
    }
}

/// Guards against a departure that counts as a repetition of an earlier start's although it is that of a
/// later one that the leader has not heard of, and against a repetition that holds up the next start.
#[rstest]
#[case::repeated(1_000, true)]
#[case::of_a_start_that_is_not_known(20_000, false)]
fn a_second_departure_is_a_repetition_for_as_long_as_a_message_can_be_late(
    #[case] after_ms: u64,
    #[case] is_used_at_once: bool,
) {
    let mut leader = Leader::default();
    leader.deliver(
        START,
        Ready {
            born: EARLIER,
            sequence: 1,
        },
    );
    let gone = START + 10;
    leader.deliver(gone, Departure);
    let again = gone + after_ms;
    leader.deliver(again, Departure);
    let beats = heartbeats(LATER, again + 100, 6);
    let (at, first) = beats[0];
    leader.deliver(at, first);
    assert_eq!(leader.uses(LATER), is_used_at_once);
    play(&mut leader, beats[1..].to_vec());
    assert!(leader.uses(LATER), "once its announcements have gone on");
}

/// Guards against a repeated message that is confirmed before a later leader knows what it says, since the
/// first one was received but its record is not committed.
#[rstest]
fn a_repeated_message_is_confirmed_no_sooner_than_the_first(
    #[values(
        Draining { born: LATER, sequence: 2 },
        SaysLeaving { born: LATER },
        Departure
    )]
    message: Message,
) {
    let mut leader = Leader::default();
    let ready = Ready {
        born: LATER,
        sequence: 1,
    };
    leader.deliver(START, ready);
    let first = leader.receive(START + 10, message).command;
    let second = leader.receive(START + 1_000, message).command;
    assert!(first.is_some() && first == second, "{first:?}, {second:?}");
}
