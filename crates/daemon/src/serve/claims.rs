//! Claims of calls that must not run twice.
//!
//! A call of a service that isn't repeatable is claimed in the replicated state before its
//! first byte is sent. A retry with the same request ID, through any instance, gets the
//! stored response of the first attempt, or is told that it may have run.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;

use super::Refusal;
use super::ServeContext;
use bergamotlane_policy::control::ClaimCommand;
use bergamotlane_policy::control::ClaimId;
use bergamotlane_policy::control::ClaimOutcome;
use bergamotlane_policy::control::ClaimState;
use bergamotlane_policy::control::ControlCommand;
use bergamotlane_policy::control::ControlOutcome;
use bergamotlane_policy::control::MAX_KEPT_ANSWER_BYTES;
use bergamotlane_policy::plan::KeyHash;
use bergamotlane_wire::peer::SubmitFailure;

/// Maximum number of times that a claim command is submitted if it is not committed or its
/// outcome is lost; submitting it again is idempotent.
const MAX_SUBMISSIONS: u32 = 3;

/// Number of the next claim attempt of this process run; the run and the number identify an
/// attempt.
static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// A claim that was granted to this process.
#[derive(Debug, Clone)]
pub struct HeldClaim {
    id: ClaimId,
}

/// Result of a claim that wasn't refused.
pub enum ClaimResult {
    /// The claim was granted: the call may be sent once.
    Held(HeldClaim),
    /// An earlier attempt's stored response: status, content type and body.
    Kept(u16, String, Bytes),
}

/// Claims a call by its request ID; `digest` covers the content of the request, so that an
/// ID isn't used for two different requests.
///
/// # Errors
///
/// Returns the refusal to answer with; this attempt has sent nothing to a target.
pub async fn acquire(
    context: &ServeContext,
    customer: &str,
    service: &str,
    request_id: &[u8],
    digest: KeyHash,
) -> Result<ClaimResult, Refusal> {
    let id = ClaimId {
        customer: customer.to_owned(),
        service: service.to_owned(),
        request: KeyHash::of(request_id),
    };
    let attempt = NEXT_ATTEMPT.fetch_add(1, Ordering::Relaxed);
    let command = ControlCommand::Claim {
        command: ClaimCommand::Take {
            id: id.clone(),
            run: context.run,
            attempt,
            digest,
        },
    };
    let mut last_failure = SubmitFailure::NotTaken;
    for _ in 0..MAX_SUBMISSIONS {
        match context.handle.submit(command.clone()).await {
            Ok(ControlOutcome::Claim { outcome }) => return read_outcome(outcome, id),
            Ok(_) => return Err(Refusal::internal("unexpected claim result")),
            Err(failure) => last_failure = failure,
        }
    }
    match last_failure {
        // Even if the claim is in the log, this attempt has sent nothing and will send nothing.
        SubmitFailure::NotTaken | SubmitFailure::Unknown => Err(Refusal::no_leader()),
    }
}

fn read_outcome(outcome: ClaimOutcome, id: ClaimId) -> Result<ClaimResult, Refusal> {
    match outcome {
        ClaimOutcome::Granted {} => Ok(ClaimResult::Held(HeldClaim { id })),
        ClaimOutcome::Kept {
            state:
                ClaimState::Answered {
                    status,
                    content_type,
                    body: Some(body),
                },
        } => Ok(ClaimResult::Kept(status, content_type, body)),
        ClaimOutcome::OtherRequest {} => Err(Refusal::request_id_reused()),
        _ => Err(Refusal::may_have_run()),
    }
}

/// Stores the response for retries with the same request ID; a body above
/// [`MAX_KEPT_ANSWER_BYTES`] isn't stored, and a retry is told that the call may have run.
pub async fn finish(
    context: &ServeContext,
    claim: HeldClaim,
    status: u16,
    content_type: &str,
    body: &Bytes,
) {
    let state = ClaimState::Answered {
        status,
        content_type: content_type.to_owned(),
        body: (body.len() <= MAX_KEPT_ANSWER_BYTES).then(|| body.clone()),
    };
    let command = ClaimCommand::Finish {
        id: claim.id,
        run: context.run,
        state,
    };
    submit_with_retries(context, command).await;
}

/// Releases a claim of a call of which no byte was sent, so that a retry may run.
pub async fn release(context: &ServeContext, claim: HeldClaim) {
    let command = ClaimCommand::Release {
        id: claim.id,
        run: context.run,
    };
    submit_with_retries(context, command).await;
}

/// Submits the final state of a claim; a failure is only logged, since a claim without a
/// final state keeps retries from running.
async fn submit_with_retries(context: &ServeContext, command: ClaimCommand) {
    let command = ControlCommand::Claim { command };
    for _ in 0..MAX_SUBMISSIONS {
        if context.handle.submit(command.clone()).await.is_ok() {
            return;
        }
    }
    spdlog::warn!(
        "claim: could not record the result; a retry will be told that the call may have run"
    );
}
