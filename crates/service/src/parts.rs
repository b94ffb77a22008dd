//! Fragmentation of frames: a long frame is sent as several websocket messages.

use std::collections::VecDeque;
use std::io;
use std::io::Read;
use std::time::Duration;

use bytes::Buf;
use bytes::Bytes;
use futures_util::Sink;
use futures_util::SinkExt;
use futures_util::Stream;
use futures_util::StreamExt;
use thiserror::Error;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::Message;

use crate::frames::LinkFrame;
use crate::inbox::FramePool;
use crate::inbox::FrameReceipt;
use crate::link::LinkError;
use bergamotlane_wire::codec;
use bergamotlane_wire::codec::WireError;

/// Largest frame, in bytes; a longer one is skipped or ends the link.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Largest part of a frame that goes into one message, in bytes. It is small because the buffers
/// of a link grow with the largest message and never shrink.
pub(crate) const PART_BYTES: usize = 32 * 1024;

/// First byte of a message that holds the last part of a frame.
const LAST_PART: u8 = 0;

/// First byte of a message that is followed by more parts of the frame.
const MORE_PARTS: u8 = 1;

/// Writes a frame as one or more messages, each within `limit`, without flushing the sink.
pub(crate) async fn feed_frame<S>(
    sink: &mut S,
    frame: &[u8],
    limit: Duration,
) -> Result<(), LinkError>
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
        let fed = timeout(limit, sink.feed(Message::Binary(Bytes::from(message)))).await;
        fed.map_err(|_| LinkError::Silent)??;
    }
    Ok(())
}

/// Frame that was received and is skipped.
#[derive(Debug, Error)]
pub(crate) enum SkippedFrame {
    /// This build does not know the frame.
    #[error("unknown: {0}")]
    Unknown(WireError),
    /// The frame is longer than its peer may send.
    #[error("too long: {0} bytes")]
    TooLong(usize),
}

/// Frame with the permits for its bytes, or the reason why it is skipped.
type ReceivedFrame = Result<(LinkFrame, FrameReceipt), SkippedFrame>;

/// Parts of a frame, read one after the other.
#[derive(Debug, Default)]
struct FrameParts {
    parts: VecDeque<Bytes>,
}

impl Read for FrameParts {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Some(part) = self.parts.front_mut() else {
            return Ok(0);
        };
        let length = part.len().min(buffer.len());
        part.copy_to_slice(&mut buffer[..length]);
        if part.is_empty() {
            self.parts.pop_front();
        }
        Ok(length)
    }
}

/// Waits up to `limit` for the next message with a part of a frame. Returns the part, and whether it
/// is the last one.
async fn next_part<S>(stream: &mut S, limit: Duration) -> Result<(Bytes, bool), LinkError>
where
    S: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    loop {
        let message = timeout(limit, stream.next()).await;
        let message = message.map_err(|_| LinkError::Silent)?;
        let mut bytes = match message.ok_or(LinkError::Closed)?? {
            Message::Binary(bytes) => bytes,
            Message::Close(_) => return Err(LinkError::Closed),
            _ => continue,
        };
        if bytes.is_empty() {
            return Err(LinkError::Unexpected);
        }
        let tag = bytes.get_u8();
        return Ok((bytes, tag == LAST_PART));
    }
}

/// Reads the next frame and decodes it. Waits up to `limit` for each part, and for permits from
/// `pool` before it reads on.
pub(crate) async fn next_frame<S>(
    stream: &mut S,
    pool: &FramePool,
    limit: Duration,
) -> Result<ReceivedFrame, LinkError>
where
    S: Stream<Item = Result<Message, tungstenite::Error>> + Unpin,
{
    let mut intake = pool.begin();
    let mut frame = FrameParts::default();
    let mut length = 0;
    let mut is_kept = true;
    loop {
        let (part, is_last) = next_part(stream, limit).await?;
        length += part.len();
        if length > MAX_FRAME_BYTES && is_kept && pool.takes_longer() {
            return Err(LinkError::Unexpected);
        }
        if is_kept {
            if !is_last {
                intake.begin_parts().await;
            }
            is_kept = intake.take(part.len()).await;
        }
        match is_kept {
            // A message may share its memory with others.
            true if !is_last || !frame.parts.is_empty() => {
                frame.parts.push_back(Bytes::copy_from_slice(&part));
            }
            true => frame.parts.push_back(part),
            false => frame.parts.clear(),
        }
        if !is_last {
            continue;
        }
        if !is_kept {
            return Ok(Err(SkippedFrame::TooLong(length)));
        }
        let frame = codec::decode_from(frame).map_err(SkippedFrame::Unknown);
        return Ok(frame.map(|it| (it, intake.finish())));
    }
}
