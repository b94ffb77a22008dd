//! Links between processes: websocket connections that carry frames both ways. Silence ends a
//! link, and whoever dialled it dials anew.

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
use futures_util::StreamExt;
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

use crate::frames::HelloFrame;
use crate::frames::LeadHint;
use crate::frames::LinkFrame;
use crate::parts::PART_BYTES;
use crate::parts::feed_frame;
use crate::parts::next_frame;
use bergamotlane_wire::codec;
use bergamotlane_wire::codec::WireError;

/// Longest time for a connection; a packet to an instance without power is lost, and sent again
/// only after a second.
const CONNECT_LIMIT: Duration = Duration::from_millis(200);

/// Longest time for a connection and its handshake.
const DIAL_LIMIT: Duration = Duration::from_millis(700);

/// First pause before dialling again.
const FIRST_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause before dialling again.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Time between two signs of life.
const PING_INTERVAL: Duration = Duration::from_millis(400);

/// Silence after which a link counts as dead.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_300);

/// Read buffer of a link; an instance holds many links.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Bytes written before a link's buffer is passed to the system.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;

/// Frames written before the connection is flushed.
const FLUSH_AFTER_FRAMES: usize = 64;

/// Identity of a link within this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// Why a link ended.
#[derive(Debug, Error)]
pub enum LinkError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Transport(#[from] tungstenite::Error),
    /// The other side closed it.
    #[error("closed by the other side")]
    Closed,
    /// A message could not be read.
    #[error("bad message: {0}")]
    Frame(#[from] WireError),
    /// A message came that doesn't belong there.
    #[error("unexpected message")]
    Unexpected,
    /// The other side belongs to another cluster.
    #[error("other cluster {0:016x}")]
    Cluster(u64),
    /// The process reached itself.
    #[error("connected to itself")]
    Itself,
    /// Nothing came for too long.
    #[error("silent for too long")]
    Silent,
}

/// What happens on the links.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link is up.
    Up {
        /// Link.
        link: LinkId,
        /// Who is at the other end.
        hello: HelloFrame,
        /// Whether this process dialled it.
        dialled: bool,
    },
    /// A link is gone.
    Down(LinkId),
    /// A frame came in.
    Frame(LinkId, LinkFrame),
}

type Socket = WebSocketStream<TcpStream>;

#[derive(Debug)]
struct HubState {
    hello: HelloFrame,
    hint: LeadHint,
    links: HashMap<LinkId, mpsc::UnboundedSender<Bytes>>,
    dialled: HashSet<SocketAddr>,
    wanted: HashSet<SocketAddr>,
    next_link: u64,
}

/// Keeps the links of a process.
#[derive(Debug)]
pub struct LinkHub {
    state: Mutex<HubState>,
    events: mpsc::UnboundedSender<LinkEvent>,
}

