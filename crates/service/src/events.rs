//! Server-sent events: whole ones off a stream that may stop anywhere.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// One whole event.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StreamEvent {
    /// Its bytes, with the blank line at the end.
    pub raw: Bytes,
    /// ID, if it is a number.
    pub id: Option<u64>,
    /// Data lines, joined by line feeds.
    pub data: Option<Bytes>,
    /// Other lines.
    pub others: Vec<String>,
}

/// Takes events off a stream.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Adds bytes; returns whether what waits for its end is of bearable size.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns whether an event has begun that is not whole.
    pub fn is_midway(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.buffer.windows(2).position(|it| it == b"\n\n")?;
        let raw = self.buffer.split_to(end + 2).freeze();
        Some(parse(raw))
    }
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
