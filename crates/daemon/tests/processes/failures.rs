//! Failures of real processes: what must hold does, whatever is killed, frozen or lost.
//!
//! These tests assert safety and that work goes on at last; they bound no speed.

use std::collections::BTreeMap;
use std::fs;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use reqwest::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::support::Cluster;

const DESK: &str = "/s/proof-desk/item";
const LEDGER: &str = "/s/strike-ledger/entry";

async fn code_of(request: reqwest::RequestBuilder) -> (u16, String, String) {
    let response = request.send().await.expect("daemon answers");
    let status = response.status().as_u16();
    let run = response.headers().get("x-bergamotlane-run");
    let run = run.map_or("", |it| it.to_str().unwrap()).to_owned();
    let body: Value = response.json().await.unwrap_or_default();
    let code = body["code"].as_str().unwrap_or_default().to_owned();
    (status, code, run)
}

/// Checks what the platform recorded: fencing numbers never fall, although it ignores
/// them, and no window was reported with two figures.
fn check_platform(audit: &Value) {
    let mut fence = 0;
    for order in audit["orders"].as_array().unwrap() {
        let own = order["fence"].as_u64().unwrap();
        assert!(own >= fence, "an order of an old leader came late: {order}");
        fence = own;
    }
    let mut windows: BTreeMap<u64, Value> = BTreeMap::new();
    let mut fence = 0;
    for report in audit["reports"].as_array().unwrap() {
        let own = report["fence"].as_u64().unwrap();
        assert!(
            own >= fence,
            "a report of an old leader came late: {report}"
        );
        fence = own;
        let figures = json!([report["start_ms"], report["end_ms"], report["lines"]]);
        let window = report["window"].as_u64().unwrap();
        let first = windows.entry(window).or_insert(figures.clone());
        assert_eq!(*first, figures, "window {window} was reported twice");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_ends_everywhere_running_streams_included() {
    let mut cluster = Cluster::start(3, 3, 3).await;
    cluster.target("plain", "proof-desk", &[]).await;
    cluster
        .target(
            "engine",
            "relief-llm",
            &["--token-us", "20000", "--tokens", "100000"],
        )
        .await;
    let body = json!({
        "model": "relief-llm", "stream": true, "max_tokens": 30_000,
        "messages": [{ "role": "user", "content": "x" }],
    });
    let path = "/v1/chat/completions";
    // Another customer's stream, started before, shows that no deadline ended the first.
    let url = format!("http://{}{path}", cluster.addresses[1].callers);
    let other = cluster.client.post(url).bearer_auth("medal-works-demo-key");
    let mut other = other.json(&body).send().await.unwrap();
    assert_eq!(other.status(), 200);
    let read = Arc::new(AtomicU64::new(0));
    let reading = Arc::clone(&read);
    let other = tokio::spawn(async move {
        while let Ok(Some(_)) = other.chunk().await {
            reading.fetch_add(1, Ordering::Relaxed);
        }
    });
    let well_ahead = async |_: &Cluster| read.load(Ordering::Relaxed) > 20;
    cluster
        .until("the other stream is well ahead", well_ahead)
        .await;
    let stream = cluster.call(1, Method::POST, path).json(&body);
    let stream = stream.send().await.unwrap();
    assert_eq!(stream.status(), 200);
    let path = "/v1/keys/state-mint-1?number=2&wait=in-force";
    let answer = cluster.operate(2, Method::DELETE, path, Vec::new()).await;
    assert_eq!(answer["in_force"], true);
    for place in 0..3 {
        let (status, code, run) = code_of(cluster.call(place, Method::GET, DESK)).await;
        assert_eq!(
            (status, code.as_str(), run.as_str()),
            (401, "key-unknown", "not-run")
        );
    }
    // The stream breaks off, and visibly so; the other one goes on.
    assert!(stream.bytes().await.is_err());
    assert!(!other.is_finished());
    // A sheet from before the withdrawal does not revive the key.
    let sheet = cluster
        .operate(0, Method::GET, "/v1/status", Vec::new())
        .await;
    assert_eq!(sheet["number"], 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_cut_from_the_leader_refuses_keyed_work_and_goes_on_with_open_routes() {
    let mut cluster = Cluster::start(4, 3, 3).await;
    cluster.target("plain", "proof-desk", &[]).await;
    cluster.target("plain", "mint-status", &[]).await;
    for place in 0..3 {
        cluster.daemon(place).signal("-STOP");
    }
    let stale = async |cluster: &Cluster| {
        let (_, code, run) = code_of(cluster.call(3, Method::GET, DESK)).await;
        code == "not-confirmed" && run == "not-run"
    };
    cluster.until("the entry refuses keyed work", stale).await;
    let url = format!("http://{}/s/mint-status/x", cluster.addresses[3].callers);
    assert_eq!(cluster.client.get(url).send().await.unwrap().status(), 200);
    for place in 0..3 {
        cluster.daemon(place).signal("-CONT");
    }
    let fresh = async |cluster: &Cluster| {
        let (status, _, _) = code_of(cluster.call(3, Method::GET, DESK)).await;
        status == 200
    };
    cluster.until("the entry serves again", fresh).await;
}

#[rstest]
#[case::frozen("-STOP")]
#[case::killed("-KILL")]
#[tokio::test(flavor = "multi_thread")]
async fn orders_and_reports_come_from_one_leader_at_a_time(#[case] signal: &str) {
    let mut cluster = Cluster::start(3, 3, 3).await;
    cluster.target("plain", "proof-desk", &[]).await;
    let reported = |least: usize| {
        async move |cluster: &Cluster| {
            for place in 0..3 {
                // A daemon that has just been started may not listen yet.
                cluster.call(place, Method::GET, DESK).send().await.ok();
            }
            let audit = cluster.audit(cluster.platform).await;
            audit["reports"].as_array().unwrap().len() >= least
        }
    };
    let first = async |cluster: &Cluster| {
        code_of(cluster.call(0, Method::GET, DESK)).await;
        let audit = cluster.audit(cluster.platform).await;
        !audit["reports"].as_array().unwrap().is_empty()
            && !audit["orders"].as_array().unwrap().is_empty()
    };
    cluster.until("orders and reports come", first).await;
    let old = cluster.leader(0).await.expect("there is a leader");
    cluster.daemon(old).signal(signal);
    let other = (old + 1) % 3;
    let moved = async |cluster: &Cluster| {
        let leader = cluster.leader(other).await;
        leader.is_some_and(|it| it != old)
    };
    cluster.until("another leads", moved).await;
    let before = cluster.audit(cluster.platform).await;
    let before = before["reports"].as_array().unwrap().len();
    let more = async |cluster: &Cluster| {
        code_of(cluster.call(other, Method::GET, DESK)).await;
        let audit = cluster.audit(cluster.platform).await;
        audit["reports"].as_array().unwrap().len() > before
    };
    cluster.until("the new leader reports", more).await;
    match signal {
        "-STOP" => cluster.daemon(old).signal("-CONT"),
        _ => cluster.start_daemon(old),
    }
    let count = cluster.audit(cluster.platform).await;
    let count = count["reports"].as_array().unwrap().len();
    cluster.until("reports go on", reported(count + 2)).await;
    check_platform(&cluster.audit(cluster.platform).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn usage_is_reported_once_although_answers_are_lost() {
    let mut cluster = Cluster::start(3, 3, 3).await;
    cluster.target("plain", "proof-desk", &[]).await;
    let url = format!("http://{}/lose-answers", cluster.platform);
    cluster.client.post(url).json(&6).send().await.unwrap();
    for round in 0..30 {
        let (status, _, _) = code_of(cluster.call(round % 3, Method::GET, DESK)).await;
        assert_eq!(status, 200);
    }
    let all = async |cluster: &Cluster| {
        let audit = cluster.audit(cluster.platform).await;
        let mut windows: BTreeMap<u64, u64> = BTreeMap::new();
        for report in audit["reports"].as_array().unwrap() {
            let lines = report["lines"].as_array().unwrap().iter();
            let sum = lines.map(|it| it["requests"].as_u64().unwrap()).sum();
            windows.insert(report["window"].as_u64().unwrap(), sum);
        }
        let sum = windows.values().sum::<u64>();
        assert!(sum <= 30, "{sum} requests reported, 30 made");
        sum == 30
    };
    cluster.until("all requests are reported", all).await;
    check_platform(&cluster.audit(cluster.platform).await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_disk_is_replaced_and_a_second_loss_is_borne() {
    let mut cluster = Cluster::start(4, 4, 3).await;
    let voters = async |cluster: &Cluster, place: usize| -> Vec<String> {
        let status = cluster.status(place).await;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let voters = members.iter().filter(|it| it["role"] == "voter");
        voters
            .map(|it| it["name"].as_str().unwrap().to_owned())
            .collect()
    };
    let first = voters(&cluster, 0).await;
    let spare = (0..4)
        .find(|it| !first.contains(&format!("entry{it}")))
        .unwrap();
    let lost = (1..4).find(|it| *it != spare).unwrap();
    cluster.daemon(lost).crash();
    fs::remove_dir_all(cluster.data(lost)).unwrap();
    let repaired = async |cluster: &Cluster| {
        let now = voters(cluster, 0).await;
        now.len() == 3 && now.contains(&format!("entry{spare}"))
    };
    cluster
        .until("the spare replaces the lost voter", repaired)
        .await;
    // It comes back with an empty folder: as a new spare, not as the voter that it was.
    cluster.start_daemon(lost);
    let second = (1..4).find(|it| *it != spare && *it != lost).unwrap();
    cluster.daemon(second).crash();
    let accepted = async |cluster: &Cluster| {
        let path = "/v1/zones/cai-b/pull?number=2";
        let answer = cluster.operate(spare, Method::POST, path, Vec::new()).await;
        answer["number"] == 2
    };
    cluster
        .until("a change is accepted after the second loss", accepted)
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_killed_at_once_come_back_with_every_accepted_change() {
    let mut cluster = Cluster::start(3, 3, 3).await;
    for number in 2..200 {
        let verb = if number % 2 == 0 { "pull" } else { "restore" };
        let path = format!("/v1/zones/cai-b/{verb}?number={number}");
        let answer = cluster.operate(number % 3, Method::POST, &path, Vec::new());
        assert_eq!(answer.await["number"], number);
    }
    let path = "/v1/keys/state-mint-1?number=200";
    let answer = cluster.operate(0, Method::DELETE, path, Vec::new()).await;
    assert_eq!(answer["number"], 200);
    for place in 0..3 {
        cluster.daemon(place).crash();
    }
    for place in 0..3 {
        cluster.start_daemon(place);
    }
    for place in 0..3 {
        let fresh = async |cluster: &Cluster| {
            let (_, code, _) = code_of(cluster.call(place, Method::GET, DESK)).await;
            // Until its view is confirmed it takes no keyed work, and never the old key.
            assert_ne!(code, "no-target");
            code == "key-unknown" && cluster.status(place).await["fresh"] == true
        };
        let up = async |cluster: &Cluster| cluster.status(place).await["instance"].is_string();
        cluster.until("the daemon is up", up).await;
        cluster.until("the key stays withdrawn", fresh).await;
        assert_eq!(cluster.status(place).await["number"], 200);
    }
    // The same change again gets its first answer; another one under its number does not.
    let again = cluster.operate(1, Method::DELETE, path, Vec::new()).await;
    assert_eq!(again["number"], 200);
    let path = "/v1/zones/cai-c/pull?number=200";
    let other = cluster.operate(1, Method::POST, path, Vec::new()).await;
    assert_eq!(other["code"], "number-taken");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unrepeatable_call_runs_once_although_its_entry_dies() {
    let mut cluster = Cluster::start(4, 3, 3).await;
    let ledger = cluster
        .target("plain", "strike-ledger", &["--work-us", "1500000"])
        .await;
    let request = |cluster: &Cluster, place: usize| {
        let call = cluster.call(place, Method::POST, LEDGER);
        call.header("x-request-id", "strike-1").body("strike")
    };
    let dying = tokio::spawn(request(&cluster, 3).send());
    let running = async |cluster: &Cluster| {
        let audit = cluster.audit(ledger).await;
        audit["runs"]["strike-1"] == 1
    };
    cluster.until("the call runs", running).await;
    cluster.daemon(3).crash();
    assert!(dying.await.unwrap().is_err());
    let (status, code, run) = code_of(request(&cluster, 1)).await;
    assert_eq!(
        (status, code.as_str(), run.as_str()),
        (409, "may-have-run", "may-have-run")
    );
    // Two that race through two entries: one runs, and both hear the truth.
    let race = |place: usize| {
        let call = cluster.call(place, Method::POST, LEDGER);
        code_of(call.header("x-request-id", "strike-2").body("strike"))
    };
    let (left, right) = tokio::join!(race(0), race(1));
    let mut statuses = [left.0, right.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    // A resend gets the kept answer.
    let (status, _, _) = race(2).await;
    assert_eq!(status, 200);
    let audit = cluster.audit(ledger).await;
    assert_eq!(audit["runs"], json!({ "strike-1": 1, "strike-2": 1 }));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_no_request() {
    let mut cluster = Cluster::start(3, 3, 3).await;
    cluster
        .target("plain", "proof-desk", &["--work-us", "20000"])
        .await;
    let leader = cluster.leader(0).await.unwrap();
    // The balancer sends requests until it sees that readiness is off.
    let ready = Arc::new(AtomicBool::new(true));
    let (balancer, client) = (Arc::clone(&ready), cluster.client.clone());
    let readyz = format!("http://{}/readyz", cluster.addresses[leader].operators);
    let balancer = tokio::spawn(async move {
        let is_ready = async || {
            let answer = client.get(&readyz).send().await;
            answer.is_ok_and(|it| it.status().is_success())
        };
        while is_ready().await {
            tokio::task::yield_now().await;
        }
        balancer.store(false, Ordering::Relaxed);
    });
    let caller = |cluster: &Cluster| {
        let url = format!("http://{}{DESK}", cluster.addresses[leader].callers);
        let client = reqwest::Client::new();
        let ready = Arc::clone(&ready);
        tokio::spawn(async move {
            let mut answered = 0;
            while ready.load(Ordering::Relaxed) {
                let request = client.get(&url).bearer_auth("state-mint-demo-key");
                let response = request.send().await.expect("the request is not cut");
                let status = response.status();
                assert!(response.bytes().await.is_ok(), "an answer was cut");
                assert_eq!(status, 200);
                answered += 1;
            }
            answered
        })
    };
    let callers: Vec<_> = (0..8).map(|_| caller(&cluster)).collect();
    let busy = async |cluster: &Cluster| {
        let targets = cluster
            .operate(leader, Method::GET, "/v1/targets", Vec::new())
            .await;
        targets[0]["in_flight"].as_u64().unwrap_or_default() > 2
    };
    cluster.until("requests are in progress", busy).await;
    cluster.daemon(leader).signal("-TERM");
    for caller in callers {
        assert!(caller.await.expect("no request was cut") > 0);
    }
    balancer.await.expect("the balancer saw the shutdown");
    assert!(cluster.daemon(leader).wait());
}

#[tokio::test(flavor = "multi_thread")]
async fn samples_come_once_and_truly_labelled_although_an_entry_and_the_leader_die() {
    let mut cluster = Cluster::start(4, 3, 3).await;
    for place in 0..3 {
        let name = format!("engine-{place}");
        let more = ["--name", &name, "--token-us", "3000"];
        cluster.target("engine", "relief-llm", &more).await;
    }
    cluster.target("plain", "relief-score", &[]).await;
    let arguments = ["--steps", "6", "--groups", "6", "--group-size", "8"];
    let training = cluster.train(&arguments).await;
    let delivered = |least: u64| {
        async move |cluster: &Cluster| {
            let dump = cluster.operate(0, Method::GET, "/dump", Vec::new()).await;
            let dump = match dump {
                Value::Null => cluster.operate(1, Method::GET, "/dump", Vec::new()).await,
                dump => dump,
            };
            dump["trainers"][0]["delivered"].as_u64() >= Some(least)
        }
    };
    cluster.until("a step is delivered", delivered(1)).await;
    cluster.daemon(3).crash();
    cluster.until("more is delivered", delivered(100)).await;
    let leader = cluster.leader(0).await.expect("there is a leader");
    cluster.daemon(leader).crash();
    cluster.start_daemon(leader);
    let report = training.await.unwrap();
    assert_eq!(report["faults"], json!([]));
    assert_eq!(report["steps"], 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_comes_although_both_holders_of_a_sample_are_lost() {
    let mut cluster = Cluster::start(4, 3, 3).await;
    cluster
        .target("engine", "relief-llm", &["--name", "one"])
        .await;
    cluster.target("plain", "relief-score", &[]).await;
    let trainer = |cluster: &Cluster, method: Method, path: &str| {
        let url = format!(
            "http://{}/v1/trainers/relief-trainer/{path}",
            cluster.addresses[0].callers
        );
        cluster
            .client
            .request(method, url)
            .bearer_auth("relief-trainer-demo-key")
    };
    let groups: Vec<Value> = (0..8)
        .map(|group| json!({ "id": format!("g{group}"), "prompt": "p", "samples": 8 }))
        .collect();
    let submitted = trainer(&cluster, Method::POST, "groups").json(&json!({ "groups": groups }));
    assert_eq!(submitted.send().await.unwrap().status(), 200);
    let done = async |cluster: &Cluster| {
        let dump = cluster.operate(0, Method::GET, "/dump", Vec::new()).await;
        dump["trainers"][0]["samples"] == 64 && dump["trainers"][0]["open"] == 0
    };
    cluster.until("all samples are done", done).await;
    // Of 64 samples on two of four instances each, a sixth lies on these two alone.
    let leader = cluster.leader(0).await.expect("there is a leader");
    let voter = if leader == 1 { 2 } else { 1 };
    cluster.daemon(3).crash();
    cluster.daemon(voter).crash();
    let mut samples = BTreeMap::new();
    while samples.is_empty() {
        let fetched = trainer(&cluster, Method::GET, "batch?cursor=1&version=1");
        let response = fetched.send().await.unwrap();
        if response.status() != 200 {
            assert_eq!(response.status(), 425);
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
            continue;
        }
        let batch: Value = response.json().await.unwrap();
        for sample in batch["samples"].as_array().unwrap() {
            let id = (sample["group"].to_string(), sample["place"].to_string());
            assert!(
                samples.insert(id, sample.clone()).is_none(),
                "a sample came twice"
            );
        }
        let body = json!({ "cursor": 1, "revision": batch["revision"] });
        let acknowledged = trainer(&cluster, Method::POST, "ack").json(&body);
        assert_eq!(acknowledged.send().await.unwrap().status(), 200);
    }
    assert!(
        samples.len() >= 58,
        "{} samples are too few for 90%",
        samples.len()
    );
}
