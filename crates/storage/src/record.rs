//! Framing of records in files.
//!
//! A record consists of two magic bytes, the payload length (`u32`, little-endian), a CRC-32 of
//! length and payload (`u32`, little-endian), and the payload. Records follow one another without
//! padding.

use std::io;
use std::io::Read;

use bytes::Bytes;

/// Marks the start of each record.
const MAGIC: [u8; 2] = [0xb7, 0x1e];

/// Size of magic, length and CRC.
pub(super) const HEADER_BYTES: usize = 10;

/// Largest payload accepted by the reader; a greater length is treated as damage.
const MAX_PAYLOAD_BYTES: usize = 256 * 1024 * 1024;

/// Returns `payload` framed as a record.
pub(super) fn frame(payload: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(HEADER_BYTES + payload.len());
    record.extend_from_slice(&MAGIC);
    record.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    record.extend_from_slice(&checksum(payload).to_le_bytes());
    record.extend_from_slice(payload);
    record
}

/// Returns the CRC-32 of length and payload. The length is included so that a damaged length is
/// detected.
fn checksum(payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(payload.len() as u32).to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Reads the next record and returns its payload.
///
/// Returns `None` at the end of the input, or if the next record is incomplete or damaged.
pub(super) fn read_next(reader: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let mut header = [0; HEADER_BYTES];
    if !fill_buffer(reader, &mut header)? || header[..2] != MAGIC {
        return Ok(None);
    }
    let length = u32::from_le_bytes([header[2], header[3], header[4], header[5]]) as usize;
    let sum = u32::from_le_bytes([header[6], header[7], header[8], header[9]]);
    if length > MAX_PAYLOAD_BYTES {
        return Ok(None);
    }
    // The length may be damaged, so the buffer grows with the bytes read instead of being
    // allocated up front.
    let mut payload = Vec::new();
    reader.take(length as u64).read_to_end(&mut payload)?;
    let is_intact = payload.len() == length && checksum(&payload) == sum;
    Ok(is_intact.then_some(payload))
}

/// Fills the buffer from the reader. Returns `false` if the input ends first.
fn fill_buffer(reader: &mut impl Read, buffer: &mut [u8]) -> io::Result<bool> {
    match reader.read_exact(buffer) {
        Ok(()) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => Ok(false),
        Err(error) => Err(error),
    }
}

/// Returns the payload of the record that starts at `offset`, or `None` if there is no intact one.
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

/// Result of scanning a byte sequence for records.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct RecordScan {
    /// Payloads of the intact records at the start, in file order.
    pub(super) payloads: Vec<Bytes>,
    /// Total length of these records, in bytes.
    pub(super) intact_bytes: usize,
    /// Whether an intact record follows after `intact_bytes`. A torn write affects only the end of
    /// the input, so this means that the input was damaged in another way.
    pub(super) damaged: bool,
}

/// Reads records up to the first that is incomplete or damaged, then looks for intact records after
/// it.
pub(super) fn scan(bytes: &Bytes) -> RecordScan {
    let mut payloads = Vec::new();
    let mut offset = 0;
    while let Some(payload) = read_at(bytes, offset) {
        offset += HEADER_BYTES + payload.len();
        payloads.push(payload);
    }
    let damaged = (offset + 1..bytes.len()).any(|start| read_at(bytes, start).is_some());
    RecordScan {
        payloads,
        intact_bytes: offset,
        damaged,
    }
}
