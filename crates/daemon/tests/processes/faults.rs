//! Each fault of a target against each kind of call: what the caller gets.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use reqwest::Method;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

use crate::support::Cluster;
use bergamotlane_standins::engine::token_text;

/// Calls sent while a fault is ordered; more than it takes to meet it.
const CALLS: usize = 12;

async fn outcome(request: reqwest::RequestBuilder) -> String {
    let response = request.send().await.expect("daemon answers");
    let status = response.status().as_u16();
    let run = response.headers().get("x-bergamotlane-run");
    let run = run.map(|it| it.to_str().unwrap().to_owned());
    let body = response.bytes().await;
    match (status, run) {
        (200, None) if body.is_ok() => "answered".to_owned(),
        (200, None) => "cut".to_owned(),
        (status, Some(run)) => format!("{status} {run}"),
        (status, None) => format!("{status}"),
    }
}

#[rstest]
#[case::lookup_crash("proof-desk", "crash", &["answered"])]
#[case::lookup_silent("proof-desk", "silent", &["answered"])]
#[case::lookup_late("proof-desk", "late", &["answered"])]
#[case::lookup_error("proof-desk", "error", &["answered", "500"])]
#[case::lookup_truncate("proof-desk", "truncate", &["answered", "cut"])]
#[case::unrepeatable_truncate("strike-ledger", "truncate", &["answered", "502 may-have-run"])]
#[case::unrepeatable_crash("strike-ledger", "crash", &["answered", "502 may-have-run"])]
#[case::unrepeatable_silent("strike-ledger", "silent", &["answered", "504 may-have-run"])]
#[case::unrepeatable_late("strike-ledger", "late", &["answered"])]
#[case::unrepeatable_error("strike-ledger", "error", &["answered", "500"])]
#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_target_gives_a_whole_answer_or_a_true_refusal(
    #[case] service: &str,
    #[case] fault: &str,
    #[case] expected: &[&str],
) {
    let mut cluster = Cluster::start(3, 3, 3).await;
    let faulty = cluster
        .target("plain", service, &["--name", "faulty"])
        .await;
    let sound = cluster.target("plain", service, &["--name", "sound"]).await;
    cluster.fault(faulty, fault, 1).await;
    let mut calls = Vec::new();
    for number in 0..CALLS {
        let request = cluster.call(number % 3, Method::POST, &format!("/s/{service}/{number}"));
        let id = format!("call-{number}");
        calls.push(tokio::spawn(outcome(
            request.header("x-request-id", id).body("x"),
        )));
    }
    let mut seen = BTreeSet::new();
    for call in calls {
        seen.insert(call.await.unwrap());
    }
    let expected: BTreeSet<String> = expected.iter().map(|it| (*it).to_owned()).collect();
    assert_eq!(seen, expected);
    let mut audits = vec![cluster.audit(sound).await];
    if fault != "crash" {
        audits.push(cluster.audit(faulty).await);
    }
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for audit in audits {
        assert_eq!(audit["keys_seen"], 0, "a target saw a caller's key");
        for (id, count) in audit["runs"].as_object().unwrap() {
            *runs.entry(id.clone()).or_default() += count.as_u64().unwrap();
        }
    }
    if service == "strike-ledger" {
        assert!(runs.values().all(|it| *it == 1), "{runs:?}");
    }
}

fn chat(number: usize) -> Value {
    json!({
        "model": "relief-llm",
        "max_tokens": 12,
        "seed": 5,
        "messages": [{ "role": "user", "content": format!("prompt {number}") }],
    })
}

fn expected_text(number: usize) -> String {
    let messages = &chat(number)["messages"];
    (0..12)
        .map(|index| token_text(messages, 5, index))
        .collect()
}

async fn two_engines(cluster: &mut Cluster) -> [SocketAddr; 2] {
    let first = cluster
        .target("engine", "relief-llm", &["--name", "one"])
        .await;
    let second = cluster
        .target("engine", "relief-llm", &["--name", "two"])
        .await;
    [first, second]
}

