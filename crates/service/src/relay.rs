//! Requests that an entry without a path to the targets sends through another entry.
//!
//! The other entry forwards such a request like one of its own callers, with all its limits, and
//! never relays it again.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;

use crate::leaving::LeavingStart;
use crate::plain::PlainAnswer;
use crate::plain::PlainOutcome;
use crate::plain::PlainRequest;
use crate::plan::RouteKind;
use crate::software::SoftwareBuild;
use crate::streams::StreamKey;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::answer_status::FinalStatus;
use bergamotlane_wire::answer_status::StatusFault;
use bergamotlane_wire::body_end::BodyEnd;

/// Pause before a request looks for a helper again, since links may be on their way up.
const HELPER_PAUSE: Duration = Duration::from_millis(10);

/// Longest wait for a link to a helper, in milliseconds.
const HELPER_SEARCH_MS: u64 = 400;

/// Part of the time left that is reserved for the way back, in milliseconds.
const RETURN_MARGIN_MS: u64 = 5;

/// Largest number of requests that wait for the owner of the links.
const MAX_QUEUED_CALLS: usize = 1_024;

/// Headers as names and values.
type HeaderPairs = Vec<(String, Bytes)>;

/// Request on its way to another entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayRequest {
    id: String,
    method: String,
    path: String,
    headers: HeaderPairs,
    body: Bytes,
    customer: Option<String>,
    service: String,
    kind: RouteKind,
    max_attempts: u32,
    latency_target_ms: u64,
    time_left_ms: u64,
    begins: Option<StreamKey>,
    resumes: Option<SoftwareBuild>,
    /// As in [`PlainRequest`]; an entry of an earlier build doesn't say.
    #[serde(default)]
    leaves_slot: bool,
}

impl RelayRequest {
    /// Returns the size of the request body, in bytes.
    pub(crate) fn body_bytes(&self) -> usize {
        self.body.len()
    }

    /// Returns the service whose targets may take the request.
    pub fn service(&self) -> &str {
        &self.service
    }
}

impl From<&PlainRequest> for RelayRequest {
    fn from(request: &PlainRequest) -> Self {
        let left_ms = request.limit.since(now());
        Self {
            id: request.id.clone(),
            method: request.method.as_str().to_owned(),
            path: request.path.clone(),
            headers: header_pairs(&request.headers),
            body: request.body.clone(),
            customer: request.customer.clone(),
            service: request.service.clone(),
            kind: request.kind,
            max_attempts: request.max_attempts,
            latency_target_ms: request.latency_target_ms,
            time_left_ms: left_ms.saturating_sub(RETURN_MARGIN_MS),
            begins: request.begins,
            resumes: request.resumes.clone(),
            leaves_slot: request.leaves_slot,
        }
    }
}

