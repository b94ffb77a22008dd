//! Refusals: error responses with a stable code, a message for people, and whether the call
//! may have run.

use salvo::Response;
use salvo::http::StatusCode;

use super::answer::set_header;
use crate::gate::GateRefusal;
use bergamotlane_policy::control::ChangeOutcome;
use bergamotlane_policy::route::RouteRefusal;
use bergamotlane_wire::http::ExecutionStatus;
use bergamotlane_wire::http::RUN_HEADER;
use bergamotlane_wire::http::RefusalBody;
use bergamotlane_wire::peer::SubmitFailure;

/// An error response; the client may retry without risk if it says that nothing was run.
#[derive(Debug, Clone)]
pub struct Refusal {
    status: StatusCode,
    body: RefusalBody,
}

impl Refusal {
    fn new(
        status: StatusCode,
        code: &str,
        message: impl Into<String>,
        run: ExecutionStatus,
    ) -> Self {
        Self {
            status,
            body: RefusalBody {
                code: code.to_owned(),
                message: message.into(),
                run,
                findings: Vec::new(),
            },
        }
    }

    /// Returns a refusal of a call that certainly didn't run.
    fn not_run(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self::new(status, code, message, ExecutionStatus::NotRun)
    }

    /// Returns the stable code, which also is a label value of the metrics.
    pub fn code(&self) -> &str {
        &self.body.code
    }

    /// Returns the refusal of a malformed or invalid request.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "bad-request", message)
    }

    /// Returns the refusal of a body larger than `limit` bytes.
    pub fn too_large(limit: usize) -> Self {
        let message = format!("the body is larger than {limit} bytes");
        Self::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", message)
    }

    /// Returns the refusal of a request for an unknown path, method or object.
    pub fn not_found() -> Self {
        Self::not_run(StatusCode::NOT_FOUND, "not-found", "nothing is served here")
    }

    /// Returns the refusal of a request that came while the instance shuts down.
    pub fn draining() -> Self {
        let message = "this instance is shutting down; try another one";
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "draining", message)
    }

    /// Returns the refusal of a request that needs a confirmed view, while the leader hasn't
    /// confirmed that this instance's view is current.
    pub fn not_confirmed() -> Self {
        let message = "this instance can't confirm that its configuration is current";
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "not-confirmed", message)
    }

    /// Returns the refusal of a request above the customer's concurrency or rate limit.
    pub fn customer_limit() -> Self {
        let message = "the customer's limit is reached";
        Self::not_run(StatusCode::TOO_MANY_REQUESTS, "customer-limit", message)
    }

    /// Returns the refusal for a fault in this instance before anything was sent.
    pub fn internal(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::INTERNAL_SERVER_ERROR, "internal", message)
    }

    /// Returns the refusal of a call that failed at a target, where it may have run.
    pub fn target_failed(message: impl Into<String>) -> Self {
        let status = StatusCode::BAD_GATEWAY;
        Self::new(
            status,
            "target-failed",
            message,
            ExecutionStatus::MayHaveRun,
        )
    }

    /// Returns the refusal of a call for which no connection to a target could be opened;
    /// nothing was sent.
    pub fn target_unreachable() -> Self {
        let message = "no connection to a target could be made";
        Self::not_run(StatusCode::BAD_GATEWAY, "target-unreachable", message)
    }

    /// Returns the refusal of a call under which targets crashed, so that it isn't sent again.
    pub fn quarantined() -> Self {
        let message = "targets crashed under this request; it is not sent for a while";
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "quarantined", message)
    }

    /// Returns the refusal of a call whose deadline passed after it was sent.
    pub fn deadline_passed() -> Self {
        let message = "the deadline passed";
        let status = StatusCode::GATEWAY_TIMEOUT;
        Self::new(status, "deadline", message, ExecutionStatus::MayHaveRun)
    }

    /// Returns the refusal of a retry whose earlier attempt may have run, with a response that
    /// isn't known or wasn't stored.
    pub fn may_have_run() -> Self {
        let message = "an attempt with this request ID may have run; its answer is not known";
        let status = StatusCode::CONFLICT;
        Self::new(status, "may-have-run", message, ExecutionStatus::MayHaveRun)
    }

    /// Returns the refusal of a request whose ID was used for another request.
    pub fn request_id_reused() -> Self {
        let message = "this request ID was used for another request";
        Self::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "request-id-reused",
            message,
        )
    }

    /// Returns the refusal of a command that no leader accepted.
    pub fn no_leader() -> Self {
        let message = "no leader can be reached; try again";
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-leader", message)
    }

    /// Returns the refusal of a command whose outcome was lost; commands are idempotent, and a
    /// repetition gets the same outcome.
    pub fn answer_lost() -> Self {
        let message = "the answer was lost; repeat the request to get it";
        let status = StatusCode::GATEWAY_TIMEOUT;
        Self::new(status, "answer-lost", message, ExecutionStatus::MayHaveRun)
    }

    /// Returns the refusal of a request that conflicts with the current state.
    pub fn conflict(code: &str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::CONFLICT, code, message)
    }

    /// Returns the refusal of a request for something that isn't ready yet; the client should
    /// retry later.
    pub fn not_ready(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::TOO_EARLY, "not-ready", message)
    }

    /// Returns the refusal of a request without a key that is valid for it.
    pub fn unknown_key() -> Self {
        RouteRefusal::KeyUnknown.into()
    }

    /// Returns the refusal of a change that was not accepted, or `None` if it was.
    pub fn from_change(outcome: &ChangeOutcome) -> Option<Self> {
        Some(match outcome {
            ChangeOutcome::Accepted { .. } => return None,
            ChangeOutcome::Conflict {
                number,
                theirs,
                yours,
            } => {
                let message =
                    format!("number {number} is taken by \"{theirs}\"; yours is \"{yours}\"");
                Self::conflict("number-taken", message)
            }
            ChangeOutcome::Gap { next } => {
                Self::conflict("number-gap", format!("the next number is {next}"))
            }
            ChangeOutcome::Forgotten { oldest } => {
                let message = format!("numbers below {oldest} are no longer remembered");
                Self::conflict("number-forgotten", message)
            }
            ChangeOutcome::Refused { findings } => {
                let status = StatusCode::UNPROCESSABLE_ENTITY;
                let mut refusal = Self::not_run(status, "refused", "nothing was changed");
                refusal.body.findings = findings.iter().map(ToString::to_string).collect();
                refusal
            }
            ChangeOutcome::Forming {} => {
                let message = "the group has not reached its size yet";
                Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "forming", message)
            }
        })
    }

    /// Adds the faults found in the request, each with its place.
    pub fn with_findings(mut self, findings: Vec<String>) -> Self {
        self.body.findings = findings;
        self
    }

    /// Writes the refusal to a response; a 503 gets a `retry-after` of one second.
    pub fn write(&self, res: &mut Response) {
        res.status_code(self.status);
        set_header(res, RUN_HEADER, self.body.run.as_str());
        set_header(res, "content-type", "application/json");
        if self.status == StatusCode::SERVICE_UNAVAILABLE {
            set_header(res, "retry-after", "1");
        }
        let body = serde_json::to_vec(&self.body).unwrap_or_default();
        res.body(body);
    }
}