#[rstest]
#[case::crash("crash")]
#[case::stall("stall")]
#[case::truncate("truncate")]
#[case::silent("silent")]
#[case::wrong("wrong")]
#[case::late("late")]
#[case::error("error")]
#[tokio::test(flavor = "multi_thread")]
async fn a_generation_is_whole_whatever_its_engine_does(#[case] fault: &str) {
    let mut cluster = Cluster::start(3, 3, 3).await;
    let [faulty, sound] = two_engines(&mut cluster).await;
    cluster.fault(faulty, fault, 2).await;
    let mut calls = Vec::new();
    for number in 0..CALLS {
        let mut body = chat(number);
        body["stream"] = json!(number % 2 == 0);
        let path = "/v1/chat/completions";
        let request = cluster.call(number % 3, Method::POST, path).json(&body);
        calls.push(tokio::spawn(request.send()));
    }
    for (number, call) in calls.into_iter().enumerate() {
        let response = call.await.unwrap().expect("daemon answers");
        assert_eq!(response.status(), 200);
        let text = response.text().await.expect("the answer is whole");
        let found = match number % 2 {
            0 => streamed_text(&text),
            _ => {
                let body: Value = serde_json::from_str(&text).unwrap();
                body["choices"][0]["message"]["content"]
                    .as_str()
                    .unwrap()
                    .to_owned()
            }
        };
        assert_eq!(
            found,
            expected_text(number),
            "answer {number} is its own and whole"
        );
    }
    assert_eq!(cluster.audit(sound).await["keys_seen"], 0);
}

