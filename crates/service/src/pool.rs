//! Kept connections to targets. A connection is reused only while nothing unread is on it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;

/// Longest time for a new connection.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);

/// Silence on a connection with unacknowledged data after which it fails.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time for a kept connection to become ready again.
const READY_LIMIT: Duration = Duration::from_millis(3);

/// Idle time after which a connection is not reused, if the target names none, in
/// milliseconds.
const DEFAULT_IDLE_MS: u64 = 8_000;

/// Time before the target's own idle limit at which a connection is dropped, in milliseconds.
const IDLE_MARGIN_MS: u64 = 700;

/// Kept connections by target.
const MAX_IDLE: usize = 32;

/// Why a request got no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be made; nothing was sent.
    #[error("could not connect")]
    Connect,
    /// The connection failed after the request may have been sent.
    #[error("connection failed: {0}")]
    Broken(#[from] hyper::Error),
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    until: ClockTime,
}

/// A connection that has answered a request whose body is being read.
pub struct Lease {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    until: ClockTime,
    pool: Arc<TargetPool>,
}

impl Lease {
    /// Keeps the connection for later; call it once the body was read to its end.
    pub fn keep(self) {
        if self.sender.is_closed() || now() >= self.until {
            return;
        }
        let mut idle = self
            .pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(self.address).or_default();
        if kept.len() < MAX_IDLE {
            kept.push(IdleConnection {
                sender: self.sender,
                until: self.until,
            });
        }
    }
}

/// The pool.
#[derive(Default)]
pub struct TargetPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl TargetPool {
    /// Makes an empty pool.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Drops connections whose idle time is over.
    pub fn prune(&self) {
        let time = now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for kept in idle.values_mut() {
            kept.retain(|it| time < it.until && !it.sender.is_closed());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    async fn reuse(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        loop {
            let mut connection = {
                let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
                idle.get_mut(&address)?.pop()?
            };
            if now() >= connection.until || connection.sender.is_closed() {
                continue;
            }
            let ready = timeout(READY_LIMIT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection.sender);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = stream else {
            return Err(SendError::Connect);
        };
        let tuned = stream.set_nodelay(true).and_then(|()| {
            socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))
        });
        if tuned.is_err() {
            return Err(SendError::Connect);
        }
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // The connection's end shows at its sender.
        tokio::spawn(async move { connection.await.ok() });
        Ok(sender)
    }

    /// Sends a request, on a kept connection if there is one, and returns the answer's head.
    ///
    /// With `may_repeat`, a request that a kept connection lost is sent again on a new one.
    /// Dropping the answer unread, or this future, closes the connection.
    ///
    /// # Errors
    ///
    /// Returns whether the request can have reached the target.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        may_repeat: bool,
    ) -> Result<(Response<Incoming>, Lease), SendError> {
        if let Some(mut sender) = self.reuse(address).await {
            let copy = request.clone();
            match sender.try_send_request(copy).await {
                Ok(response) => return Ok(self.lease(address, sender, response)),
                Err(mut error) => {
                    let unsent = error.take_message().is_some();
                    if !unsent && !may_repeat {
                        return Err(SendError::Broken(error.into_error()));
                    }
                }
            }
        }
        let mut sender = self.connect(address).await?;
        let response = sender.send_request(request).await?;
        Ok(self.lease(address, sender, response))
    }

    fn lease(
        self: &Arc<Self>,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        response: Response<Incoming>,
    ) -> (Response<Incoming>, Lease) {
        let idle_ms = idle_limit_ms(response.headers()).unwrap_or(DEFAULT_IDLE_MS);
        let lease = Lease {
            address,
            sender,
            until: now() + idle_ms.saturating_sub(IDLE_MARGIN_MS),
            pool: Arc::clone(self),
        };
        (response, lease)
    }
}

/// Returns the idle limit that a target names, in milliseconds.
fn idle_limit_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|it| it.trim().strip_prefix("timeout="))?;
    Some(seconds.trim().parse::<u64>().ok()? * 1_000)
}
