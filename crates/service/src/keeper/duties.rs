//! Duties that only the leader carries out: sending their requests, and usage reports. Each request
//! carries the leader's term as its fencing token.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::Request;
use http::StatusCode;
use http::header::HOST;
use http_body_util::Full;
use tokio::time::timeout;

use super::KeeperEvent;
use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::answer_body::BodyCut;
use crate::answer_body::EndedBody;
use crate::answer_body::read_body;
use crate::carried::RequestMark;
use crate::dialect::OrderHolder;
use crate::dialect::OutboundCall;
use crate::dialect::TargetDialect;
use crate::lease_watch::LeaseWatch;
use crate::metrics::METRICS;
use crate::pool::RepeatRule;
use crate::pool::SendError;
use crate::pool::TargetPool;
use crate::pool::TargetRequest;
use crate::state::StateCommand;
use crate::turns::DutySubject;
use crate::usage::CalendarWindow;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;
use bergamotlane_storage::clock::unix_ms;
use bergamotlane_wire::body_end::BodyEnd;

/// Delay from the end of a usage window until its counts are fixed, and from the start of a keeper until
/// it takes the counts for known, in milliseconds. Entries send them over each new link.
pub(super) const CLOSE_DELAY_MS: u64 = 2_500;

/// Time limit for a request of a duty, including its response body.
const DUTY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Largest body of a duty's answer that is read, in bytes.
const MAX_DUTY_ANSWER_BYTES: usize = 256 * 1024;

/// Least remaining lease time with which a duty's request is sent, in milliseconds.
const LEASE_MARGIN_MS: u64 = 60;

/// Delay before a failed usage report is sent again, in milliseconds.
const REPORT_RETRY_DELAY_MS: u64 = 700;

/// Response to a duty's request.
pub(super) struct DutyAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
}

/// Reason why a duty's request got no response.
pub(super) enum DutyFailure {
    /// The request was not sent.
    NotSent,
    /// The request may have been carried out.
    Unclear,
}

/// Sends a duty's request, unless less than [`LEASE_MARGIN_MS`] of the lease is left. At the end of
/// the lease, the connection is reset, so that nothing that is still buffered reaches the receiver.
pub(super) async fn send_duty(
    pool: &Arc<TargetPool>,
    lease: &LeaseWatch,
    address: SocketAddr,
    call: OutboundCall,
) -> Result<DutyAnswer, DutyFailure> {
    let builder = match &call.body {
        Some(_) => Request::post(&call.path),
        None => Request::get(&call.path),
    };
    let body = Full::new(call.body.unwrap_or_default());
    let Ok(mut request) = builder.body(body) else {
        return Err(DutyFailure::NotSent);
    };
    *request.headers_mut() = call.headers;
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(HOST, host);
    }
    if !lease.covers(LEASE_MARGIN_MS) {
        return Err(DutyFailure::NotSent);
    }
    let exchange = async {
        let request = TargetRequest {
            message: request,
            mark: RequestMark::WITHOUT_ID,
            rule: RepeatRule::Unsent,
        };
        let answer = pool.send(address, request, |_| false).await?;
        let (head, body) = answer.response.into_parts();
        let body = read_body(&head.headers, body, MAX_DUTY_ANSWER_BYTES).await;
        if body.is_ok() {
            answer.connection.keep();
        }
        let body = match body {
            // What is read of a body is a JSON object, which shows itself where it ends.
            Ok(EndedBody {
                bytes,
                end: BodyEnd::Length | BodyEnd::LastChunk | BodyEnd::Close,
            }) => bytes,
            // An answer that is too long or breaks off was still an answer: the duty was carried out.
            Err(BodyCut) => Bytes::new(),
        };
        Ok::<_, SendError>(DutyAnswer {
            status: head.status,
            headers: head.headers,
            body,
        })
    };
    match timeout(DUTY_TIMEOUT, lease.guard(exchange)).await {
        Ok(Some(Ok(answer))) => Ok(answer),
        Ok(Some(Err(SendError::Connect))) => Err(DutyFailure::NotSent),
        Ok(Some(Err(SendError::Gone | SendError::Broken(_) | SendError::NoAnswer(_))) | None)
        | Err(_) => Err(DutyFailure::Unclear),
    }
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Returns this keeper as the issuer of orders, or `None` if it doesn't lead.
    pub(super) fn holder(&self) -> Option<OrderHolder> {
        Some(OrderHolder {
            name: self.settings.name.clone(),
            fence: self.lead.as_ref()?.term,
        })
    }

    pub(super) fn run_duties(&mut self, time: ClockTime) {
        self.close_windows(time);
        self.report_window(time);
    }

    /// Proposes the final counts of the next usage window that has ended.
    fn close_windows(&mut self, time: ClockTime) {
        if time < self.usage_known_at {
            return;
        }
        let calendar = CalendarWindow {
            now_ms: unix_ms(),
            window_ms: self.settings.usage_window_ms.max(1),
        };
        let last_closed = self.state.windows.keys().next_back().copied();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let due = lead
            .windows
            .take_due(last_closed, &self.tally, calendar, CLOSE_DELAY_MS);
        let Some(window) = due else {
            return;
        };
        if self.state.windows.contains_key(&window) {
            return;
        }
        let counts = self.tally.total(window);
        let command = StateCommand::CloseWindow { window, counts };
        self.propose(&command, CallOrigin::Leader);
    }

    /// Sends the oldest closed usage window that the platform has not accepted yet.
    fn report_window(&mut self, time: ClockTime) {
        let (Some(address), Some(holder)) = (self.settings.platform, self.holder()) else {
            return;
        };
        let Some(lead) = &mut self.lead else {
            return;
        };
        if lead.reporting.is_some() || time < lead.report_after {
            return;
        }
        let mut unreported = self.state.windows.iter().filter(|(_, it)| !it.reported);
        let Some((window, record)) = unreported.next() else {
            return;
        };
        let window = *window;
        if let Some(wait) = self.turns.wait(time, &DutySubject::Usage, lead.term) {
            lead.report_after = wait.until;
            lead.log_wait(time, "usage", wait);
            return;
        }
        self.turns.record(time, DutySubject::Usage, lead.term);
        lead.reporting = Some(window);
        let call = self.dialect.usage_report(&holder, window, &record.counts);
        let events = self.events.clone();
        let (pool, lease) = (Arc::clone(&self.pool), self.lease.clone());
        self.runtime.spawn(async move {
            let result = send_duty(&pool, &lease, address, call).await;
            let accepted = matches!(&result, Ok(answer) if answer.status.is_success());
            let status = result.map_or(0, |answer| answer.status.as_u16());
            spdlog::info!("usage: window reported", kv: { window, status, fence = holder.fence });
            // The control thread runs until the process exits.
            let event = KeeperEvent::UsageReported { window, accepted };
            events.send(event).ok();
        });
    }

    pub(super) fn on_usage_reported(&mut self, window: u64, accepted: bool) {
        let time = now();
        self.turns.finish(time, &DutySubject::Usage);
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.reporting = None;
        lead.report_after = time + if accepted { 0 } else { REPORT_RETRY_DELAY_MS };
        if accepted {
            METRICS.windows_reported.inc();
            self.propose(&StateCommand::WindowReported(window), CallOrigin::Leader);
        }
    }
}
