//! Orders and reports to the platform, and load orders to engines.
//!
//! An order must have no effect after its deadline, even if the platform ignores fencing
//! numbers: the clock is checked right before the write, and at the deadline the
//! connection is aborted with a reset, so that nothing lingers in a socket buffer.

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
use crate::control::class_word;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::control::ClosedWindow;
use bergamotlane_policy::control::OrderKey;
use bergamotlane_policy::control::OrderRecord;
use bergamotlane_policy::control::OrderResult;
use bergamotlane_wire::http::LoadBody;
use bergamotlane_wire::http::TargetOrderBody;
use bergamotlane_wire::http::UsageLineBody;
use bergamotlane_wire::http::UsageReportBody;

/// Longest time from an order's start to its end, in milliseconds.
pub const ORDER_DEADLINE_MS: u64 = 500;

/// Time for a load order, which the engine answers before it loads, in milliseconds.
const LOAD_LIMIT_MS: u64 = 2_000;

/// Why nobody knows how an order ended, or that it was not sent.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The deadline passed.
    #[error("deadline passed")]
    Late,
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connect(#[from] std::io::Error),
    /// The exchange failed.
    #[error("exchange failed: {0}")]
    Exchange(#[from] hyper::Error),
    /// The body could not be encoded.
    #[error("could not encode: {0}")]
    Encode(#[from] serde_json::Error),
    /// The request could not be built.
    #[error("could not build the request: {0}")]
    Build(#[from] hyper::http::Error),
}

/// Way to the platform.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    handle: ControlHandle,
}

impl PlatformClient {
    /// Creates a client that reports results to the control thread.
    pub fn new(address: SocketAddr, handle: ControlHandle) -> Self {
        Self { address, handle }
    }

    /// Sends an order for targets. The caller's lease must outlast [`ORDER_DEADLINE_MS`].
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
            class: class_word(key.class).to_owned(),
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
                    spdlog::warn!("order: Order {id} has no outcome yet: {error}.");
                    None
                }
            };
            client
                .handle
                .send(ControlInput::OrderEnded { key, id, result });
        });
    }

    /// Reports a closed window. The caller's lease must outlast [`ORDER_DEADLINE_MS`].
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
                    spdlog::warn!("usage: Report of window {window} failed: {error}.");
                    false
                }
            };
            client
                .handle
                .send(ControlInput::ReportEnded { window, taken });
        });
    }
}

/// Orders an engine to load a weight version; what it does is seen by what it announces.
pub fn load_weights(runtime: &Handle, address: String, version: u64, term: u64) {
    let time = now();
    runtime.spawn(async move {
        let Ok(socket) = address.parse() else {
            return;
        };
        let body = LoadBody {
            version,
            fence: term,
        };
        let sent = post_once(socket, "/v1/load", &body, time + LOAD_LIMIT_MS);
        if let Err(error) = sent.await {
            spdlog::warn!("weights: Order to {address} failed: {error}.");
        }
    });
}

/// Posts a JSON body on a connection of its own, which is reset when this ends.
async fn post_once<T: Serialize>(
    address: SocketAddr,
    path: &str,
    body: &T,
    deadline: ClockTime,
) -> Result<StatusCode, OrderError> {
    let left = Duration::from_millis(deadline.since(now()));
    let exchange = exchange(address, path, body, deadline);
    timeout(left, exchange)
        .await
        .map_err(|_| OrderError::Late)?
}

async fn exchange<T: Serialize>(
    address: SocketAddr,
    path: &str,
    body: &T,
    deadline: ClockTime,
) -> Result<StatusCode, OrderError> {
    let body = serde_json::to_vec(body)?;
    let stream = TcpStream::connect(address).await?;
    socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::post(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))?;
    // The process may have been frozen since the deadline was set.
    if now() >= deadline {
        return Err(OrderError::Late);
    }
    let answer = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        Ok::<_, hyper::Error>(status)
    };
    tokio::pin!(connection);
    tokio::select! {
        biased;
        status = answer => Ok(status?),
        ended = &mut connection => {
            ended?;
            Err(OrderError::Late)
        }
    }
}
