//! Segments of the log: numbered files to which records are appended.
//!
//! Each segment begins with the vote, so that the older ones can be removed.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::FileExt;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::error::StorageError;
use super::error::io_error;
use super::file::sync_parent;
use super::places::EntryPlace;
use super::record;
use bergamotlane_coordination::consensus::VoteRecord;
use bergamotlane_wire::LogEntryWire;
use bergamotlane_wire::VoteRecordWire;
use bergamotlane_wire::codec;

const SEGMENT_PREFIX: &str = "log-";

/// Size of a segment above which the next record begins a new one, in bytes.
const SEGMENT_BYTES: u64 = 8 * 1024 * 1024;

/// Record of a log segment.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum LogRecord {
    Vote(VoteRecordWire),
    Entries(Vec<LogEntryWire>),
}

/// A segment on disk.
#[derive(Debug, Clone)]
pub(super) struct SegmentFile {
    /// Number in the order of creation.
    pub(super) number: u64,
    /// Path of the file.
    pub(super) path: PathBuf,
    /// Size in bytes.
    pub(super) bytes: u64,
}

/// A record that was appended.
#[derive(Debug)]
pub(super) struct AppendedRecord {
    /// Number of its segment.
    pub(super) segment: u64,
    /// Byte offset of its payload in the segment.
    pub(super) offset: u64,
    /// Its payload.
    pub(super) payload: Bytes,
}

/// All segments of a log; records are appended to the last one.
#[derive(Debug)]
pub(super) struct SegmentSet {
    folder: PathBuf,
    older: Vec<SegmentFile>,
    current: SegmentFile,
    file: File,
    /// Copied into each new segment, since the old ones are removed.
    vote: VoteRecord,
    /// Records that aren't written yet. They are written at once, so that no record can be lost before
    /// one that is kept.
    pending: Vec<u8>,
    /// Whether the next record begins a new segment.
    rotate_due: bool,
    segment_bytes: u64,
}

impl SegmentSet {
    /// Opens the segments in `folder` for appending; `files` are those that were read, oldest
    /// first, and `vote` is the latest one in them.
    pub(super) fn open(
        folder: &Path,
        mut files: Vec<SegmentFile>,
        vote: VoteRecord,
    ) -> Result<Self, StorageError> {
        let current = files.pop().unwrap_or_else(|| SegmentFile {
            number: 1,
            path: segment_path(folder, 1),
            bytes: 0,
        });
        let mut segments = Self {
            folder: folder.to_owned(),
            older: files,
            file: open_segment(&current.path)?,
            current,
            vote,
            pending: Vec::new(),
            rotate_due: false,
            segment_bytes: SEGMENT_BYTES,
        };
        // An earlier process may have written records without syncing them.
        segments.sync_file()?;
        // A crash may have left a new segment without its vote.
        if segments.current.bytes == 0 && !segments.older.is_empty() {
            segments.append_vote()?;
        }
        Ok(segments)
    }

    /// Returns the size of all segments in bytes.
    pub(super) fn bytes(&self) -> u64 {
        let older: u64 = self.older.iter().map(|file| file.bytes).sum();
        older + self.current.bytes
    }

    /// Sets the size of a segment, in bytes, above which the next record begins a new one.
    #[cfg(test)]
    pub(super) fn set_segment_bytes(&mut self, bytes: u64) {
        self.segment_bytes = bytes;
    }

    /// Stores a vote.
    pub(super) fn save_vote(&mut self, vote: VoteRecord) -> Result<(), StorageError> {
        self.vote = vote;
        self.append_vote()
    }

    /// Appends a record of entries, to a new segment if one is due.
    pub(super) fn append_entries(
        &mut self,
        entries: Vec<LogEntryWire>,
    ) -> Result<AppendedRecord, StorageError> {
        if self.rotate_due || self.current.bytes >= self.segment_bytes {
            self.rotate()?;
        }
        self.append(&LogRecord::Entries(entries))
    }

    /// Lets the next record of entries begin a new segment.
    pub(super) fn rotate_later(&mut self) {
        self.rotate_due = true;
    }

