//! Pool of HTTP connections to targets. A connection is reused only after the body of its last
//! answer was read to the end.

use std::collections::HashMap;
use std::io;
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
use tokio::time::sleep;
use tokio::time::timeout;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;

/// Time limit for opening a connection. Waiting for the retransmission of a lost packet, after a
/// second, gains nothing.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);

/// Time limit for the check whether a target still listens.
const PROBE_LIMIT: Duration = Duration::from_millis(150);

/// Time between two such checks.
const PROBE_PAUSE: Duration = Duration::from_millis(15);

/// Time for which sent data may stay unacknowledged before the connection fails.
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time limit for an idle connection to become ready for a request.
const READY_LIMIT: Duration = Duration::from_millis(3);

/// Idle limit of a connection if the target's answer states none, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 8_000;

/// Time for which a connection without an answer so far is kept, in milliseconds.
const WARM_UP_MS: u64 = 1_000;

/// Time before the target's own idle limit at which a connection is dropped, in milliseconds; it
/// keeps requests off connections that the target is about to close.
const IDLE_MARGIN_MS: u64 = 700;

/// Largest number of idle connections to each target.
const MAX_IDLE_CONNECTIONS: usize = 32;

/// Reason for which a request got no answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be opened; nothing was sent.
    #[error("could not connect to the target")]
    Connect,
    /// The request may have been sent on a connection that broke, and the target accepts no further
    /// one.
    #[error("the connection broke and the target accepts no other")]
    Gone,
    /// The connection failed; the request may have been sent.
    #[error("connection failed: {0}")]
    Broken(#[from] hyper::Error),
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    until: ClockTime,
}

/// Connection that has received the head of an answer, and whose body is being read.
pub struct ActiveConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    until: ClockTime,
    pool: Arc<TargetPool>,
}

impl ActiveConnection {
    /// Returns the connection to the pool. Must be called only after the body of the answer was
    /// read to its end.
    pub fn keep(self) {
        if self.sender.is_closed() || now() >= self.until {
            return;
        }
        let mut idle = self
            .pool
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(self.address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                sender: self.sender,
                until: self.until,
            });
        }
    }
}

/// Idle connections by the address of their target.
#[derive(Default)]
pub struct TargetPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
    /// Whether connections are reset when they are dropped.
    resets: bool,
}

impl TargetPool {
    /// Returns an empty pool.
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    /// Returns an empty pool whose connections are reset when they are dropped, so that a request
    /// that is given up does not leave the send buffer later.
    pub fn resetting() -> Arc<Self> {
        Arc::new(Self {
            resets: true,
            ..Self::default()
        })
    }

    /// Drops all idle connections.
    pub fn clear(&self) {
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Drops connections that are closed or past their idle limit.
    pub fn prune(&self) {
        let time = now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle.values_mut() {
            connections.retain(|it| time < it.until && !it.sender.is_closed());
        }
        idle.retain(|_, connections| !connections.is_empty());
    }

    /// Takes a usable idle connection from the pool, if there is one.
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
        if self.tune(&stream).is_err() {
            return Err(SendError::Connect);
        }
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // An error of the connection also reaches its sender, which reports it.
        tokio::spawn(async move { connection.await.ok() });
        Ok(sender)
    }

    fn tune(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(stream);
        if self.resets {
            socket.set_linger(Some(Duration::ZERO))?;
        }
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
    }

    /// Sends a request and returns the head of its answer. An idle connection is used if there is
    /// one, else a new one.
    ///
    /// If an idle connection fails, the request is sent again on a new one, provided that it was
    /// not sent or that `may_repeat` is set. Dropping the unread answer, or this future, closes
    /// the connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Connect`] if the request certainly wasn't sent, and
    /// [`SendError::Gone`] or [`SendError::Broken`] if it may have reached the target.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        may_repeat: bool,
    ) -> Result<(Response<Incoming>, ActiveConnection), SendError> {
        let mut may_have_arrived = false;
        if let Some(mut sender) = self.reuse(address).await {
            let copy = request.clone();
            match sender.try_send_request(copy).await {
                Ok(response) => return Ok(self.activate(address, sender, response)),
                Err(mut error) => {
                    let unsent = error.take_message().is_some();
                    if !unsent && !may_repeat {
                        return Err(SendError::Broken(error.into_error()));
                    }
                    may_have_arrived = !unsent;
                }
            }
        }
        let mut sender = match self.connect(address).await {
            Err(SendError::Connect) if may_have_arrived => return Err(SendError::Gone),
            connected => connected?,
        };
        let response = sender.send_request(request).await?;
        Ok(self.activate(address, sender, response))
    }

    /// Opens a connection to an address and keeps it for a later request. Returns whether that
    /// succeeded.
    pub async fn warm_up(&self, address: SocketAddr) -> bool {
        let Ok(sender) = self.connect(address).await else {
            return false;
        };
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                sender,
                until: now() + WARM_UP_MS,
            });
        }
        true
    }

    /// Returns whether no process listens at an address any more. An address that doesn't answer at
    /// all counts as in use.
    pub async fn is_abandoned(&self, address: SocketAddr) -> bool {
        if refuses_connections(address).await {
            return true;
        }
        // A process that ends may close its connections before it stops listening.
        sleep(PROBE_PAUSE).await;
        refuses_connections(address).await
    }

    /// Pairs an answer with its connection, which may return to the pool until its idle limit.
    fn activate(
        self: &Arc<Self>,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        response: Response<Incoming>,
    ) -> (Response<Incoming>, ActiveConnection) {
        let idle_ms = idle_limit_ms(response.headers()).unwrap_or(DEFAULT_IDLE_MS);
        let connection = ActiveConnection {
            address,
            sender,
            until: now() + idle_ms.saturating_sub(IDLE_MARGIN_MS),
            pool: Arc::clone(self),
        };
        (response, connection)
    }
}

/// Returns whether connections to an address are refused at once.
async fn refuses_connections(address: SocketAddr) -> bool {
    match timeout(PROBE_LIMIT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Returns the idle limit that the target states in its `keep-alive` header, in milliseconds.
fn idle_limit_ms(headers: &HeaderMap) -> Option<u64> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|it| it.trim().strip_prefix("timeout="))?;
    Some(seconds.trim().parse::<u64>().ok()? * 1_000)
}