/// Error in a relayed request or its reply.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The method is not valid.
    #[error("invalid method")]
    Method(#[from] http::method::InvalidMethod),
    /// A header has an invalid name.
    #[error("invalid header name")]
    Name(#[from] http::header::InvalidHeaderName),
    /// A header has an invalid value.
    #[error("invalid header value")]
    Value(#[from] http::header::InvalidHeaderValue),
    /// The status is not valid.
    #[error("invalid status")]
    Status(#[from] http::status::InvalidStatusCode),
    /// The status ends no request; an entry of an earlier build passes it on.
    #[error("no answer: {0}")]
    NoAnswer(#[from] StatusFault),
}

impl TryFrom<RelayRequest> for PlainRequest {
    type Error = RelayError;

    fn try_from(request: RelayRequest) -> Result<Self, RelayError> {
        Ok(Self {
            id: request.id,
            method: Method::from_bytes(request.method.as_bytes())?,
            path: request.path,
            headers: header_map(request.headers)?,
            body: request.body,
            customer: request.customer,
            service: request.service,
            kind: request.kind,
            max_attempts: request.max_attempts,
            latency_target_ms: request.latency_target_ms,
            limit: now() + request.time_left_ms,
            takes_cold: false,
            reserved_slots: None,
            begins: request.begins,
            resumes: request.resumes,
            sharers: 1,
            class: None,
            leaves_slot: request.leaves_slot,
        })
    }
}

fn header_pairs(headers: &HeaderMap) -> HeaderPairs {
    let pairs = headers.iter();
    pairs
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect()
}

fn header_map(pairs: HeaderPairs) -> Result<HeaderMap, RelayError> {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes())?;
        headers.append(name, HeaderValue::from_bytes(&value)?);
    }
    Ok(headers)
}

/// Reply to a relayed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RelayReply {
    /// A target answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Stamp of the target, if there is one.
        stamp: Option<String>,
        /// Headers as the target sent them.
        headers: HeaderPairs,
        /// Answer body.
        body: Bytes,
        /// What ended the body; an entry of an earlier build doesn't say.
        #[serde(default)]
        end: Option<BodyEnd>,
        /// The target, if it says that it leaves.
        leaving: Option<LeavingStart>,
    },
    /// The request did not run and never will.
    NotRun,
    /// As [`PlainOutcome::Limited`].
    Limited(u64),
    /// As [`PlainOutcome::Quarantined`].
    Quarantined(u64),
    /// The targets failed; the request may have run.
    Failed,
    /// The deadline passed; the request may have run.
    Late,
    /// The entry takes no request from others now; it did not run.
    Refused,
}

impl From<PlainOutcome> for RelayReply {
    fn from(outcome: PlainOutcome) -> Self {
        match outcome {
            PlainOutcome::Answered(answer) => Self::Answered {
                status: answer.status.as_u16(),
                stamp: answer.stamp,
                headers: header_pairs(&answer.headers),
                body: answer.body,
                end: Some(answer.end),
                leaving: answer.leaving.map(|it| *it),
            },
            PlainOutcome::NotRun => Self::NotRun,
            // An entry of an earlier build knows no other reason to return later.
            PlainOutcome::Limited(wait_ms) | PlainOutcome::Overloaded(wait_ms) => {
                Self::Limited(wait_ms)
            }
            PlainOutcome::Quarantined(left_ms) => Self::Quarantined(left_ms),
            PlainOutcome::Failed => Self::Failed,
            PlainOutcome::Late => Self::Late,
        }
    }
}

impl RelayReply {
    /// Returns the outcome of the request, or `None` if the entry did not take it. A malformed answer
    /// counts as failed.
    pub fn into_outcome(self) -> Option<PlainOutcome> {
        Some(match self {
            Self::Answered {
                status,
                stamp,
                headers,
                body,
                end,
                leaving,
            } => match read_answer(status, stamp, headers, body, end) {
                Ok(answer) => PlainOutcome::Answered(PlainAnswer {
                    leaving: leaving.map(Box::new),
                    ..answer
                }),
                Err(error) => {
                    spdlog::warn!("relay: malformed answer", kv: { error = error.to_string() });
                    PlainOutcome::Failed
                }
            },
            Self::NotRun => PlainOutcome::NotRun,
            Self::Limited(wait_ms) => PlainOutcome::Limited(wait_ms),
            Self::Quarantined(left_ms) => PlainOutcome::Quarantined(left_ms),
            Self::Failed => PlainOutcome::Failed,
            Self::Late => PlainOutcome::Late,
            Self::Refused => return None,
        })
    }
}

fn read_answer(
    status: u16,
    stamp: Option<String>,
    headers: HeaderPairs,
    body: Bytes,
    end: Option<BodyEnd>,
) -> Result<PlainAnswer, RelayError> {
    let headers = header_map(headers)?;
    let status = FinalStatus::try_from(status)?;
    Ok(PlainAnswer {
        status: StatusCode::from_u16(status.as_u16())?,
        stamp,
        end: end.unwrap_or_else(|| end_by_headers(&headers, &body)),
        headers,
        body,
        is_held: false,
        build: None,
        leaving: None,
    })
}

