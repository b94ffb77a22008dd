//! The hub: dials the addresses that it should know, takes connections, and sends frames
//! to process runs.

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
use super::handshake::shake_hands;
use super::link::run_link;
use super::link::tune;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_wire::peer::HelloFrame;
use bergamotlane_wire::peer::PeerFrame;

/// Time for a connection and its handshake.
const DIAL_LIMIT: Duration = Duration::from_millis(1_000);

/// First pause before an address is dialled again.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// Longest pause before an address is dialled again.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// What the hub tells the control thread.
#[derive(Debug)]
pub enum PeerEvent {
    /// A connection to a daemon is up.
    Up(HelloFrame),
    /// The last connection to a daemon is down.
    Down(RunId),
    /// A frame came in.
    Frame(RunId, PeerFrame),
}

#[derive(Debug, Default)]
struct HubState {
    links: HashMap<RunId, Vec<(u64, mpsc::UnboundedSender<PeerFrame>)>>,
    dialled: HashSet<SocketAddr>,
    next_link: u64,
}

/// Takes events of connections.
pub trait PeerObserver: Send + Sync + 'static {
    /// Takes an event.
    fn observe(&self, event: PeerEvent);
}

/// All connections to other daemons.
pub struct PeerHub<O> {
    local: LocalHello,
    own_address: SocketAddr,
    state: Mutex<HubState>,
    sent_bytes: IntCounter,
    observer: O,
}

impl<O: PeerObserver> PeerHub<O> {
    /// Creates a hub that reports events to `observer` and counts what it sends.
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

    /// Sends a frame to a process run; returns whether there is a connection to it.
    pub fn send(&self, run: RunId, frame: PeerFrame) -> bool {
        let state = self.state();
        let link = state.links.get(&run).and_then(|links| links.first());
        link.is_some_and(|(_, sender)| sender.send(frame).is_ok())
    }

    /// Keeps a connection to `address` from now on. Must be called within the runtime.
    pub fn dial(self: &Arc<Self>, address: SocketAddr) {
        if address == self.own_address || !self.state().dialled.insert(address) {
            return;
        }
        let hub = Arc::clone(self);
        tokio::spawn(async move { hub.keep_dialling(address).await });
    }

    async fn keep_dialling(self: Arc<Self>, address: SocketAddr) {
        let mut pause = FIRST_PAUSE;
        let mut last_error = String::new();
        loop {
            let dialled = timeout(DIAL_LIMIT, self.connect(address)).await;
            match dialled {
                Ok(Ok((stream, hello))) => {
                    pause = FIRST_PAUSE;
                    last_error.clear();
                    self.run(stream, hello).await;
                }
                Ok(Err(HandshakeError::Itself)) => return,
                Ok(Err(error)) => {
                    let error = error.to_string();
                    // The same error over and over is told once.
                    if error != last_error {
                        spdlog::warn!("peer: Could not connect to {address}: {error}.");
                        last_error = error;
                    }
                }
                Err(_) => {}
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn connect(
        &self,
        address: SocketAddr,
    ) -> Result<(WebSocketStream<TcpStream>, HelloFrame), HandshakeError> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| HandshakeError::Transport(error.into()))?;
        tune(&stream).map_err(|error| HandshakeError::Transport(error.into()))?;
        let uri = format!("ws://{address}/");
        let (mut stream, _) = tokio_tungstenite::client_async(uri, stream).await?;
        let hello = shake_hands(&mut stream, &self.local).await?;
        Ok((stream, hello))
    }

    /// Takes connections until the listener fails.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, address)) = listener.accept().await else {
                sleep(FIRST_PAUSE).await;
                continue;
            };
            let hub = Arc::clone(&self);
            tokio::spawn(async move {
                match timeout(DIAL_LIMIT, hub.accept(stream)).await {
                    Ok(Ok((stream, hello))) => hub.run(stream, hello).await,
                    Ok(Err(HandshakeError::Itself)) => {}
                    Ok(Err(error)) => {
                        spdlog::warn!("peer: Closed a connection from {address}: {error}.");
                    }
                    Err(_) => spdlog::warn!("peer: No handshake from {address} in time."),
                }
            });
        }
    }

    async fn accept(
        &self,
        stream: TcpStream,
    ) -> Result<(WebSocketStream<TcpStream>, HelloFrame), HandshakeError> {
        tune(&stream).map_err(|error| HandshakeError::Transport(error.into()))?;
        let mut stream = tokio_tungstenite::accept_async(stream).await?;
        let hello = shake_hands(&mut stream, &self.local).await?;
        Ok((stream, hello))
    }

    async fn run(&self, stream: WebSocketStream<TcpStream>, hello: HelloFrame) {
        let run = RunId(hello.run);
        let name = hello.name.clone();
        let (sender, outbound) = mpsc::unbounded_channel();
        let link = self.add_link(run, sender);
        self.observer.observe(PeerEvent::Up(hello));
        let error = run_link(stream, outbound, &self.sent_bytes, |frame| {
            self.observer.observe(PeerEvent::Frame(run, frame));
        })
        .await;
        spdlog::info!("peer: Connection to {name} ended: {error}.");
        if self.remove_link(run, link) {
            self.observer.observe(PeerEvent::Down(run));
        }
    }

    fn add_link(&self, run: RunId, sender: mpsc::UnboundedSender<PeerFrame>) -> u64 {
        let mut state = self.state();
        state.next_link += 1;
        let link = state.next_link;
        // The newest connection goes first: an older one may have gone silent.
        state
            .links
            .entry(run)
            .or_default()
            .insert(0, (link, sender));
        link
    }

    /// Removes a connection; returns whether it was the last one to the run.
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
