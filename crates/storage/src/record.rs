//! Framing of records in files.
//!
//! A record consists of two magic bytes, the payload length (`u32`, little-endian), a CRC-32 of
//! length and payload (`u32`, little-endian), and the payload. Records follow one another without
//! padding.

use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::BufWriter;
use std::io::Read;
use std::io::Seek;
use std::io::SeekFrom;
use std::io::Take;
use std::io::Write;
use std::os::unix::fs::FileExt;

use bytes::Bytes;
use serde::Serialize;

use bergamotlane_wire::codec;

/// Marks the start of each record.
const MAGIC: [u8; 2] = [0xb7, 0x1e];

/// Size of magic, length and CRC.
pub(super) const HEADER_BYTES: usize = 10;

/// Size of the pieces in which a file is searched for records, in bytes.
const SCAN_BYTES: usize = 64 * 1024;

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

/// Length and checksum of a record's payload, as its header names them.
#[derive(Debug, Clone, Copy)]
struct RecordHeader {
    length: usize,
    sum: u32,
}

/// Reads the header of the next record. Returns `None` at the end of the input, or if it is incomplete
/// or damaged.
fn read_header(reader: &mut impl Read) -> io::Result<Option<RecordHeader>> {
    let mut header = [0; HEADER_BYTES];
    if !fill_buffer(reader, &mut header)? || header[..2] != MAGIC {
        return Ok(None);
    }
    let length = u32::from_le_bytes([header[2], header[3], header[4], header[5]]) as usize;
    let sum = u32::from_le_bytes([header[6], header[7], header[8], header[9]]);
    Ok((length <= MAX_PAYLOAD_BYTES).then_some(RecordHeader { length, sum }))
}

/// Reads the next record and returns its payload.
///
/// Returns `None` at the end of the input, which has `rest_bytes`, or if the next record is incomplete
/// or damaged.
pub(super) fn read_next(reader: &mut impl Read, rest_bytes: u64) -> io::Result<Option<Vec<u8>>> {
    let header = read_header(reader)?;
    // A torn record is not read at all, since it may be long.
    let whole = header.filter(|it| (HEADER_BYTES + it.length) as u64 <= rest_bytes);
    match whole {
        Some(header) => read_payload(reader, header),
        None => Ok(None),
    }
}

/// Returns whether an intact record begins in a file at `offset` or later. A torn write affects only
/// the end of a file, so what comes before such a record was damaged in another way.
pub(super) fn follows_intact(file: &File, offset: u64) -> io::Result<bool> {
    let end = file.metadata()?.len();
    let mut buffer = vec![0; SCAN_BYTES + HEADER_BYTES];
    let mut start = offset;
    while start + (HEADER_BYTES as u64) <= end {
        let length = buffer.len().min((end - start) as usize);
        let piece = &mut buffer[..length];
        file.read_exact_at(piece, start)?;
        let places = SCAN_BYTES.min(piece.len() + 1 - HEADER_BYTES);
        for place in 0..places {
            if piece[place..].starts_with(&MAGIC) && is_intact(file, start + place as u64, end)? {
                return Ok(true);
            }
        }
        start += SCAN_BYTES as u64;
    }
    Ok(false)
}

/// Returns whether an intact record begins at `offset` of a file that ends at `end`. Its payload is
/// checked piece by piece.
fn is_intact(file: &File, offset: u64, end: u64) -> io::Result<bool> {
    let mut header = [0; HEADER_BYTES];
    file.read_exact_at(&mut header, offset)?;
    let Some(header) = read_header(&mut &header[..])? else {
        return Ok(false);
    };
    let mut start = offset + HEADER_BYTES as u64;
    let payload_end = start + header.length as u64;
    if payload_end > end {
        return Ok(false);
    }
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&(header.length as u32).to_le_bytes());
    let mut buffer = vec![0; SCAN_BYTES.min(header.length)];
    while start < payload_end {
        let length = buffer.len().min((payload_end - start) as usize);
        file.read_exact_at(&mut buffer[..length], start)?;
        hasher.update(&buffer[..length]);
        start += length as u64;
    }
    Ok(hasher.finalize() == header.sum)
}

