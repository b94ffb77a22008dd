//! An engine drains while its service is out of the desired state for a moment.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::world::DRAIN_MS;
use crate::world::Engine;
use crate::world::World;
use crate::world::request;

pub fn desired(version: u64, with_extra: bool) -> String {
    let route = |name: &str, prefix: &str, service: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path-prefix\":\"/{prefix}/\",\"kind\":\"safe\",\"timeout-ms\":1500,\"target-latency-ms\":150,\"priority\":2,\"service\":\"{service}\",\"max-attempts\":2,\"auth-exempt\":false}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}}"
        )
    };
    let mut routes = vec![route("r-look", "look", "desk")];
    let mut services = vec![service("desk")];
    if with_extra {
        routes.push(route("r-proof", "proof", "proof-desk"));
        services.push(service("proof-desk"));
    }
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"mint\",\"api-keys\":[\"k9mint7f2\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(",")
    )
}

pub fn run(folder: &str, temporary: &str, has_trouble: bool) -> i32 {
    let mut world = World::new(folder, temporary);
    world.start_all(2);
    let record = Arc::clone(&world.record);
    let _desk = Engine::start(&world, "i-desk-1", "desk", "z-a", 31);
    let first = Engine::start(&world, "i-proof-1", "proof-desk", "z-a", 32);
    let _second = Engine::start(&world, "i-proof-2", "proof-desk", "z-b", 33);
    if world
        .order(
            "PUT",
            "/-/config",
            &desired(3, true),
            1,
            Duration::from_secs(20),
        )
        .is_none()
    {
        return 2;
    }
    // Requesters of the proof route, at both entries, while the newest desired state has the route.
    let asks = Arc::new(AtomicBool::new(true));
    let ends = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let mut requesters = Vec::new();
    for entry in 1..=2_u8 {
        let (asks, ends, served) = (Arc::clone(&asks), Arc::clone(&ends), Arc::clone(&served));
        let (record, front) = (Arc::clone(&record), world.front(entry));
        requesters.push(thread::spawn(move || {
            let mut number = 0;
            while !ends.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(60));
                if asks.load(Ordering::SeqCst) {
                    number += 1;
                    let status =
                        request(&record, front, "/proof/1", &format!("q{entry}x{number:05}"));
                    served.fetch_add(u64::from(status == 200), Ordering::SeqCst);
                }
            }
        }));
    }
    thread::sleep(Duration::from_secs(9));
    if served.load(Ordering::SeqCst) < 50 {
        record.line("the deployment does not serve; the case can't run");
        ends.store(true, Ordering::SeqCst);
        return 2;
    }
    let before = first.seen.lock().unwrap().len();
    record.line(&format!(
        "engine i-proof-1 has run {before} requests so far"
    ));
    if has_trouble {
        // The operator takes the proof route and its service out, and puts both back 3 s later.
        asks.store(false, Ordering::SeqCst);
        thread::sleep(Duration::from_millis(100));
        if world
            .order(
                "PUT",
                "/-/config",
                &desired(5, false),
                2,
                Duration::from_secs(8),
            )
            .is_none()
        {
            return 2;
        }
    }
    thread::sleep(Duration::from_millis(300));
    // Planned work: the engine drains. It goes on to check in as draining every heartbeat-ms.
    first.is_draining.store(true, Ordering::SeqCst);
    first.check_in();
    let confirmed = first.drain_confirmed_at.load(Ordering::SeqCst);
    if confirmed == 0 {
        return 2;
    }
    thread::sleep(Duration::from_millis(2_700));
    if has_trouble {
        if world
            .order(
                "PUT",
                "/-/config",
                &desired(8, true),
                3,
                Duration::from_secs(8),
            )
            .is_none()
        {
            return 2;
        }
        asks.store(true, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_secs(6));
    ends.store(true, Ordering::SeqCst);
    for requester in requesters {
        requester.join().ok();
    }
    world.stop();
    let seen = first.seen.lock().unwrap().clone();
    let late: Vec<_> = seen
        .iter()
        .filter(|it| it.at > confirmed + DRAIN_MS)
        .collect();
    for it in &late {
        record.line(&format!(
            "DRAIN: request {} reached i-proof-1 {} ms after its draining was acknowledged",
            it.request,
            it.at - confirmed
        ));
    }
    record.line(&format!(
        "result: {} requests reached the engine later than drain-ms after the acknowledgement",
        late.len()
    ));
    println!("{} late requests", late.len());
    i32::from(!late.is_empty())
}
