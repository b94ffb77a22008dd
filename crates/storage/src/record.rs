//! Records: magic, length, CRC-32 and payload, one after the other.

use std::io;
use std::io::Read;

use bytes::Bytes;

/// First bytes of each record.
const MAGIC: [u8; 2] = [0xb7, 0x1e];

/// Magic, length and CRC.
pub(super) const HEADER_BYTES: usize = 10;

/// Largest payload.
const MAX_PAYLOAD_BYTES: usize = 256 * 1024 * 1024;

/// Returns a record that carries `payload`.
pub(super) fn frame(payload: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(HEADER_BYTES + payload.len());
    record.extend_from_slice(&MAGIC);
    record.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    record.extend_from_slice(&checksum(payload).to_le_bytes());
    record.extend_from_slice(payload);
    record
}

/// The CRC covers the length too, so that a changed length is found.
fn checksum(payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Reads the next record; returns `None` at the end and where no whole record follows.
pub(super) fn read_next(reader: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let mut header = [0; HEADER_BYTES];
    if !read_whole(reader, &mut header)? || header[..2] != MAGIC {
        return Ok(None);
    }
    let length = u32::from_le_bytes([header[2], header[3], header[4], header[5]]) as usize;
    let sum = u32::from_le_bytes([header[6], header[7], header[8], header[9]]);
    if length > MAX_PAYLOAD_BYTES {
        return Ok(None);
    }
    // A torn length must not cost its memory: the payload grows as it is read.
    let mut payload = Vec::new();
    reader.take(length as u64).read_to_end(&mut payload)?;
    let whole = payload.len() == length && checksum(&payload) == sum;
    Ok(whole.then_some(payload))
}

/// Fills the buffer; returns whether there was enough.
fn read_whole(reader: &mut impl Read, buffer: &mut [u8]) -> io::Result<bool> {
    match reader.read_exact(buffer) {
        Ok(()) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(false),
        Err(error) => Err(error),
    }
}

/// Returns the payload of the record at `offset`, if a whole one stands there.
fn read_at(bytes: &Bytes, offset: usize) -> Option<Bytes> {
    let header = bytes.get(offset..offset + HEADER_BYTES)?;
    if header[..2] != MAGIC {
        return None;
    }
    let length = u32::from_le_bytes(header[2..6].try_into().ok()?) as usize;
    let sum = u32::from_le_bytes(header[6..10].try_into().ok()?);
    let start = offset + HEADER_BYTES;
    if length > MAX_PAYLOAD_BYTES || start + length > bytes.len() {
        return None;
    }
    let payload = bytes.slice(start..start + length);
    (checksum(&payload) == sum).then_some(payload)
}

/// What a file of records holds.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct RecordScan {
    /// Payloads in order.
    pub(super) payloads: Vec<Bytes>,
    /// Length up to which the records are whole.
    pub(super) whole_bytes: usize,
    /// Whether a whole record follows a damaged one, so that the damage is no torn tail.
    pub(super) damaged: bool,
}

/// Reads records up to the first that isn't whole.
pub(super) fn scan(bytes: &Bytes) -> RecordScan {
    let mut payloads = Vec::new();
    let mut offset = 0;
    while let Some(payload) = read_at(bytes, offset) {
        offset += HEADER_BYTES + payload.len();
        payloads.push(payload);
    }
    let damaged = (offset + 1..bytes.len()).any(|it| read_at(bytes, it).is_some());
    RecordScan {
        payloads,
        whole_bytes: offset,
        damaged,
    }
}
