//! Which software began each stream that its caller may take up again.
//!
//! A caller whose stream broke off takes it up at any entry, perhaps after all processes have
//! restarted. The build that began a stream is therefore part of the replicated state before the
//! stream's first event leaves the entry, and a take-up asks the leader for it.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::Duration;
use tokio::time::timeout;

use crate::frames::LeaderCall;
use crate::frames::LeaderReply;
use crate::leader_client::LeaderClient;
use crate::metrics::METRICS;
use crate::software::SoftwareBuild;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::suspect::RequestDigest;
use bergamotlane_storage::clock::now;

/// Largest number of streams that a table keeps; the oldest ones are dropped first.
const MAX_STREAMS: usize = 50_000;

/// Longest time for which an answer waits until its stream is recorded, in milliseconds. A stream
/// that is not recorded by then is delivered, since its caller needs it more than a take-up.
const RECORD_WAIT_MS: u64 = 250;

/// Time limit for recording a stream, in milliseconds.
const RECORD_LIMIT_MS: u64 = 10_000;

/// Identity of a stream: digest of its customer and of the ID of the request that began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey([u8; 16]);

impl StreamKey {
    /// Returns the identity of the stream that a customer's request with the ID `request` began.
    pub fn of(customer: Option<&str>, request: &str) -> Self {
        let customer = customer.unwrap_or_default();
        Self(RequestDigest::of(&[customer.as_bytes(), request.as_bytes()]).0)
    }
}

/// Builds that began streams, the latest streams only.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct StreamTable {
    builds: Vec<SoftwareBuild>,
    /// Index of each stream's build.
    streams: BTreeMap<StreamKey, u32>,
    /// Streams in the order in which they were added.
    order: VecDeque<StreamKey>,
}

impl StreamTable {
    /// Adds a stream, unless it is known; the first build stays.
    pub fn insert(&mut self, stream: StreamKey, build: SoftwareBuild) {
        if self.streams.contains_key(&stream) {
            return;
        }
        let known = self.builds.iter().position(|it| *it == build);
        let index = known.unwrap_or_else(|| {
            self.builds.push(build);
            self.builds.len() - 1
        });
        self.streams.insert(stream, index as u32);
        self.order.push_back(stream);
        if self.order.len() > MAX_STREAMS
            && let Some(oldest) = self.order.pop_front()
        {
            self.streams.remove(&oldest);
        }
    }

    /// Returns the build that began a stream.
    pub fn get(&self, stream: StreamKey) -> Option<&SoftwareBuild> {
        let index = *self.streams.get(&stream)?;
        self.builds.get(index as usize)
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether the table has no stream.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

/// Reason for which a stream that a caller takes up does not go on; the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeRefusal {
    /// No leader could be asked which build began the stream.
    NoLeader,
    /// It is not known which build began the stream.
    UnknownOrigin,
    /// The route no longer leads to the service that began the stream.
    OtherService,
}

/// Result of recording which build began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamRecord {
    /// Every later leader knows the stream.
    Durable,
    /// The stream may not be known later, so that a take-up may be refused.
    Pending,
    /// Another build began a stream under the same request ID.
    Conflict,
}

/// Records the streams that this process begins, and finds out who began those that callers take up.
#[derive(Debug)]
pub struct StreamClient {
    leader: LeaderClient,
    /// Streams that this process saw begin or asked the leader for.
    known: Mutex<StreamTable>,
}

impl StreamClient {
    /// Returns a client that knows no stream.
    pub fn new(leader: LeaderClient) -> Self {
        Self {
            leader,
            known: Mutex::default(),
        }
    }

    fn known(&self) -> MutexGuard<'_, StreamTable> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records which build begins a stream, before its first event goes to the caller. If the leader
    /// takes long, the attempt goes on after this method has returned.
    pub async fn record(&self, stream: StreamKey, build: SoftwareBuild) -> StreamRecord {
        let (sender, reply) = oneshot::channel();
        let leader = self.leader.clone();
        let call = LeaderCall::BeginStream {
            stream,
            build: build.clone(),
        };
        tokio::spawn(async move {
            let reply = leader.call(call, now() + RECORD_LIMIT_MS).await;
            // The caller may have stopped waiting.
            sender.send(reply).ok();
        });
        let record = match timeout(Duration::from_millis(RECORD_WAIT_MS), reply).await {
            Ok(Ok(Ok(LeaderReply::Done))) => StreamRecord::Durable,
            Ok(Ok(Ok(LeaderReply::Conflict))) => StreamRecord::Conflict,
            _ => StreamRecord::Pending,
        };
        if record != StreamRecord::Conflict {
            self.known().insert(stream, build);
        }
        let label = match record {
            StreamRecord::Durable => "recorded",
            StreamRecord::Pending => "pending",
            StreamRecord::Conflict => "conflict",
        };
        METRICS.streams.with_label_values(&[label]).inc();
        record
    }

    /// Returns the build that began a stream.
    ///
    /// # Errors
    ///
    /// Returns an error if no leader answers before `limit`, or if the stream is unknown there.
    pub async fn find(
        &self,
        stream: StreamKey,
        limit: ClockTime,
    ) -> Result<SoftwareBuild, ResumeRefusal> {
        if let Some(build) = self.known().get(stream) {
            return Ok(build.clone());
        }
        match self
            .leader
            .call(LeaderCall::FindStream(stream), limit)
            .await
        {
            Ok(LeaderReply::Stream(build)) => {
                self.known().insert(stream, build.clone());
                Ok(build)
            }
            Ok(_) => Err(ResumeRefusal::UnknownOrigin),
            Err(_) => Err(ResumeRefusal::NoLeader),
        }
    }
}
