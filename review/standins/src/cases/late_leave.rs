//! An engine starts again under its ID; a DELETE of its earlier boot arrives seconds late.

use std::collections::BTreeSet;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
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
use crate::http::Reader;
use crate::http::call;
use crate::jobs;
use crate::unix_ms;

const ENGINE: &str = "i-0000a001";

/// Time budget of the users' sheet for a step.
const STEP_BUDGET: Duration = Duration::from_millis(12_000);

/// Time by which the first DELETE is late.
const LATENESS: Duration = Duration::from_millis(3_500);

pub fn play(record: &Record, has_trouble: bool) -> bool {
    let layout = Layout {
        keepers: 3,
        entries: 2,
    };
    let cluster = Cluster::start(record, layout);
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
    let mut engine = cluster.start_engine(ENGINE, 0, &options);
    sleep(Duration::from_secs(4));
    record.note("engine: told to drain");
    engine.tell("drain");
    // The next announcement is confirmed within `heartbeat-ms`; then `drain-ms` pass.
    sleep(Duration::from_millis(1_300 + 2_000));
    let path = format!("/-/instances/{ENGINE}");
    let late = has_trouble.then(|| {
        // The engine's first DELETE is held up on its way; the engine waits a second for its answer.
        let (record, address) = (record.clone(), cluster.control(0));
        let text =
            format!("DELETE {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n");
        record.note(&format!(
            "engine: DELETE to {address}, which is on its way for {LATENESS:?}"
        ));
        thread::spawn(move || {
            let stream = TcpStream::connect(address);
            sleep(LATENESS);
            let Ok(mut stream) = stream else {
                record.note("late DELETE: no connection");
                return;
            };
            stream.set_read_timeout(Some(Duration::from_secs(1))).ok();
            stream.write_all(text.as_bytes()).ok();
            let answer = Reader::new().read(&mut stream, true);
            let status = answer.map_or(0, |it| it.status());
            record.note(&format!("late DELETE of the earlier boot: {status}"));
        })
    });
    if has_trouble {
        sleep(Duration::from_secs(1));
    }
    let limit = Duration::from_secs(1);
    let answer = call(cluster.control(1), "DELETE", &path, &[], b"", limit);
    let status = answer.map_or(0, |it| it.status());
    record.note(&format!(
        "engine: DELETE to {}: {status}",
        cluster.control(1)
    ));
    if status / 100 != 2 {
        could_not_run(record, "the DELETE was not confirmed");
    }
    record.note("engine: exits");
    engine.kill();
    sleep(Duration::from_millis(500));
    let _again = cluster.start_engine(ENGINE, 0, &options);
    sleep(Duration::from_millis(700));
    let items = ids(1, 40);
    let job = &ids(2, 1)[0];
    let begun = Instant::now();
    jobs::submit(
        &cluster,
        2,
        "/pufi791/",
        job,
        &jobs::job_body(&items, "/pufi791/3/"),
    );
    let left = STEP_BUDGET.saturating_sub(begun.elapsed());
    let (total, results) = jobs::read_until_done(&cluster, 2, job, left);
    if let Some(late) = late {
        late.join().ok();
    }
    let end_ms = unix_ms();
    let listed: BTreeSet<&str> = results.iter().map(|it| it.id.as_str()).collect();
    let log = cluster.engine_log();
    cluster.record_engines();
    let arrivals = log.iter().filter(|it| it.2.starts_with("arrived stream"));
    let last = arrivals.map(|it| it.0).max().unwrap_or(0);
    let started: BTreeSet<&str> = log
        .iter()
        .filter_map(|it| it.2.strip_prefix("arrived stream "))
        .collect();
    let never = items
        .iter()
        .filter(|it| !started.contains(it.as_str()))
        .count();
    let idle_ms = end_ms.saturating_sub(last);
    record.note(&format!(
        "the step's time is over: {total} items, {} listed, {} at the engine at some time, {never} never; \
         the last arrival of an item was {idle_ms} ms ago",
        listed.len(),
        started.len()
    ));
    if never == 0 || started.is_empty() || idle_ms < 5_000 {
        return false;
    }
    let (_, later) = jobs::read_until_done(&cluster, 2, job, Duration::from_secs(15));
    let heard = cluster
        .engine_log()
        .into_iter()
        .rev()
        .find(|it| it.2.starts_with("announcement"));
    record.note(&format!(
        "15,000 ms later: {} listed; the engine's latest {}",
        later.len(),
        heard.map_or_else(String::new, |it| it.2)
    ));
    true
}
