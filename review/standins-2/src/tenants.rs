//! The desired state loses its table of tenants while batch jobs are kept.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::world::Engine;
use crate::world::Stream;
use crate::world::World;
use crate::world::job_call;

/// Time for which a batch job may be unknown after its 202.
const SETTLE_MS: u64 = 1_000;

/// Time after a confirmation from which on all machines have the desired state.
const CONFIG_APPLY_MS: u64 = 2_000;

fn desired(version: u64, timeout_ms: u64, with_tenants: bool) -> String {
    let tenants = match with_tenants {
        true => ",\"tenants\":[{\"name\":\"mint\",\"api-keys\":[\"k9mint7f2\"],\"priority\":1}]",
        false => "",
    };
    plan(version, timeout_ms, tenants)
}

/// A desired state with one rollout route; `tenants` is empty or the field with its comma.
pub fn plan(version: u64, timeout_ms: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-roll\",\"host\":\"desk.example\",\"path-prefix\":\"/roll/\",\"kind\":\"rollout\",\"timeout-ms\":{timeout_ms},\"target-latency-ms\":400,\"priority\":1,\"service\":\"llm\",\"max-attempts\":3,\"item-ttl-s\":60.0,\"result-deadline-ms\":30000,\"single-version\":false,\"auth-exempt\":false,\"sticky\":true,\"resumable\":true}}],\"services\":[{{\"name\":\"llm\",\"health-path\":\"/health\",\"max-conns\":170,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0,\"engine\":{{\"capacity\":12,\"kv-capacity-tokens\":31283,\"kv-token-bytes\":18432,\"link-mbps\":700000.0,\"moves\":true,\"backups\":true,\"stride\":55,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}{tenants}}}"
    )
}

pub fn job(step: u32, items: u32) -> String {
    let items: Vec<String> = (0..items)
        .map(|item| {
            format!(
                "{{\"id\":\"s{step}i{item}\",\"path\":\"/roll/3/91c4\",\"headers\":{{\"X-Bergamotlane-Model\":\"m\",\"X-Bergamotlane-Token-Count\":\"540,400\",\"X-Bergamotlane-Prompt-Prefix\":\"9c2e41:300,5d07b{step}{item}:240\"}},\"body\":\"q83vEjRWeJA=\",\"token-count\":940,\"group-id\":\"s{step}g{}\"}}",
                item / 2
            )
        })
        .collect();
    format!(
        "{{\"train-step\":{step},\"model\":\"m\",\"desired\":2,\"min-version\":1,\"items\":[{}]}}",
        items.join(",")
    )
}

pub fn run(folder: &str, temporary: &str, has_trouble: bool) -> i32 {
    let mut world = World::new(folder, temporary);
    world.start_all(2);
    let record = Arc::clone(&world.record);
    let stream = Stream {
        events: 10,
        pause_ms: 40,
    };
    let _engines = [
        Engine::start_with(&world, "i-llm-1", "llm", "z-a", 41, Some(stream)),
        Engine::start_with(&world, "i-llm-2", "llm", "z-b", 42, Some(stream)),
    ];
    if world
        .order(
            "PUT",
            "/-/config",
            &desired(3, 10_000, true),
            1,
            Duration::from_secs(20),
        )
        .is_none()
    {
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let submit = |number: u8| {
        let path = format!("/roll/step{number}");
        let id = format!("step{number}");
        for attempt in 0..20_u8 {
            let answer = job_call(
                &record,
                world.front(1 + attempt % 2),
                "POST",
                &path,
                &id,
                &job(u32::from(number), 4),
            );
            if answer.is_some_and(|it| it.status() == 202) {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    };
    if !submit(0) {
        return 2;
    }
    // The trainer reads the step until all of it is listed.
    let mut text = String::new();
    for _ in 0..20 {
        thread::sleep(Duration::from_millis(500));
        let answer = job_call(
            &record,
            world.front(1),
            "GET",
            "/-/lots/step0?after=0",
            "read0",
            "",
        );
        text = answer.map(|it| it.text()).unwrap_or_default();
        if text.contains("\"next\":4") {
            break;
        }
    }
    if !text.contains("\"next\":4") {
        return 2;
    }
    // A change of the desired state: all of it is as before but for a route's time-out or, with the
    // disruption, for the tenants.
    let next = desired(5, 9_000, !has_trouble);
    if world
        .order("PUT", "/-/config", &next, 2, Duration::from_secs(8))
        .is_none()
    {
        return 2;
    }
    thread::sleep(Duration::from_millis(CONFIG_APPLY_MS + SETTLE_MS + 1_000));
    // Nothing is disturbed from here on. The trainer, which still sends its key, reads again.
    let mut lost = 0;
    let mut served = 0;
    for round in 0..6_u8 {
        for entry in 1..=2 {
            let answer = job_call(
                &record,
                world.front(entry),
                "GET",
                "/-/lots/step0?after=0",
                "again",
                "",
            );
            match answer.map_or(0, |it| it.status()) {
                404 | 410 => lost += 1,
                200 => served += 1,
                _ => {}
            }
        }
        if round == 5 {
            job_call(
                &record,
                world.front(1),
                "DELETE",
                "/-/lots/step0",
                "end0",
                "",
            );
        }
        thread::sleep(Duration::from_millis(500));
    }
    world.stop();
    record.line(&format!(
        "result: {lost} reads of an accepted batch job are answered 404, {served} are served"
    ));
    println!("{lost} reads answered 404, {served} served");
    match (lost, served) {
        (0, 0) => 2,
        (0, _) => 0,
        _ => 1,
    }
}
