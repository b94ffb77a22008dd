//! One connection: frames out of a queue, frames in to the hub, silence ends it.

use std::time::Duration;

use futures_util::Sink;
use futures_util::SinkExt;
use futures_util::Stream;
use futures_util::StreamExt;
use prometheus::IntCounter;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::interval;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::Message;

use super::handshake::HandshakeError;
use super::handshake::next_frame;
use super::handshake::to_message;
use bergamotlane_wire::peer::PeerFrame;

/// Time between two signs of life.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a connection counts as dead.
const SILENCE_LIMIT: Duration = Duration::from_millis(2_000);

/// Time for the other side to take a frame off the connection.
const WRITE_LIMIT: Duration = Duration::from_millis(2_000);

/// Prepares a socket: no delays, and an end to data that nobody acknowledges.
pub(super) fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE_LIMIT))
}

/// Runs a connection until it ends, and returns why it did.
pub(super) async fn run_link<S>(
    stream: S,
    mut outbound: mpsc::UnboundedReceiver<PeerFrame>,
    sent_bytes: &IntCounter,
    mut inbound: impl FnMut(PeerFrame),
) -> HandshakeError
where
    S: Stream<Item = Result<Message, tungstenite::Error>>
        + Sink<Message, Error = tungstenite::Error>
        + Unpin,
{
    let (mut sink, mut source) = stream.split();
    let write = async {
        let mut ping = interval(PING_INTERVAL);
        loop {
            let frame = tokio::select! {
                frame = outbound.recv() => match frame {
                    Some(frame) => frame,
                    None => return HandshakeError::Closed,
                },
                _ = ping.tick() => PeerFrame::Ping,
            };
            let message = to_message(&frame);
            sent_bytes.inc_by(message.len() as u64);
            match timeout(WRITE_LIMIT, sink.send(message)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return HandshakeError::Transport(error),
                Err(_) => return HandshakeError::Closed,
            }
        }
    };
    let read = async {
        loop {
            match timeout(SILENCE_LIMIT, next_frame(&mut source)).await {
                Ok(Ok(PeerFrame::Ping)) => {}
                Ok(Ok(frame)) => inbound(frame),
                Ok(Err(error)) => return error,
                Err(_) => return HandshakeError::Closed,
            }
        }
    };
    tokio::select! {
        error = write => error,
        error = read => error,
    }
}
