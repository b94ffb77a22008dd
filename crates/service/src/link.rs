//! Links between processes: websocket connections that carry frames in both directions.
//!
//! A link without traffic for `SILENCE_LIMIT` is closed, and the side that dialled it
//! reconnects.

mod load;
mod transfer;

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use futures_util::SinkExt;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::accept_async_with_config;
use tokio_tungstenite::client_async_with_config;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::budget::ResourceBudget;
use crate::frames::HelloFrame;
use crate::frames::LeadHint;
use crate::frames::LinkFrame;
use crate::inbox::FramePool;
use crate::inbox::FrameReceipt;
use crate::inbox::InboxBudget;
use crate::outbox::FrameSender;
use crate::outbox::OutboxBudget;
use crate::outbox::QueueFailure;
use crate::outbox::frame_queue;
use crate::parts::PART_BYTES;
use crate::parts::SkippedFrame;
use crate::parts::feed_frame;
use crate::parts::next_frame;
use bergamotlane_wire::codec;
use bergamotlane_wire::codec::WireError;

/// Time limit for a TCP connection. It is shorter than the retransmission timeout of one second,
/// since packets to an instance without power are lost and waiting for them gains nothing.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);

/// Time limit for a connection together with its handshake.
const DIAL_LIMIT: Duration = Duration::from_millis(700);

/// First backoff before an address is dialled again; it doubles with each failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(40);

/// Longest backoff before an address is dialled again.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Idle time of a link after which a heartbeat is sent.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Time without traffic after which a link is closed.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_300);

/// Size of a link's read buffer, in bytes; it is small because an instance holds many links.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Size of a link's write buffer, in bytes, from which on it is written to the socket.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// Number of queued frames after the first that are written before the connection is flushed.
const FLUSH_AFTER_FRAMES: usize = 64;

/// Share of the links of a process without a budget in each direction, in bytes.
const DEFAULT_LINK_BYTES: usize = 64 * 1024 * 1024;

/// Largest hello frame, in bytes.
const MAX_HELLO_BYTES: usize = 64 * 1024;

/// ID of a link, unique within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Reason for which a link ended or was not made.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Transport(#[from] tungstenite::Error),
    /// The peer closed the link.
    #[error("the peer closed the link")]
    Closed,
    /// The hello frame could not be decoded.
    #[error("hello frame could not be decoded: {0}")]
    Frame(#[from] WireError),
    /// A message does not fit the protocol: it is empty, too long, or not the hello frame that
    /// must come first.
    #[error("message violates the link protocol")]
    Unexpected,
    /// The peer belongs to a different cluster.
    #[error("peer belongs to a different cluster: {0:016x}")]
    Cluster(u64),
    /// The process connected to its own address.
    #[error("connected to itself")]
    Itself,
    /// Too much waited for all links of the process, and most of it for this one.
    #[error("too much waits for the links of this process")]
    Cut,
    /// Nothing was received, or nothing could be sent, within the time limit.
    #[error("silent for too long")]
    Silent,
}

/// Largest sizes of what all links of a process hold, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkBudget {
    /// Frames that wait to be sent.
    pub outbound_bytes: usize,
    /// Frames that were received and not handled yet.
    pub inbound_bytes: usize,
}

impl Default for LinkBudget {
    fn default() -> Self {
        Self {
            outbound_bytes: DEFAULT_LINK_BYTES,
            inbound_bytes: DEFAULT_LINK_BYTES,
        }
    }
}

impl From<&ResourceBudget> for LinkBudget {
    fn from(budget: &ResourceBudget) -> Self {
        Self {
            outbound_bytes: budget.outbound_bytes as usize,
            inbound_bytes: budget.inbound_bytes as usize,
        }
    }
}

/// Event that a [`LinkHub`] reports.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link is up.
    Up {
        /// ID of the new link.
        link: LinkId,
        /// Identity of the peer.
        hello: HelloFrame,
        /// Whether this process dialled it.
        dialled: bool,
    },
    /// A link went down.
    Down(LinkId),
    /// A frame arrived on a link. Its receipt must be dropped once the frame is handled: until then, its
    /// bytes count as received.
    Frame(LinkId, LinkFrame, FrameReceipt),
}

type Socket = WebSocketStream<TcpStream>;

