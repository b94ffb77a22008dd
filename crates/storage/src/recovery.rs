//! Recovery of a data folder when it is opened.
//!
//! Reads log segments record by record, keeps where each command lies but not its bytes, and
//! truncates a record at the end of the log that a crash left incomplete.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::BufReader;
use std::path::Path;

use bytes::Bytes;

use super::error::StorageError;
use super::error::decode_error;
use super::error::io_error;
use super::places::EntryPlace;
use super::places::PlaceTable;
use super::record;
use super::segments::LogRecord;
use super::segments::SegmentFile;
use super::segments::list_segments;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_coordination::consensus::LogEntry;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::ReplicatedLog;
use bergamotlane_coordination::consensus::VoteRecord;
use bergamotlane_wire::codec;

/// Reads the record of a file that is only ever replaced atomically.
///
/// A crash can't leave such a file incomplete, so any damage is an error.
pub(super) fn read_single_record(path: &Path) -> Result<Bytes, StorageError> {
    let bytes = fs::read(path).map_err(io_error("read", path))?;
    record::first_payload(&Bytes::from(bytes)).ok_or_else(|| StorageError::Damaged {
        path: path.to_owned(),
        offset: 0,
    })
}

/// Returns the byte offset of `command` in the payload of a record, at or after `start`.
///
/// The encoding of a record holds each command as it is. Any place with the same bytes will do.
pub(super) fn find_command(payload: &[u8], start: usize, command: &[u8]) -> Option<usize> {
    if command.is_empty() {
        return Some(start);
    }
    let rest = payload.get(start..)?;
    let mut windows = rest.windows(command.len());
    let found = windows.position(|window| window == command)?;
    Some(start + found)
}

/// Places the entries of a record.
///
/// # Errors
///
/// Returns the position of the first entry whose command the payload doesn't hold.
pub(super) fn place_entries(
    entries: &[LogEntry],
    payload: &[u8],
    segment: u64,
    payload_offset: u64,
) -> Result<Vec<EntryPlace>, usize> {
    let mut start = 0;
    let place = |(position, entry): (usize, &LogEntry)| {
        let EntryBody::Command(command) = &entry.body else {
            return Ok(EntryPlace {
                segment,
                offset: payload_offset,
                length: 0,
            });
        };
        let found = find_command(payload, start, command).ok_or(position)?;
        start = found + command.len();
        Ok(EntryPlace {
            segment,
            offset: payload_offset + found as u64,
            length: command.len() as u32,
        })
    };
    entries.iter().enumerate().map(place).collect()
}

/// Content of the log's segments, as far as it has been read.
#[derive(Debug)]
pub(super) struct LogReplay {
    /// Latest vote.
    pub(super) vote: VoteRecord,
    /// Base and the entries after it, without their commands.
    pub(super) log: ReplicatedLog,
    /// Place of each entry of the log.
    pub(super) places: PlaceTable,
    /// Segments that were read, oldest first.
    pub(super) segments: Vec<SegmentFile>,
    /// Term of the entry at the base, if the segments hold it.
    base_term: Option<u64>,
    /// Lowest index of the entries that don't connect to those before, if there are any. They are
    /// not kept: either earlier entries replace them later on, or the log is damaged.
    detached: Option<u64>,
}

impl LogReplay {
    /// Reads all segments in `folder`. Entries up to the snapshot `base` are left out.
    pub(super) fn read(folder: &Path, base: LogSnapshot) -> Result<Self, StorageError> {
        let mut replay = Self {
            vote: VoteRecord::default(),
            places: PlaceTable::new(base.index),
            log: ReplicatedLog::new(base, Vec::new()),
            segments: Vec::new(),
            base_term: None,
            detached: None,
        };
        let segments = list_segments(folder)?;
        let count = segments.len();
        for (position, (number, path)) in segments.into_iter().enumerate() {
            let bytes = replay.read_segment(number, &path, position + 1 == count)?;
            replay.segments.push(SegmentFile {
                number,
                path,
                bytes,
            });
        }
        Ok(replay)
    }

