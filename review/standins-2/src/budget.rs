//! An item fails at each run while the store machines are restarted in turn, the leader first.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::tenants::desired_with;
use crate::world::Engine;
use crate::world::Stream;
use crate::world::World;
use crate::world::job_call;

/// `max-attempts` of the route.
const MAX_ATTEMPTS: u64 = 10;

/// `contact-ms`, after which an undisturbed machine is in touch.
const CONTACT_MS: u64 = 3_000;

/// `gap_s` of the roll.
const GAP: Duration = Duration::from_millis(4_750);

pub fn run(folder: &str, temporary: &str, has_trouble: bool) -> i32 {
    let mut world = World::new(folder, temporary);
    world.start_all(2);
    let record = Arc::clone(&world.record);
    let stream = Stream {
        events: 5,
        pause_ms: 20,
    };
    let engines = [
        Engine::start_with(&world, "i-llm-1", "llm", "z-a", 41, Some(stream)),
        Engine::start_with(&world, "i-llm-2", "llm", "z-b", 42, Some(stream)),
    ];
    let plan = desired_with(3, 10_000, true, MAX_ATTEMPTS);
    if world
        .order("PUT", "/-/config", &plan, 1, Duration::from_secs(20))
        .is_none()
    {
        return 2;
    }
    thread::sleep(Duration::from_secs(5));
    let items = "{\"id\":\"poison\",\"path\":\"/roll/3/poison\",\"headers\":{\"X-Bergamotlane-Model\":\"m\",\"X-Bergamotlane-Token-Count\":\"540,400\",\"X-Bergamotlane-Prompt-Prefix\":\"9c2e41:300,5d07b8:240\"},\"body\":\"q83vEjRWeJA=\",\"token-count\":940,\"group-id\":\"g1\"}";
    let body = format!(
        "{{\"train-step\":0,\"model\":\"m\",\"desired\":1,\"min-version\":1,\"items\":[{items}]}}"
    );
    let answer = job_call(
        &record,
        world.front(1),
        "POST",
        "/roll/step0",
        "step0",
        &body,
    );
    if answer.is_none_or(|it| it.status() != 202) {
        return 2;
    }
    let mut disturbed_until = record.ms();
    if has_trouble {
        let started = Instant::now();
        for round in 1..=3_u32 {
            thread::sleep((GAP * round).saturating_sub(started.elapsed()));
            let leader = world.leader();
            let name = World::keeper_name(leader);
            record.line(&format!(
                "disruption: {name} gets SIGTERM, and starts again when it has ended"
            ));
            let process = world.process(&name);
            process.signal("TERM");
            let limit = Instant::now() + Duration::from_secs(8);
            while !process.has_ended() && Instant::now() < limit {
                thread::sleep(Duration::from_millis(20));
            }
            process.kill();
            world.start(leader, false);
            disturbed_until = record.ms();
        }
    }
    // The trainer reads until the item is listed.
    let mut is_listed = false;
    for _ in 0..24 {
        thread::sleep(Duration::from_millis(500));
        let answer = job_call(
            &record,
            world.front(1),
            "GET",
            "/-/lots/step0?after=0",
            "read",
            "",
        );
        if answer.is_some_and(|it| it.text().contains("\"next\":1")) {
            is_listed = true;
            break;
        }
    }
    world.stop();
    let mut answers: Vec<u64> = Vec::new();
    let mut arrivals: Vec<u64> = Vec::new();
    for engine in &engines {
        answers.extend(engine.failed.lock().unwrap().iter());
        arrivals.extend(engine.seen.lock().unwrap().iter().map(|it| it.at));
        engine.is_gone.store(true, Ordering::SeqCst);
    }
    let excess = arrivals.iter().filter(|at| {
        let before = answers.iter().filter(|it| it <= at).count() as u64;
        before >= 3 * MAX_ATTEMPTS && **at > disturbed_until + CONTACT_MS
    });
    let excess = excess.count();
    let text = format!(
        "{} arrivals, {} answers of 500; {excess} arrivals after {} of them, over contact-ms after the last disturbance; listed at last: {is_listed}",
        arrivals.len(),
        answers.len(),
        3 * MAX_ATTEMPTS
    );
    record.line(&format!("result: {text}"));
    println!("{text}");
    i32::from(excess > 0)
}
