//! A batch job is completed while its tenant has no key.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::tenants::job;
use crate::tenants::plan;
use crate::world::Engine;
use crate::world::Stream;
use crate::world::World;
use crate::world::job_call_as;

/// `status-s` of the deployment, in seconds.
const STATUS_S: u64 = 20;

const FIRST_KEY: &str = "Token k9mint7f2";
const SECOND_KEY: &str = "Token x3mint8g5";

fn tenants(keys: &str) -> String {
    format!(
        ",\"tenants\":[{{\"name\":\"mint\",\"api-keys\":[{keys}],\"priority\":1}},{{\"name\":\"other\",\"api-keys\":[\"q5other1h8\"],\"priority\":2}}]"
    )
}

pub fn run(folder: &str, temporary: &str, has_trouble: bool) -> i32 {
    let mut world = World::new(folder, temporary);
    world.status_s = STATUS_S;
    world.start_all(2);
    let record = Arc::clone(&world.record);
    // An item takes 22 s.
    let stream = Stream {
        events: 44,
        pause_ms: 500,
    };
    let _engines = [
        Engine::start_with(&world, "i-llm-1", "llm", "z-a", 41, Some(stream)),
        Engine::start_with(&world, "i-llm-2", "llm", "z-b", 42, Some(stream)),
    ];
    let first = plan(3, 10_000, &tenants("\"k9mint7f2\""));
    if world
        .order("PUT", "/-/config", &first, 1, Duration::from_secs(20))
        .is_none()
    {
        return 2;
    }
    thread::sleep(Duration::from_secs(4));
    let submitted = (0..20_u8).find_map(|attempt| {
        let front = world.front(1 + attempt % 2);
        let body = job(0, 4);
        let answer = job_call_as(
            &record,
            FIRST_KEY,
            front,
            "POST",
            "/roll/step0",
            "step0",
            &body,
        );
        let is_accepted = answer.is_some_and(|it| it.status() == 202);
        if !is_accepted {
            thread::sleep(Duration::from_millis(300));
        }
        is_accepted.then(|| record.ms())
    });
    let Some(submitted) = submitted else {
        return 2;
    };
    // The trainer reads twice per second, at both entries in turn, until it has all results; then it ends
    // the batch job. While its tenant has no key, it can't.
    let mut key = FIRST_KEY;
    let mut has_key = true;
    let (mut lost, mut is_read, mut round) = (0, false, 0_u8);
    while record.ms() < submitted + 50_000 && !is_read && lost < 6 {
        thread::sleep(Duration::from_millis(500));
        let age = record.ms() - submitted;
        if has_trouble && has_key && key == FIRST_KEY && age > 20_500 {
            let change = plan(5, 10_000, &tenants(""));
            if world
                .order("PUT", "/-/config", &change, 2, Duration::from_secs(8))
                .is_none()
            {
                return 2;
            }
            has_key = false;
        }
        if !has_key && age > 33_000 {
            let change = plan(8, 10_000, &tenants("\"x3mint8g5\""));
            if world
                .order("PUT", "/-/config", &change, 3, Duration::from_secs(8))
                .is_none()
            {
                return 2;
            }
            (key, has_key) = (SECOND_KEY, true);
            // After config-apply-ms, all machines know the key.
            thread::sleep(Duration::from_millis(2_500));
        }
        if !has_key {
            continue;
        }
        round += 1;
        let front = world.front(1 + round % 2);
        let path = "/-/lots/step0?after=0";
        let answer = job_call_as(&record, key, front, "GET", path, "read", "");
        let Some(answer) = answer else {
            continue;
        };
        lost += u32::from(matches!(answer.status(), 404 | 410));
        is_read = answer.text().contains("\"next\":4");
    }
    if is_read {
        let front = world.front(1);
        job_call_as(&record, key, front, "DELETE", "/-/lots/step0", "end0", "");
    }
    world.stop();
    let text = format!(
        "all results were read: {is_read}; {lost} reads of the open batch job were answered 404"
    );
    record.line(&format!("result: {text}"));
    println!("{text}");
    match (is_read, lost) {
        (true, 0) => 0,
        (false, 0) => 2,
        _ => 1,
    }
}
