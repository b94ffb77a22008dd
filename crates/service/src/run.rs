//! A run of an item at an engine, from the request to the end of the streamed answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::answer_body::expected_end;
use crate::answer_body::read_body;
use crate::carried::RequestMark;
use crate::dialect::AnswerMetadata;
use crate::dialect::RequestMetadata;
use crate::dialect::TargetDialect;
use crate::events::EventReader;
use crate::events::StreamEvent;
use crate::pool::OtherCopies;
use crate::pool::RepeatRule;
use crate::pool::SendError;
use crate::pool::TargetAnswer;
use crate::pool::TargetPool;
use crate::pool::TargetRequest;
use crate::work::PartialText;
use crate::work::RunEnd;
use crate::work::RunMark;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::body_end::BodyEnd;

/// Time without data from the engine after which a run is stopped, to be resumed elsewhere.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_500);

/// Time without a complete event after which a run is stopped although bytes arrive.
const STALL_LIMIT: Duration = Duration::from_secs(10);

/// Largest text of an item, in bytes; an engine that generates more is faulty.
const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// Largest body of an error answer that is read, in bytes.
const MAX_ERROR_BYTES: usize = 64 * 1024;

/// Limits on the streamed answer of an engine.
#[derive(Debug, Clone, Copy)]
pub struct StreamLimits {
    /// Longest time without data.
    pub silence: Duration,
    /// Longest time without a complete event, while data arrives.
    pub stall: Duration,
    /// Largest text, in bytes.
    pub text_bytes: usize,
}

impl Default for StreamLimits {
    fn default() -> Self {
        Self {
            silence: SILENCE_LIMIT,
            stall: STALL_LIMIT,
            text_bytes: MAX_TEXT_BYTES,
        }
    }
}

/// Request of a run to an engine.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// ID of the engine.
    pub target: String,
    /// Address of the engine.
    pub address: SocketAddr,
    /// ID of the item, which is also the ID of the request.
    pub item: String,
    /// Path and query to request.
    pub path: String,
    /// Value of the `host` header.
    pub host: String,
    /// Further headers, from the item.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
    /// Customer that owns the item, if the plan names any.
    pub customer: Option<String>,
    /// Weight version that the engine should have.
    pub version: u64,
    /// Oldest weight version that may generate an event.
    pub min_version: u64,
    /// Limits on the streamed answer.
    pub limits: StreamLimits,
}

/// Text of a run in progress and times of its events, shared with the scheduler.
#[derive(Debug, Default)]
pub struct RunProgress {
    text: Mutex<PartialText>,
    mark: Mutex<Option<RunMark>>,
}

impl RunProgress {
    /// Returns the progress of a run that resumes after `text`.
    pub fn new(text: PartialText) -> Self {
        Self {
            text: Mutex::new(text),
            ..Self::default()
        }
    }

    /// Locks and returns the text so far, including the part that the run resumed from.
    pub fn text(&self) -> MutexGuard<'_, PartialText> {
        self.text.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the arrival of an event.
    pub fn record_event(&self, now: ClockTime) {
        let mut mark = self.mark.lock().unwrap_or_else(PoisonError::into_inner);
        *mark = Some(RunMark {
            events: mark.map_or(0, |it| it.events) + 1,
            last_at: now,
        });
    }

    /// Returns the number of events and the time of the latest one, or `None` before the first one.
    pub fn mark(&self) -> Option<RunMark> {
        *self.mark.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs an item until its stream ends or `stop` fires, which counts as a broken stream.
///
/// `on_head` gets the metadata of the engine's answer before its body is read.
pub async fn run_item<D: TargetDialect>(
    pool: Arc<TargetPool>,
    dialect: D,
    request: RunRequest,
    progress: Arc<RunProgress>,
    stop: oneshot::Receiver<()>,
    on_head: impl Fn(&AnswerMetadata),
) -> RunEnd {
    let end = tokio::select! {
        end = stream_item(&pool, &dialect, &request, &progress, on_head) => Some(end),
        _ = stop => None,
    };
    match end {
        Some(StreamEnd::Whole) => {
            let mut text = progress.text();
            text.is_complete = true;
            RunEnd::Completed(text.clone())
        }
        Some(StreamEnd::Closed) => RunEnd::Closed(progress.text().clone()),
        Some(StreamEnd::Broken) | None => RunEnd::Broken(progress.text().clone()),
        Some(StreamEnd::Other(end)) => end,
    }
}

/// How the streamed answer of a run ended.
enum StreamEnd {
    Whole,
    /// A close ended it after a complete event, which a process that dies may do as well.
    Closed,
    Broken,
    Other(RunEnd),
}

async fn stream_item<D: TargetDialect>(
    pool: &Arc<TargetPool>,
    dialect: &D,
    request: &RunRequest,
    progress: &RunProgress,
    on_head: impl Fn(&AnswerMetadata),
) -> StreamEnd {
    let last_event = progress.text().last_id;
    let Some(message) = build_request(dialect, request, last_event) else {
        return StreamEnd::Other(RunEnd::Rejected);
    };
    let limits = request.limits;
    let message = TargetRequest {
        message,
        mark: RequestMark::of(&request.item),
        rule: RepeatRule::AfterBreak,
    };
    // No second copy is sent while the first one may be answered.
    let sent = pool.send(request.address, message, |_| false);
    let answer = match timeout(limits.silence, sent).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(SendError::Connect)) => return StreamEnd::Other(RunEnd::Unreachable),
        Ok(Err(SendError::Gone | SendError::Broken(_) | SendError::NoAnswer(_))) | Err(_) => {
            return StreamEnd::Broken;
        }
    };
    let TargetAnswer {
        response,
        connection,
        copies,
    } = answer;
    let metadata = dialect.read_metadata(response.headers());
    // An answer without the item's ID may be a late copy of an earlier one.
    if metadata.request_id.as_ref() != Some(&request.item) {
        return StreamEnd::Broken;
    }
    on_head(&metadata);
    if !response.status().is_success() {
        let end = end_for_status(response.status(), metadata.not_run);
        // The head of an error says all that is used of it, whatever ends its body.
        let (head, body) = response.into_parts();
        let body = read_body(&head.headers, body, MAX_ERROR_BYTES);
        if matches!(timeout(limits.silence, body).await, Ok(Ok(_))) {
            connection.keep();
        }
        return match copies {
            OtherCopies::NotRun => end,
            OtherCopies::MayRun => end_beside_another(end),
        };
    }
    let version = metadata.version.unwrap_or(request.version);
    if metadata.stamp.is_none() || version < request.min_version {
        return StreamEnd::Broken;
    }
    let (head, body) = response.into_parts();
    let expected = expected_end(&head.headers, &body);
    let reading = read_stream(dialect, body, version, progress, limits);
    if !reading.await {
        return StreamEnd::Broken;
    }
    match expected {
        BodyEnd::Length | BodyEnd::LastChunk => {
            connection.keep();
            StreamEnd::Whole
        }
        BodyEnd::Close => StreamEnd::Closed,
    }
}

