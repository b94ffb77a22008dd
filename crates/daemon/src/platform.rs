//! Orders and usage reports to the platform, and orders to engines to load weights.
//!
//! An order must not take effect after its deadline, even if the platform ignores fencing
//! tokens. Therefore the clock is checked right before the write, and at the deadline the
//! connection is reset, so that no data stays in a socket buffer and is sent later.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HOST;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::time::timeout;

use crate::clock::now;
use crate::control::ControlHandle;
use crate::control::ControlInput;
use crate::control::class_label;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::control::ClosedWindow;
use bergamotlane_policy::control::OrderKey;
use bergamotlane_policy::control::OrderRecord;
use bergamotlane_policy::control::OrderResult;
use bergamotlane_wire::answer_status::FinalStatus;
use bergamotlane_wire::answer_status::StatusFault;
use bergamotlane_wire::http::LoadBody;
use bergamotlane_wire::http::TargetOrderBody;
use bergamotlane_wire::http::UsageLineBody;
use bergamotlane_wire::http::UsageReportBody;

/// Longest duration of an order or a report, in milliseconds. A leader sends one only if its
/// lease lasts longer, and a new leader waits as long after the old lease.
pub const ORDER_DEADLINE_MS: u64 = 500;

/// Longest duration of an order to load weights, in milliseconds; engines answer before they
/// load.
const LOAD_DEADLINE_MS: u64 = 2_000;

/// Why the outcome of an exchange is unknown, or why nothing was sent.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The deadline passed before the request was sent or before the response was complete.
    #[error("the deadline passed before the response was complete")]
    Late,
    /// The connection could not be opened or configured.
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    /// The HTTP exchange failed on an open connection.
    #[error("HTTP exchange failed: {0}")]
    Exchange(#[from] hyper::Error),
    /// What came back is no answer in the protocol.
    #[error("no answer: {0}")]
    NoAnswer(#[from] StatusFault),
    /// The body could not be encoded as JSON.
    #[error("could not encode the body as JSON: {0}")]
    Encode(#[from] serde_json::Error),
    /// The HTTP request could not be built.
    #[error("could not build the HTTP request: {0}")]
    Build(#[from] hyper::http::Error),
}

/// Client of the platform; each request has a connection of its own.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    handle: ControlHandle,
}

impl PlatformClient {
    /// Creates a client that sends the results of orders and reports to the control thread.
    pub fn new(address: SocketAddr, handle: ControlHandle) -> Self {
        Self { address, handle }
    }

    /// Sends an order for a number of targets, with the term as the fencing token.
    ///
    /// The leader's lease must last for at least [`ORDER_DEADLINE_MS`] from `time`.
    pub fn send_order(
        &self,
        runtime: &Handle,
        time: ClockTime,
        term: u64,
        key: &OrderKey,
        order: &OrderRecord,
    ) {
        let body = TargetOrderBody {
            order: order.id,
            fence: term,
            service: key.service.clone(),
            zone: key.zone.clone(),
            class: class_label(key.class).to_owned(),
            count: order.count,
        };
        let client = self.clone();
        let key = key.clone();
        let id = order.id;
        runtime.spawn(async move {
            let sent = post_once(
                client.address,
                "/v1/orders",
                &body,
                time + ORDER_DEADLINE_MS,
            );
            let result = match sent.await {
                Ok(status) if status.is_success() => Some(OrderResult::Taken),
                Ok(status) if status.is_client_error() => Some(OrderResult::Refused),
                Ok(_) => None,
                Err(error) => {
                    spdlog::warn!("order: outcome of order {id} is unknown: {error}");
                    None
                }
            };
            client
                .handle
                .send(ControlInput::OrderEnded { key, id, result });
        });
    }

    /// Reports the usage of a closed window, with the term as the fencing token.
    ///
    /// The leader's lease must last for at least [`ORDER_DEADLINE_MS`] from `time`.
    pub fn send_report(
        &self,
        runtime: &Handle,
        time: ClockTime,
        term: u64,
        window: u64,
        closed: &ClosedWindow,
    ) {
        let lines = closed.figures.iter().map(|(key, figure)| UsageLineBody {
            customer: key.customer.clone(),
            service: key.service.clone(),
            requests: figure.requests,
            tokens: figure.tokens,
            samples: figure.samples,
            uncharged: figure.uncharged,
        });
        let body = UsageReportBody {
            window,
            fence: term,
            start_ms: closed.start_ms,
            end_ms: closed.end_ms,
            lines: lines.collect(),
        };
        let client = self.clone();
        runtime.spawn(async move {
            let sent = post_once(client.address, "/v1/usage", &body, time + ORDER_DEADLINE_MS);
            let taken = match sent.await {
                Ok(status) => status.is_success(),
                Err(error) => {
                    spdlog::warn!("usage: report of window {window} failed: {error}");
                    false
                }
            };
            client
                .handle
                .send(ControlInput::ReportEnded { window, taken });
        });
    }
}

/// Orders an engine to load a weight version, with the term as the fencing token.
///
/// The result isn't read: the version that an engine announces shows what it loaded.
pub fn load_weights(runtime: &Handle, address: String, version: u64, term: u64) {
    let time = now();
    runtime.spawn(async move {
        let Ok(socket_address) = address.parse() else {
            return;
        };
        let body = LoadBody {
            version,
            fence: term,
        };
        let sent = post_once(socket_address, "/v1/load", &body, time + LOAD_DEADLINE_MS);
        if let Err(error) = sent.await {
            spdlog::warn!("weights: load order to {address} failed: {error}");
        }
    });
}

/// Posts a JSON body on a new connection, which is reset at the latest when this returns.
async fn post_once<T: Serialize>(
    address: SocketAddr,
    path: &str,
    body: &T,
    deadline: ClockTime,
) -> Result<StatusCode, OrderError> {
    let time_left = Duration::from_millis(deadline.since(now()));
    let exchange = exchange(address, path, body, deadline);
    timeout(time_left, exchange)
        .await
        .map_err(|_| OrderError::Late)?
}

/// Connects, sends the request and reads the response to its end.
async fn exchange<T: Serialize>(
    address: SocketAddr,
    path: &str,
    body: &T,
    deadline: ClockTime,
) -> Result<StatusCode, OrderError> {
    let body = serde_json::to_vec(body)?;
    let stream = TcpStream::connect(address).await?;
    // With no linger time a close discards unsent data and resets the connection.
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::post(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))?;
    // The process may have been suspended since the deadline was set.
    if now() >= deadline {
        return Err(OrderError::Late);
    }
    let response_status = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        FinalStatus::try_from(status.as_u16())?;
        response.into_body().collect().await?;
        Ok::<_, OrderError>(status)
    };
    tokio::pin!(connection);
    tokio::select! {
        biased;
        status = response_status => status,
        closed = &mut connection => {
            closed?;
            Err(OrderError::Late)
        }
    }
}
