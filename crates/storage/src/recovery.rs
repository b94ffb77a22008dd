//! What a data folder holds after a start: whole records, and the cut of a torn tail.

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
    let file = File::open(path).map_err(io_error("open", path))?;
    let length = file.metadata().map_err(io_error("inspect", path))?.len();
    let mut reader = BufReader::new(file);
    let mut whole_bytes = 0;
    while let Some(payload) = record::read_next(&mut reader).map_err(io_error("read", path))? {
        whole_bytes += (record::HEADER_BYTES + payload.len()) as u64;
        take_record(path, &payload, vote, entries)?;
    }
    if whole_bytes < length {
        let rest = read_rest(reader, whole_bytes).map_err(io_error("read", path))?;
        if record::scan(&rest).damaged || !is_last {
            return Err(StorageError::Damaged {
                path: path.to_owned(),
                offset: whole_bytes as usize,
            });
        }
        let file = OpenOptions::new()
            .write(true)
            .open(path)
            .map_err(io_error("open", path))?;
        file.set_len(whole_bytes)
            .and_then(|()| file.sync_all())
            .map_err(io_error("cut", path))?;
    }
    Ok(())
}

/// Returns what stands behind the whole records.
fn read_rest(mut reader: BufReader<File>, offset: u64) -> io::Result<Bytes> {
    reader.seek(SeekFrom::Start(offset))?;
    let mut rest = Vec::new();
    reader.read_to_end(&mut rest)?;
    Ok(Bytes::from(rest))
}

fn take_record(
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
                while entries.last().is_some_and(|it| it.index >= entry.index) {
                    entries.pop();
                }
                entries.push(entry);
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