/// Returns what ended a body of which only the headers of its answer tell. One without bytes has
/// nothing that could be cut.
fn end_by_headers(headers: &HeaderMap, body: &Bytes) -> BodyEnd {
    let has_length = headers.contains_key(CONTENT_LENGTH) || body.is_empty();
    let length = has_length.then_some(body.len() as u64);
    let encodings = headers.get_all(TRANSFER_ENCODING);
    BodyEnd::expected(length, encodings.iter().map(|it| it.as_bytes()))
}

/// Result of passing a request to the event loop that owns the links.
#[derive(Debug)]
pub enum RelayResult {
    /// The helper replied.
    Replied(RelayReply),
    /// No link to a helper is up yet; nothing was sent.
    NoHelper,
    /// All helpers have just refused requests; nothing was sent.
    Exhausted,
    /// The link broke after the request was sent.
    Broken,
}

/// End of a request that was sent through other entries. Each of the `cuts` is a helper whose link broke
/// after the request was sent to it, so that it may have run there.
#[derive(Debug)]
pub enum RelayEnd {
    /// The last helper replied.
    Replied {
        /// Outcome there.
        outcome: PlainOutcome,
        /// Number of earlier helpers that may have run the request.
        cuts: u32,
    },
    /// There is no helper (any more), or too many requests wait for one.
    NoHelper {
        /// Number of helpers that may have run the request.
        cuts: u32,
    },
}

/// Request that is passed to the event loop that owns the links. If the receiver of `reply` is
/// dropped, the request is cancelled at the helper.
#[derive(Debug)]
pub struct RelayCall {
    /// Request to send.
    pub request: Box<RelayRequest>,
    /// Channel for the result.
    pub reply: oneshot::Sender<RelayResult>,
}

/// Cloneable handle that sends requests through other entries.
#[derive(Debug, Clone)]
pub struct RelayClient {
    calls: mpsc::Sender<RelayCall>,
}

impl RelayClient {
    /// Returns a client and the queue of its calls, which the owner of the links serves.
    pub fn new() -> (Self, mpsc::Receiver<RelayCall>) {
        let (calls, queue) = mpsc::channel(MAX_QUEUED_CALLS);
        (Self { calls }, queue)
    }

    /// Sends a request through the first helper that takes it and may try `attempts` targets. One that may
    /// be repeated goes to the next helper if the link to a helper breaks, which may have tried one target
    /// by then.
    pub async fn send(&self, request: &PlainRequest, attempts: u32) -> RelayEnd {
        let search_end: ClockTime = (now() + HELPER_SEARCH_MS).min(request.limit);
        let mut cuts = 0;
        loop {
            let (reply, result) = oneshot::channel();
            let call = RelayCall {
                request: Box::new(RelayRequest {
                    max_attempts: attempts - cuts,
                    ..request.into()
                }),
                reply,
            };
            if self.calls.try_send(call).is_err() {
                return RelayEnd::NoHelper { cuts };
            }
            match result.await {
                Ok(RelayResult::Replied(reply)) => {
                    if let Some(outcome) = reply.into_outcome() {
                        return RelayEnd::Replied { outcome, cuts };
                    }
                }
                Ok(RelayResult::NoHelper) if now() < search_end => sleep(HELPER_PAUSE).await,
                Ok(RelayResult::NoHelper | RelayResult::Exhausted) => {
                    return RelayEnd::NoHelper { cuts };
                }
                Ok(RelayResult::Broken) | Err(_) => {
                    cuts += 1;
                    if request.kind != RouteKind::Safe || cuts >= attempts {
                        let outcome = PlainOutcome::Failed;
                        return RelayEnd::Replied { outcome, cuts };
                    }
                }
            }
            if now() >= request.limit {
                return RelayEnd::NoHelper { cuts };
            }
        }
    }
}