impl LinkHub {
    /// Makes a hub that reports to `events`.
    pub fn new(hello: HelloFrame, events: mpsc::UnboundedSender<LinkEvent>) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(HubState {
                hello,
                hint: LeadHint::default(),
                links: HashMap::new(),
                dialled: HashSet::new(),
                wanted: HashSet::new(),
                next_link: 0,
            }),
            events,
        })
    }

    fn state(&self) -> MutexGuard<'_, HubState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes how this process introduces itself from now on.
    pub fn update_hello(&self, change: impl FnOnce(&mut HelloFrame)) {
        change(&mut self.state().hello);
    }

    /// Changes what signs of life say.
    pub fn set_hint(&self, hint: LeadHint) {
        self.state().hint = hint;
    }

    /// Sends a frame; returns whether the link is up.
    pub fn send(&self, link: LinkId, frame: &LinkFrame) -> bool {
        self.send_encoded(link, codec::encode(frame))
    }

    /// Sends an encoded frame; returns whether the link is up.
    pub fn send_encoded(&self, link: LinkId, frame: Bytes) -> bool {
        let state = self.state();
        let sender = state.links.get(&link);
        sender.is_some_and(|it| it.send(frame).is_ok())
    }

    /// Keeps links to exactly these addresses. Must be called within the runtime.
    pub fn set_peers(self: &Arc<Self>, addresses: impl IntoIterator<Item = SocketAddr>) {
        let mut state = self.state();
        let own = state.hello.address;
        state.wanted = addresses
            .into_iter()
            .filter(|it| Some(*it) != own)
            .collect();
        let fresh: Vec<SocketAddr> = state.wanted.difference(&state.dialled).copied().collect();
        state.dialled.extend(&fresh);
        drop(state);
        for address in fresh {
            let hub = Arc::clone(self);
            tokio::spawn(async move { hub.keep_dialling(address).await });
        }
    }

    fn is_wanted(&self, address: SocketAddr) -> bool {
        let mut state = self.state();
        let wanted = state.wanted.contains(&address);
        if !wanted {
            state.dialled.remove(&address);
        }
        wanted
    }

    async fn keep_dialling(self: Arc<Self>, address: SocketAddr) {
        let mut pause = FIRST_PAUSE;
        while self.is_wanted(address) {
            match timeout(DIAL_LIMIT, self.connect(address)).await {
                Ok(Ok((socket, hello))) => {
                    pause = FIRST_PAUSE;
                    self.run(socket, hello, true).await;
                }
                Ok(Err(error)) => {
                    spdlog::debug!("link: could not connect", kv: { peer = address.to_string(), error = error.to_string() });
                }
                Err(_) => {}
            }
            sleep(pause).await;
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<(Socket, HelloFrame), LinkError> {
        let connected = timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
        let stream = connected
            .map_err(|_| LinkError::Silent)?
            .map_err(|error| LinkError::Transport(error.into()))?;
        tune(&stream).map_err(|error| LinkError::Transport(error.into()))?;
        let uri = format!("ws://{address}/");
        let (socket, _) = client_async_with_config(uri, stream, Some(socket_config())).await?;
        self.introduce(socket).await
    }

    /// Takes links until the listener fails.
    pub async fn listen(self: Arc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(FIRST_PAUSE).await;
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
        tune(&stream).map_err(|error| LinkError::Transport(error.into()))?;
        let socket = accept_async_with_config(stream, Some(socket_config())).await?;
        self.introduce(socket).await
    }

    async fn introduce(&self, mut socket: Socket) -> Result<(Socket, HelloFrame), LinkError> {
        let ours = self.state().hello.clone();
        let message = codec::encode(&LinkFrame::Hello(ours.clone()));
        feed_frame(&mut socket, &message).await?;
        socket.flush().await?;
        let LinkFrame::Hello(theirs) = next_frame(&mut socket).await? else {
            return Err(LinkError::Unexpected);
        };
        if theirs.run == ours.run {
            return Err(LinkError::Itself);
        }
        match (ours.cluster, theirs.cluster) {
            (Some(own), Some(other)) if own != other => Err(LinkError::Cluster(other)),
            _ => Ok((socket, theirs)),
        }
    }

    async fn run(&self, socket: Socket, hello: HelloFrame, dialled: bool) {
        let (sender, outbound) = mpsc::unbounded_channel();
        let link = {
            let mut state = self.state();
            state.next_link += 1;
            let link = LinkId(state.next_link);
            state.links.insert(link, sender);
            link
        };
        let peer = hello.name.clone();
        spdlog::info!("link: up", kv: { peer = peer.as_str(), dialled });
        self.report(LinkEvent::Up {
            link,
            hello,
            dialled,
        });
        let error = self.carry(socket, link, outbound).await;
        spdlog::info!("link: down", kv: { peer = peer.as_str(), dialled, error = error.to_string() });
        self.state().links.remove(&link);
        self.report(LinkEvent::Down(link));
    }

    fn report(&self, event: LinkEvent) {
        // The receiver ends with the process.
        self.events.send(event).ok();
    }

    async fn carry(
        &self,
        socket: Socket,
        link: LinkId,
        mut outbound: mpsc::UnboundedReceiver<Bytes>,
    ) -> LinkError {
        let (mut sink, mut source) = socket.split();
        let write = async {
            loop {
                let first = match timeout(PING_INTERVAL, outbound.recv()).await {
                    Ok(Some(frame)) => frame,
                    Ok(None) => return LinkError::Closed,
                    Err(_) => {
                        let hint = self.state().hint;
                        codec::encode(&LinkFrame::Ping(hint))
                    }
                };
                let send = async {
                    feed_frame(&mut sink, &first).await?;
                    for _ in 0..FLUSH_AFTER_FRAMES {
                        match outbound.try_recv() {
                            Ok(frame) => feed_frame(&mut sink, &frame).await?,
                            Err(_) => break,
                        }
                    }
                    sink.flush().await
                };
                match timeout(SILENCE_LIMIT, send).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => return LinkError::Transport(error),
                    Err(_) => return LinkError::Silent,
                }
            }
        };
        let read = async {
            loop {
                match timeout(SILENCE_LIMIT, next_frame(&mut source)).await {
                    Ok(Ok(frame)) => self.report(LinkEvent::Frame(link, frame)),
                    Ok(Err(error)) => return error,
                    Err(_) => return LinkError::Silent,
                }
            }
        };
        tokio::select! {
            error = write => error,
            error = read => error,
        }
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(WRITE_BUFFER_BYTES)
        .max_message_size(Some(2 * PART_BYTES))
        .max_frame_size(Some(2 * PART_BYTES))
}

fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE_LIMIT))
}
