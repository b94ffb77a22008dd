//! Pool of HTTP connections to targets. A connection is reused only after the body of its last
//! answer was read to the end.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::carried::CarriedRequests;
use crate::carried::RequestMark;
use crate::metrics::METRICS;
use crate::silence::SlowestAnswer;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::answer_status::FinalStatus;
use bergamotlane_wire::answer_status::StatusFault;

/// Largest read buffer of a connection to a target, which also bounds the headers of an answer, in
/// bytes. What an answer holds beyond it is in the budget of answers.
const CONNECTION_BUFFER_BYTES: usize = 64 * 1024;

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

/// Time from opening a connection to a target that stays silent until a request is sent again on it. A
/// target that is only slow often answers within it.
const REPEAT_PAUSE: Duration = Duration::from_millis(100);

/// Time for which the time of a target's latest answer is kept, in milliseconds.
const ANSWER_MEMORY_MS: u64 = 10_000;

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
    /// What came back is no answer in the protocol; the request may have run.
    #[error("no answer: {0}")]
    NoAnswer(#[from] StatusFault),
}

/// When a request may be sent again on a new connection to the same target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatRule {
    /// Only if it certainly wasn't sent.
    Unsent,
    /// Also if the kept connection broke on which it was sent.
    AfterBreak,
    /// Also if that connection stays silent.
    AfterSilence,
}

/// Request to a target.
#[derive(Debug)]
pub struct TargetRequest {
    /// Request to send.
    pub message: Request<Full<Bytes>>,
    /// What tells it from others on a connection.
    pub mark: RequestMark,
    /// When it may be sent again.
    pub rule: RepeatRule,
}

/// What is known of the other copies of a request that one copy was answered for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OtherCopies {
    /// None was sent, or the target refused each: what the answer says of its copy holds for the request.
    NotRun,
    /// One may run or have run, so that a refusal of this copy says nothing of the request.
    MayRun,
}

/// Head of a target's answer, with its connection.
pub struct TargetAnswer {
    /// The answer, whose body is still to be read.
    pub response: Response<Incoming>,
    /// Connection that it came on.
    pub connection: ActiveConnection,
    /// What is known of other copies of the request.
    pub copies: OtherCopies,
}

/// Open connection, with what it has carried.
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    carried: CarriedRequests,
}

struct IdleConnection {
    connection: OpenConnection,
    until: ClockTime,
}

/// Connection that has received the head of an answer, and whose body is being read.
pub struct ActiveConnection {
    address: SocketAddr,
    connection: OpenConnection,
    until: ClockTime,
    pool: Arc<TargetPool>,
}

impl ActiveConnection {
    /// Returns the connection to the pool. Must be called only after the body of the answer was
    /// read to its end.
    pub fn keep(self) {
        let OpenConnection { sender, carried } = &self.connection;
        if sender.is_closed() || carried.is_full() || now() >= self.until {
            return;
        }
        let connection = IdleConnection {
            connection: self.connection,
            until: self.until,
        };
        self.pool.add_idle(self.address, connection);
    }
}

/// Idle connections to a target.
#[derive(Default)]
struct TargetConnections {
    idle: Vec<IdleConnection>,
    /// Time of the target's latest answer.
    answered_at: ClockTime,
    /// Time at which a connection was last opened.
    connected_at: ClockTime,
}

/// Answer to one copy of a request.
struct CopyAnswer {
    response: Response<Incoming>,
    connection: OpenConnection,
    copies: OtherCopies,
}

/// End of a request that was sent on a kept connection.
enum KeptEnd {
    Answered(Box<CopyAnswer>),
    /// The connection broke before the request was sent.
    Unsent,
    /// The connection broke after the request may have been sent.
    Broken(hyper::Error),
    /// The request may have been sent, also on a new connection, which broke.
    Failed(hyper::Error),
}

/// Connections to targets, by the address of their target.
#[derive(Default)]
pub struct TargetPool {
    targets: Mutex<HashMap<SocketAddr, TargetConnections>>,
    slowest: Mutex<SlowestAnswer>,
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

