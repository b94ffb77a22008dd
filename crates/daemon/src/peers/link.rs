//! A single peer connection: sends queued frames, passes on received ones, and ends when the
//! peer stops responding.

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

/// Interval of pings, by which the peer sees that the connection is alive.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time without a received frame or TCP acknowledgement after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Timeout of writing a frame, after which the connection is closed.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Disables Nagle's algorithm on a socket, and limits the time for which sent data may stay
/// unacknowledged.
pub(super) fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(IDLE_TIMEOUT))
}

/// Runs a connection until it ends, and returns the reason.
///
/// Sends the frames of `outbound`, adding their size to `sent_bytes`, and passes received
/// frames to `on_frame`.
pub(super) async fn run_link<S>(
    stream: S,
    mut outbound: mpsc::UnboundedReceiver<PeerFrame>,
    sent_bytes: &IntCounter,
    mut on_frame: impl FnMut(PeerFrame),
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
            match timeout(WRITE_TIMEOUT, sink.send(message)).await {
                Ok(Ok(())) => {}
                Ok(Err(error)) => return HandshakeError::Transport(error),
                Err(_) => return HandshakeError::Closed,
            }
        }
    };
    let read = async {
        loop {
            match timeout(IDLE_TIMEOUT, next_frame(&mut source)).await {
                Ok(Ok(PeerFrame::Ping)) => {}
                Ok(Ok(frame)) => on_frame(frame),
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