/// Other end of a link.
#[derive(Debug)]
struct LinkPeer {
    sender: FrameSender,
    /// Longest frame that the peer receives, in bytes, if it names one.
    max_frame_bytes: Option<u64>,
}

#[derive(Debug)]
struct HubState {
    hello: HelloFrame,
    hint: LeadHint,
    links: HashMap<LinkId, LinkPeer>,
    /// Addresses for which a dialling task runs.
    dialled: HashSet<SocketAddr>,
    /// Addresses to which links are maintained.
    peers: HashSet<SocketAddr>,
    next_link: u64,
}

/// Owner of all links of a process: dials, accepts and reads them.
#[derive(Debug)]
pub struct LinkHub {
    state: Mutex<HubState>,
    outbox: Arc<OutboxBudget>,
    inbox: InboxBudget,
    events: mpsc::UnboundedSender<LinkEvent>,
}

impl LinkHub {
    /// Returns a hub without links that reports to `events`, with the default budget.
    pub fn new(hello: HelloFrame, events: mpsc::UnboundedSender<LinkEvent>) -> Arc<Self> {
        Self::with_budget(hello, events, LinkBudget::default())
    }

    /// Returns a hub without links that reports to `events`.
    pub fn with_budget(
        hello: HelloFrame,
        events: mpsc::UnboundedSender<LinkEvent>,
        budget: LinkBudget,
    ) -> Arc<Self> {
        let inbox = InboxBudget::new(budget.inbound_bytes);
        let hello = HelloFrame {
            max_frame_bytes: Some(inbox.max_frame_bytes() as u64),
            ..hello
        };
        Arc::new(Self {
            outbox: Arc::new(OutboxBudget::new(budget.outbound_bytes)),
            inbox,
            state: Mutex::new(HubState {
                hello,
                hint: LeadHint::default(),
                links: HashMap::new(),
                dialled: HashSet::new(),
                peers: HashSet::new(),
                next_link: 0,
            }),
            events,
        })
    }

    fn state(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the identity that this process sends on links made from now on.
    pub fn update_hello(&self, change: impl FnOnce(&mut HelloFrame)) {
        change(&mut self.state().hello);
    }

    /// Sets the role that heartbeats carry.
    pub fn set_hint(&self, hint: LeadHint) {
        self.state().hint = hint;
    }

    /// Queues a frame on a link; returns false if the link is down.
    pub fn send(&self, link: LinkId, frame: &LinkFrame) -> bool {
        self.send_encoded(link, codec::encode(frame))
    }

    /// Queues an encoded frame on a link; returns false if the link is down.
    ///
    /// If too much waits for the peer already, the link ends once what waits is sent or the peer has
    /// been silent for too long: a link that goes on must not lack a frame. If too much waits for all
    /// peers together, the links for which most of it waits end at once.
    pub fn send_encoded(&self, link: LinkId, frame: Bytes) -> bool {
        let mut state = self.state();
        let Some(peer) = state.links.get(&link) else {
            return false;
        };
        match peer.sender.send(frame) {
            Ok(()) => {
                self.shed(&mut state);
                true
            }
            Err(QueueFailure::Closed) => false,
            Err(QueueFailure::Full) => {
                spdlog::warn!("link: peer does not read, link ends", kv: { link = link.0, queued_bytes = peer.sender.held_bytes() });
                state.links.remove(&link);
                false
            }
        }
    }

    /// Ends a link. Unless its address is still one of the peers, it is not made again.
    pub fn close(&self, link: LinkId) {
        self.state().links.remove(&link);
    }

    /// Maintains links to exactly these addresses, except this process's own. Existing links to
    /// other addresses stay up but are not re-established. Must be called within the runtime.
    pub fn set_peers(self: &Arc<Self>, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut state = self.state();
        let own = state.hello.address;
        state.peers = addresses
            .into_iter()
            .filter(|it| Some(*it) != own)
            .collect();
        let added: Vec<SocketAddr> = state.peers.difference(&state.dialled).copied().collect();
        state.dialled.extend(&added);
        drop(state);
        for address in added {
            let hub = Arc::clone(self);
            tokio::spawn(async move { hub.keep_dialling(address).await });
        }
    }

    /// Returns whether a link to the address must be maintained; if not, marks the address as no
    /// longer dialled.
    fn is_peer(&self, address: SocketAddr) -> bool {
        let mut state = self.state();
        let is_peer = state.peers.contains(&address);
        if !is_peer {
            state.dialled.remove(&address);
        }
        is_peer
    }

    async fn keep_dialling(self: Arc<Self>, address: SocketAddr) {
        let mut backoff = FIRST_BACKOFF;
        while self.is_peer(address) {
            match timeout(DIAL_LIMIT, self.connect(address)).await {
                Ok(Ok((socket, hello))) => {
                    backoff = FIRST_BACKOFF;
                    self.run(socket, hello, true).await;
                }
                Ok(Err(error)) => {
                    spdlog::debug!("link: connection attempt failed", kv: { peer = address.to_string(), error = error.to_string() });
                }
                Err(_) => {}
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<(Socket, HelloFrame), LinkError> {
        let connected = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| LinkError::Silent)?
            .map_err(|error| LinkError::Transport(error.into()))?;
        configure_stream(&stream).map_err(|error| LinkError::Transport(error.into()))?;
        let uri = format!("ws://{address}/");
        let (socket, _) = client_async_with_config(uri, stream, Some(socket_config())).await?;
        self.exchange_hello(socket).await
    }

    /// Accepts links for as long as the process runs.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(FIRST_BACKOFF).await;
                continue;
            };
            let hub = Arc::clone(&self);
            tokio::spawn(async move {
                if let Ok(Ok((socket, hello))) = timeout(DIAL_LIMIT, hub.accept(stream)).await {
                    hub.run(socket, hello, false).await;
                }
            });
        }
    }