/// Joins the tokens of a stream, which must end as a whole one does.
fn streamed_text(text: &str) -> String {
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    let events = text
        .split("\n\n")
        .filter_map(|it| it.strip_prefix("data: "));
    let chunks = events.filter_map(|it| serde_json::from_str::<Value>(it).ok());
    chunks
        .filter_map(|it| Some(it["choices"][0]["delta"]["content"].as_str()?.to_owned()))
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn samples_are_whole_and_truly_labelled_whatever_engines_do() {
    let mut cluster = Cluster::start(3, 3, 3).await;
    let engines = two_engines(&mut cluster).await;
    cluster.target("plain", "relief-score", &[]).await;
    let training = cluster
        .train(&["--steps", "6", "--groups", "4", "--group-size", "8"])
        .await;
    for (round, fault) in ["truncate", "wrong", "error", "failed-swap", "stall"]
        .iter()
        .enumerate()
    {
        cluster.fault(engines[round % 2], fault, 3).await;
        let least = 32 * (round as u64 + 1) / 2;
        let delivered = async |cluster: &Cluster| {
            let dump = cluster.operate(0, Method::GET, "/dump", Vec::new()).await;
            dump["trainers"][0]["delivered"].as_u64() >= Some(least)
        };
        cluster.until("more is delivered", delivered).await;
    }
    let report = training.await.unwrap();
    assert_eq!(report["faults"], json!([]));
    assert_eq!(report["steps"], 6);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_fresh_engine_gets_no_more_than_it_bears_from_all_entries_together() {
    let mut cluster = Cluster::start(4, 3, 3).await;
    // Two of the sheet's cold slots, and an engine that stays cold throughout.
    let more = [
        "--cold-ms",
        "600000",
        "--cold-bears",
        "2",
        "--token-us",
        "3000",
    ];
    let engine = cluster.target("engine", "relief-llm", &more).await;
    let mut calls = Vec::new();
    for number in 0..48 {
        let path = "/v1/chat/completions";
        let request = cluster
            .call(number % 4, Method::POST, path)
            .json(&chat(number));
        calls.push(tokio::spawn(outcome(request)));
    }
    let some = async |cluster: &Cluster| {
        let audit = cluster.audit(engine).await;
        audit["served"].as_u64() >= Some(6)
    };
    cluster.until("some are served", some).await;
    // The leader dies, and another one starts without memory of its grants.
    let leader = cluster.leader(3).await.expect("there is a leader");
    cluster.daemon(leader).crash();
    let other = (leader + 1) % 3;
    let moved =
        async |cluster: &Cluster| cluster.leader(other).await.is_some_and(|it| it != leader);
    cluster.until("another leads", moved).await;
    let before = cluster.audit(engine).await["served"].as_u64();
    let more = async |cluster: &Cluster| {
        let path = "/v1/chat/completions";
        outcome(cluster.call(other, Method::POST, path).json(&chat(99))).await;
        cluster.audit(engine).await["served"].as_u64() > before
    };
    cluster.until("more are served", more).await;
    for call in calls {
        // Those of the dead entry fail; the others are answered or refused truly.
        call.await.ok();
    }
    let audit = cluster.audit(engine).await;
    assert_eq!(audit["warm"], false);
    assert_eq!(audit["overloads"], 0, "{audit}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pulled_zone_and_a_leaving_target_get_no_new_work() {
    let mut cluster = Cluster::start(3, 3, 3).await;
    let first = cluster
        .target(
            "engine",
            "relief-llm",
            &["--zone", "cai-b", "--name", "one"],
        )
        .await;
    let second = cluster
        .target(
            "engine",
            "relief-llm",
            &["--zone", "cai-c", "--name", "two"],
        )
        .await;
    let path = "/v1/zones/cai-b/pull?number=2&wait=in-force";
    let answer = cluster.operate(1, Method::POST, path, Vec::new()).await;
    assert_eq!(answer["in_force"], true);
    let before = cluster.audit(first).await["served"].clone();
    let call_all = async |cluster: &Cluster| {
        for number in 0..9 {
            let path = "/v1/chat/completions";
            let request = cluster
                .call(number % 3, Method::POST, path)
                .json(&chat(number));
            assert_eq!(outcome(request).await, "answered");
        }
    };
    call_all(&cluster).await;
    assert_eq!(
        cluster.audit(first).await["served"],
        before,
        "the pulled zone got work"
    );
    let path = "/v1/zones/cai-b/restore?number=3&wait=in-force";
    cluster.operate(2, Method::POST, path, Vec::new()).await;
    let url = format!("http://{second}/leave");
    cluster.client.post(url).send().await.unwrap();
    for place in 0..3 {
        let leaving = async |cluster: &Cluster| {
            let targets = cluster
                .operate(place, Method::GET, "/v1/targets", Vec::new())
                .await;
            let mut targets = targets.as_array().unwrap().iter();
            targets.any(|it| it["name"] == "two" && it["state"] == "leaving")
        };
        cluster.until("all hear that it leaves", leaving).await;
    }
    let before = cluster.audit(second).await["served"].clone();
    call_all(&cluster).await;
    assert_eq!(
        cluster.audit(second).await["served"],
        before,
        "the leaving target got work"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_requests_of_its_own_customer_only() {
    let mut cluster = Cluster::start(3, 3, 3).await;
    let scorer = cluster.target("plain", "relief-score", &[]).await;
    for (key, expected) in [
        ("relief-lab-demo-key", "answered"),
        ("state-mint-demo-key", "403 not-run"),
        ("relief-score-target-key", "401 not-run"),
        ("relief-trainer-demo-key", "401 not-run"),
        ("nobody", "401 not-run"),
    ] {
        for place in 0..3 {
            let url = format!(
                "http://{}/s/relief-score/x",
                cluster.addresses[place].callers
            );
            let request = cluster.client.get(url).bearer_auth(key);
            assert_eq!(outcome(request).await, expected, "{key}");
        }
    }
    assert_eq!(cluster.audit(scorer).await["served"], 3);
    // A forged announcement, with a key of another service, brings in no target.
    let body = json!({
        "service": "relief-score", "name": "forged", "boot": 1, "uptime_ms": 1,
        "address": "127.0.0.1:1", "zone": "cai-a", "class": "steady", "warm": true,
        "leaving": false, "load": 0,
    });
    let url = format!("http://{}/v1/announce", cluster.addresses[0].targets);
    let request = cluster
        .client
        .post(url)
        .bearer_auth("proof-desk-target-key");
    assert_eq!(outcome(request.json(&body)).await, "401 not-run");
}
