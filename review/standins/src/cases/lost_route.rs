//! A route is removed and added again; between the two, the leading keeper is killed.

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use super::DESK_ROUTE;
use super::ROLLOUT_ROUTE;
use super::ids;
use super::plan;
use crate::cluster::Cluster;
use crate::cluster::Layout;
use crate::cluster::Record;
use crate::cluster::could_not_run;
use crate::jobs;
use crate::unix_ms;

/// Time budget of the users' sheet for a step.
const STEP_BUDGET: Duration = Duration::from_millis(12_000);

pub fn play(record: &Record, has_trouble: bool) -> bool {
    let layout = Layout {
        keepers: 3,
        entries: 2,
    };
    let mut cluster = Cluster::start(record, layout);
    cluster.order("PUT", "/-/config", &plan(3, &[ROLLOUT_ROUTE, DESK_ROUTE]));
    cluster.wait_ready();
    let options = [
        "service=huvo11a",
        "zone=piedmont-a",
        "capacity=4",
        "model=daka510000",
        "streams=/pufi791/",
        "events=6",
        "gap=100",
    ];
    let _first = cluster.start_engine("i-0000a001", 0, &options);
    let _second = cluster.start_engine("i-0000a002", 1, &options);
    sleep(Duration::from_secs(3));
    let items = ids(1, 40);
    let job = &ids(2, 1)[0];
    let begun = Instant::now();
    let begun_ms = unix_ms();
    jobs::submit(
        &cluster,
        2,
        "/pufi791/",
        job,
        &jobs::job_body(&items, "/pufi791/3/"),
    );
    sleep(Duration::from_millis(400));
    cluster.order("PUT", "/-/config", &plan(7, &[DESK_ROUTE]));
    if has_trouble {
        let Some(leader) = cluster.leader() else {
            could_not_run(record, "no leader");
        };
        // With HOW=term the leader is stopped and started as for planned work.
        match std::env::var("HOW").as_deref() {
            Ok("term") => cluster.stop_keeper(leader),
            _ => cluster.kill_keeper(leader),
        }
        sleep(Duration::from_millis(1_000));
        cluster.restart_keeper(leader);
    } else {
        sleep(Duration::from_millis(1_000));
    }
    sleep(Duration::from_millis(1_500));
    cluster.order("PUT", "/-/config", &plan(12, &[ROLLOUT_ROUTE, DESK_ROUTE]));
    let restored_ms = unix_ms();
    let left = STEP_BUDGET.saturating_sub(begun.elapsed());
    let (total, results) = jobs::read_until_done(&cluster, 2, job, left);
    let end_ms = unix_ms();
    let listed: BTreeSet<&str> = results.iter().map(|it| it.id.as_str()).collect();
    let log = cluster.engine_log();
    cluster.record_engines();
    let arrivals: Vec<u64> = log
        .iter()
        .filter(|it| it.2.starts_with("arrived stream"))
        .map(|it| it.0)
        .collect();
    let started: BTreeSet<String> = log
        .iter()
        .filter_map(|it| it.2.strip_prefix("arrived stream ").map(str::to_owned))
        .collect();
    let never: Vec<&String> = items
        .iter()
        .filter(|it| !started.contains(*it) && !listed.contains(it.as_str()))
        .collect();
    let last = arrivals.iter().max().copied().unwrap_or(0);
    let idle_ms = end_ms.saturating_sub(last);
    record.note(&format!(
        "the step's time is over after {} ms: {total} items, {} listed, {} at an engine at some time, \
         {} at none; the last arrival of an item at an engine was {idle_ms} ms ago; the route was \
         confirmed again {} ms ago",
        end_ms - begun_ms,
        results.len(),
        started.len(),
        never.len(),
        end_ms - restored_ms
    ));
    if never.is_empty() || idle_ms < 5_000 {
        return false;
    }
    // Shows that it is not a matter of seconds.
    let (_, later) = jobs::read_until_done(&cluster, 2, job, Duration::from_secs(20));
    record.note(&format!(
        "{} ms after the step's time: {} listed",
        20_000,
        later.len()
    ));
    // A new job on the same route is served, so that the system and the engines are sound.
    let probe = ids(3, 4);
    let probe_job = &ids(4, 1)[0];
    jobs::submit(
        &cluster,
        2,
        "/pufi791/",
        probe_job,
        &jobs::job_body(&probe, "/pufi791/3/"),
    );
    let (_, served) = jobs::read_until_done(&cluster, 2, probe_job, Duration::from_secs(8));
    record.note(&format!(
        "a new job of 4 items on the same route: {} listed",
        served.len()
    ));
    true
}
