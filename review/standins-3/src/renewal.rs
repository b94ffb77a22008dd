//! Three store machines are added and the three old ones are retired at the same time: planned work alone.
//! A change of the desired state that is acknowledged afterwards has to be in force.

use std::sync::Arc;
use std::thread::scope;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::Stage;
use crate::Verdict;
use crate::engine::Deed;
use crate::engine::Engine;
use crate::engine::Runs;
use crate::http;
use crate::trainer::HOST;
use crate::trainer::KEY;
use crate::trainer::Trainer;
use crate::trainer::config;
use crate::trainer::job;

/// `config-apply-ms`, and a little more for the way.
const APPLY: Duration = Duration::from_millis(2_500);

/// Time for which requests are sent after that.
const WATCH: Duration = Duration::from_secs(8);

pub fn play(stage: &mut Stage) -> Verdict {
    let record = Arc::clone(&stage.record);
    stage.cluster.start(2);
    let runs = Arc::new(Runs::default());
    let behaviour = Arc::new(|request: &http::Message, _: &str, _: u64| {
        match request.path().starts_with("/roll/") {
            true => Deed::Stream {
                events: 10,
                gap_ms: 20,
            },
            false => Deed::Status {
                code: 200,
                work_ms: 10,
            },
        }
    });
    for number in 0..3 {
        for (service, host) in [("llm", 101), ("desk", 111)] {
            let zone = ["zone-a", "zone-b", "zone-c"][number];
            let ip = format!("{}.{}", stage.net, host + number);
            let id = format!("{service}-{number}");
            let engine = Engine::start(
                &id,
                service,
                zone,
                &ip,
                8,
                &record,
                &runs,
                behaviour.clone(),
            );
            let Ok(engine) = engine else {
                return Verdict::CouldNotRun;
            };
            engine.announce(stage.cluster.controls());
        }
    }
    let limit = Duration::from_secs(15);
    if stage
        .cluster
        .operate("PUT", "/-/config", &config(1), limit)
        .is_none()
    {
        return Verdict::CouldNotRun;
    }
    let spares: Vec<usize> = (4..=6)
        .map(|it| {
            let name = format!("store-{it}");
            stage.cluster.add(&name, it, true, false)
        })
        .collect();
    sleep(Duration::from_secs(6));
    let mut trainer = Trainer::new(stage.cluster.fronts(), &record);
    let first = format!("{:016x}", stage.luck);
    let groups = |name: &str| {
        let ids = |group| {
            (0..4)
                .map(move |it| format!("{name}-{group}-{it}"))
                .collect()
        };
        let groups = (0..8).map(|it| (format!("{:x}", 0xa000 + it), ids(it)));
        groups.collect::<Vec<(String, Vec<String>)>>()
    };
    let body = job(0, 1, 8, &groups(&first[..12]));
    if !trainer.submit(&first, &body, Duration::from_secs(8)) {
        return Verdict::CouldNotRun;
    }
    let (results, total) = trainer.read_all(&first, Duration::from_secs(12));
    if results.len() < total || total == 0 {
        return Verdict::CouldNotRun;
    }
    if stage.trouble {
        // Up to eight orders may be in progress at once.
        let (cluster, spares) = (&stage.cluster, &spares);
        scope(|it| {
            for old in 0..3 {
                it.spawn(move || {
                    let name = &cluster.machines[old].name;
                    let path = format!("/-/retire/{name}");
                    cluster.operate_at(spares[old], "POST", &path, "{\"duration-s\":10}");
                });
            }
        });
    }
    sleep(Duration::from_secs(1));
    let added = config(2)
        .replace("/look/", "/new/")
        .replace("\"look-up\"", "\"new\"");
    let acked = stage
        .cluster
        .operate("PUT", "/-/config", &added, Duration::from_secs(20));
    let acked_at = Instant::now();
    record.say(format!("version 2 is acknowledged: {}", acked.is_some()));
    let second = format!("{:016x}", stage.luck.rotate_left(7));
    let body = job(1, 1, 8, &groups(&second[..12]));
    let is_accepted = trainer.submit(&second, &body, Duration::from_secs(3));
    let mut late = Duration::ZERO;
    let (mut old_answers, mut others) = (0, 0);
    let mut number = 0;
    while acked.is_some() && late < APPLY + WATCH {
        late = acked_at.elapsed();
        for (index, front) in stage.cluster.fronts().into_iter().enumerate() {
            number += 1;
            let id = format!("{second}{number:04x}");
            let headers = [
                ("Host", HOST),
                ("Authorization", KEY),
                ("X-Bergamotlane-Request-Id", id.as_str()),
                ("X-Bergamotlane-Deadline-Ms", "1500"),
            ];
            let wait = Duration::from_millis(1_600);
            let answer = http::call(front, "GET", "/new/x", &headers, "", wait);
            let status = answer.map_or(0, |it| it.status());
            if late >= APPLY {
                record.say(format!(
                    "request {id} at front-{}, {} ms after the confirmation -> {status}",
                    index + 1,
                    late.as_millis()
                ));
                match status {
                    404 => old_answers += 1,
                    _ => others += 1,
                }
            }
        }
        sleep(Duration::from_millis(500));
    }
    let (results, total) = trainer.read_all(&second, Duration::from_secs(6));
    record.say(format!(
        "job {second}: accepted = {is_accepted}, {} results of {total}",
        results.len()
    ));
    if stage.trouble {
        for old in 0..3 {
            let path = format!("/-/retire/{}", stage.cluster.machines[old].name);
            stage.cluster.operate_at(spares[old], "GET", &path, "");
        }
    }
    record.say(format!(
        "{old_answers} requests were handled by the older version, {others} not"
    ));
    let leads: usize = (0..8)
        .map(|it| stage.cluster.log(it).matches("lead: begun").count())
        .sum();
    record.say(format!("the logs tell of {leads} beginnings of a lead"));
    if old_answers > 0 {
        record.say("CONFIG: an acknowledged route is refused with 404");
        return Verdict::Broken;
    }
    match acked.is_some() {
        true => Verdict::Held,
        false => Verdict::CouldNotRun,
    }
}
