//! Items while engines of two software versions serve: where a broken item goes on, and with what.

use bytes::Bytes;
use proptest::prelude::*;
use rstest::rstest;

use super::START;
use super::build;
use super::constraints;
use super::engine;
use super::scheduler;
use bergamotlane_service::software::SoftwareBuild;
use bergamotlane_service::work::EngineSlot;
use bergamotlane_service::work::PartialText;
use bergamotlane_service::work::RunEnd;

fn engine_of(id: &str, capacity: u32, build: Option<SoftwareBuild>) -> EngineSlot {
    EngineSlot {
        build,
        ..engine(id, capacity, 1)
    }
}

fn text(events: u64, build: Option<SoftwareBuild>) -> PartialText {
    PartialText {
        events: (0..events)
            .map(|event| Bytes::from(event.to_string()))
            .collect(),
        last_id: events.checked_sub(1),
        versions: vec![1],
        build,
        is_complete: false,
    }
}

/// Guards against a text that one software version began and another continues, also when it is not
/// known which one began it.
#[rstest]
#[case::same_version(build("v1"), build("v1"), true)]
#[case::other_version(build("v1"), build("v2"), false)]
#[case::text_of_unknown_software(None, build("v1"), false)]
#[case::engine_of_unknown_software(build("v1"), None, false)]
#[case::both_unknown(None, None, false)]
#[case::other_service(
    Some(SoftwareBuild { service: "desk".to_owned(), version: "v1".to_owned() }),
    build("v1"),
    false
)]
fn a_text_continues_only_at_the_software_that_began_it(
    #[case] began: Option<SoftwareBuild>,
    #[case] engine: Option<SoftwareBuild>,
    #[case] expected: bool,
) {
    let mut scheduler = scheduler(constraints(1), 1, 1);
    scheduler.resume("j", 0, text(4, began));
    let engines = [engine_of("x", 1, engine.clone())];
    let start = scheduler.assign(START, &engines).remove(0);
    assert_eq!(!start.partial.events.is_empty(), expected);
    assert_eq!(start.discarded_events, if expected { 0 } else { 4 });
    assert_eq!(start.partial.build, engine);
}

/// Guards against a long text that is generated anew although an engine of its software version has
/// room, only busier than the others; and against an item that waits for one without room.
#[rstest]
#[case::has_room(4, "old")]
#[case::is_full(2, "new")]
fn a_broken_item_goes_to_its_software_version_while_that_has_room(
    #[case] capacity: u32,
    #[case] expected: &str,
) {
    let old = engine_of("old", capacity, build("v1"));
    let engines = [old.clone(), engine_of("new", 8, build("v2"))];
    let mut scheduler = scheduler(constraints(1), 3, 1);
    let first = scheduler.assign(START, &[engine_of("old", 3, build("v1"))]);
    let run = first[0].run;
    let broken = RunEnd::Broken(text(60, build("v1")));
    scheduler.finish_run(START + 700, run, broken);
    // The engine that broke the run off gets none for a while.
    let start = scheduler.assign(START + 5_000, &engines).remove(0);
    assert_eq!(start.engine, expected);
}

proptest! {
    /// Guards against any order of breaks and engines that joins events of two software versions.
    #[test]
    fn no_order_of_breaks_joins_two_software_versions(
        steps in proptest::collection::vec((0_usize..3, 1_u64..6), 1..30)
    ) {
        let builds = [build("v1"), build("v2"), None];
        let mut scheduler = scheduler(constraints(1), 1, 1);
        // The build that made each event of the current text.
        let mut makers: Vec<Option<SoftwareBuild>> = Vec::new();
        for (step, (engine, events)) in steps.into_iter().enumerate() {
            let time = START + step as u64 * 1_000;
            let id = format!("e{step}");
            let engines = [engine_of(&id, 1, builds[engine].clone())];
            let start = scheduler.assign(time, &engines).remove(0);
            makers.truncate(start.partial.events.len());
            makers.extend((0..events).map(|_| builds[engine].clone()));
            let joined = makers.iter().any(|it| *it != makers[0]);
            prop_assert!(!joined, "{makers:?}");
            let broken = PartialText {
                build: start.partial.build,
                ..text(makers.len() as u64, None)
            };
            scheduler.finish_run(time + 500, start.run, RunEnd::Broken(broken));
        }
    }
}
