//! Runs a stand-in for a trainer: submits the groups of each step, fetches and acknowledges
//! batches, and checks that every sample has the expected text, a weight version for each
//! token, no outdated weight version, and is delivered once.

use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use bergamotlane_standins::arguments::StandinArguments;
use bergamotlane_standins::engine::token_text;
use bergamotlane_wire::http::BatchBody;
use bergamotlane_wire::http::SampleBody;

/// Delay before a request that failed or found no batch ready is retried.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Client of one trainer that spreads its requests over the entries.
struct TrainerClient {
    client: reqwest::Client,
    entries: Vec<std::net::SocketAddr>,
    trainer: String,
    key: String,
    round: usize,
}

impl TrainerClient {
    /// Sends a request to one entry after the other until one answers it successfully, and
    /// returns the answer.
    async fn call(&mut self, method: reqwest::Method, path: &str, body: &Value) -> Value {
        loop {
            self.round += 1;
            let entry = self.entries[self.round % self.entries.len()];
            let url = format!("http://{entry}/v1/trainers/{}/{path}", self.trainer);
            let request = self.client.request(method.clone(), url);
            let sent = request.bearer_auth(&self.key).json(body).send().await;
            if let Ok(response) = sent
                && response.status().is_success()
                && let Ok(value) = response.json().await
            {
                return value;
            }
            sleep(RETRY_DELAY).await;
        }
    }
}

/// Returns the first fault of a sample, if any. `version` is the current weight version,
/// and `max_age` is how many versions older the weights of a token may be.
fn sample_fault(sample: &SampleBody, prompt: &str, version: u64, max_age: u64) -> Option<String> {
    let messages = json!([{ "role": "user", "content": prompt }]);
    let tokens: Vec<&str> = sample.text.split_inclusive(' ').collect();
    let seed = u64::from(sample.place) + 1;
    for (index, token) in tokens.iter().enumerate() {
        if *token != token_text(&messages, seed, index as u32) {
            return Some(format!("token {index} differs from the expected text"));
        }
    }
    let labelled: u32 = sample.spans.iter().map(|it| it.to - it.from).sum();
    if labelled as usize != tokens.len() {
        return Some(format!(
            "{labelled} of {} tokens have a weight version",
            tokens.len()
        ));
    }
    let oldest = sample.spans.iter().map(|it| it.weight_version).min();
    match oldest {
        Some(oldest) if oldest + max_age >= version => None,
        other => Some(format!(
            "oldest weight version {other:?} is more than {max_age} versions behind {version}"
        )),
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let names = [
        "entries",
        "trainer",
        "key",
        "steps",
        "groups",
        "group-size",
        "max-age",
        "train-ms",
        "swap",
        "seed",
    ];
    let arguments = StandinArguments::parse(&names);
    let mut trainer = TrainerClient {
        client: reqwest::Client::new(),
        entries: arguments.addresses("entries"),
        trainer: arguments.text("trainer", "trainer"),
        key: arguments.text("key", ""),
        round: 0,
    };
    let steps = arguments.number("steps", 1);
    let groups = arguments.number("groups", 8);
    let group_size = arguments.number("group-size", 8);
    let max_age = arguments.number("max-age", 2);
    let training_time = Duration::from_millis(arguments.number("train-ms", 0));
    let swap = arguments.number("swap", 1) == 1;
    let seed = arguments.number("seed", 1);
    let mut delivered = BTreeSet::new();
    let mut faults = Vec::new();
    let mut version = 1;
    let mut waited = Duration::ZERO;
    let mut staleness = Vec::new();
    let started = Instant::now();
    for step in 1..=steps {
        let prompts: Vec<Value> = (0..groups)
            .map(|group| {
                let id = format!("s{seed}-{step}-g{group}");
                json!({ "id": id, "prompt": format!("prompt of {id}"), "samples": group_size })
            })
            .collect();
        let body = json!({ "groups": prompts });
        trainer.call(reqwest::Method::POST, "groups", &body).await;
        let requested = Instant::now();
        let path = format!("batch?cursor={step}&version={version}");
        let batch = trainer.call(reqwest::Method::GET, &path, &json!({})).await;
        let batch: BatchBody = serde_json::from_value(batch).expect("answer is a batch");
        waited += requested.elapsed();
        for sample in &batch.samples {
            let id = format!("{}/{}", sample.group, sample.place);
            let prompt = format!("prompt of {}", sample.group);
            if let Some(fault) = sample_fault(sample, &prompt, version, max_age) {
                faults.push(format!("{id}: {fault}"));
            }
            if !delivered.insert(id.clone()) {
                faults.push(format!("{id}: delivered twice"));
            }
            let oldest = sample.spans.iter().map(|it| it.weight_version).min();
            staleness.push(version.saturating_sub(oldest.unwrap_or_default()));
        }
        let body = json!({ "cursor": batch.cursor, "revision": batch.revision });
        trainer.call(reqwest::Method::POST, "ack", &body).await;
        sleep(training_time).await;
        if swap {
            version += 1;
            let body = json!({ "version": version });
            trainer.call(reqwest::Method::POST, "version", &body).await;
        }
    }
    let total = started.elapsed();
    let mean = staleness.iter().sum::<u64>() as f64 / staleness.len().max(1) as f64;
    let report = json!({
        "steps": steps,
        "samples": delivered.len(),
        "faults": faults,
        "waited_ms": waited.as_millis() as u64,
        "total_ms": total.as_millis() as u64,
        "idle_share": waited.as_secs_f64() / total.as_secs_f64().max(0.001),
        "staleness_mean": mean,
        "staleness_max": staleness.iter().max(),
    });
    println!("{report}");
    if !faults.is_empty() {
        std::process::exit(1);
    }
}
