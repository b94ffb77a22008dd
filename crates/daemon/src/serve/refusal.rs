//! Refusals: a stable code, a sentence, and whether the call may have run.

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

/// A refusal towards a client.
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

    fn not_run(status: StatusCode, code: &str, message: impl Into<String>) -> Self {
        Self::new(status, code, message, ExecutionStatus::NotRun)
    }

    /// Returns the code.
    pub fn code(&self) -> &str {
        &self.body.code
    }

    /// The request itself is faulty.
    pub fn bad_request(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::BAD_REQUEST, "bad-request", message)
    }

    /// The body is larger than `limit` bytes.
    pub fn too_large(limit: usize) -> Self {
        let message = format!("the body is larger than {limit} bytes");
        Self::not_run(StatusCode::PAYLOAD_TOO_LARGE, "body-too-large", message)
    }

    /// Nothing is served at the path.
    pub fn not_found() -> Self {
        Self::not_run(StatusCode::NOT_FOUND, "not-found", "nothing is served here")
    }

    /// The instance finishes up.
    pub fn draining() -> Self {
        let message = "this instance is shutting down; try another one";
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "draining", message)
    }

    /// The view isn't confirmed.
    pub fn stale() -> Self {
        let message = "this instance can't confirm that its configuration is current";
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "not-confirmed", message)
    }

    /// The customer's limit is reached.
    pub fn limit() -> Self {
        let message = "the customer's limit is reached";
        Self::not_run(StatusCode::TOO_MANY_REQUESTS, "customer-limit", message)
    }

    /// Something in this instance failed before anything was sent.
    pub fn internal(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::INTERNAL_SERVER_ERROR, "internal", message)
    }

    /// A target failed; the call may have run.
    pub fn target_failed(message: impl Into<String>) -> Self {
        let status = StatusCode::BAD_GATEWAY;
        Self::new(
            status,
            "target-failed",
            message,
            ExecutionStatus::MayHaveRun,
        )
    }

    /// The connection to the target could not be made; nothing was sent.
    pub fn target_unreachable() -> Self {
        let message = "no connection to a target could be made";
        Self::not_run(StatusCode::BAD_GATEWAY, "target-unreachable", message)
    }

    /// The deadline passed after the call was sent.
    pub fn late() -> Self {
        let message = "the deadline passed";
        let status = StatusCode::GATEWAY_TIMEOUT;
        Self::new(status, "deadline", message, ExecutionStatus::MayHaveRun)
    }

    /// An earlier attempt with the request ID may have run.
    pub fn may_have_run() -> Self {
        let message = "an attempt with this request ID may have run; its answer is not known";
        let status = StatusCode::CONFLICT;
        Self::new(status, "may-have-run", message, ExecutionStatus::MayHaveRun)
    }

    /// The request ID belongs to another request.
    pub fn other_request() -> Self {
        let message = "this request ID was used for another request";
        Self::not_run(
            StatusCode::UNPROCESSABLE_ENTITY,
            "request-id-reused",
            message,
        )
    }

    /// No leader took the command.
    pub fn no_leader() -> Self {
        let message = "no leader can be reached; try again";
        Self::not_run(StatusCode::SERVICE_UNAVAILABLE, "no-leader", message)
    }

    /// Nobody knows whether the command was taken; a repetition gets the same answer.
    pub fn unknown() -> Self {
        let message = "the answer was lost; repeat the request to get it";
        let status = StatusCode::GATEWAY_TIMEOUT;
        Self::new(status, "answer-lost", message, ExecutionStatus::MayHaveRun)
    }

    /// Something the request names is in conflict with what is there.
    pub fn conflict(code: &str, message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::CONFLICT, code, message)
    }

    /// Not ready yet; the client should ask again.
    pub fn not_ready(message: impl Into<String>) -> Self {
        Self::not_run(StatusCode::TOO_EARLY, "not-ready", message)
    }

    /// The key is missing or unknown.
    pub fn key() -> Self {
        RouteRefusal::KeyUnknown.into()
    }

    /// Returns the refusal of a change that was not accepted, or `None` if it was.
    pub fn of_change(outcome: &ChangeOutcome) -> Option<Self> {
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

    /// Returns the refusal with findings.
    pub fn with_findings(mut self, findings: Vec<String>) -> Self {
        self.body.findings = findings;
        self
    }

    /// Writes the refusal as the answer.
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
            SubmitFailure::Unknown => Self::unknown(),
        }
    }
}
