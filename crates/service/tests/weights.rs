//! Orders for weights: how many at once, which engines first, unclear answers, several models.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rstest::rstest;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::weights::OrderAnswer;
use bergamotlane_service::weights::OrderReport;
use bergamotlane_service::weights::WeightPlanner;
use bergamotlane_service::weights::WeightStep;
use bergamotlane_service::weights::WeightTarget;

const START: ClockTime = ClockTime(10_000);
const LOAD_MS: u64 = 900;

fn target(id: u32, model: &str, version: u64) -> WeightTarget {
    WeightTarget {
        id: format!("e{id:02}"),
        born: 1,
        model: model.to_owned(),
        version,
        is_busy: false,
    }
}

fn own_target<'a>(targets: &'a mut [WeightTarget], id: &str, model: &str) -> &'a mut WeightTarget {
    let mut own = targets.iter_mut();
    own.find(|it| it.id == id && it.model == model).unwrap()
}

fn named(versions: &[(&str, u64)]) -> BTreeMap<String, u64> {
    versions
        .iter()
        .map(|(model, it)| ((*model).to_owned(), *it))
        .collect()
}

fn report(accepted: u64, busy: bool) -> OrderReport {
    OrderReport {
        busy,
        accepted,
        models: BTreeMap::new(),
    }
}

fn ids(steps: &[WeightStep]) -> Vec<String> {
    let id = |step: &WeightStep| match step {
        WeightStep::Order { id, .. } | WeightStep::Inspect { id, .. } => id.clone(),
    };
    steps.iter().map(id).collect()
}

/// A planner that knows the count of orders of each engine.
fn informed(targets: &[WeightTarget], versions: &BTreeMap<String, u64>) -> WeightPlanner {
    let mut planner = WeightPlanner::default();
    for _ in 0..200 {
        for step in planner.next_steps(START, targets, versions, &BTreeMap::new()) {
            if let WeightStep::Inspect { id, born } = step {
                planner.record_report(START, &id, born, Some(&report(0, false)));
            }
        }
    }
    planner
}

#[test]
fn an_engine_is_asked_for_its_count_before_its_first_order() {
    let targets = [target(1, "m", 1)];
    let versions = named(&[("m", 2)]);
    let mut planner = WeightPlanner::default();
    let steps = planner.next_steps(START, &targets, &versions, &BTreeMap::new());
    assert!(matches!(steps[..], [WeightStep::Inspect { .. }]));
    planner.record_report(START + 5, "e01", 1, Some(&report(4, false)));
    let steps = planner.next_steps(START + 6, &targets, &versions, &BTreeMap::new());
    assert!(
        matches!(
            steps[..],
            [WeightStep::Order {
                expect: 4,
                version: 2,
                ..
            }]
        ),
        "{steps:?}"
    );
}

#[rstest]
#[case::small_fleet(6, 2)]
#[case::eleven(11, 2)]
#[case::nearly_ten(48, 10)]
#[case::large_fleet(50, 10)]
fn only_a_few_engines_load_at_a_time(#[case] engines: u32, #[case] expected: usize) {
    let targets: Vec<WeightTarget> = (0..engines).map(|it| target(it, "m", 1)).collect();
    let mut planner = WeightPlanner::default();
    let steps = planner.next_steps(START, &targets, &named(&[("m", 2)]), &BTreeMap::new());
    assert_eq!(steps.len(), expected);
    let more = planner.next_steps(START + 1, &targets, &named(&[("m", 2)]), &BTreeMap::new());
    assert!(more.is_empty());
}

#[test]
fn engines_that_open_jobs_can_not_use_go_first() {
    let targets = [
        target(1, "m", 4),
        target(2, "m", 3),
        target(3, "m", 4),
        target(4, "m", 2),
    ];
    let mut planner = WeightPlanner::default();
    let steps = planner.next_steps(START, &targets, &named(&[("m", 5)]), &named(&[("m", 4)]));
    assert_eq!(ids(&steps), ["e04", "e02"]);
}

#[rstest]
#[case::taken(OrderAnswer::Taken, 100, 0)]
#[case::holds(OrderAnswer::Holds, 100, 1)]
#[case::conflict_waits(OrderAnswer::Conflict, 100, 0)]
#[case::conflict_asks_again(OrderAnswer::Conflict, 500, 1)]
#[case::unclear_waits(OrderAnswer::Unclear, 1_000, 0)]
#[case::unclear_asks_again(OrderAnswer::Unclear, 1_300, 1)]
#[case::refused_tries_again(OrderAnswer::Refused, 500, 1)]
#[case::fenced_is_final(OrderAnswer::Fenced, 30_000, 0)]
fn an_answer_decides_when_the_engine_is_asked_again(
    #[case] answer: OrderAnswer,
    #[case] after_ms: u64,
    #[case] steps: usize,
) {
    let targets = [target(1, "m", 1)];
    let versions = named(&[("m", 2)]);
    let mut planner = informed(&targets, &versions);
    planner.record_answer(START, "e01", 1, answer);
    let next = planner.next_steps(START + after_ms, &targets, &versions, &BTreeMap::new());
    assert_eq!(next.len(), steps, "{next:?}");
}

