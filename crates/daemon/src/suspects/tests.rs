//! Tests of what instances and the leader tell each other of requests that crash targets.

use super::*;

fn digest() -> RequestDigest {
    RequestDigest::of(&[b"mint", b"GET", b"/item"])
}

/// Passes the reports of an instance to the leader, and the leader's suspects back to all.
fn ask(leader: &SuspectBoard, asker: &SuspectBoard) {
    let (crashes, answered) = asker.reports();
    leader.merge(&crashes, &answered);
    asker.replace(&leader.frames());
}

/// Guards against instances that each crash targets with the same request, and against a leader that
/// counts a crash again with each ask.
#[test]
fn crashes_of_two_instances_quarantine_a_request_at_all() {
    let boards = [(); 3].map(|()| SuspectBoard::default());
    let [leader, first, second] = &boards;
    first.record_crash(digest(), "10.0.0.1:80", 1);
    for _ in 0..3 {
        ask(leader, first);
    }
    ask(leader, second);
    assert!(second.find(digest).is_some());
    assert!(boards.iter().all(|it| !it.is_quarantined(digest())));
    second.record_crash(digest(), "10.0.0.1:80", 2);
    ask(leader, second);
    ask(leader, first);
    assert!(boards.iter().all(|it| it.is_quarantined(digest())));
}

/// Guards against a request that stays under suspicion although a target has answered it.
#[test]
fn an_answer_clears_a_request_at_all_instances() {
    let [leader, first, second] = [(); 3].map(|()| SuspectBoard::default());
    first.record_crash(digest(), "10.0.0.1:80", 1);
    ask(&leader, &first);
    ask(&leader, &second);
    second.record_answer(digest());
    ask(&leader, &second);
    assert!(leader.find(digest).is_none());
}
