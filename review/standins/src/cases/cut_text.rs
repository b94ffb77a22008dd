//! An engine whose streams end with their channel is killed while it runs items.

use std::thread::sleep;
use std::time::Duration;

use super::DESK_ROUTE;
use super::ROLLOUT_ROUTE;
use super::ids;
use super::plan;
use crate::cluster::Cluster;
use crate::cluster::Layout;
use crate::cluster::Process;
use crate::cluster::Record;
use crate::engine::event_text;
use crate::jobs;

const EVENTS: u64 = 10;

const ENGINES: u8 = 6;

pub fn play(record: &Record, has_trouble: bool) -> bool {
    let layout = Layout {
        keepers: 3,
        entries: 2,
    };
    let cluster = Cluster::start(record, layout);
    cluster.order("PUT", "/-/config", &plan(3, &[ROLLOUT_ROUTE, DESK_ROUTE]));
    cluster.wait_ready();
    let events = format!("events={EVENTS}");
    let options = [
        "service=huvo11a",
        "zone=piedmont-a",
        "capacity=12",
        "model=daka510000",
        "streams=/pufi791/",
        events.as_str(),
        "gap=100",
        "unframed=1",
    ];
    let mut engines: Vec<Process> = (0..ENGINES)
        .map(|it| cluster.start_engine(&format!("i-0000a00{it}"), it, &options))
        .collect();
    sleep(Duration::from_secs(3));
    let items = ids(1, 60);
    let job = &ids(2, 1)[0];
    jobs::submit(
        &cluster,
        2,
        "/pufi791/",
        job,
        &jobs::job_body(&items, "/pufi791/3/"),
    );
    sleep(Duration::from_millis(500));
    if has_trouble {
        record.note("engine i-0000a002: killed");
        engines[2].kill();
    }
    let (total, results) = jobs::read_until_done(&cluster, 2, job, Duration::from_secs(30));
    cluster.record_engines();
    let mut cut = 0;
    for result in results.iter().filter(|it| it.state == "completed") {
        let events: Vec<String> = (1..=EVENTS).map(|it| event_text(&result.id, it)).collect();
        if result.text != events.join("\n") {
            cut += 1;
            record.note(&format!(
                "item {} is completed with {} of {EVENTS} events",
                result.id,
                result.text.lines().count()
            ));
        }
    }
    record.note(&format!(
        "{total} items, {} listed, {cut} completed without their whole output",
        results.len()
    ));
    if results.len() < items.len() && !has_trouble {
        crate::cluster::could_not_run(record, "not all items were listed");
    }
    cut > 0
}
