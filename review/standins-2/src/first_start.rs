//! A store machine loses its disk in the first moments of the first start.

use std::fs;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::drain::desired;
use crate::world::Engine;
use crate::world::World;
use crate::world::request;

pub fn run(folder: &str, temporary: &str, has_trouble: bool) -> i32 {
    let mut world = World::new(folder, temporary);
    let record = Arc::clone(&world.record);
    let _desk = Engine::start(&world, "i-desk-1", "desk", "z-a", 31);
    // All machines start within 0.3 s of each other.
    world.start(1, true);
    thread::sleep(Duration::from_millis(100));
    world.start(2, true);
    world.start(11, true);
    world.start(12, true);
    thread::sleep(Duration::from_millis(100));
    if has_trouble {
        record.line("disruption: store-a-1 loses its disk; it is back in 1 s, with an empty data-dir and bootstrap = false");
        world.process("store-a-1").kill();
        fs::remove_dir_all(world.folder.join("store-a-1")).ok();
    }
    thread::sleep(Duration::from_millis(90));
    world.start(3, true);
    if has_trouble {
        thread::sleep(Duration::from_millis(1_000));
        world.start(1, false);
    }
    let confirmed = world.order(
        "PUT",
        "/-/config",
        &desired(3, false),
        1,
        Duration::from_secs(45),
    );
    let mut served = 0;
    for number in 0..40_u32 {
        let status = request(
            &record,
            world.front(1 + (number % 2) as u8),
            "/look/1",
            &format!("q{number:05}"),
        );
        served += u32::from(status == 200);
        thread::sleep(Duration::from_millis(100));
    }
    world.stop();
    let text = match confirmed {
        Some((at, _)) => format!("the first desired state was confirmed at {at} ms"),
        None => "the first desired state was not confirmed within 45 s".to_owned(),
    };
    record.line(&format!(
        "result: {text}; {served} of 40 requests were served"
    ));
    println!("{text}; {served} of 40 requests were served");
    i32::from(served == 0)
}
