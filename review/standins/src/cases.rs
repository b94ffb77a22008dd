//! The cases. Each returns whether the rule was broken.

mod cut_stream;
mod cut_text;
mod failback;
mod late_leave;
mod lost_route;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::cluster::Cluster;
use crate::cluster::Process;
use crate::cluster::Record;
use crate::cluster::could_not_run;

pub fn play(name: &str, record: &Record, has_trouble: bool) -> bool {
    match name {
        "lost-route" => lost_route::play(record, has_trouble),
        "cut-text" => cut_text::play(record, has_trouble),
        "cut-stream" => cut_stream::play(record, has_trouble),
        "late-leave" => late_leave::play(record, has_trouble),
        "failback" => failback::play(record, has_trouble),
        _ => could_not_run(record, "unknown case"),
    }
}

/// Returns a desired state with these routes, all in JSON, over the two services.
fn plan(version: u64, routes: &[&str]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"huvo11a\",\"health-path\":\"/health\",\"max-conns\":170,\"protocol\":\"h1\",\
         \"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":14.0,\"engine\":{{\"capacity\":12,\
         \"kv-capacity-tokens\":31283,\"kv-token-bytes\":18432,\"link-mbps\":700000.0,\"moves\":true,\
         \"backups\":true,\"stride\":55,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\
         \"handle_s\":5.0,\"models\":[{{\"name\":\"daka510000\"}}]}}}},\
         {{\"name\":\"wuno96b\",\"health-path\":\"/health\",\"max-conns\":110,\"protocol\":\"h1\",\
         \"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"nowu640\",\"api-keys\":[\"{}\"],\"priority\":1}}]}}",
        routes.join(","),
        crate::cluster::KEY
    )
}

/// Route of batch jobs, as on the users' page.
const ROLLOUT_ROUTE: &str = "{\"name\":\"r-a9rgy35\",\"host\":\"ficu95.example\",\
    \"path-prefix\":\"/pufi791/\",\"kind\":\"rollout\",\"timeout-ms\":10000,\
    \"target-latency-ms\":400,\"priority\":1,\"service\":\"huvo11a\",\"max-attempts\":3,\
    \"item-ttl-s\":40.0,\"result-deadline-ms\":7500,\"single-version\":false,\"auth-exempt\":false,\
    \"sticky\":true,\"resumable\":true}";

/// Route of look-ups at the service without models.
const DESK_ROUTE: &str = "{\"name\":\"r-desk\",\"host\":\"ficu95.example\",\
    \"path-prefix\":\"/desk/\",\"kind\":\"safe\",\"timeout-ms\":1500,\"target-latency-ms\":150,\
    \"priority\":2,\"service\":\"wuno96b\",\"max-attempts\":2,\"auth-exempt\":false}";

/// Number of engines of which the first `GARBLING` send one stream in `UNFRAMED_EACH` without a length:
/// a share of 0.33 and x of 0.02, where the site has 0.35 and 0.02 for `garble`.
const ENGINES: u8 = 6;
const GARBLING: u8 = 2;
const UNFRAMED_EACH: u64 = 50;

/// Starts the engines; `options` are those of all of them.
fn start_engines(cluster: &Cluster, options: &[&str]) -> BTreeMap<String, Process> {
    let unframed = format!("unframed-each={UNFRAMED_EACH}");
    let engines = (0..ENGINES).map(|number| {
        let mut options = options.to_vec();
        if number < GARBLING {
            options.push(&unframed);
        }
        let id = format!("i-0000a00{number}");
        let process = cluster.start_engine(&id, number, &options);
        (id, process)
    });
    engines.collect()
}

/// Kills an engine while it sends a stream without a length.
fn kill_in_stream(cluster: &Cluster, engines: &mut BTreeMap<String, Process>) {
    let limit = Duration::from_secs(40);
    let Some(engine) = cluster.wait_unframed(Duration::from_millis(350), limit) else {
        could_not_run(&cluster.record, "no stream without a length was seen");
    };
    if let Some(mut process) = engines.remove(&engine) {
        process.kill();
    }
    cluster.record.note(&format!("engine {engine}: killed"));
}

/// Returns IDs that look like those of the users' page.
fn ids(kind: u64, count: usize) -> Vec<String> {
    let mark = crate::unix_ms() & 0xff_ffff;
    (0..count)
        .map(|it| format!("{mark:06x}{kind:02x}{it:08x}"))
        .collect()
}