#[test]
fn an_answer_of_an_earlier_start_counts_for_nothing() {
    let mut targets = [target(1, "m", 1)];
    let versions = named(&[("m", 2)]);
    let mut planner = informed(&targets, &versions);
    targets[0].born = 2;
    let steps = planner.next_steps(START, &targets, &versions, &BTreeMap::new());
    assert!(matches!(steps[..], [WeightStep::Inspect { born: 2, .. }]));
    planner.record_answer(START, "e01", 1, OrderAnswer::Taken);
    assert_eq!(planner.loading(START, "e01"), None);
}

#[test]
fn a_load_blocks_its_model_alone() {
    let targets = [target(1, "m", 1)];
    let mut planner = informed(&targets, &named(&[("m", 2)]));
    planner.record_answer(START, "e01", 1, OrderAnswer::Taken);
    assert_eq!(planner.loading(START + 100, "e01"), Some("m"));
    assert_eq!(planner.loading(START + 2_000, "e01"), None);
}

/// Engines whose weights a step may use, by model, after some seconds of new versions.
fn fresh_engines(
    models: &[&str],
    engines: u32,
    seconds: u64,
) -> BTreeMap<String, BTreeSet<String>> {
    let mut targets: Vec<WeightTarget> = (0..engines)
        .flat_map(|id| models.iter().map(move |model| target(id, model, 1)))
        .collect();
    let mut newest: BTreeMap<String, u64> = named(&[]);
    let mut planner = WeightPlanner::default();
    let mut loading: Vec<(String, String, u64, ClockTime)> = Vec::new();
    for step in 0..seconds * 20 {
        let now = START + step * 50;
        for model in models {
            newest.insert((*model).to_owned(), 2 + step / 80);
        }
        loading.retain(|(id, model, version, done)| {
            if now < *done {
                return true;
            }
            own_target(&mut targets, id, model).version = *version;
            false
        });
        for action in planner.next_steps(now, &targets, &newest, &BTreeMap::new()) {
            match action {
                WeightStep::Inspect { id, born } => {
                    planner.record_report(now, &id, born, Some(&report(0, false)));
                }
                WeightStep::Order {
                    id,
                    born,
                    model,
                    version,
                    ..
                } => {
                    planner.record_answer(now, &id, born, OrderAnswer::Taken);
                    loading.push((id, model, version, now + LOAD_MS));
                }
            }
        }
    }
    let mut fresh: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for target in targets {
        if target.version + 1 >= newest[&target.model] {
            fresh.entry(target.model).or_default().insert(target.id);
        }
    }
    fresh
}

#[test]
fn each_of_several_models_has_fresh_engines_of_its_own() {
    let fresh = fresh_engines(&["a", "b", "c"], 48, 22);
    let all: BTreeSet<&String> = fresh.values().flatten().collect();
    for (model, engines) in &fresh {
        assert!(engines.len() >= 14, "{model} has {}", engines.len());
    }
    assert!(
        all.len() >= 44,
        "only {} of 48 engines are fresh for any model",
        all.len()
    );
}

#[test]
fn one_model_has_all_engines() {
    assert!(fresh_engines(&["a"], 11, 22)["a"].len() >= 10);
}

#[test]
fn the_shares_follow_engines_that_come_and_go() {
    let both = |ids: std::ops::Range<u32>| -> Vec<WeightTarget> {
        ids.flat_map(|id| [target(id, "a", 1), target(id, "b", 1)])
            .collect()
    };
    let versions = named(&[("a", 2), ("b", 2)]);
    let mut planner = WeightPlanner::default();
    let mut shares = |mut targets: Vec<WeightTarget>| {
        let mut orders: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for round in 0..40 {
            let now = START + round * 1_000;
            for step in planner.next_steps(now, &targets, &versions, &BTreeMap::new()) {
                match step {
                    WeightStep::Inspect { id, born } => {
                        planner.record_report(now, &id, born, Some(&report(0, false)));
                    }
                    WeightStep::Order {
                        id, born, model, ..
                    } => {
                        planner.record_answer(now, &id, born, OrderAnswer::Holds);
                        let own = targets
                            .iter_mut()
                            .find(|it| it.id == id && it.model == model);
                        own.unwrap().version = 2;
                        orders.entry(model).or_default().insert(id);
                    }
                }
            }
        }
        orders
    };
    let first = shares(both(0..4));
    assert_eq!((first["a"].len(), first["b"].len()), (2, 2));
    assert!(first["a"].is_disjoint(&first["b"]));
    let second = shares(both(1..7));
    assert_eq!((second["a"].len(), second["b"].len()), (3, 3));
    assert!(second["a"].is_disjoint(&second["b"]));
}

