//! Forwards requests for plain services to targets, with retries and claims.

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
use super::attempts::AttemptFailure;
use super::attempts::OutboundCall;
use super::attempts::send;
use super::callers::AdmittedCall;
use super::callers::admit;
use super::callers::is_still_allowed;
use super::claims;
use super::claims::ClaimResult;
use super::claims::HeldClaim;
use super::ended_body::read_whole;
use super::ended_body::whole_parts;
use super::keys::StrippedHead;
use super::keys::strip_head;
use super::keys::strip_json;
use super::read_body;
use crate::clock::now;
use crate::gate::SlotGuard;
use crate::shared::RequestGuard;
use bergamotlane_policy::plan::KeyHash;
use bergamotlane_wire::answer_status::FinalStatus;
use bergamotlane_wire::http::REQUEST_ID_HEADER;

/// Largest response that is buffered before it is forwarded, in bytes; larger ones and those
/// of unknown length are streamed.
const MAX_BUFFERED_BYTES: u64 = 256 * 1024;

/// Forwards a request to a target of `service`, under the path `rest`.
///
/// # Errors
///
/// Returns the refusal to answer with.
pub async fn call(
    context: &Arc<ServeContext>,
    service: &str,
    rest: &str,
    req: &mut Request,
    res: &mut Response,
    in_progress: RequestGuard,
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
        false => match claim_call(context, service, &call, &outbound).await? {
            Some(ClaimResult::Kept(status, content_type, body)) => {
                res.status_code(kept_status(status)?);
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
            let forwarded = ForwardedResponse {
                context: Arc::clone(context),
                service: service.to_owned(),
                call,
                slot,
                claim,
                _in_progress: in_progress,
            };
            forwarded.forward(response, res).await
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

/// Returns the status of a kept response. One that an earlier build kept may be that of no answer.
fn kept_status(status: u16) -> Result<StatusCode, Refusal> {
    let failed = |error: String| Refusal::target_failed(error);
    let status = FinalStatus::try_from(status).map_err(|fault| failed(fault.to_string()))?;
    StatusCode::from_u16(status.as_u16()).map_err(|error| failed(error.to_string()))
}

/// Removes keys from a JSON body; any other body is forwarded as it is.
fn strip_body(body: Bytes, head: &mut StrippedHead) -> Bytes {
    let is_json = head
        .headers
        .get("content-type")
        .is_some_and(|value| value.as_bytes().starts_with(b"application/json"));
    if !is_json {
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

/// Claims a call by its request ID; returns `None` for a request without an ID.
async fn claim_call(
    context: &ServeContext,
    service: &str,
    call: &AdmittedCall,
    outbound: &OutboundCall,
) -> Result<Option<ClaimResult>, Refusal> {
    let id = outbound.head.headers.get(REQUEST_ID_HEADER);
    let Some(id) = id.filter(|value| !value.is_empty()) else {
        // Without an ID a later attempt can't be matched to this one, so there is nothing to
        // claim; the request is sent once and never retried.
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
    let result = claims::acquire(context, customer, service, id.as_bytes(), digest).await?;
    Ok(Some(result))
}

/// A target's response on its way to the caller, with the slot and the claim that it holds.
struct ForwardedResponse {
    context: Arc<ServeContext>,
    service: String,
    call: AdmittedCall,
    slot: SlotGuard,
    claim: Option<HeldClaim>,
    _in_progress: RequestGuard,
}

impl ForwardedResponse {
    /// Forwards the response.
    ///
    /// A small response is buffered, so that a truncation can still be answered with a
    /// refusal; so is that of a claimed call, to store it for retries.
    async fn forward(self, response: reqwest::Response, res: &mut Response) -> Result<(), Refusal> {
        let status = response.status();
        let headers = response.headers().clone();
        let is_small = response
            .content_length()
            .is_some_and(|length| length <= MAX_BUFFERED_BYTES);
        if !is_small && self.claim.is_none() {
            res.status_code(status);
            copy_headers(&headers, res);
            self.stream(response, res);
            return Ok(());
        }
        let time_left = Duration::from_millis(self.call.deadline.since(now()));
        let body = match timeout(time_left, read_whole(response)).await {
            Ok(Ok(body)) => body,
            Ok(Err(cut)) => {
                self.slot.report(false);
                return Err(Refusal::target_failed(cut.to_string()));
            }
            Err(_) => {
                self.slot.report(false);
                return Err(Refusal::deadline_passed());
            }
        };
        self.slot.report(!status.is_server_error());
        if let Some(claim) = self.claim.clone() {
            let content_type = headers
                .get("content-type")
                .and_then(|value: &HeaderValue| value.to_str().ok())
                .unwrap_or("application/octet-stream");
            let code = status.as_u16();
            claims::finish(&self.context, claim, code, content_type, &body).await;
        }
        res.status_code(status);
        copy_headers(&headers, res);
        res.body(body);
        self.charge_request();
        Ok(())
    }

    /// Streams the response; a failure on the way aborts the caller's connection, so that
    /// the caller can't take a truncated response for a complete one.
    fn stream(self, response: reqwest::Response, res: &mut Response) {
        let chunks = whole_parts(response).boxed();
        let changes = self.context.shared.subscribe();
        let state = Some((self, chunks, changes));
        let body = stream::unfold(state, |state| async move {
            let (forwarded, mut chunks, mut changes) = state?;
            loop {
                let time_left = Duration::from_millis(forwarded.call.deadline.since(now()));
                let chunk = tokio::select! {
                    chunk = timeout(time_left, chunks.next()) => chunk,
                    _ = changes.changed() => {
                        let key = forwarded.call.key.as_ref();
                        if is_still_allowed(&forwarded.context, &forwarded.service, key) {
                            continue;
                        }
                        let error = std::io::Error::other("the caller's key was withdrawn");
                        return Some((Err(error), None));
                    }
                };
                return match chunk {
                    Ok(Some(Ok(bytes))) => Some((Ok(bytes), Some((forwarded, chunks, changes)))),
                    Ok(None) => {
                        forwarded.slot.report(true);
                        forwarded.charge_request();
                        None
                    }
                    Ok(Some(Err(error))) => {
                        forwarded.slot.report(false);
                        Some((Err(error), None))
                    }
                    Err(_) => {
                        forwarded.slot.report(false);
                        Some((
                            Err(std::io::Error::other("the deadline of the request passed")),
                            None,
                        ))
                    }
                };
            }
        });
        res.replace_body(ResBody::stream(body));
    }

    /// Charges the customer for one request; plain services report no tokens.
    fn charge_request(&self) {
        self.call.charge(0);
    }
}
