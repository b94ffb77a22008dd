//! Calls of plain services, passed on to a target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream;
use reqwest::header::HeaderValue;
use salvo::Request;
use salvo::Response;
use salvo::http::ResBody;
use salvo::http::StatusCode;
use tokio::time::timeout;

use super::Refusal;
use super::ServeContext;
use super::answer::copy_headers;
use super::answer::set_header;
use super::callers::AdmittedCall;
use super::callers::admit;
use super::callers::is_still_allowed;
use super::claims;
use super::claims::ClaimResult;
use super::claims::HeldClaim;
use super::keys::StrippedHead;
use super::keys::strip_head;
use super::keys::strip_json;
use super::read_body;
use crate::clock::now;
use crate::gate::GateRequest;
use crate::gate::ServiceGate;
use crate::gate::SlotGuard;
use crate::rollout::customer_hash;
use crate::shared::BusyGuard;
use bergamotlane_policy::fair::RequestRank;
use bergamotlane_policy::plan::KeyHash;
use bergamotlane_policy::retry::backoff_ms;
use bergamotlane_policy::targets::ChoiceRequest;
use bergamotlane_wire::http::REQUEST_ID_HEADER;

/// Targets that one call may be sent to.
const MAX_ATTEMPTS: u32 = 3;

/// Answers up to this size are read whole before they are passed on, in bytes.
const WHOLE_ANSWER_BYTES: u64 = 256 * 1024;

/// A call ready to be sent.
struct OutboundCall {
    method: reqwest::Method,
    path: String,
    head: StrippedHead,
    body: Bytes,
}

/// How one attempt ended without an answer.
enum AttemptFailure {
    /// No byte was sent.
    NotSent(Refusal),
    /// The call may have run.
    Sent(Refusal),
}

/// Handles a call of `service`.
///
/// # Errors
///
/// Returns the refusal.
pub async fn call(
    context: &Arc<ServeContext>,
    service: &str,
    rest: &str,
    req: &mut Request,
    res: &mut Response,
    busy: BusyGuard,
) -> Result<(), Refusal> {
    let body = read_body(req).await?;
    let mut head = strip_head(req.headers(), req.uri().query());
    let body = strip_body(body, &mut head);
    let call = admit(context, service, head.key)?;
    let route = call.service().ok_or_else(Refusal::not_found)?;
    let repeatable = route.repeatable || req.method().is_safe();
    let outbound = OutboundCall {
        method: req.method().clone(),
        path: rest.to_owned(),
        head,
        body,
    };
    let claim = match repeatable {
        true => None,
        false => match take_claim(context, service, &call, &outbound).await? {
            Some(ClaimResult::Kept(status, content_type, body)) => {
                res.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::OK));
                set_header(res, "content-type", &content_type);
                set_header(res, "x-bergamotlane-kept", "yes");
                res.body(body);
                return Ok(());
            }
            Some(ClaimResult::Held(claim)) => Some(claim),
            None => None,
        },
    };
    let sent = send(context, service, &call, &outbound, repeatable).await;
    match sent {
        Ok((slot, response)) => {
            let answer = PassedAnswer {
                context: Arc::clone(context),
                service: service.to_owned(),
                call,
                slot,
                claim,
                _busy: busy,
            };
            answer.pass_on(response, res).await
        }
        Err(AttemptFailure::NotSent(refusal)) => {
            if let Some(claim) = claim {
                claims::release(context, claim).await;
            }
            Err(refusal)
        }
        Err(AttemptFailure::Sent(refusal)) => Err(refusal),
    }
}

/// Takes keys out of a JSON body; any other body is passed on as it is.
fn strip_body(body: Bytes, head: &mut StrippedHead) -> Bytes {
    let json = head
        .headers
        .get("content-type")
        .is_some_and(|it| it.as_bytes().starts_with(b"application/json"));
    if !json {
        return body;
    }
    let Ok(mut value) = serde_json::from_slice(&body) else {
        return body;
    };
    match strip_json(&mut value) {
        Some(key) => {
            head.key.get_or_insert(key);
            serde_json::to_vec(&value).map_or(body, Bytes::from)
        }
        None => body,
    }
}

