//! Stand-ins of the operator's desired state and of a trainer.

use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::Json;
use crate::record::Record;

pub const HOST: &str = "train.example";
pub const KEY: &str = "Token k-team-1";

/// Desired state with a look-up route and a rollout route.
pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"look-up\",\"host\":\"{HOST}\",\"path-prefix\":\"/look/\",\"kind\":\"safe\",\
         \"timeout-ms\":1500,\"target-latency-ms\":150,\"priority\":2,\"service\":\"desk\",\
         \"max-attempts\":2,\"auth-exempt\":false}},\
         {{\"name\":\"rollout\",\"host\":\"{HOST}\",\"path-prefix\":\"/roll/\",\"kind\":\"rollout\",\
         \"timeout-ms\":10000,\"target-latency-ms\":400,\"priority\":1,\"service\":\"llm\",\
         \"max-attempts\":3,\"item-ttl-s\":40.0,\"result-deadline-ms\":7500,\
         \"single-version\":false,\"auth-exempt\":false,\"sticky\":true,\"resumable\":true}}],\
         \"services\":[{{\"name\":\"llm\",\"health-path\":\"/health\",\"max-conns\":150,\
         \"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":3.0,\"cold-per-s\":13.0,\
         \"engine\":{{\"capacity\":8,\"kv-capacity-tokens\":42584,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"desk\",\"health-path\":\"/health\",\"max-conns\":100,\"protocol\":\"h1\",\
         \"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":33554432,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"team-1\",\"api-keys\":[\"k-team-1\"],\"priority\":1}}]}}"
    )
}

/// Body of a batch job with the given groups of items.
pub fn job(
    step: u64,
    min_version: u64,
    desired: usize,
    groups: &[(String, Vec<String>)],
) -> String {
    let mut items = Vec::new();
    for (group, ids) in groups {
        for id in ids {
            items.push(format!(
                "{{\"id\":\"{id}\",\"path\":\"/roll/{id}\",\"headers\":{{\"X-Bergamotlane-Model\":\"m\",\
                 \"X-Bergamotlane-Token-Count\":\"271,40\",\
                 \"X-Bergamotlane-Prompt-Prefix\":\"{group}:255,{id}:16\"}},\"body\":\"q83vEjRWeJA=\",\
                 \"token-count\":311,\"group-id\":\"{group}\"}}"
            ));
        }
    }
    format!(
        "{{\"train-step\":{step},\"model\":\"m\",\"min-version\":{min_version},\"desired\":{desired},\
         \"items\":[{}]}}",
        items.join(",")
    )
}

/// A requester of jobs, which goes to one front machine after the other.
pub struct Trainer<'a> {
    pub fronts: Vec<SocketAddr>,
    pub record: &'a Record,
    turn: usize,
}

/// Result of an item as it was read.
#[derive(Debug, Clone)]
pub struct ReadResult {
    pub id: String,
    pub state: String,
    pub text: String,
}

impl<'a> Trainer<'a> {
    pub fn new(fronts: Vec<SocketAddr>, record: &'a Record) -> Self {
        Self {
            fronts,
            record,
            turn: 0,
        }
    }

    fn next_front(&mut self) -> SocketAddr {
        self.turn += 1;
        self.fronts[self.turn % self.fronts.len()]
    }

    /// Submits a job until it is accepted. Returns whether it was.
    pub fn submit(&mut self, id: &str, body: &str, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let headers = [
                ("Host", HOST),
                ("Authorization", KEY),
                ("X-Bergamotlane-Request-Id", id),
            ];
            let front = self.next_front();
            let wait = Duration::from_millis(2_500);
            let answer = http::call(front, "POST", "/roll/job", &headers, body, wait);
            let status = answer.map_or(0, |it| it.status());
            self.record
                .say(format!("trainer submits {id} at {front} -> {status}"));
            if status == 202 {
                return true;
            }
            sleep(Duration::from_millis(300));
        }
        false
    }

    /// Reads the results of a job from a position on. Returns them, and the number of all items.
    pub fn read(&mut self, id: &str, after: usize) -> Option<(Vec<ReadResult>, usize)> {
        let headers = [
            ("Host", HOST),
            ("Authorization", KEY),
            ("X-Bergamotlane-Wait-Ms", "1000"),
        ];
        let path = format!("/-/lots/{id}?after={after}");
        let front = self.next_front();
        let wait = Duration::from_millis(4_000);
        let answer = http::call(front, "GET", &path, &headers, "", wait).ok()?;
        if answer.status() != 200 {
            let status = answer.status();
            self.record.say(format!(
                "trainer reads {id} from {after} at {front} -> {status}"
            ));
            return None;
        }
        let body = Json::parse(&answer.text())?;
        let results = body.get("results").list().iter().map(|it| ReadResult {
            id: it.get("id").text().to_owned(),
            state: it.get("state").text().to_owned(),
            text: it.get("text").text().to_owned(),
        });
        let results: Vec<ReadResult> = results.collect();
        if !results.is_empty() {
            let count = results.len();
            self.record.say(format!(
                "trainer reads {id} from {after} at {front}: {count} results"
            ));
        }
        Some((results, body.get("total-count").number() as usize))
    }

    /// Reads the results of a job until all are there or the time is over.
    pub fn read_all(&mut self, id: &str, limit: Duration) -> (Vec<ReadResult>, usize) {
        let end = Instant::now() + limit;
        let mut all = Vec::new();
        let mut total = 0;
        while Instant::now() < end {
            if let Some((results, count)) = self.read(id, all.len()) {
                all.extend(results);
                total = count;
                if all.len() >= total {
                    break;
                }
            }
            sleep(Duration::from_millis(100));
        }
        (all, total)
    }
}