const STEP_MS: u64 = 4_000;
const TICK_MS: u64 = 20;

/// What became of engines whose trainers name a version every four seconds, each time right
/// before a job that allows the one before too.
#[derive(Debug, Default)]
struct RefreshRun {
    usable_at_start: Vec<usize>,
    usable_after_a_second: Vec<usize>,
    usable_after_two_seconds: Vec<usize>,
    busy_loads: usize,
    loads: BTreeMap<(String, u64), usize>,
}

/// Jobs keep all usable engines busy for two seconds and are ended after three.
fn refresh(models: &[&str], engines: u32) -> RefreshRun {
    let mut targets: Vec<WeightTarget> = (0..engines)
        .flat_map(|id| models.iter().map(move |model| target(id, model, 1)))
        .collect();
    let mut planner = informed(&targets, &BTreeMap::new());
    let mut loading: Vec<(String, String, u64, ClockTime)> = Vec::new();
    let mut run = RefreshRun::default();
    for tick in 0..12 * STEP_MS / TICK_MS {
        let now = START + tick * TICK_MS;
        let (step, phase) = (tick * TICK_MS / STEP_MS, tick * TICK_MS % STEP_MS);
        let all = |version: u64| -> BTreeMap<String, u64> {
            let pairs = models.iter().map(|it| ((*it).to_owned(), version));
            pairs.collect()
        };
        let oldest = step.max(1);
        let is_open = (100..3_000).contains(&phase);
        let least = match is_open {
            true => all(oldest),
            false => BTreeMap::new(),
        };
        for (id, model, version, _) in loading.extract_if(.., |it| now >= it.3) {
            own_target(&mut targets, &id, &model).version = version;
        }
        for target in &mut targets {
            target.is_busy = is_open && phase < 2_000 && target.version >= oldest;
        }
        for action in planner.next_steps(now, &targets, &all(step + 1), &least) {
            match action {
                WeightStep::Inspect { id, born } => {
                    planner.record_report(now, &id, born, Some(&report(0, false)));
                }
                WeightStep::Order {
                    id,
                    born,
                    model,
                    version,
                    ..
                } => {
                    planner.record_answer(now, &id, born, OrderAnswer::Taken);
                    let own = own_target(&mut targets, &id, &model);
                    run.busy_loads += usize::from(own.is_busy);
                    *run.loads.entry((model.clone(), version)).or_default() += 1;
                    loading.push((id, model, version, now + LOAD_MS));
                }
            }
        }
        let usable = |model: &&str| {
            let own = targets.iter().filter(|it| it.model == *model);
            own.filter(|it| it.version >= oldest).count()
        };
        let counts = match phase {
            100 => &mut run.usable_at_start,
            1_100 => &mut run.usable_after_a_second,
            2_100 => &mut run.usable_after_two_seconds,
            _ => continue,
        };
        // The first versions find all engines alike.
        if step >= 4 {
            counts.extend(models.iter().map(usable));
        }
    }
    run
}

#[test]
fn engines_take_turns_so_that_each_model_has_more_than_its_share() {
    let run = refresh(&["a", "b", "c"], 48);
    assert_eq!(run.busy_loads, 0);
    // A third of the engines is 16: all that a model has if it shares none of them.
    let usable = &run.usable_after_two_seconds;
    assert!(usable.iter().all(|it| *it > 16), "{run:?}");
    assert!(run.loads.values().all(|it| *it <= 16), "{run:?}");
}

#[test]
fn no_load_holds_up_runs_of_an_only_model() {
    let run = refresh(&["a"], 11);
    assert_eq!(run.busy_loads, 0);
    let usable = &run.usable_after_two_seconds;
    assert!(usable.iter().all(|it| *it >= 10), "{run:?}");
    assert!(run.loads.values().all(|it| *it <= 11), "{run:?}");
}

#[rstest]
#[case::three_models(&["a", "b", "c"], 48, 16)]
#[case::an_only_model(&["a"], 11, 8)]
fn enough_engines_are_usable_when_a_step_starts(
    #[case] models: &[&str],
    #[case] engines: u32,
    #[case] expected: usize,
) {
    let run = refresh(models, engines);
    let usable = &run.usable_at_start;
    assert!(usable.iter().all(|it| *it >= expected), "{run:?}");
}

#[test]
fn a_second_into_a_step_each_model_has_a_fifth_more_than_its_share() {
    let run = refresh(&["a", "b", "c"], 48);
    let usable = &run.usable_after_a_second;
    assert!(usable.iter().sum::<usize>() >= usable.len() * 19, "{run:?}");
}