/// What follows in a file of records.
#[derive(Debug)]
pub(super) enum NextRecord {
    /// An intact record with this payload.
    Payload(Vec<u8>),
    /// A record with a longer payload than asked for, which was passed over unread.
    TooLong,
    /// The end of the intact records.
    End,
}

/// Reads the next record, or passes over it if its payload has more than `max_bytes`.
pub(super) fn read_within(
    reader: &mut BufReader<File>,
    max_bytes: usize,
) -> io::Result<NextRecord> {
    let Some(header) = read_header(reader)? else {
        return Ok(NextRecord::End);
    };
    if header.length > max_bytes {
        reader.seek_relative(header.length as i64)?;
        return Ok(NextRecord::TooLong);
    }
    let payload = read_payload(reader, header)?;
    Ok(payload.map_or(NextRecord::End, NextRecord::Payload))
}

/// Reads the payload of a record; returns `None` if it is incomplete or damaged.
fn read_payload(reader: &mut impl Read, header: RecordHeader) -> io::Result<Option<Vec<u8>>> {
    let RecordHeader { length, sum } = header;
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

/// Returns the payload of the first record, or `None` if it is incomplete or damaged.
pub(super) fn first_payload(bytes: &Bytes) -> Option<Bytes> {
    let header = read_header(&mut bytes.as_ref()).ok()??;
    let end = HEADER_BYTES + header.length;
    if end > bytes.len() {
        return None;
    }
    let payload = bytes.slice(HEADER_BYTES..end);
    (checksum(&payload) == header.sum).then_some(payload)
}

/// Writer that passes bytes on, and keeps their number and checksum.
#[derive(Debug)]
struct SumWriter<W> {
    inner: W,
    hasher: crc32fast::Hasher,
    length: u64,
}

impl<W: Write> SumWriter<W> {
    fn new(inner: W, hasher: crc32fast::Hasher) -> Self {
        Self {
            inner,
            hasher,
            length: 0,
        }
    }
}

impl<W: Write> Write for SumWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = self.inner.write(bytes)?;
        self.hasher.update(&bytes[..count]);
        self.length += count as u64;
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

/// Writes the only record of an empty file, whose payload is the encoding of `value`, without a
/// copy of it in memory. Returns the size of the file in bytes.
///
/// # Errors
///
/// Returns an error if the file can't be written, or the payload is longer than a record may be.
pub(super) fn write_only<T: Serialize>(file: &mut File, value: &T) -> io::Result<u64> {
    let mut counter = SumWriter::new(io::sink(), crc32fast::Hasher::new());
    codec::write(value, &mut counter)?;
    let length = counter.length;
    if length > MAX_PAYLOAD_BYTES as u64 {
        return Err(io::Error::other("the record is too long"));
    }
    let length_bytes = (length as u32).to_le_bytes();
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length_bytes);
    file.write_all(&[0; HEADER_BYTES])?;
    let mut payload = SumWriter::new(BufWriter::new(&mut *file), hasher);
    codec::write(value, &mut payload)?;
    payload.flush()?;
    let sum = payload.hasher.clone().finalize();
    let mut header = MAGIC.to_vec();
    header.extend_from_slice(&length_bytes);
    header.extend_from_slice(&sum.to_le_bytes());
    drop(payload);
    file.seek(SeekFrom::Start(0))?;
    file.write_all(&header)?;
    Ok(HEADER_BYTES as u64 + length)
}

/// Returns a reader of the payload of the first record of a file, or `None` if the record is
/// incomplete or damaged. The payload is checked before without being held.
pub(super) fn open_first(mut file: File) -> io::Result<Option<Take<BufReader<File>>>> {
    let mut header = [0; HEADER_BYTES];
    if !fill_buffer(&mut file, &mut header)? || header[..2] != MAGIC {
        return Ok(None);
    }
    let length = u32::from_le_bytes([header[2], header[3], header[4], header[5]]);
    let sum = u32::from_le_bytes([header[6], header[7], header[8], header[9]]);
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length.to_le_bytes());
    let mut check = SumWriter::new(io::sink(), hasher);
    let copied = io::copy(&mut (&mut file).take(u64::from(length)), &mut check)?;
    if copied != u64::from(length) || check.hasher.finalize() != sum {
        return Ok(None);
    }
    file.seek(SeekFrom::Start(HEADER_BYTES as u64))?;
    Ok(Some(BufReader::new(file).take(u64::from(length))))
}
