//! Attempts of a request at targets of a plain service, with retries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use super::Refusal;
use super::ServeContext;
use super::callers::AdmittedCall;
use super::ended_body::expected_end;
use super::keys::StrippedHead;
use crate::clock::now;
use crate::gate::GateRequest;
use crate::gate::ServiceGate;
use crate::gate::SlotGuard;
use crate::rollout::customer_hash;
use crate::suspects::is_abandoned;
use bergamotlane_policy::fair::RequestRank;
use bergamotlane_policy::retry::backoff_ms;
use bergamotlane_policy::suspect::RequestDigest;
use bergamotlane_policy::targets::ChoiceRequest;
use bergamotlane_wire::body_end::BodyEnd;

/// Maximum number of targets that one request is sent to.
const MAX_ATTEMPTS: u32 = 3;

/// A request as it is sent to targets, without keys.
pub(super) struct OutboundCall {
    pub(super) method: reqwest::Method,
    pub(super) path: String,
    pub(super) head: StrippedHead,
    pub(super) body: Bytes,
}

impl OutboundCall {
    /// Returns the digest of the call's content, the same for each attempt of a caller.
    fn digest(&self, service: &str, customer: &str) -> RequestDigest {
        RequestDigest::of(&[
            customer.as_bytes(),
            service.as_bytes(),
            self.method.as_str().as_bytes(),
            self.path.as_bytes(),
            self.head.query.as_deref().unwrap_or_default().as_bytes(),
            &self.body,
        ])
    }
}

/// Why an attempt got no response, and whether it may have run.
pub(super) enum AttemptFailure {
    /// No byte was sent, so that it can't have run.
    NotSent(Refusal),
    /// Some of it was sent, so that it may have run.
    Sent(Refusal),
}

impl AttemptFailure {
    /// Returns whether the attempt may have run.
    fn is_sent(&self) -> bool {
        matches!(self, Self::Sent(_))
    }
}

/// Sends a request to up to [`MAX_ATTEMPTS`] targets, within its deadline and the budget for
/// retries.
///
/// A request that isn't repeatable is sent to another target only if the attempts before it
/// sent nothing.
pub(super) async fn send(
    context: &ServeContext,
    service: &str,
    call: &AdmittedCall,
    outbound: &OutboundCall,
    repeatable: bool,
) -> Result<(SlotGuard, reqwest::Response), AttemptFailure> {
    let gate = call.view.pools.get(call.service);
    let gate = gate.map(|pool| Arc::clone(&pool.gate));
    let gate = gate.ok_or_else(|| AttemptFailure::NotSent(Refusal::not_found()))?;
    let (customer, weight) = call.customer_id();
    let mut request = GateRequest {
        service: service.into(),
        rank: RequestRank::Lookup,
        customer: customer_hash(customer),
        weight,
        deadline: call.deadline,
        choice: ChoiceRequest::default(),
    };
    let suspects = &context.shared.suspects;
    let digest = || outbound.digest(service, customer);
    let known_suspect = suspects.find(digest);
    if known_suspect.is_some_and(|it| suspects.is_quarantined(it)) {
        return Err(AttemptFailure::NotSent(Refusal::quarantined()));
    }
    context.shared.retries.earn();
    let mut sent_refusal = None;
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            // A request under which targets crashed before gets one attempt alone.
            let is_stopped = known_suspect.is_some()
                || suspects
                    .find(digest)
                    .is_some_and(|it| suspects.is_quarantined(it));
            if is_stopped || now() >= call.deadline || !context.shared.retries.spend() {
                break;
            }
            context.shared.metrics.retries.inc();
            let delay_ms = backoff_ms(attempt, rand::random());
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        }
        request.choice.spread = rand::random();
        let slot = acquire_slot(context, &gate, &request).await;
        let slot = match slot {
            Ok(slot) => slot,
            Err(refusal) => return Err(final_failure(sent_refusal, refusal)),
        };
        let left_ms = call.deadline.since(now());
        // Share the remaining time among the attempts left, so that a silent target leaves
        // time for a retry at another one.
        let timeout_ms = match repeatable {
            true => left_ms / u64::from(MAX_ATTEMPTS - attempt),
            false => left_ms,
        };
        let may_repeat = repeatable && attempt + 1 < MAX_ATTEMPTS;
        let sent = send_once(context, &slot, outbound, timeout_ms).await;
        match sent.and_then(|it| check_end(it, may_repeat)) {
            Ok(response) => {
                if let Some(digest) = suspects.find(digest) {
                    suspects.record_answer(digest);
                }
                return Ok((slot, response));
            }
            Err(failure) => {
                slot.report(false);
                if failure.is_sent() && is_abandoned(&slot.target.address).await {
                    let target = &slot.target;
                    suspects.record_crash(digest(), &target.address, target.identity);
                }
                request.choice.avoid = Some(slot.target.identity);
                match failure {
                    AttemptFailure::NotSent(refusal) if attempt + 1 == MAX_ATTEMPTS => {
                        return Err(final_failure(sent_refusal, refusal));
                    }
                    AttemptFailure::NotSent(_) => {}
                    AttemptFailure::Sent(refusal) if !repeatable => {
                        return Err(AttemptFailure::Sent(refusal));
                    }
                    AttemptFailure::Sent(refusal) => sent_refusal = Some(refusal),
                }
            }
        }
    }
    Err(final_failure(sent_refusal, Refusal::target_unreachable()))
}

