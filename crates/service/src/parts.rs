//! Fragmentation of frames: a long frame is sent as several websocket messages.

use bytes::Bytes;
use futures_util::Sink;
use futures_util::SinkExt;
use futures_util::Stream;
use futures_util::StreamExt;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::Message;

use crate::frames::LinkFrame;
use crate::link::LinkError;
use bergamotlane_wire::codec;

/// Largest frame, in bytes; a longer one ends the link.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Largest part of a frame that goes into one message, in bytes. It is small because the buffers
/// of a link grow with the largest message and never shrink.
pub(crate) const PART_BYTES: usize = 32 * 1024;

/// First byte of a message that holds the last part of a frame.
const LAST_PART: u8 = 0;

/// First byte of a message that is followed by more parts of the frame.
const MORE_PARTS: u8 = 1;

/// Writes a frame as one or more messages, without flushing the sink.
pub(crate) async fn feed_frame<S>(sink: &mut S, frame: &[u8]) -> Result<(), tungstenite::Error>
where
    S: Sink<Message, Error = tungstenite::Error> + Unpin,
{
    let mut parts = frame.chunks(PART_BYTES).peekable();
    while let Some(part) = parts.next() {
        let tag = match parts.peek() {
            Some(_) => MORE_PARTS,
            None => LAST_PART,
        };
        let mut message = Vec::with_capacity(1 + part.len());
        message.push(tag);
        message.extend_from_slice(part);
        sink.feed(Message::Binary(Bytes::from(message))).await?;
    }
    Ok(())
}

/// Reads messages up to the end of the next frame and decodes it.
pub(crate) async fn next_frame<S>(stream: &mut S) -> Result<LinkFrame, LinkError>
where
    S: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    let mut parts = Vec::new();
    while let Some(message) = stream.next().await {
        let bytes = match message? {
            Message::Binary(bytes) => bytes,
            Message::Close(_) => return Err(LinkError::Closed),
            _ => continue,
        };
        let Some((tag, part)) = bytes.split_first() else {
            return Err(LinkError::Unexpected);
        };
        if parts.is_empty() && *tag == LAST_PART {
            return Ok(codec::decode(part)?);
        }
        if parts.len() + part.len() > MAX_FRAME_BYTES {
            return Err(LinkError::Unexpected);
        }
        parts.extend_from_slice(part);
        if *tag == LAST_PART {
            return Ok(codec::decode(&parts)?);
        }
    }
    Err(LinkError::Closed)
}