    /// Returns whether the log holds the last entry that `snapshot` covers, or begins after it.
    ///
    /// Otherwise the snapshot came from a leader, and the process stopped before it had removed the
    /// log that the snapshot replaces.
    pub(super) fn agrees_with(&self, snapshot: &LogSnapshot) -> bool {
        if snapshot.index == self.log.snapshot().index {
            return self.base_term.is_none_or(|term| term == snapshot.term);
        }
        self.log.term_at(snapshot.index) == Some(snapshot.term)
    }

    /// Returns whether the indexes of the entries don't continue the base's without a gap.
    pub(super) fn has_gap(&self) -> bool {
        self.detached.is_some()
    }

    /// Reads a log segment and applies its records in order. Returns its size in bytes.
    ///
    /// An incomplete or damaged record at the end of the last segment is a torn write and is
    /// truncated. Damage in an earlier segment, or damage that is followed by an intact record, is
    /// an error.
    fn read_segment(
        &mut self,
        number: u64,
        path: &Path,
        is_last: bool,
    ) -> Result<u64, StorageError> {
        let file = File::open(path).map_err(io_error("open", path))?;
        let length = file.metadata().map_err(io_error("inspect", path))?.len();
        let mut reader = BufReader::new(file);
        let mut intact_bytes = 0;
        while let Some(payload) =
            record::read_next(&mut reader, length - intact_bytes).map_err(io_error("read", path))?
        {
            self.apply_record(number, path, intact_bytes, &payload)?;
            intact_bytes += (record::HEADER_BYTES + payload.len()) as u64;
        }
        if intact_bytes < length {
            let is_damaged = record::follows_intact(&reader.into_inner(), intact_bytes + 1)
                .map_err(io_error("read", path))?;
            if is_damaged || !is_last {
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
        Ok(intact_bytes)
    }

    /// Applies the record at byte `offset` of a segment.
    fn apply_record(
        &mut self,
        segment: u64,
        path: &Path,
        offset: u64,
        payload: &[u8],
    ) -> Result<(), StorageError> {
        let wires = match codec::decode(payload).map_err(decode_error(path))? {
            LogRecord::Vote(wire) => {
                self.vote = VoteRecord::try_from(wire).map_err(decode_error(path))?;
                return Ok(());
            }
            LogRecord::Entries(wires) => wires,
        };
        let entries = wires.into_iter().map(LogEntry::try_from);
        let entries: Vec<LogEntry> = entries
            .collect::<Result<_, _>>()
            .map_err(decode_error(path))?;
        let payload_offset = offset + record::HEADER_BYTES as u64;
        let places = place_entries(&entries, payload, segment, payload_offset);
        let places = places.map_err(|_| StorageError::Damaged {
            path: path.to_owned(),
            offset: offset as usize,
        })?;
        for (entry, place) in entries.into_iter().zip(places) {
            self.push(entry, place);
        }
        Ok(())
    }

    /// Adds an entry, which replaces all earlier entries with the same or a higher index.
    fn push(&mut self, entry: LogEntry, place: EntryPlace) {
        let (index, base) = (entry.index, self.log.snapshot().index);
        if index > self.log.last_index() + 1 {
            let lowest = self.detached.unwrap_or(index);
            self.detached = Some(lowest.min(index));
            return;
        }
        self.detached = None;
        if index <= base {
            self.base_term = (index == base).then_some(entry.term);
            self.log.truncate(base);
            self.places.truncate(base);
            return;
        }
        let body = match entry.body {
            EntryBody::Command(command) => EntryBody::Stored(command.len() as u32),
            body => body,
        };
        self.places.push(index, entry.term, place);
        self.log.append(vec![LogEntry { body, ..entry }]);
    }
}