/// Returns how a run ends whose answer has an error status.
fn end_for_status(status: StatusCode, not_run: bool) -> StreamEnd {
    StreamEnd::Other(match status {
        StatusCode::MISDIRECTED_REQUEST => RunEnd::Misdirected,
        _ if not_run => RunEnd::Refused,
        StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Rejected,
        StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
        _ => return StreamEnd::Broken,
    })
}

/// Returns how a run ends that was sent twice, of which one copy ended so. What only says that this copy
/// did not run leaves open whether the other one did.
fn end_beside_another(end: StreamEnd) -> StreamEnd {
    match end {
        StreamEnd::Other(RunEnd::Refused | RunEnd::Misdirected) => StreamEnd::Broken,
        end => end,
    }
}

/// Builds the HTTP request of a run; returns `None` if the item's headers or path are invalid.
fn build_request<D: TargetDialect>(
    dialect: &D,
    request: &RunRequest,
    last_event: Option<u64>,
) -> Option<Request<Full<Bytes>>> {
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(&request.host).ok()?);
    for (name, value) in &request.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.insert(name, HeaderValue::from_str(value).ok()?);
    }
    let metadata = RequestMetadata {
        request_id: &request.item,
        target: &request.target,
        time_left_ms: None,
        customer: request.customer.as_deref(),
        version: Some(request.version),
        last_event,
    };
    dialect.write_metadata(&mut headers, &metadata);
    let mut message = Request::post(&request.path)
        .body(Full::new(request.body.clone()))
        .ok()?;
    *message.headers_mut() = headers;
    Some(message)
}

/// Reads events to the end of the body; returns whether it ended without an error, after a complete
/// event and within its limits.
async fn read_stream<D: TargetDialect>(
    dialect: &D,
    mut body: Incoming,
    mut version: u64,
    progress: &RunProgress,
    limits: StreamLimits,
) -> bool {
    let mut reader = EventReader::default();
    let mut event_at = now();
    let mut text_bytes = 0;
    loop {
        let stalled_ms = now().since(event_at);
        let stall_left = limits
            .stall
            .saturating_sub(Duration::from_millis(stalled_ms));
        let frame = match timeout(limits.silence.min(stall_left), body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return !reader.has_partial_event(),
            Ok(Some(Err(_))) | Err(_) => return false,
        };
        let Some(bytes) = frame.data_ref() else {
            continue;
        };
        if !reader.push(bytes) {
            return false;
        }
        while let Some(event) = reader.next_event() {
            event_at = now();
            text_bytes += event.data.as_ref().map_or(0, Bytes::len);
            if text_bytes > limits.text_bytes {
                return false;
            }
            if let Some(changed) = announced_version(dialect, &event) {
                version = changed;
            }
            if !append_event(event, version, &mut progress.text()) {
                return false;
            }
            progress.record_event(now());
        }
    }
}

/// Returns the weight version that an event announces, if it does.
fn announced_version<D: TargetDialect>(dialect: &D, event: &StreamEvent) -> Option<u64> {
    event.others.iter().find_map(|it| dialect.version_line(it))
}

/// Appends an event to the text if its ID follows the last one; returns whether it does.
fn append_event(event: StreamEvent, version: u64, partial: &mut PartialText) -> bool {
    let (Some(id), Some(data)) = (event.id, event.data) else {
        return false;
    };
    let follows = match partial.last_id {
        Some(last) => id == last + 1,
        None => id <= 1,
    };
    if follows {
        partial.events.push(data);
        partial.last_id = Some(id);
        partial.add_version(version);
    }
    follows
}
