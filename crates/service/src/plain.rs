//! Requests to targets of plain services, and their outcomes.

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::StatusCode;

use crate::leaving::LeavingStart;
use crate::plan::RouteKind;
use crate::request_cost::RequestClass;
use crate::software::SoftwareBuild;
use crate::streams::StreamKey;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_wire::body_end::BodyEnd;

/// Request to forward to a target of a plain service.
#[derive(Debug, Clone)]
pub struct PlainRequest {
    /// ID of the request, which the target echoes in its answer.
    pub id: String,
    /// HTTP method.
    pub method: Method,
    /// Path and query as the caller sent them.
    pub path: String,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Request body.
    pub body: Bytes,
    /// Customer to whom the request is charged, if the plan names any.
    pub customer: Option<String>,
    /// Name of the service that handles the request.
    pub service: String,
    /// Kind of the route, which determines whether the request may run more than once.
    pub kind: RouteKind,
    /// Largest number of targets that may run the request.
    pub max_attempts: u32,
    /// Latency target of the route, in milliseconds; it sets when the request is hedged.
    pub latency_target_ms: u64,
    /// Deadline for the answer.
    pub limit: ClockTime,
    /// Whether cold targets are eligible.
    pub takes_cold: bool,
    /// Number of slots of each target that the request leaves free, or `None` if the target's own
    /// queue limits the requests.
    pub reserved_slots: Option<u32>,
    /// Identity of the stream that the request begins, if its caller may take it up.
    pub begins: Option<StreamKey>,
    /// Build that began the stream that the request takes up; only targets that run it are eligible.
    pub resumes: Option<SoftwareBuild>,
    /// Number of processes that share a target's limit while the leader can't be asked.
    pub sharers: u32,
    /// Class of requests that cost alike, or `None` if the service, method and body tell.
    pub class: Option<RequestClass>,
    /// Whether the request leaves a slot of each target that reports its load to more urgent ones.
    pub leaves_slot: bool,
}

impl PlainRequest {
    /// Returns whether it matters which build answers the request.
    pub fn tracks_build(&self) -> bool {
        self.begins.is_some() || self.resumes.is_some()
    }

    /// Returns the class of requests that cost alike.
    pub fn cost_class(&self) -> RequestClass {
        self.class
            .unwrap_or_else(|| RequestClass::of(&self.service, &self.method, self.body.len()))
    }
}

/// Answer of a target, as complete as what ended its body can say.
#[derive(Debug)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Stamp of the target, if there is one.
    pub stamp: Option<String>,
    /// Headers as the target sent them.
    pub headers: HeaderMap,
    /// Answer body.
    pub body: Bytes,
    /// Whether the body is in the budget of answers.
    pub is_held: bool,
    /// What ended the body; the caller must be told no more than that.
    pub end: BodyEnd,
    /// Build of the target, if known.
    pub build: Option<Box<SoftwareBuild>>,
    /// The target, if it says that it leaves.
    pub leaving: Option<Box<LeavingStart>>,
}

/// Outcome of forwarding a request.
#[derive(Debug)]
pub enum PlainOutcome {
    /// A target answered.
    Answered(PlainAnswer),
    /// The request did not run and never will.
    NotRun,
    /// The targets that could take the request are at the limits that they name; it did not run and
    /// never will. The caller should return after this time, in milliseconds.
    Limited(u64),
    /// No target is expected to answer before the deadline; the request did not run and never will. The
    /// caller should return after this time, in milliseconds.
    Overloaded(u64),
    /// Targets crashed under this request, so it is not sent on; it did not run and never will. The
    /// caller should not return before this time, in milliseconds.
    Quarantined(u64),
    /// The targets failed; the request may have run.
    Failed,
    /// The deadline passed; the request may have run.
    Late,
}

/// What became of a forwarded request.
#[derive(Debug)]
pub struct ForwardReport {
    /// Outcome of the request.
    pub outcome: PlainOutcome,
    /// Number of targets that answered with an internal server error.
    pub server_errors: u32,
}