    /// Begins a new segment. The old one is synced before, so that an incomplete record can only be
    /// at the end of the last one.
    pub(super) fn rotate(&mut self) -> Result<(), StorageError> {
        self.sync()?;
        let number = self.current.number + 1;
        let next = SegmentFile {
            number,
            path: segment_path(&self.folder, number),
            bytes: 0,
        };
        self.file = open_segment(&next.path)?;
        self.older.push(std::mem::replace(&mut self.current, next));
        self.rotate_due = false;
        self.append_vote()
    }

    /// Makes all records durable.
    pub(super) fn sync(&mut self) -> Result<(), StorageError> {
        if self.pending.is_empty() {
            return Ok(());
        }
        self.file
            .write_all(&self.pending)
            .map_err(io_error("append to", &self.current.path))?;
        // A large batch should not be held until the next one.
        self.pending = Vec::new();
        self.sync_file()
    }

    fn sync_file(&self) -> Result<(), StorageError> {
        self.file
            .sync_data()
            .map_err(io_error("sync", &self.current.path))
    }

    /// Durably removes the segments before the segment `first`, or all but the current one.
    ///
    /// The records that replace theirs, and the vote, are made durable before. The oldest segment
    /// is durably removed first: if a newer one went before it, entries that the newer one replaces
    /// would be found again after a crash.
    pub(super) fn remove_before(&mut self, first: Option<u64>) -> Result<(), StorageError> {
        let is_large = self.current.bytes >= self.segment_bytes;
        if first.is_none() && (self.rotate_due || is_large) {
            self.rotate()?;
        }
        self.sync()?;
        let first = first.unwrap_or(self.current.number);
        let count = self.older.partition_point(|file| file.number < first);
        for file in self.older.drain(..count) {
            fs::remove_file(&file.path).map_err(io_error("remove", &file.path))?;
            sync_parent(&file.path).map_err(io_error("sync", &self.folder))?;
        }
        Ok(())
    }

    /// Reads `length` bytes at `offset` into the command at `place`.
    pub(super) fn read(
        &self,
        place: EntryPlace,
        offset: u32,
        length: u32,
    ) -> Result<Bytes, StorageError> {
        let path = segment_path(&self.folder, place.segment);
        let file = File::open(&path).map_err(io_error("open", &path))?;
        let mut bytes = vec![0; length as usize];
        file.read_exact_at(&mut bytes, place.offset + u64::from(offset))
            .map_err(io_error("read", &path))?;
        Ok(Bytes::from(bytes))
    }

    fn append_vote(&mut self) -> Result<(), StorageError> {
        let record = LogRecord::Vote(VoteRecordWire::from(&self.vote));
        self.append(&record).map(|_| ())
    }

    fn append(&mut self, record: &LogRecord) -> Result<AppendedRecord, StorageError> {
        let payload = codec::encode(record);
        let framed = record::frame(&payload);
        let offset = self.current.bytes + record::HEADER_BYTES as u64;
        self.current.bytes += framed.len() as u64;
        self.pending.extend_from_slice(&framed);
        Ok(AppendedRecord {
            segment: self.current.number,
            offset,
            payload,
        })
    }
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{number:016x}"))
}

/// Opens a segment for appending, and creates it durably if it doesn't exist.
fn open_segment(path: &Path) -> Result<File, StorageError> {
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .map_err(io_error("open", path))?;
    sync_parent(path).map_err(io_error("sync the parent folder of", path))?;
    Ok(file)
}

/// Returns number and path of each segment in `folder`, oldest first.
pub(super) fn list_segments(folder: &Path) -> Result<Vec<(u64, PathBuf)>, StorageError> {
    list_numbered(folder, SEGMENT_PREFIX)
}

/// Returns number and path of each file whose name is `prefix` and a hexadecimal number, in
/// ascending order.
pub(super) fn list_numbered(
    folder: &Path,
    prefix: &str,
) -> Result<Vec<(u64, PathBuf)>, StorageError> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).map_err(io_error("list", folder))? {
        let entry = entry.map_err(io_error("list", folder))?;
        let name = entry.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix(prefix))
            .and_then(|digits| u64::from_str_radix(digits, 16).ok());
        if let Some(number) = number {
            files.push((number, entry.path()));
        }
    }
    files.sort();
    Ok(files)
}
