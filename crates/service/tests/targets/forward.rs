//! What becomes of a request when its targets misbehave, by table.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use rstest::rstest;

use crate::support::Manner;
use crate::support::StandIn;
use crate::support::TestDialect;
use crate::support::view;
use bergamotlane_service::forward::Forwarder;
use bergamotlane_service::forward::PlainOutcome;
use bergamotlane_service::forward::PlainRequest;
use bergamotlane_service::plan::RouteKind;
use bergamotlane_storage::clock::now;

fn request(kind: RouteKind, limit_ms: u64) -> PlainRequest {
    PlainRequest {
        id: "r1".to_owned(),
        method: Method::POST,
        path: "/l/1?x=1".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"question"),
        customer: Some("mint".to_owned()),
        service: "desk".to_owned(),
        kind,
        max_attempts: 2,
        latency_target_ms: 300,
        limit: now() + limit_ms,
        cold_pause_ms: None,
    }
}

/// Both targets at once; the address decides which goes first, so all have one manner but for
/// the second.
async fn outcome(kind: RouteKind, manners: &[Manner], limit_ms: u64) -> (String, u32) {
    let forwarder = Forwarder::new(TestDialect, "a", 5_000);
    let mut stand_ins = Vec::new();
    let mut views = Vec::new();
    for (place, manner) in manners.iter().enumerate() {
        let stand_in = StandIn::start(*manner).await;
        views.push(view(&format!("t{place}"), stand_in.address));
        stand_ins.push(stand_in);
    }
    forwarder.chooser().update(now(), &views);
    let outcome = forwarder.forward(&request(kind, limit_ms)).await;
    let text = match outcome {
        PlainOutcome::Answered(answer) => {
            format!(
                "{} {}",
                answer.status.as_u16(),
                String::from_utf8_lossy(&answer.body)
            )
        }
        other => format!("{other:?}"),
    };
    (text, stand_ins.iter().map(StandIn::count).sum())
}

#[rstest]
#[case::sound(&[Manner::Sound], "200 whole")]
#[case::turned_away_then_sound(&[Manner::TurnsAway, Manner::Sound], "200 whole")]
#[case::failed_then_sound(&[Manner::Fails, Manner::Sound], "200 whole")]
#[case::closed_then_sound(&[Manner::Closes, Manner::Sound], "200 whole")]
#[case::truncated_then_sound(&[Manner::Truncates, Manner::Sound], "200 whole")]
#[case::crossed_then_sound(&[Manner::Crosses, Manner::Sound], "200 whole")]
#[case::garbled_then_sound(&[Manner::Garbles, Manner::Sound], "200 whole")]
#[case::unstamped_then_sound(&[Manner::Unstamped, Manner::Sound], "200 whole")]
#[case::slow_then_sound(&[Manner::Slow(900), Manner::Sound], "200 whole")]
#[case::with_a_second_answer(&[Manner::Repeats], "200 whole")]
#[case::all_turn_away(&[Manner::TurnsAway, Manner::TurnsAway], "NotRun")]
#[case::all_gone(&[Manner::Gone, Manner::Closes], "Failed")]
#[case::all_fail(&[Manner::Fails, Manner::Fails], "500 broken")]
#[case::all_truncate(&[Manner::Truncates, Manner::Truncates], "Failed")]
#[case::all_cross(&[Manner::Crosses, Manner::Crosses], "Failed")]
#[case::no_target(&[], "NotRun")]
#[tokio::test]
async fn a_repeatable_request_gets_a_whole_answer_or_the_truth(
    #[case] manners: &[Manner],
    #[case] expected: &str,
) {
    let (text, requests) = outcome(RouteKind::Safe, manners, 3_000).await;
    assert_eq!(text, expected);
    assert!(requests <= 4, "{requests} requests");
}

#[rstest]
#[case::fails(&[Manner::Fails, Manner::Fails], "500 broken", 1)]
#[case::closes(&[Manner::Closes, Manner::Closes], "Failed", 1)]
#[case::truncates(&[Manner::Truncates, Manner::Truncates], "Failed", 1)]
#[case::slow(&[Manner::Slow(600), Manner::Slow(600)], "200 whole", 1)]
#[case::turned_away(&[Manner::TurnsAway, Manner::TurnsAway], "NotRun", 2)]
#[tokio::test]
async fn a_request_that_may_not_be_repeated_runs_once_at_most(
    #[case] manners: &[Manner],
    #[case] expected: &str,
    #[case] requests: u32,
) {
    assert_eq!(
        outcome(RouteKind::Unsafe, manners, 3_000).await,
        (expected.to_owned(), requests)
    );
}

#[tokio::test]
async fn a_request_out_of_time_ends_then() {
    let started = now();
    let manners = [Manner::Slow(5_000), Manner::Slow(5_000)];
    let (text, _) = outcome(RouteKind::Safe, &manners, 400).await;
    assert!(text == "Late" || text == "Failed", "{text}");
    assert!(now().since(started) < 4_000);
}

#[tokio::test]
async fn what_is_left_on_a_connection_never_answers_another_request() {
    let forwarder = Forwarder::new(TestDialect, "a", 5_000);
    let stand_in = StandIn::start(Manner::Repeats).await;
    forwarder
        .chooser()
        .update(now(), &[view("t", stand_in.address)]);
    for place in 0..20_u64 {
        let mut request = request(RouteKind::Safe, 3_000);
        request.id = format!("r{place}");
        match forwarder.forward(&request).await {
            PlainOutcome::Answered(answer) => {
                assert_eq!(answer.headers["x-id"], request.id.as_str());
            }
            other => panic!("{other:?}"),
        }
        tokio::time::sleep(Duration::from_millis(place % 3)).await;
    }
}

#[tokio::test]
async fn each_request_that_began_is_counted_once() {
    let forwarder = Forwarder::new(TestDialect, "a", u64::MAX);
    let slow = StandIn::start(Manner::Slow(400)).await;
    let away = StandIn::start(Manner::TurnsAway).await;
    let views = [view("s", slow.address), view("w", away.address)];
    forwarder.chooser().update(now(), &views);
    for _ in 0..3 {
        forwarder.forward(&request(RouteKind::Safe, 3_000)).await;
    }
    forwarder
        .chooser()
        .update(now(), &[view("w", away.address)]);
    forwarder.forward(&request(RouteKind::Safe, 3_000)).await;
    assert_eq!(forwarder.usage().windows[&0]["mint"], 3);
}
