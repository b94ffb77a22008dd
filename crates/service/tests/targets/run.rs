//! Runs of items at engines that break off, skip, or change their weights.

use std::sync::Arc;

use bytes::Bytes;
use rstest::rstest;
use tokio::sync::oneshot;

use crate::support::EVENTS;
use crate::support::Manner;
use crate::support::StandIn;
use crate::support::TestDialect;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::pool::TargetPool;
use bergamotlane_service::run::RunProgress;
use bergamotlane_service::run::RunRequest;
use bergamotlane_service::run::run_item;
use bergamotlane_service::work::PartialText;
use bergamotlane_service::work::RunEnd;

async fn run(manner: Manner, min_version: u64, partial: PartialText) -> RunEnd {
    let stand_in = StandIn::start(manner).await;
    let request = RunRequest {
        target: "e".to_owned(),
        address: stand_in.address,
        item: "i1".to_owned(),
        path: "/p/1".to_owned(),
        host: "desk.example".to_owned(),
        headers: vec![("x-model".to_owned(), "m".to_owned())],
        body: Bytes::from_static(b"prompt"),
        customer: None,
        version: 1,
        min_version,
    };
    let (_keep, stop) = oneshot::channel();
    let progress = Arc::new(RunProgress::new(partial));
    run_item(TargetPool::new(), TestDialect, request, progress, stop).await
}

fn text(partial: &PartialText) -> Vec<String> {
    let events = partial.events.iter();
    events
        .map(|it| String::from_utf8(it.to_vec()).unwrap())
        .collect()
}

fn pieces(count: u64) -> Vec<String> {
    (0..count).map(|it| format!("piece {it}")).collect()
}

#[tokio::test]
async fn a_whole_stream_names_the_versions_that_made_it() {
    let RunEnd::Completed(partial) = run(Manner::ChangesVersion, 1, PartialText::default()).await
    else {
        panic!("the stream was whole");
    };
    assert_eq!(
        (text(&partial), partial.versions),
        (pieces(EVENTS), vec![1, 2])
    );
}

#[rstest]
#[case(0)]
#[case(1)]
#[case(3)]
#[tokio::test]
async fn a_broken_stream_goes_on_at_the_event_after_the_last_whole_one(#[case] events: u64) {
    let end = run(Manner::BreaksOffAfter(events), 1, PartialText::default()).await;
    let RunEnd::Broken(partial) = end else {
        panic!("the stream was broken: {end:?}");
    };
    assert_eq!(text(&partial), pieces(events));
    let RunEnd::Completed(partial) = run(Manner::ChangesVersion, 1, partial).await else {
        panic!("the rest was whole");
    };
    assert_eq!(text(&partial), pieces(EVENTS));
}

#[tokio::test]
async fn a_stream_with_a_gap_is_cut_before_it() {
    let end = run(Manner::SkipsOne, 1, PartialText::default()).await;
    let RunEnd::Broken(partial) = end else {
        panic!("an event was missing: {end:?}");
    };
    assert_eq!(text(&partial), pieces(1));
}

#[rstest]
#[case::turned_away(Manner::TurnsAway, RunEnd::Refused)]
#[case::failed(Manner::Fails, RunEnd::Failed)]
#[case::gone(Manner::Gone, RunEnd::Unreachable)]
#[case::closed(Manner::Closes, RunEnd::Broken(PartialText::default()))]
#[case::crossed(Manner::Crosses, RunEnd::Broken(PartialText::default()))]
#[case::garbled(Manner::Garbles, RunEnd::Broken(PartialText::default()))]
#[case::unstamped(Manner::Unstamped, RunEnd::Broken(PartialText::default()))]
#[tokio::test]
async fn a_run_without_a_stream_tells_why(#[case] manner: Manner, #[case] expected: RunEnd) {
    assert_eq!(run(manner, 1, PartialText::default()).await, expected);
}

#[tokio::test]
async fn a_stream_under_older_weights_than_allowed_gives_nothing() {
    let end = run(Manner::ChangesVersion, 2, PartialText::default()).await;
    assert_eq!(end, RunEnd::Broken(PartialText::default()));
}

#[rstest]
#[case::steady(&[40, 40, 40, 40], Some(40.0))]
#[case::one_pause_for_new_weights(&[40, 900, 40], Some(40.0))]
#[case::slow(&[160, 150, 170], Some(160.0))]
#[case::slow_since_a_while(&[40, 40, 160, 150], Some(150.0))]
#[case::too_few_to_tell(&[40, 900], None)]
fn the_pace_of_a_run_is_that_of_its_latest_events(
    #[case] gaps: &[u64],
    #[case] expected: Option<f64>,
) {
    let progress = RunProgress::default();
    let mut time = ClockTime(1_000);
    progress.record_event(time);
    for gap in gaps {
        time = time + *gap;
        progress.record_event(time);
    }
    assert_eq!(progress.pace_ms(), expected);
}
