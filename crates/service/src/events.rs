//! Incremental parser of server-sent events; the stream may break off within an event.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest size of the buffer, in bytes, and thereby of an event.
const MAX_BUFFER_BYTES: usize = 256 * 1024;

/// Complete server-sent event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StreamEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub raw: Bytes,
    /// Event ID, if there is one and it is a number.
    pub id: Option<u64>,
    /// Values of the `data` lines, joined by line feeds.
    pub data: Option<Bytes>,
    /// Lines that are neither `data` nor `id`.
    pub others: Vec<String>,
}

/// Buffers the bytes of a stream and splits them into events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    /// Number of bytes at the start of the buffer in which no event ends.
    searched: usize,
}

impl EventReader {
    /// Appends bytes of the stream. Returns false if the buffer exceeds its size limit, after which
    /// the caller should abort the stream.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_BUFFER_BYTES
    }

    /// Returns whether the buffer holds bytes of an incomplete event.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Removes the next complete event from the buffer and returns it.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let rest = &self.buffer[self.searched..];
        let Some(end) = rest.windows(2).position(|it| it == b"\n\n") else {
            // The last byte may be the first half of an end.
            self.searched = self.buffer.len().saturating_sub(1);
            return None;
        };
        let raw = self.buffer.split_to(self.searched + end + 2).freeze();
        self.searched = 0;
        Some(parse(raw))
    }
}

/// Returns whether a stream may end after these bytes, since they are empty or the last event is
/// complete.
pub fn ends_with_event(bytes: &[u8]) -> bool {
    bytes.is_empty() || bytes.ends_with(b"\n\n") || bytes.ends_with(b"\n\r\n")
}

fn parse(raw: Bytes) -> StreamEvent {
    let mut event = StreamEvent::default();
    let mut data: Option<BytesMut> = None;
    for line in raw.split(|it| *it == b'\n') {
        if let Some(value) = line.strip_prefix(b"data:") {
            let value = value.strip_prefix(b" ").unwrap_or(value);
            match &mut data {
                Some(data) => {
                    data.extend_from_slice(b"\n");
                    data.extend_from_slice(value);
                }
                None => data = Some(BytesMut::from(value)),
            }
        } else if let Some(value) = line.strip_prefix(b"id:") {
            let text = std::str::from_utf8(value).unwrap_or_default();
            event.id = text.trim().parse().ok();
        } else if !line.is_empty() {
            event
                .others
                .push(String::from_utf8_lossy(line).into_owned());
        }
    }
    event.data = data.map(BytesMut::freeze);
    event.raw = raw;
    event
}
