//! What a data folder holds after a start: whole records, and the cut of a torn tail.

use std::fs;
use std::fs::OpenOptions;
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

pub(super) fn read_snapshot(path: &Path) -> Result<LogSnapshot, StorageError> {
    if !path.exists() {
        return Ok(LogSnapshot::default());
    }
    let payload = read_single(path)?;
    let wire: LogSnapshotWire = codec::decode(&payload).map_err(decode_error(path))?;
    LogSnapshot::try_from(wire).map_err(decode_error(path))
}

/// Reads a file that was written whole, so that any damage is no crash's work.
pub(super) fn read_single(path: &Path) -> Result<Bytes, StorageError> {
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

pub(super) fn read_segment(
    path: &Path,
    is_last: bool,
    vote: &mut VoteRecord,
    entries: &mut Vec<LogEntry>,
) -> Result<(), StorageError> {
    let bytes = Bytes::from(fs::read(path).map_err(io_error("read", path))?);
    let scan = record::scan(&bytes);
    let torn = scan.whole_bytes < bytes.len();
    if torn && (scan.damaged || !is_last) {
        return Err(StorageError::Damaged {
            path: path.to_owned(),
            offset: scan.whole_bytes,
        });
    }
    if torn {
        let file = OpenOptions::new()
            .write(true)
            .open(path)
            .map_err(io_error("open", path))?;
        file.set_len(scan.whole_bytes as u64)
            .and_then(|()| file.sync_all())
            .map_err(io_error("cut", path))?;
    }
    for payload in &scan.payloads {
        match codec::decode(payload).map_err(decode_error(path))? {
            LogRecord::Vote(wire) => {
                *vote = VoteRecord::try_from(wire).map_err(decode_error(path))?;
            }
            LogRecord::Entries(wires) => {
                for wire in wires {
                    let entry = LogEntry::try_from(wire).map_err(decode_error(path))?;
                    while entries.last().is_some_and(|it| it.index >= entry.index) {
                        entries.pop();
                    }
                    entries.push(entry);
                }
            }
        }
    }
    Ok(())
}

/// Returns the entries that follow the snapshot without a gap.
pub(super) fn follow_snapshot(
    path: &Path,
    snapshot: &LogSnapshot,
    entries: Vec<LogEntry>,
) -> Result<Vec<LogEntry>, StorageError> {
    let at_end = entries.iter().find(|it| it.index == snapshot.index);
    if at_end.is_some_and(|it| it.term != snapshot.term) {
        // The snapshot replaced a log that had gone astray.
        return Ok(Vec::new());
    }
    let rest: Vec<LogEntry> = entries
        .into_iter()
        .filter(|it| it.index > snapshot.index)
        .collect();
    let gap = rest
        .iter()
        .zip(snapshot.index + 1..)
        .any(|(entry, index)| entry.index != index);
    match gap {
        true => Err(StorageError::Gap {
            path: path.to_owned(),
        }),
        false => Ok(rest),
    }
}
