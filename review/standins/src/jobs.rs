//! Batch jobs as trainers submit and read them.

use std::time::Duration;
use std::time::Instant;

use crate::cluster::Cluster;
use crate::http::Message;
use crate::json::Json;

/// Result of an item.
#[derive(Debug, Clone)]
pub struct ItemResult {
    pub id: String,
    pub state: String,
    pub text: String,
}

/// Returns the body of a batch job with these items, all in groups of two.
pub fn job_body(items: &[String], path: &str) -> String {
    let items: Vec<String> = items
        .iter()
        .enumerate()
        .map(|(number, id)| {
            format!(
                "{{\"id\":\"{id}\",\"path\":\"{path}{id}\",\"headers\":{{\
                 \"X-Bergamotlane-Model\":\"daka510000\",\
                 \"X-Bergamotlane-Token-Count\":\"540,400\"}},\"body\":\"q83vEjRWeJA=\",\
                 \"token-count\":940,\"group-id\":\"g{}\"}}",
                number / 2
            )
        })
        .collect();
    format!(
        "{{\"train-step\":0,\"model\":\"daka510000\",\"min-version\":1,\"desired\":{},\"items\":[{}]}}",
        items.len() / 2,
        items.join(",")
    )
}

/// Submits a job at one entry after the other until it is accepted.
pub fn submit(cluster: &Cluster, entries: u8, path: &str, job: &str, body: &str) {
    for attempt in 0..20_u8 {
        let entry = attempt % entries;
        let headers = [
            ("X-Bergamotlane-Request-Id", job),
            ("Content-Type", "application/json"),
        ];
        let limit = Duration::from_secs(3);
        let answer = cluster.request(entry, "POST", path, &headers, body.as_bytes(), limit);
        let status = answer.as_ref().map_or(0, Message::status);
        cluster.record.note(&format!(
            "trainer: POST {path} job {job} at entry {entry}: {status}"
        ));
        if status == 202 {
            return;
        }
        std::thread::sleep(Duration::from_millis(300));
    }
    crate::cluster::could_not_run(&cluster.record, "the job was not accepted");
}

/// Reads a job from the start; returns the number of its items and its results.
pub fn read(cluster: &Cluster, entry: u8, job: &str) -> Option<(usize, Vec<ItemResult>)> {
    let mut results = Vec::new();
    loop {
        let path = format!("/-/lots/{job}?after={}", results.len());
        let headers = [("X-Bergamotlane-Request-Id", "0000000000000000")];
        let limit = Duration::from_secs(2);
        let answer = cluster.request(entry, "GET", &path, &headers, b"", limit)?;
        if answer.status() != 200 {
            return None;
        }
        let page = Json::parse(&answer.text())?;
        let total = page.get("total-count")?.number()? as usize;
        let listed = page.get("results")?.list();
        for result in listed {
            let field = |name: &str| {
                let value = result.get(name).and_then(Json::text);
                value.unwrap_or_default().to_owned()
            };
            results.push(ItemResult {
                id: field("id"),
                state: field("state"),
                text: field("text"),
            });
        }
        if listed.is_empty() || results.len() >= total {
            return Some((total, results));
        }
    }
}

/// Reads a job about twice a second until all its items are listed or `limit` is over.
pub fn read_until_done(
    cluster: &Cluster,
    entries: u8,
    job: &str,
    limit: Duration,
) -> (usize, Vec<ItemResult>) {
    let begun = Instant::now();
    let mut latest = (0, Vec::new());
    for attempt in 0_u32.. {
        if let Some(page) = read(cluster, (attempt % u32::from(entries)) as u8, job) {
            cluster.record.note(&format!(
                "trainer: job {job}: {} of {} items are listed",
                page.1.len(),
                page.0
            ));
            latest = page;
        }
        let is_done = latest.0 > 0 && latest.1.len() >= latest.0;
        if is_done || begun.elapsed() >= limit {
            break;
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    latest
}