async fn take_claim(
    context: &ServeContext,
    service: &str,
    call: &AdmittedCall,
    outbound: &OutboundCall,
) -> Result<Option<ClaimResult>, Refusal> {
    let id = outbound.head.headers.get(REQUEST_ID_HEADER);
    let Some(id) = id.filter(|it| !it.is_empty()) else {
        // Without an ID nobody can resend it; it is sent once and never retried.
        return Ok(None);
    };
    let mut hasher = blake3::Hasher::new();
    hasher.update(outbound.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(outbound.path.as_bytes());
    hasher.update(&[0]);
    hasher.update(
        outbound
            .head
            .query
            .as_deref()
            .unwrap_or_default()
            .as_bytes(),
    );
    hasher.update(&[0]);
    hasher.update(&outbound.body);
    let digest = KeyHash(*hasher.finalize().as_bytes());
    let (customer, _) = call.customer_id();
    let taken = claims::take(context, customer, service, id.as_bytes(), digest).await?;
    Ok(Some(taken))
}

async fn send(
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
    context.shared.retries.earn();
    let mut ran = None;
    for attempt in 0..MAX_ATTEMPTS {
        if attempt > 0 {
            if now() >= call.deadline || !context.shared.retries.spend() {
                break;
            }
            context.shared.metrics.retries.inc();
            let pause = backoff_ms(attempt, rand::random());
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
        request.choice.spread = rand::random();
        let slot = enter(context, &gate, &request).await;
        let slot = match (slot, ran.take()) {
            (Ok(slot), _) => slot,
            (Err(_), Some(refusal)) => return Err(AttemptFailure::Sent(refusal)),
            (Err(refusal), None) => return Err(AttemptFailure::NotSent(refusal)),
        };
        let left = call.deadline.since(now());
        // A call that may be repeated leaves time to ask another target.
        let limit_ms = match repeatable {
            true => left / u64::from(MAX_ATTEMPTS - attempt),
            false => left,
        };
        match send_once(context, &slot, outbound, limit_ms).await {
            Ok(response) => return Ok((slot, response)),
            Err(failure) => {
                slot.report(false);
                request.choice.avoid = Some(slot.target.identity);
                match failure {
                    AttemptFailure::NotSent(refusal) if attempt + 1 == MAX_ATTEMPTS => {
                        return Err(AttemptFailure::NotSent(refusal));
                    }
                    AttemptFailure::NotSent(_) => {}
                    AttemptFailure::Sent(refusal) if !repeatable => {
                        return Err(AttemptFailure::Sent(refusal));
                    }
                    AttemptFailure::Sent(refusal) => ran = Some(refusal),
                }
            }
        }
    }
    Err(match ran {
        Some(refusal) => AttemptFailure::Sent(refusal),
        None => AttemptFailure::NotSent(Refusal::target_unreachable()),
    })
}

async fn enter(
    context: &ServeContext,
    gate: &Arc<ServiceGate>,
    request: &GateRequest,
) -> Result<SlotGuard, Refusal> {
    let entered = gate.enter(&context.shared, request.clone()).await;
    entered.map_err(Refusal::from)
}

async fn send_once(
    context: &ServeContext,
    slot: &SlotGuard,
    outbound: &OutboundCall,
    limit_ms: u64,
) -> Result<reqwest::Response, AttemptFailure> {
    let mut url = format!("http://{}{}", slot.target.address, outbound.path);
    if let Some(query) = &outbound.head.query {
        url.push('?');
        url.push_str(query);
    }
    let request = context
        .client
        .request(outbound.method.clone(), url)
        .headers(outbound.head.headers.clone())
        .body(outbound.body.clone())
        .build()
        .map_err(|_| AttemptFailure::NotSent(Refusal::bad_request("the path is not valid")))?;
    let limit = Duration::from_millis(limit_ms);
    match timeout(limit, context.client.execute(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if error.is_connect() => {
            slot.target.counters.revoke();
            Err(AttemptFailure::NotSent(Refusal::target_unreachable()))
        }
        Ok(Err(_)) => {
            let message = "the target broke off before it answered";
            Err(AttemptFailure::Sent(Refusal::target_failed(message)))
        }
        Err(_) => Err(AttemptFailure::Sent(Refusal::late())),
    }
}

/// An answer on its way from a target to a caller.
struct PassedAnswer {
    context: Arc<ServeContext>,
    service: String,
    call: AdmittedCall,
    slot: SlotGuard,
    claim: Option<HeldClaim>,
    _busy: BusyGuard,
}

impl PassedAnswer {
    /// Passes the answer on; a small one is read whole first, so that a truncation can
    /// still be refused as such.
    async fn pass_on(self, response: reqwest::Response, res: &mut Response) -> Result<(), Refusal> {
        let status = response.status();
        let headers = response.headers().clone();
        let small = response
            .content_length()
            .is_some_and(|it| it <= WHOLE_ANSWER_BYTES);
        if !small && self.claim.is_none() {
            res.status_code(status);
            copy_headers(&headers, res);
            self.stream(response, res);
            return Ok(());
        }
        let left = Duration::from_millis(self.call.deadline.since(now()));
        let body = match timeout(left, response.bytes()).await {
            Ok(Ok(body)) => body,
            Ok(Err(_)) => {
                self.slot.report(false);
                return Err(Refusal::target_failed("the target's answer was cut off"));
            }
            Err(_) => {
                self.slot.report(false);
                return Err(Refusal::late());
            }
        };
        self.slot.report(!status.is_server_error());
        if let Some(claim) = self.claim.clone() {
            let content_type = headers
                .get("content-type")
                .and_then(|it: &HeaderValue| it.to_str().ok())
                .unwrap_or("application/octet-stream");
            let code = status.as_u16();
            claims::finish(&self.context, claim, code, content_type, &body).await;
        }
        res.status_code(status);
        copy_headers(&headers, res);
        res.body(body);
        self.count();
        Ok(())
    }

    /// Streams the answer; a failure on the way breaks the caller's connection, so that
    /// a cut answer never looks whole.
    fn stream(self, response: reqwest::Response, res: &mut Response) {
        let chunks = response.bytes_stream().boxed();
        let changes = self.context.shared.subscribe();
        let state = Some((self, chunks, changes));
        let body = stream::unfold(state, |state| async move {
            let (answer, mut chunks, mut changes) = state?;
            loop {
                let left = Duration::from_millis(answer.call.deadline.since(now()));
                let chunk = tokio::select! {
                    chunk = timeout(left, chunks.next()) => chunk,
                    _ = changes.changed() => {
                        let key = answer.call.key.as_ref();
                        if is_still_allowed(&answer.context, &answer.service, key) {
                            continue;
                        }
                        return Some((Err(std::io::Error::other("key withdrawn")), None));
                    }
                };
                return match chunk {
                    Ok(Some(Ok(bytes))) => Some((Ok(bytes), Some((answer, chunks, changes)))),
                    Ok(None) => {
                        answer.slot.report(true);
                        answer.count();
                        None
                    }
                    Ok(Some(Err(error))) => {
                        answer.slot.report(false);
                        Some((Err(std::io::Error::other(error)), None))
                    }
                    Err(_) => {
                        answer.slot.report(false);
                        Some((Err(std::io::Error::other("deadline passed")), None))
                    }
                };
            }
        });
        res.replace_body(ResBody::stream(body));
    }

    /// Charges the customer for a whole answer.
    fn count(&self) {
        self.call.charge(0);
    }
}
