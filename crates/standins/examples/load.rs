//! Load generator: sends lookups with a fixed number of concurrent workers, at a fixed rate
//! if `--rate` (requests per second) is set, and prints the results as one line of JSON.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;
use serde_json::json;

use bergamotlane_standins::arguments::StandinArguments;
use bergamotlane_wire::http::RefusalBody;

/// Highest latency that the histogram distinguishes; longer ones count as this value.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Returns the failure code of a request, or `None` if it got a complete and successful
/// answer.
async fn failure_code(sent: reqwest::Result<reqwest::Response>) -> Option<String> {
    let Ok(response) = sent else {
        return Some("transport".to_owned());
    };
    let status = response.status();
    let Ok(body) = response.bytes().await else {
        return Some("cut-off".to_owned());
    };
    if status.is_success() {
        return None;
    }
    let refusal = serde_json::from_slice::<RefusalBody>(&body);
    Some(refusal.map_or_else(|_| status.to_string(), |it| it.code))
}

#[tokio::main]
async fn main() {
    let names = ["url", "key", "concurrency", "seconds", "rate", "name"];
    let arguments = StandinArguments::parse(&names);
    let url: Arc<str> = arguments.text("url", "").into();
    let key: Arc<str> = arguments.text("key", "").into();
    let concurrency = arguments.number("concurrency", 16);
    let seconds = arguments.number("seconds", 3);
    let rate = arguments.number("rate", 0);
    let histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3);
    let histogram = Arc::new(Mutex::new(histogram.expect("bounds are valid")));
    let failures = Arc::new(Mutex::new(BTreeMap::<String, u64>::new()));
    let client = reqwest::Client::new();
    let end = Instant::now() + Duration::from_secs(seconds);
    // Time between two requests of one worker.
    let interval = match rate {
        0 => Duration::ZERO,
        rate => Duration::from_secs_f64(concurrency as f64 / rate as f64),
    };
    let mut tasks = Vec::new();
    for worker in 0..concurrency {
        let (url, key, client) = (Arc::clone(&url), Arc::clone(&key), client.clone());
        let (histogram, failures) = (Arc::clone(&histogram), Arc::clone(&failures));
        tasks.push(tokio::spawn(async move {
            let mut latencies =
                Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_US, 3).expect("bounds are valid");
            let mut codes = BTreeMap::<String, u64>::new();
            // The workers start spread evenly over one interval. Latency is measured from
            // the actual send and not from the due time, because the granularity of the
            // timer is coarser than the latencies measured here.
            let mut due = Instant::now() + interval.mul_f64(worker as f64 / concurrency as f64);
            while Instant::now() < end {
                if !interval.is_zero() {
                    tokio::time::sleep_until(due.into()).await;
                }
                let started = Instant::now();
                let sent = client.get(&*url).bearer_auth(&key).send().await;
                let code = failure_code(sent).await;
                match code {
                    None => latencies.saturating_record(started.elapsed().as_micros() as u64),
                    Some(code) => *codes.entry(code).or_default() += 1,
                }
                due += interval;
            }
            histogram
                .lock()
                .expect("no worker panicked")
                .add(latencies)
                .expect("histograms have the same bounds");
            let mut failures = failures.lock().expect("no worker panicked");
            for (code, count) in codes {
                *failures.entry(code).or_default() += count;
            }
        }));
    }
    for task in tasks {
        task.await.expect("worker doesn't panic");
    }
    let histogram = histogram.lock().expect("no worker panicked");
    let failures = failures.lock().expect("no worker panicked");
    let line = json!({
        "name": arguments.text("name", "load"),
        "requests": histogram.len(),
        "failures": failures.values().sum::<u64>(),
        "codes": *failures,
        "per_second": histogram.len() as f64 / seconds as f64,
        "p50_us": histogram.value_at_quantile(0.5),
        "p99_us": histogram.value_at_quantile(0.99),
        "max_us": histogram.max(),
    });
    println!("{line}");
}
