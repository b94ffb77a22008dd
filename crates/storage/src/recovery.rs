//! Recovery of a data folder when it is opened.
//!
//! Reads snapshot and log segments, and truncates a record at the end of the log that a crash left
//! incomplete.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Seek;
use std::io::SeekFrom;
use std::path::Path;

use bytes::Bytes;

use super::folder::LogRecord;
use super::folder::StorageError;
use super::folder::decode_error;
use super::folder::io_error;
use super::record;
use bergamotlane_coordination::consensus::LogEntry;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::VoteRecord;
use bergamotlane_wire::LogSnapshotWire;
use bergamotlane_wire::codec;

/// Reads the snapshot file. Returns an empty snapshot if the file doesn't exist.
pub(super) fn read_snapshot(path: &Path) -> Result<LogSnapshot, StorageError> {
    if !path.exists() {
        return Ok(LogSnapshot::default());
    }
    let payload = read_single_record(path)?;
    let wire: LogSnapshotWire = codec::decode(&payload).map_err(decode_error(path))?;
    LogSnapshot::try_from(wire).map_err(decode_error(path))
}

/// Reads the record of a file that is only ever replaced atomically.
///
/// A crash can't leave such a file incomplete, so any damage is an error.
pub(super) fn read_single_record(path: &Path) -> Result<Bytes, StorageError> {
    let bytes = fs::read(path).map_err(io_error("read", path))?;
    let scan = record::scan(&Bytes::from(bytes));
    match scan.payloads.into_iter().next() {
        Some(payload) => Ok(payload),
        None => Err(StorageError::Damaged {
            path: path.to_owned(),
            offset: 0,
        }),
    }
}

/// Reads a log segment and applies its records to `vote` and `entries` in order.
///
/// An incomplete or damaged record at the end of the last segment is a torn write and is truncated.
/// Damage in an earlier segment, or damage that is followed by an intact record, is an error.
pub(super) fn read_segment(
    path: &Path,
    is_last: bool,
    vote: &mut VoteRecord,
    entries: &mut Vec<LogEntry>,
) -> Result<(), StorageError> {
    let file = File::open(path).map_err(io_error("open", path))?;
    let length = file.metadata().map_err(io_error("inspect", path))?.len();
    let mut reader = BufReader::new(file);
    let mut intact_bytes = 0;
    while let Some(payload) = record::read_next(&mut reader).map_err(io_error("read", path))? {
        intact_bytes += (record::HEADER_BYTES + payload.len()) as u64;
        replay_record(path, &payload, vote, entries)?;
    }
    if intact_bytes < length {
        let rest = read_rest(reader, intact_bytes).map_err(io_error("read", path))?;
        if record::scan(&rest).damaged || !is_last {
            return Err(StorageError::Damaged {
                path: path.to_owned(),
                offset: intact_bytes as usize,
            });
        }
        let file = OpenOptions::new()
            .write(true)
            .open(path)
            .map_err(io_error("open", path))?;
        file.set_len(intact_bytes)
            .and_then(|()| file.sync_all())
            .map_err(io_error("truncate", path))?;
    }
    Ok(())
}

/// Returns the bytes from `offset` to the end of the file.
fn read_rest(mut reader: BufReader<File>, offset: u64) -> io::Result<Bytes> {
    reader.seek(SeekFrom::Start(offset))?;
    let mut rest = Vec::new();
    reader.read_to_end(&mut rest)?;
    Ok(Bytes::from(rest))
}

/// Applies one log record. An entry replaces all earlier entries with the same or a higher index.
fn replay_record(
    path: &Path,
    payload: &[u8],
    vote: &mut VoteRecord,
    entries: &mut Vec<LogEntry>,
) -> Result<(), StorageError> {
    match codec::decode(payload).map_err(decode_error(path))? {
        LogRecord::Vote(wire) => {
            *vote = VoteRecord::try_from(wire).map_err(decode_error(path))?;
        }
        LogRecord::Entries(wires) => {
            for wire in wires {
                let entry = LogEntry::try_from(wire).map_err(decode_error(path))?;
                while entries.last().is_some_and(|last| last.index >= entry.index) {
                    entries.pop();
                }
                entries.push(entry);
            }
        }
    }
    Ok(())
}

/// Returns the entries after the snapshot.
///
/// # Errors
///
/// Returns [`StorageError::Gap`] if their indexes don't continue the snapshot's without a gap.
pub(super) fn entries_after_snapshot(
    path: &Path,
    snapshot: &LogSnapshot,
    entries: Vec<LogEntry>,
) -> Result<Vec<LogEntry>, StorageError> {
    let last_covered = entries.iter().find(|entry| entry.index == snapshot.index);
    if last_covered.is_some_and(|entry| entry.term != snapshot.term) {
        // The log diverged from the leader's and the leader's snapshot replaced it. Its segments
        // are still there because the process stopped before it had removed them.
        return Ok(Vec::new());
    }
    let rest: Vec<LogEntry> = entries
        .into_iter()
        .filter(|entry| entry.index > snapshot.index)
        .collect();
    let has_gap = rest
        .iter()
        .zip(snapshot.index + 1..)
        .any(|(entry, index)| entry.index != index);
    match has_gap {
        true => Err(StorageError::Gap {
            path: path.to_owned(),
        }),
        false => Ok(rest),
    }
}