impl From<RouteRefusal> for Refusal {
    fn from(refusal: RouteRefusal) -> Self {
        let (status, code, message) = match refusal {
            RouteRefusal::NoService => (StatusCode::NOT_FOUND, "no-service", "no such service"),
            RouteRefusal::KeyMissing => {
                (StatusCode::UNAUTHORIZED, "key-missing", "this needs a key")
            }
            RouteRefusal::KeyUnknown => (
                StatusCode::UNAUTHORIZED,
                "key-unknown",
                "the key is not known or was withdrawn",
            ),
            RouteRefusal::NotAllowed => (
                StatusCode::FORBIDDEN,
                "not-allowed",
                "this customer may not use the service",
            ),
        };
        Self::not_run(status, code, message)
    }
}

impl From<GateRefusal> for Refusal {
    fn from(refusal: GateRefusal) -> Self {
        let (status, code, message) = match refusal {
            GateRefusal::QueueFull => (
                StatusCode::TOO_MANY_REQUESTS,
                "queue-full",
                "too many of the customer's requests wait",
            ),
            GateRefusal::Late => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no-slot",
                "no target had room before the deadline",
            ),
            GateRefusal::NoTarget => (
                StatusCode::SERVICE_UNAVAILABLE,
                "no-target",
                "the service has no target that takes work",
            ),
        };
        Self::not_run(status, code, message)
    }
}

impl From<SubmitFailure> for Refusal {
    fn from(failure: SubmitFailure) -> Self {
        match failure {
            SubmitFailure::NotTaken => Self::no_leader(),
            SubmitFailure::Unknown => Self::answer_lost(),
        }
    }
}