    async fn accept(&self, stream: TcpStream) -> Result<(Socket, HelloFrame), LinkError> {
        configure_stream(&stream).map_err(|error| LinkError::Transport(error.into()))?;
        let socket = accept_async_with_config(stream, Some(socket_config())).await?;
        self.exchange_hello(socket).await
    }

    /// Exchanges hello frames with the peer and checks that it may be linked.
    async fn exchange_hello(&self, mut socket: Socket) -> Result<(Socket, HelloFrame), LinkError> {
        let own_hello = self.state().hello.clone();
        let message = codec::encode(&LinkFrame::Hello(own_hello.clone()));
        feed_frame(&mut socket, &message, SILENCE_LIMIT).await?;
        socket.flush().await?;
        let pool = FramePool::new(MAX_HELLO_BYTES, false);
        let peer_hello = match next_frame(&mut socket, &pool, SILENCE_LIMIT).await? {
            Ok((LinkFrame::Hello(hello), _)) => hello,
            Err(SkippedFrame::Unknown(error)) => return Err(error.into()),
            _ => return Err(LinkError::Unexpected),
        };
        if peer_hello.run == own_hello.run {
            return Err(LinkError::Itself);
        }
        match (own_hello.cluster, peer_hello.cluster) {
            (Some(own), Some(other)) if own != other => Err(LinkError::Cluster(other)),
            _ => Ok((socket, peer_hello)),
        }
    }

    async fn run(&self, socket: Socket, hello: HelloFrame, dialled: bool) {
        let (sender, outbound) = frame_queue(&self.outbox);
        let link = {
            let mut state = self.state();
            state.next_link += 1;
            let link = LinkId(state.next_link);
            let max_frame_bytes = hello.max_frame_bytes;
            let peer = LinkPeer {
                sender,
                max_frame_bytes,
            };
            state.links.insert(link, peer);
            link
        };
        let peer = hello.name.clone();
        let pool = self.inbox.pool(hello.node.is_some());
        spdlog::info!("link: up", kv: { peer = peer.as_str(), dialled });
        self.report(LinkEvent::Up {
            link,
            hello,
            dialled,
        });
        let error = self.transfer(socket, link, outbound, pool).await;
        spdlog::info!("link: down", kv: { peer = peer.as_str(), dialled, error = error.to_string() });
        self.state().links.remove(&link);
        self.report(LinkEvent::Down(link));
    }

    fn report(&self, event: LinkEvent) {
        // The receiver is only dropped when the process ends.
        self.events.send(event).ok();
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(WRITE_BUFFER_BYTES)
        .max_message_size(Some(2 * PART_BYTES))
        .max_frame_size(Some(2 * PART_BYTES))
}

/// Sets the socket options of a link's connection.
fn configure_stream(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE_LIMIT))
}
