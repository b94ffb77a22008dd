//! The hub of all peer connections: dials peers, accepts connections and sends frames to
//! process runs.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use prometheus::IntCounter;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;

use super::handshake::HandshakeError;
use super::handshake::LocalHello;
use super::handshake::perform_handshake;
use super::link::configure_socket;
use super::link::run_link;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_wire::peer::HelloFrame;
use bergamotlane_wire::peer::PeerFrame;

/// Timeout of an outgoing connection with its handshake, and of an incoming handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Initial backoff before an address is dialled again.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff before an address is dialled again.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Event of the hub, reported to its [`PeerObserver`].
#[derive(Debug)]
pub enum PeerEvent {
    /// A connection to a daemon has completed its handshake.
    Connected(HelloFrame),
    /// The last connection to a daemon has ended.
    Disconnected(RunId),
    /// A frame arrived from a daemon.
    Frame(RunId, PeerFrame),
}

#[derive(Debug, Default)]
struct HubState {
    /// Number and outbound queue of each connection by process run, newest first.
    links: HashMap<RunId, Vec<(u64, mpsc::UnboundedSender<PeerFrame>)>>,
    /// Addresses that have a dial task.
    dialled: HashSet<SocketAddr>,
    next_link: u64,
}

/// Receiver of the hub's events.
pub trait PeerObserver: Send + Sync + 'static {
    /// Handles an event; called from the connections' tasks, so it must not block.
    fn observe(&self, event: PeerEvent);
}

/// Connections to the other daemons, and the tasks that dial and accept them.
pub struct PeerHub<O> {
    local: LocalHello,
    own_address: SocketAddr,
    state: Mutex<HubState>,
    sent_bytes: IntCounter,
    observer: O,
}

impl<O: PeerObserver> PeerHub<O> {
    /// Creates a hub that reports events to `observer` and counts sent bytes in `sent_bytes`.
    ///
    /// `own_address` is never dialled.
    pub fn new(
        local: LocalHello,
        own_address: SocketAddr,
        sent_bytes: IntCounter,
        observer: O,
    ) -> Arc<Self> {
        Arc::new(Self {
            local,
            own_address,
            state: Mutex::new(HubState::default()),
            sent_bytes,
            observer,
        })
    }

    fn state(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a frame for a process run; returns `false` if there is no connection to it.
    pub fn send(&self, run: RunId, frame: PeerFrame) -> bool {
        let state = self.state();
        let link = state.links.get(&run).and_then(|links| links.first());
        link.is_some_and(|(_, sender)| sender.send(frame).is_ok())
    }

    /// Starts a task that keeps a connection to `address`, unless there is one already.
    ///
    /// # Panics
    ///
    /// Panics if called outside a Tokio runtime.
    pub fn dial(self: &Arc<Self>, address: SocketAddr) {
        if address == self.own_address || !self.state().dialled.insert(address) {
            return;
        }
        let hub = Arc::clone(self);
        tokio::spawn(async move { hub.dial_loop(address).await });
    }

    /// Connects again after each failure or disconnection, with exponential backoff.
    async fn dial_loop(self: Arc<Self>, address: SocketAddr) {
        let mut backoff = MIN_BACKOFF;
        let mut last_error = String::new();
        loop {
            let dialled = timeout(CONNECT_TIMEOUT, self.connect(address)).await;
            match dialled {
                Ok(Ok((stream, hello))) => {
                    backoff = MIN_BACKOFF;
                    last_error.clear();
                    self.run(stream, hello).await;
                }
                Ok(Err(HandshakeError::SelfConnection)) => return,
                Ok(Err(error)) => {
                    let error = error.to_string();
                    // A repeated error is logged only once.
                    if error != last_error {
                        spdlog::warn!("peer: could not connect to {address}: {error}");
                        last_error = error;
                    }
                }
                Err(_) => {}
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<(WebSocketStream<TcpStream>, HelloFrame), HandshakeError> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| HandshakeError::Transport(error.into()))?;
        configure_socket(&stream).map_err(|error| HandshakeError::Transport(error.into()))?;
        let uri = format!("ws://{address}/");
        let (mut stream, _) = tokio_tungstenite::client_async(uri, stream).await?;
        let hello = perform_handshake(&mut stream, &self.local).await?;
        Ok((stream, hello))
    }

    /// Accepts connections forever; after a failed accept it waits for [`MIN_BACKOFF`].
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, address)) = listener.accept().await else {
                sleep(MIN_BACKOFF).await;
                continue;
            };
            let hub = Arc::clone(&self);
            tokio::spawn(async move {
                match timeout(CONNECT_TIMEOUT, hub.accept(stream)).await {
                    Ok(Ok((stream, hello))) => hub.run(stream, hello).await,
                    Ok(Err(HandshakeError::SelfConnection)) => {}
                    Ok(Err(error)) => {
                        spdlog::warn!("peer: rejected a connection from {address}: {error}");
                    }
                    Err(_) => spdlog::warn!("peer: handshake with {address} timed out"),
                }
            });
        }
    }

    async fn accept(
        &self,
        stream: TcpStream,
    ) -> Result<(WebSocketStream<TcpStream>, HelloFrame), HandshakeError> {
        configure_socket(&stream).map_err(|error| HandshakeError::Transport(error.into()))?;
        let mut stream = tokio_tungstenite::accept_async(stream).await?;
        let hello = perform_handshake(&mut stream, &self.local).await?;
        Ok((stream, hello))
    }

    /// Runs a connection until it ends, and reports its events.
    async fn run(&self, stream: WebSocketStream<TcpStream>, hello: HelloFrame) {
        let run = RunId(hello.run);
        let name = hello.name.clone();
        let (sender, outbound) = mpsc::unbounded_channel();
        let link = self.add_link(run, sender);
        self.observer.observe(PeerEvent::Connected(hello));
        let error = run_link(stream, outbound, &self.sent_bytes, |frame| {
            self.observer.observe(PeerEvent::Frame(run, frame));
        })
        .await;
        spdlog::info!("peer: connection to {name} ended: {error}");
        if self.remove_link(run, link) {
            self.observer.observe(PeerEvent::Disconnected(run));
        }
    }

    /// Registers a connection and returns its number.
    fn add_link(&self, run: RunId, sender: mpsc::UnboundedSender<PeerFrame>) -> u64 {
        let mut state = self.state();
        state.next_link += 1;
        let link = state.next_link;
        // The newest connection is used first, since an older one may no longer respond.
        state
            .links
            .entry(run)
            .or_default()
            .insert(0, (link, sender));
        link
    }

    /// Removes a connection; returns whether it was the last one to its process run.
    fn remove_link(&self, run: RunId, link: u64) -> bool {
        let mut state = self.state();
        let Some(links) = state.links.get_mut(&run) else {
            return false;
        };
        links.retain(|(number, _)| *number != link);
        if links.is_empty() {
            state.links.remove(&run);
            return true;
        }
        false
    }
}
