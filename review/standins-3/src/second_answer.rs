//! An engine answers an item with a 500, and a second copy of that answer arrives late, where the next
//! answer on the channel is expected. The item fails twice and would succeed at its third run.

use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::Stage;
use crate::Verdict;
use crate::engine::Deed;
use crate::engine::Engine;
use crate::engine::Runs;
use crate::trainer::Trainer;
use crate::trainer::config;
use crate::trainer::job;

const ENGINES: usize = 4;
const GROUPS: usize = 40;
const MAX_ATTEMPTS: u64 = 3;
/// Work before a 500.
const FAILING_MS: u64 = 1_200;

pub fn play(stage: &mut Stage) -> Verdict {
    stage.cluster.start(2);
    let odd = format!("{:012x}-odd", stage.luck & 0xffff_ffff_ffff);
    let trouble = stage.trouble;
    let odd_item = odd.clone();
    let behaviour = Arc::new(move |_: &crate::http::Message, id: &str, number: u64| {
        match (id == odd_item, number) {
            (true, 1) if trouble => Deed::StatusTwice {
                code: 500,
                work_ms: FAILING_MS,
            },
            (true, 1 | 2) => Deed::Status {
                code: 500,
                work_ms: FAILING_MS,
            },
            _ => Deed::Stream {
                events: 10,
                gap_ms: 15,
            },
        }
    });
    let runs = Arc::new(Runs::default());
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
        let ip = format!("{}.{}", stage.net, 101 + number);
        let id = format!("llm-{number}");
        let engine = Engine::start(
            &id,
            "llm",
            zone,
            &ip,
            8,
            &stage.record,
            &runs,
            behaviour.clone(),
        );
        let Ok(engine) = engine else {
            return Verdict::CouldNotRun;
        };
        engine.announce(stage.cluster.controls());
        engines.push(engine);
    }
    let put = |version| {
        let limit = Duration::from_secs(15);
        stage
            .cluster
            .operate("PUT", "/-/config", &config(version), limit)
    };
    if put(1).is_none() {
        return Verdict::CouldNotRun;
    }
    sleep(Duration::from_secs(5));
    let mut groups: Vec<(String, Vec<String>)> = Vec::new();
    for group in 0..GROUPS {
        let items = (0..4).map(|it| format!("{:012x}-{group}-{it}", stage.luck & 0xffff_ffff_ffff));
        groups.push((format!("{:x}", 0xa000 + group), items.collect()));
    }
    groups[0].1[0].clone_from(&odd);
    let id = format!("{:016x}", stage.luck);
    let body = job(0, 1, GROUPS, &groups);
    let record = Arc::clone(&stage.record);
    let mut trainer = Trainer::new(stage.cluster.fronts(), &record);
    if !trainer.submit(&id, &body, Duration::from_secs(8)) {
        return Verdict::CouldNotRun;
    }
    let (results, total) = trainer.read_all(&id, Duration::from_secs(12));
    for engine in &engines {
        let answers = engine.answers.lock().unwrap();
        record.say(format!(
            "engine {} answered {} requests",
            engine.id,
            answers.len()
        ));
    }
    let Some(result) = results.iter().find(|it| it.id == odd) else {
        record.say(format!(
            "item {odd} is not among the {} results of {total}",
            results.len()
        ));
        return Verdict::CouldNotRun;
    };
    // Runs 1 and 2 fail, so the engines have given this many answers of 500.
    let failures = runs.of(&odd).min(2);
    record.say(format!(
        "item {odd} is {}, after {} runs began, of which {failures} were answered 500",
        result.state,
        runs.of(&odd)
    ));
    if result.state == "terminated" && failures < MAX_ATTEMPTS {
        record.say("MIXED: terminated before max-attempts answers of 500");
        return Verdict::Broken;
    }
    let whole: Vec<String> = (1..=10).map(|it| format!("piece {it} of {odd}")).collect();
    if result.state == "completed" && result.text != whole.join("\n") {
        record.say("MIXED: completed with another text");
        return Verdict::Broken;
    }
    Verdict::Held
}