    fn targets(&self) -> MutexGuard<'_, HashMap<SocketAddr, TargetConnections>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add_idle(&self, address: SocketAddr, connection: IdleConnection) {
        let mut targets = self.targets();
        let idle = &mut targets.entry(address).or_default().idle;
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }

    /// Drops all idle connections.
    pub fn clear(&self) {
        self.targets().clear();
    }

    /// Drops connections that are closed or past their idle limit.
    pub fn prune(&self) {
        let time = now();
        let mut targets = self.targets();
        for target in targets.values_mut() {
            target
                .idle
                .retain(|it| time < it.until && !it.connection.sender.is_closed());
        }
        targets.retain(|_, target| {
            !target.idle.is_empty() || time.since(target.answered_at) < ANSWER_MEMORY_MS
        });
    }

    /// Takes a usable idle connection from the pool that may carry a request, if there is one.
    async fn reuse(&self, address: SocketAddr, mark: RequestMark) -> Option<OpenConnection> {
        loop {
            let idle = self.take_idle(address, mark)?;
            let mut connection = idle.connection;
            if now() >= idle.until || connection.sender.is_closed() {
                continue;
            }
            let ready = timeout(READY_LIMIT, connection.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(connection);
            }
        }
    }

    /// Takes the idle connection that was used last from those that may carry a request.
    fn take_idle(&self, address: SocketAddr, mark: RequestMark) -> Option<IdleConnection> {
        let mut targets = self.targets();
        let idle = &mut targets.get_mut(&address)?.idle;
        let may_carry = |it: &IdleConnection| it.connection.carried.may_carry(mark);
        let position = idle.iter().rposition(may_carry)?;
        Some(idle.remove(position))
    }

    async fn connect(&self, address: SocketAddr) -> Result<OpenConnection, SendError> {
        let stream = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = stream else {
            return Err(SendError::Connect);
        };
        if self.tune(&stream).is_err() {
            return Err(SendError::Connect);
        }
        let mut builder = http1::Builder::new();
        builder.max_buf_size(CONNECTION_BUFFER_BYTES);
        let (sender, connection) = builder.handshake(TokioIo::new(stream)).await?;
        // An error of the connection also reaches its sender, which reports it.
        tokio::spawn(async move { connection.await.ok() });
        self.targets().entry(address).or_default().connected_at = now();
        Ok(OpenConnection {
            sender,
            carried: CarriedRequests::default(),
        })
    }

    /// Returns whether a connection to an address has been opened since a time.
    pub fn has_connected_since(&self, address: SocketAddr, time: ClockTime) -> bool {
        let targets = self.targets();
        targets
            .get(&address)
            .is_some_and(|it| it.connected_at >= time)
    }

    fn tune(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let socket = socket2::SockRef::from(stream);
        if self.resets {
            socket.set_linger(Some(Duration::ZERO))?;
        }
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
    }

    /// Sends a request and returns the head of its answer. An idle connection is used if there is one that
    /// has carried no request of the same mark, else a new one.
    ///
    /// If an idle connection breaks or stays silent, a second copy of the request is sent on a new one as
    /// far as its rule allows. An answer for which `is_refusal` holds ends the request only if no other
    /// copy may still be answered. Dropping the unread answer, or this future, closes the connection.
    ///
    /// # Errors
    ///
    /// Returns [`SendError::Connect`] if the request certainly wasn't sent, and
    /// [`SendError::Gone`], [`SendError::Broken`] or [`SendError::NoAnswer`] if it may have reached the
    /// target.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: TargetRequest,
        is_refusal: impl Fn(&Response<Incoming>) -> bool,
    ) -> Result<TargetAnswer, SendError> {
        let started = now();
        let mut copies = OtherCopies::NotRun;
        if let Some(connection) = self.reuse(address, request.mark).await {
            let sent = self.send_kept(address, connection, &request, is_refusal);
            match sent.await {
                KeptEnd::Answered(answer) => {
                    self.record_answer(started);
                    return self.activate(address, *answer);
                }
                KeptEnd::Unsent => {}
                KeptEnd::Broken(_) if request.rule != RepeatRule::Unsent => {
                    copies = OtherCopies::MayRun;
                }
                KeptEnd::Broken(error) | KeptEnd::Failed(error) => {
                    return Err(SendError::Broken(error));
                }
            }
        }
        let mut connection = match self.connect(address).await {
            Err(SendError::Connect) if copies == OtherCopies::MayRun => {
                return Err(SendError::Gone);
            }
            connected => connected?,
        };
        connection.carried.record(request.mark);
        let response = connection.sender.send_request(request.message).await?;
        self.record_answer(started);
        let answer = CopyAnswer {
            response,
            connection,
            copies,
        };
        self.activate(address, answer)
    }

    /// Sends a request on a kept connection. If the target stays silent on all connections, those that
    /// are idle are dropped, and the request is sent again on a new one as far as its rule allows.
    async fn send_kept(
        &self,
        address: SocketAddr,
        mut connection: OpenConnection,
        request: &TargetRequest,
        is_refusal: impl Fn(&Response<Incoming>) -> bool,
    ) -> KeptEnd {
        let started = now();
        connection.carried.record(request.mark);
        let message = request.message.clone();
        let mut sent = std::pin::pin!(connection.sender.try_send_request(message));
        let limit = self.slowest().silence_limit(started);
        let result = match timeout(limit, sent.as_mut()).await {
            Ok(result) => result,
            Err(_) if self.has_answered_since(address, started) => sent.await,
            Err(_) => {
                self.drop_silent(address);
                match request.rule {
                    RepeatRule::AfterSilence => {
                        let first = async { end_of_first(sent.await, connection) };
                        return self.send_both(address, first, request, is_refusal).await;
                    }
                    RepeatRule::Unsent | RepeatRule::AfterBreak => sent.await,
                }
            }
        };
        end_of_first(result, connection)
    }

    /// Waits for the end of the first copy of a request, and sends a second one meanwhile. The first
    /// answer counts, unless it is a refusal, which says nothing of the other copy: the request ends with
    /// that one then.
    async fn send_both(
        &self,
        address: SocketAddr,
        first: impl Future<Output = KeptEnd>,
        request: &TargetRequest,
        is_refusal: impl Fn(&Response<Incoming>) -> bool,
    ) -> KeptEnd {
        let is_sent_again = AtomicBool::new(false);
        let mut first = std::pin::pin!(first);
        let mut second = std::pin::pin!(self.send_again(address, request, &is_sent_again));
        tokio::select! {
            end = first.as_mut() => match end {
                end if !is_sent_again.load(Ordering::Relaxed) => end,
                KeptEnd::Answered(answer) if is_refusal(&answer.response) => {
                    end_after_refusal(answer, second.await)
                }
                KeptEnd::Answered(answer) => may_run(answer),
                KeptEnd::Unsent => second.await,
                KeptEnd::Broken(_) | KeptEnd::Failed(_) => match second.await {
                    KeptEnd::Answered(answer) => may_run(answer),
                    end => end,
                },
            },
            end = second.as_mut() => match end {
                KeptEnd::Answered(answer) if is_refusal(&answer.response) => {
                    end_after_refusal(answer, first.await)
                }
                KeptEnd::Answered(answer) => may_run(answer),
                end => end,
            },
        }
    }

    /// Sends a request on a new connection, unless it is answered within [`REPEAT_PAUSE`]; the
    /// connection is kept then. Waits for ever if there is none. Sets `is_sent` before it sends.
    async fn send_again(
        &self,
        address: SocketAddr,
        request: &TargetRequest,
        is_sent: &AtomicBool,
    ) -> KeptEnd {
        if !self.warm_up(address).await {
            return std::future::pending().await;
        }
        sleep(REPEAT_PAUSE).await;
        let kept = self.reuse(address, request.mark).await;
        let connection = match kept {
            Some(connection) => Ok(connection),
            None => self.connect(address).await,
        };
        let Ok(mut connection) = connection else {
            return std::future::pending().await;
        };
        is_sent.store(true, Ordering::Relaxed);
        connection.carried.record(request.mark);
        let sent = connection.sender.send_request(request.message.clone());
        match sent.await {
            Ok(response) => KeptEnd::Answered(Box::new(CopyAnswer {
                response,
                connection,
                copies: OtherCopies::NotRun,
            })),
            Err(error) => KeptEnd::Failed(error),
        }
    }

    fn slowest(&self) -> MutexGuard<'_, SlowestAnswer> {
        self.slowest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the end of a request that began at `started`.
    fn record_answer(&self, started: ClockTime) {
        let time = now();
        self.slowest().record(time, time.since(started));
    }

    fn has_answered_since(&self, address: SocketAddr, time: ClockTime) -> bool {
        let targets = self.targets();
        targets
            .get(&address)
            .is_some_and(|it| it.answered_at > time)
    }

    /// Drops the idle connections to a target that has been silent.
    fn drop_silent(&self, address: SocketAddr) {
        let mut targets = self.targets();
        let idle = targets
            .get_mut(&address)
            .map(|it| std::mem::take(&mut it.idle));
        drop(targets);
        let dropped = idle.map_or(0, |it| it.len());
        spdlog::info!("target: kept connections may be silent", kv: { address = address.to_string(), dropped });
    }

    /// Opens a connection to an address and keeps it for a later request. Returns whether that
    /// succeeded.
    pub async fn warm_up(&self, address: SocketAddr) -> bool {
        let Ok(connection) = self.connect(address).await else {
            return false;
        };
        let until = now() + WARM_UP_MS;
        self.add_idle(address, IdleConnection { connection, until });
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

    /// Pairs an answer with its connection, which may return to the pool until its idle limit. The
    /// connection is closed if its target sent no final answer.
    fn activate(
        self: &Arc<Self>,
        address: SocketAddr,
        answer: CopyAnswer,
    ) -> Result<TargetAnswer, SendError> {
        let CopyAnswer {
            response,
            connection,
            copies,
        } = answer;
        if let Err(fault) = FinalStatus::try_from(response.status().as_u16()) {
            spdlog::warn!("target: no answer in the protocol", kv: {
                address = address.to_string(),
                status = fault.0,
            });
            METRICS.answers_malformed.inc();
            return Err(fault.into());
        }
        self.targets().entry(address).or_default().answered_at = now();
        let idle_ms = idle_limit_ms(response.headers()).unwrap_or(DEFAULT_IDLE_MS);
        let connection = ActiveConnection {
            address,
            connection,
            until: now() + idle_ms.saturating_sub(IDLE_MARGIN_MS),
            pool: Arc::clone(self),
        };
        Ok(TargetAnswer {
            response,
            connection,
            copies,
        })
    }
}

/// Returns the end of a request by an answer to one copy, while another one may run or have run.
fn may_run(mut answer: Box<CopyAnswer>) -> KeptEnd {
    answer.copies = OtherCopies::MayRun;
    KeptEnd::Answered(answer)
}

/// Returns the end of a request of which one copy was refused, and the other one ended so.
fn end_after_refusal(refusal: Box<CopyAnswer>, other: KeptEnd) -> KeptEnd {
    match other {
        KeptEnd::Answered(answer) => KeptEnd::Answered(answer),
        KeptEnd::Unsent => KeptEnd::Answered(refusal),
        KeptEnd::Broken(_) | KeptEnd::Failed(_) => may_run(refusal),
    }
}

/// Returns the end of the copy of a request that was sent on a kept connection.
fn end_of_first(
    result: Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>,
    connection: OpenConnection,
) -> KeptEnd {
    match result {
        Ok(response) => KeptEnd::Answered(Box::new(CopyAnswer {
            response,
            connection,
            copies: OtherCopies::NotRun,
        })),
        Err(mut error) => match error.take_message() {
            Some(_) => KeptEnd::Unsent,
            None => KeptEnd::Broken(error.into_error()),
        },
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
