//! Calls that may not be repeated: claimed before the first byte goes out.

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

/// Times that a claim is tried again after its answer was lost.
const CLAIM_TRIES: u32 = 3;

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// A claim held by this process.
#[derive(Debug, Clone)]
pub struct HeldClaim {
    id: ClaimId,
}

/// What a claim led to.
pub enum ClaimResult {
    /// The call may be sent, once.
    Held(HeldClaim),
    /// An earlier attempt's answer: status, content type and body.
    Kept(u16, String, Bytes),
}

/// Claims a call.
///
/// # Errors
///
/// Returns the refusal; nothing has been sent by this attempt.
pub async fn take(
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
    let mut lost = SubmitFailure::NotTaken;
    for _ in 0..CLAIM_TRIES {
        match context.handle.submit(command.clone()).await {
            Ok(ControlOutcome::Claim { outcome }) => return read_outcome(outcome, id),
            Ok(_) => return Err(Refusal::internal("unexpected claim result")),
            Err(failure) => lost = failure,
        }
    }
    match lost {
        // The claim may be in the log, but nothing was sent and nothing will be.
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
        ClaimOutcome::OtherRequest {} => Err(Refusal::other_request()),
        _ => Err(Refusal::may_have_run()),
    }
}

/// Keeps the answer for a resend.
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
    settle(context, command).await;
}

/// Gives a claim back, since no byte was sent.
pub async fn release(context: &ServeContext, claim: HeldClaim) {
    let command = ClaimCommand::Release {
        id: claim.id,
        run: context.run,
    };
    settle(context, command).await;
}

async fn settle(context: &ServeContext, command: ClaimCommand) {
    let command = ControlCommand::Claim { command };
    for _ in 0..CLAIM_TRIES {
        if context.handle.submit(command.clone()).await.is_ok() {
            return;
        }
    }
    spdlog::warn!("claim: Could not settle a claim; a resend will hear that it may have run.");
}