/// Checks that a response states the end of its body, if the call may still be repeated for that.
fn check_end(
    response: reqwest::Response,
    may_repeat: bool,
) -> Result<reqwest::Response, AttemptFailure> {
    match expected_end(&response) {
        BodyEnd::Close if may_repeat => {
            let message = "the target's answer states no end";
            Err(AttemptFailure::Sent(Refusal::target_failed(message)))
        }
        BodyEnd::Close | BodyEnd::Length | BodyEnd::LastChunk => Ok(response),
    }
}

/// Returns how a call ends that gets no response. `sent` is the refusal of an attempt that may have
/// run, if there was one; whatever came after it, the call may have run.
fn final_failure(sent: Option<Refusal>, not_sent: Refusal) -> AttemptFailure {
    match sent {
        Some(refusal) => AttemptFailure::Sent(refusal),
        None => AttemptFailure::NotSent(not_sent),
    }
}

/// Waits for a slot of a target of the service.
async fn acquire_slot(
    context: &ServeContext,
    gate: &Arc<ServiceGate>,
    request: &GateRequest,
) -> Result<SlotGuard, Refusal> {
    let slot = gate.enter(&context.shared, request.clone()).await;
    slot.map_err(Refusal::from)
}

/// Sends a request to the target of `slot` and waits for the head of its response.
async fn send_once(
    context: &ServeContext,
    slot: &SlotGuard,
    outbound: &OutboundCall,
    timeout_ms: u64,
) -> Result<reqwest::Response, AttemptFailure> {
    let address = &*slot.target.address;
    let mut url = format!("http://{address}{}", outbound.path);
    if let Some(query) = &outbound.head.query {
        url.push('?');
        url.push_str(query);
    }
    let request = context
        .client
        .of(address)
        .request(outbound.method.clone(), url)
        .headers(outbound.head.headers.clone())
        .body(outbound.body.clone())
        .build()
        .map_err(|_| AttemptFailure::NotSent(Refusal::bad_request("the path is not valid")))?;
    let limit = Duration::from_millis(timeout_ms);
    match timeout(limit, context.client.of(address).execute(request)).await {
        Ok(Ok(response)) => context
            .client
            .check_head(address, response)
            .map_err(|fault| AttemptFailure::Sent(Refusal::target_failed(fault.to_string()))),
        Ok(Err(error)) if error.is_connect() => {
            slot.target.counters.revoke();
            Err(AttemptFailure::NotSent(Refusal::target_unreachable()))
        }
        Ok(Err(_)) => {
            let message = "the target broke off before it answered";
            Err(AttemptFailure::Sent(Refusal::target_failed(message)))
        }
        Err(_) => Err(AttemptFailure::Sent(Refusal::deadline_passed())),
    }
}
