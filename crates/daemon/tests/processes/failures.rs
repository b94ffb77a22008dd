//! Failures of daemons: processes that are killed or suspended, and lost data folders.
//!
//! These tests assert safety and eventual progress; they set no bounds on speed.

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

/// Path of a request to a repeatable service.
const DESK: &str = "/s/proof-desk/item";
/// Path of a request to a service that isn't repeatable.
const LEDGER: &str = "/s/strike-ledger/entry";

/// Sends a request; returns the HTTP status, the refusal's code and the header that says whether
/// it may have run.
async fn send_call(request: reqwest::RequestBuilder) -> (u16, String, String) {
    let response = request.send().await.expect("daemon answers");
    let status = response.status().as_u16();
    let run = response.headers().get("x-bergamotlane-run");
    let run = run.map_or("", |value| value.to_str().unwrap()).to_owned();
    let body: Value = response.json().await.unwrap_or_default();
    let code = body["code"].as_str().unwrap_or_default().to_owned();
    (status, code, run)
}

/// Checks the platform's record: the fencing tokens never fall, although the platform ignores
/// them, and no window was reported with different figures.
fn check_platform(audit: &Value) {
    let mut last_fence = 0;
    for order in audit["orders"].as_array().unwrap() {
        let fence = order["fence"].as_u64().unwrap();
        assert!(
            fence >= last_fence,
            "an order of a former leader came after one of its successor: {order}"
        );
        last_fence = fence;
    }
    let mut windows: BTreeMap<u64, Value> = BTreeMap::new();
    let mut last_fence = 0;
    for report in audit["reports"].as_array().unwrap() {
        let fence = report["fence"].as_u64().unwrap();
        assert!(
            fence >= last_fence,
            "a report of a former leader came after one of its successor: {report}"
        );
        last_fence = fence;
        let figures = json!([report["start_ms"], report["end_ms"], report["lines"]]);
        let window = report["window"].as_u64().unwrap();
        let first = windows.entry(window).or_insert(figures.clone());
        assert_eq!(
            *first, figures,
            "window {window} was reported with different figures"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
/// Withdraws a key while a stream of its customer runs: every instance must reject the key and
/// the stream must be aborted, not ended as if it were complete.
async fn a_withdrawn_key_is_rejected_everywhere_and_ends_running_streams() {
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
    // A stream of another customer that started earlier is the control: it must outlive the
    // first, which shows that the first isn't ended by the deadline.
    let url = format!("http://{}{path}", cluster.addresses[1].callers);
    let other = cluster.client.post(url).bearer_auth("medal-works-demo-key");
    let mut other = other.json(&body).send().await.unwrap();
    assert_eq!(other.status(), 200);
    let chunks_read = Arc::new(AtomicU64::new(0));
    let counter = Arc::clone(&chunks_read);
    let other = tokio::spawn(async move {
        while let Ok(Some(_)) = other.chunk().await {
            counter.fetch_add(1, Ordering::Relaxed);
        }
    });
    let well_ahead = async |_: &Cluster| chunks_read.load(Ordering::Relaxed) > 20;
    cluster
        .until(
            "more than 20 chunks of the other stream are read",
            well_ahead,
        )
        .await;
    let stream = cluster.call(1, Method::POST, path).json(&body);
    let stream = stream.send().await.unwrap();
    assert_eq!(stream.status(), 200);
    let path = "/v1/keys/state-mint-1?number=2&wait=in-force";
    let answer = cluster.operate(2, Method::DELETE, path, Vec::new()).await;
    assert_eq!(answer["in_force"], true);
    for index in 0..3 {
        let (status, code, run) = send_call(cluster.call(index, Method::GET, DESK)).await;
        assert_eq!(
            (status, code.as_str(), run.as_str()),
            (401, "key-unknown", "not-run")
        );
    }
    // The stream fails with an error, while the other one continues.
    assert!(stream.bytes().await.is_err());
    assert!(!other.is_finished());
    // No further change of the configuration was made.
    let status = cluster
        .operate(0, Method::GET, "/v1/status", Vec::new())
        .await;
    assert_eq!(status["number"], 2);
}

#[tokio::test(flavor = "multi_thread")]
/// Suspends all daemons but one: it can't confirm its view and must refuse requests with keys,
/// but still serve open routes.
async fn an_instance_partitioned_from_the_leader_serves_open_routes_only() {
    let mut cluster = Cluster::start(4, 3, 3).await;
    cluster.target("plain", "proof-desk", &[]).await;
    cluster.target("plain", "mint-status", &[]).await;
    for index in 0..3 {
        cluster.daemon(index).signal("-STOP");
    }
    let refused = async |cluster: &Cluster| {
        let (_, code, run) = send_call(cluster.call(3, Method::GET, DESK)).await;
        code == "not-confirmed" && run == "not-run"
    };
    cluster
        .until("the instance refuses requests with keys", refused)
        .await;
    let url = format!("http://{}/s/mint-status/x", cluster.addresses[3].callers);
    assert_eq!(cluster.client.get(url).send().await.unwrap().status(), 200);
    for index in 0..3 {
        cluster.daemon(index).signal("-CONT");
    }
    let served = async |cluster: &Cluster| {
        let (status, _, _) = send_call(cluster.call(3, Method::GET, DESK)).await;
        status == 200
    };
    cluster
        .until("the instance serves requests with keys again", served)
        .await;
}

#[rstest]
#[case::frozen("-STOP")]
#[case::killed("-KILL")]
#[tokio::test(flavor = "multi_thread")]
/// Suspends or kills the leader, which later comes back: it must not send orders or reports after
/// its successor did.
async fn orders_and_reports_come_from_one_leader_at_a_time(#[case] signal: &str) {
    let mut cluster = Cluster::start(3, 3, 3).await;
    cluster.target("plain", "proof-desk", &[]).await;
    let reported = |min_count: usize| {
        async move |cluster: &Cluster| {
            for index in 0..3 {
                // A daemon that was just started may not listen yet.
                cluster.call(index, Method::GET, DESK).send().await.ok();
            }
            let audit = cluster.audit(cluster.platform).await;
            audit["reports"].as_array().unwrap().len() >= min_count
        }
    };
    let first = async |cluster: &Cluster| {
        send_call(cluster.call(0, Method::GET, DESK)).await;
        let audit = cluster.audit(cluster.platform).await;
        !audit["reports"].as_array().unwrap().is_empty()
            && !audit["orders"].as_array().unwrap().is_empty()
    };
    cluster
        .until("the platform got orders and reports", first)
        .await;
    let old_leader = cluster.leader(0).await.expect("there is a leader");
    cluster.daemon(old_leader).signal(signal);
    let other = (old_leader + 1) % 3;
    let moved = async |cluster: &Cluster| {
        let leader = cluster.leader(other).await;
        leader.is_some_and(|index| index != old_leader)
    };
    cluster.until("another instance leads", moved).await;
    let before = cluster.audit(cluster.platform).await;
    let count_before = before["reports"].as_array().unwrap().len();
    let more = async |cluster: &Cluster| {
        send_call(cluster.call(other, Method::GET, DESK)).await;
        let audit = cluster.audit(cluster.platform).await;
        audit["reports"].as_array().unwrap().len() > count_before
    };
    cluster.until("the new leader reports", more).await;
    match signal {
        "-STOP" => cluster.daemon(old_leader).signal("-CONT"),
        _ => cluster.start_daemon(old_leader),
    }
    let count = cluster.audit(cluster.platform).await;
    let count = count["reports"].as_array().unwrap().len();
    cluster
        .until("the platform got two more reports", reported(count + 2))
        .await;
    check_platform(&cluster.audit(cluster.platform).await);
}

#[tokio::test(flavor = "multi_thread")]
/// Makes the platform drop responses to reports: repeated reports must not count usage twice.
async fn usage_is_reported_once_although_answers_are_lost() {
    let mut cluster = Cluster::start(3, 3, 3).await;
    cluster.target("plain", "proof-desk", &[]).await;
    let url = format!("http://{}/lose-answers", cluster.platform);
    cluster.client.post(url).json(&6).send().await.unwrap();
    for round in 0..30 {
        let (status, _, _) = send_call(cluster.call(round % 3, Method::GET, DESK)).await;
        assert_eq!(status, 200);
    }
    let all = async |cluster: &Cluster| {
        let audit = cluster.audit(cluster.platform).await;
        let mut windows: BTreeMap<u64, u64> = BTreeMap::new();
        for report in audit["reports"].as_array().unwrap() {
            let lines = report["lines"].as_array().unwrap().iter();
            let sum = lines.map(|line| line["requests"].as_u64().unwrap()).sum();
            windows.insert(report["window"].as_u64().unwrap(), sum);
        }
        let sum = windows.values().sum::<u64>();
        assert!(
            sum <= 30,
            "{sum} requests were reported, but only 30 were made"
        );
        sum == 30
    };
    cluster.until("all requests are reported", all).await;
    check_platform(&cluster.audit(cluster.platform).await);
}

#[tokio::test(flavor = "multi_thread")]
/// Loses the data folder of a voter: the spare must replace it, after which the group tolerates
/// the loss of another voter.
async fn a_voter_with_a_lost_disk_is_replaced_and_another_loss_is_tolerated() {
    let mut cluster = Cluster::start(4, 4, 3).await;
    let voters = async |cluster: &Cluster, index: usize| -> Vec<String> {
        let status = cluster.status(index).await;
        let members = status["members"].as_array().cloned().unwrap_or_default();
        let voters = members.iter().filter(|member| member["role"] == "voter");
        voters
            .map(|member| member["name"].as_str().unwrap().to_owned())
            .collect()
    };
    let first = voters(&cluster, 0).await;
    let spare = (0..4)
        .find(|index| !first.contains(&format!("entry{index}")))
        .unwrap();
    let lost = (1..4).find(|index| *index != spare).unwrap();
    cluster.daemon(lost).crash();
    fs::remove_dir_all(cluster.data(lost)).unwrap();
    let repaired = async |cluster: &Cluster| {
        let current = voters(cluster, 0).await;
        current.len() == 3 && current.contains(&format!("entry{spare}"))
    };
    cluster
        .until("the spare replaces the lost voter", repaired)
        .await;
    // With an empty folder the daemon comes back as a new spare, not as the former voter.
    cluster.start_daemon(lost);
    let second = (1..4)
        .find(|index| *index != spare && *index != lost)
        .unwrap();
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
/// Kills all daemons right after accepted changes: each change must have been on disk.
async fn all_daemons_killed_at_once_recover_every_accepted_change() {
    let mut cluster = Cluster::start(3, 3, 3).await;
    for number in 2..200 {
        let action = if number % 2 == 0 { "pull" } else { "restore" };
        let path = format!("/v1/zones/cai-b/{action}?number={number}");
        let answer = cluster.operate(number % 3, Method::POST, &path, Vec::new());
        assert_eq!(answer.await["number"], number);
    }
    let path = "/v1/keys/state-mint-1?number=200";
    let answer = cluster.operate(0, Method::DELETE, path, Vec::new()).await;
    assert_eq!(answer["number"], 200);
    for index in 0..3 {
        cluster.daemon(index).crash();
    }
    for index in 0..3 {
        cluster.start_daemon(index);
    }
    for index in 0..3 {
        let recovered = async |cluster: &Cluster| {
            let (_, code, _) = send_call(cluster.call(index, Method::GET, DESK)).await;
            // Without a confirmed view the daemon refuses all keys; it must never accept the
            // withdrawn one, for which `no-target` would be the sign.
            assert_ne!(code, "no-target");
            code == "key-unknown" && cluster.status(index).await["fresh"] == true
        };
        let up = async |cluster: &Cluster| cluster.status(index).await["instance"].is_string();
        cluster.until("the daemon is up", up).await;
        cluster.until("the key is still withdrawn", recovered).await;
        assert_eq!(cluster.status(index).await["number"], 200);
    }
    // A repetition of the change gets the same answer; another change with its number is refused.
    let repeated = cluster.operate(1, Method::DELETE, path, Vec::new()).await;
    assert_eq!(repeated["number"], 200);
    let path = "/v1/zones/cai-c/pull?number=200";
    let other = cluster.operate(1, Method::POST, path, Vec::new()).await;
    assert_eq!(other["code"], "number-taken");
}

#[tokio::test(flavor = "multi_thread")]
/// Kills the instance that forwards an unrepeatable call while the target runs it: a retry
/// through another instance must not run it again.
async fn an_unrepeatable_call_runs_once_although_its_instance_crashes() {
    let mut cluster = Cluster::start(4, 3, 3).await;
    let ledger = cluster
        .target("plain", "strike-ledger", &["--work-us", "1500000"])
        .await;
    let request = |cluster: &Cluster, index: usize| {
        let call = cluster.call(index, Method::POST, LEDGER);
        call.header("x-request-id", "strike-1").body("strike")
    };
    let interrupted = tokio::spawn(request(&cluster, 3).send());
    let running = async |cluster: &Cluster| {
        let audit = cluster.audit(ledger).await;
        audit["runs"]["strike-1"] == 1
    };
    cluster.until("the call runs", running).await;
    cluster.daemon(3).crash();
    assert!(interrupted.await.unwrap().is_err());
    let (status, code, run) = send_call(request(&cluster, 1)).await;
    assert_eq!(
        (status, code.as_str(), run.as_str()),
        (409, "may-have-run", "may-have-run")
    );
    // Of two concurrent calls with one request ID, through different instances, one runs and the
    // other is told that it may have run.
    let race = |index: usize| {
        let call = cluster.call(index, Method::POST, LEDGER);
        send_call(call.header("x-request-id", "strike-2").body("strike"))
    };
    let (left, right) = tokio::join!(race(0), race(1));
    let mut statuses = [left.0, right.0];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    // A later retry gets the stored response.
    let (status, _, _) = race(2).await;
    assert_eq!(status, 200);
    let audit = cluster.audit(ledger).await;
    assert_eq!(audit["runs"], json!({ "strike-1": 1, "strike-2": 1 }));
}

#[tokio::test(flavor = "multi_thread")]
/// Shuts down the leader under load: requests that come until a load balancer notices the end of
/// readiness must all be answered.
async fn a_graceful_shutdown_interrupts_no_request() {
    let mut cluster = Cluster::start(3, 3, 3).await;
    cluster
        .target("plain", "proof-desk", &["--work-us", "20000"])
        .await;
    let leader = cluster.leader(0).await.unwrap();
    // The load balancer sends requests until it sees that the daemon isn't ready.
    let ready = Arc::new(AtomicBool::new(true));
    let (balancer, client) = (Arc::clone(&ready), cluster.client.clone());
    let readyz = format!("http://{}/readyz", cluster.addresses[leader].operators);
    let balancer = tokio::spawn(async move {
        let is_ready = async || {
            let answer = client.get(&readyz).send().await;
            answer.is_ok_and(|response| response.status().is_success())
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
                let response = request
                    .send()
                    .await
                    .expect("the request is not interrupted");
                let status = response.status();
                assert!(response.bytes().await.is_ok(), "a response was truncated");
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
        assert!(caller.await.expect("no request was interrupted") > 0);
    }
    balancer.await.expect("the balancer saw the shutdown");
    assert!(cluster.daemon(leader).wait());
}

#[tokio::test(flavor = "multi_thread")]
/// Kills an instance that generates samples, and later the leader, during a training run: the
/// trainer must still get every sample once, with the weight versions that generated it.
async fn samples_are_delivered_once_and_with_their_versions_although_daemons_crash() {
    let mut cluster = Cluster::start(4, 3, 3).await;
    for index in 0..3 {
        let name = format!("engine-{index}");
        let arguments = ["--name", &name, "--token-us", "3000"];
        cluster.target("engine", "relief-llm", &arguments).await;
    }
    cluster.target("plain", "relief-score", &[]).await;
    let arguments = ["--steps", "6", "--groups", "6", "--group-size", "8"];
    let training = cluster.train(&arguments).await;
    let delivered = |min_count: u64| {
        async move |cluster: &Cluster| {
            let dump = cluster.operate(0, Method::GET, "/dump", Vec::new()).await;
            let dump = match dump {
                Value::Null => cluster.operate(1, Method::GET, "/dump", Vec::new()).await,
                dump => dump,
            };
            dump["trainers"][0]["delivered"].as_u64() >= Some(min_count)
        }
    };
    cluster.until("a sample is delivered", delivered(1)).await;
    cluster.daemon(3).crash();
    cluster
        .until("100 samples are delivered", delivered(100))
        .await;
    let leader = cluster.leader(0).await.expect("there is a leader");
    cluster.daemon(leader).crash();
    cluster.start_daemon(leader);
    let report = training.await.unwrap();
    assert_eq!(report["faults"], json!([]));
    assert_eq!(report["steps"], 6);
}

#[tokio::test(flavor = "multi_thread")]
/// Kills two of four instances after all samples were generated: samples that only these two
/// held must be generated again, and the batch delivered.
async fn a_batch_is_delivered_although_both_holders_of_a_sample_are_lost() {
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
    // Each of the 64 samples is held by two of the four instances, a sixth of them by exactly
    // these two.
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
                "a sample was delivered twice"
            );
        }
        let body = json!({ "cursor": 1, "revision": batch["revision"] });
        let acknowledged = trainer(&cluster, Method::POST, "ack").json(&body);
        assert_eq!(acknowledged.send().await.unwrap().status(), 200);
    }
    assert!(
        samples.len() >= 58,
        "{} samples are fewer than 90% of the batch",
        samples.len()
    );
}
