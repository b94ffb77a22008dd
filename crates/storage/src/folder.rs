//! Data folder of a consensus node.
//!
//! The folder holds the node's identity, one snapshot, and log segments that are numbered in the
//! order of their creation. A lock file keeps other processes out.

use std::fs;
use std::fs::File;
use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use super::file::replace_file;
use super::file::sync_parent;
use super::record;
use super::recovery::entries_after_snapshot;
use super::recovery::read_segment;
use super::recovery::read_single_record;
use super::recovery::read_snapshot;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::LogEntry;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::ReplicatedLog;
use bergamotlane_coordination::consensus::VoteRecord;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_wire::LogEntryWire;
use bergamotlane_wire::LogSnapshotWire;
use bergamotlane_wire::VoteRecordWire;
use bergamotlane_wire::codec;
use bergamotlane_wire::codec::WireError;

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "snapshot";
const SEGMENT_PREFIX: &str = "log-";

/// Reason why a data folder can't be opened, read or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A file operation failed.
    #[error("could not {action} {path}: {source}")]
    Io {
        /// Verb that completes "could not ... {path}", for example `open`.
        action: &'static str,
        /// File or folder on which the operation failed.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is damaged in a way that a crash during a write can't cause.
    #[error("{path} is damaged at byte {offset}; restore the folder or start with an empty one")]
    Damaged {
        /// Damaged file.
        path: PathBuf,
        /// Byte offset at which the first damaged record starts.
        offset: usize,
    },
    /// A record has a valid checksum, but its payload isn't of the expected type.
    #[error("could not decode {path}: {source}")]
    Decode {
        /// File that holds the record.
        path: PathBuf,
        /// Why the payload was rejected.
        source: WireError,
    },
    /// Entries are missing between the snapshot and the log, or within the log.
    #[error(
        "entries are missing from the log in {path}: indexes after the snapshot are not consecutive"
    )]
    Gap {
        /// Data folder.
        path: PathBuf,
    },
    /// Another process holds the lock of the folder.
    #[error("{path} is in use by another process")]
    InUse {
        /// Data folder.
        path: PathBuf,
    },
}

/// Node and cluster that a data folder belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// Node ID, chosen when the folder was created.
    pub node: u64,
    /// Cluster ID, or `None` until the node has founded or joined a cluster.
    pub cluster: Option<u64>,
}

/// Consensus state recovered when a data folder was opened.
#[derive(Debug)]
pub struct FolderContent {
    /// Latest stored term and vote.
    pub vote: VoteRecord,
    /// Snapshot and the entries that follow it.
    pub log: ReplicatedLog,
}

/// Record of a log segment.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum LogRecord {
    Vote(VoteRecordWire),
    Entries(Vec<LogEntryWire>),
}

/// An open and locked data folder.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    identity: FolderIdentity,
    /// Keeps the folder locked while it is open.
    _lock: File,
    segment: File,
    segment_path: PathBuf,
    segment_number: u64,
    segment_bytes: u64,
    /// Whether the segment has records that aren't synced yet.
    unsynced: bool,
    /// Copied into each new segment, since the old ones are removed.
    vote: VoteRecord,
}

impl DataFolder {
    /// Opens the data folder at `path` and recovers its content, or creates it with the node ID
    /// `new_node`.
    ///
    /// An incomplete record at the end of the log is truncated. It was never synced, so the node
    /// can't have acknowledged it.
    ///
    /// # Errors
    ///
    /// Returns an error if another process uses the folder, if a file can't be read or written, or
    /// if a file is damaged elsewhere than at the end of the log.
    pub fn open(path: &Path, new_node: NodeId) -> Result<(Self, FolderContent), StorageError> {
        fs::create_dir_all(path).map_err(io_error("create", path))?;
        let lock = lock_folder(path)?;
        let identity = read_identity(path, new_node)?;
        let snapshot = read_snapshot(&path.join(SNAPSHOT_FILE))?;
        let mut vote = VoteRecord::default();
        let mut entries = Vec::new();
        let segments = list_segments(path)?;
        for (position, (_, segment)) in segments.iter().enumerate() {
            let is_last = position + 1 == segments.len();
            read_segment(segment, is_last, &mut vote, &mut entries)?;
        }
        let entries = entries_after_snapshot(path, &snapshot, entries)?;
        let segment_number = segments.last().map_or(1, |(number, _)| *number);
        let segment_path = segment_path(path, segment_number);
        let segment = open_segment(&segment_path)?;
        let segment_bytes = segment
            .metadata()
            .map_err(io_error("inspect", &segment_path))?
            .len();
        let folder = Self {
            path: path.to_owned(),
            identity,
            _lock: lock,
            segment,
            segment_path,
            segment_number,
            segment_bytes,
            unsynced: false,
            vote,
        };
        let log = ReplicatedLog::new(snapshot, entries);
        Ok((folder, FolderContent { vote, log }))
    }

    /// Returns the node and cluster that the folder belongs to.
    pub fn identity(&self) -> FolderIdentity {
        self.identity
    }

    /// Returns the size of the current log segment in bytes. Each snapshot starts a new segment.
    pub fn log_bytes(&self) -> u64 {
        self.segment_bytes
    }

    /// Durably assigns the folder to a cluster.
    ///
    /// The caller must not assign it to another cluster later.
    ///
    /// # Errors
    ///
    /// Returns an error if the identity file can't be written.
    pub fn set_cluster(&mut self, cluster: u64) -> Result<(), StorageError> {
        self.identity.cluster = Some(cluster);
        write_identity(&self.path, &self.identity)
    }

    /// Stores an output of the consensus node, and ignores outputs that aren't durable.
    ///
    /// Votes and entries are durable only after [`Self::sync`]. A snapshot is durable on return;
    /// `tail` holds the entries that follow it and is used for snapshots only.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written. The folder must not be used any more then,
    /// since a record may have been written in part.
    pub fn save(
        &mut self,
        output: &ConsensusOutput,
        tail: &[LogEntry],
    ) -> Result<(), StorageError> {
        match output {
            ConsensusOutput::SaveVote(vote) => {
                self.vote = *vote;
                self.append(&LogRecord::Vote(VoteRecordWire::from(vote)))
            }
            ConsensusOutput::AppendEntries(entries) => {
                let entries = entries.iter().map(LogEntryWire::from).collect();
                self.append(&LogRecord::Entries(entries))
            }
            ConsensusOutput::SaveSnapshot(snapshot) => self.save_snapshot(snapshot, tail),
            _ => Ok(()),
        }
    }

    /// Makes everything stored so far durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the sync fails. Records stored since the last successful sync may be
    /// lost then.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        if !self.unsynced {
            return Ok(());
        }
        self.segment
            .sync_data()
            .map_err(io_error("sync", &self.segment_path))?;
        self.unsynced = false;
        Ok(())
    }

    fn append(&mut self, record: &LogRecord) -> Result<(), StorageError> {
        let framed = record::frame(&codec::encode(record));
        self.segment
            .write_all(&framed)
            .map_err(io_error("append to", &self.segment_path))?;
        self.segment_bytes += framed.len() as u64;
        self.unsynced = true;
        Ok(())
    }

    /// Replaces the snapshot, then starts a new segment with the current vote and the entries after
    /// the snapshot, and removes the old segments.
    ///
    /// The old segments are removed only after the new one is synced, so a crash at any step loses
    /// nothing.
    fn save_snapshot(
        &mut self,
        snapshot: &LogSnapshot,
        tail: &[LogEntry],
    ) -> Result<(), StorageError> {
        self.sync()?;
        let path = self.path.join(SNAPSHOT_FILE);
        let framed = record::frame(&codec::encode(&LogSnapshotWire::from(snapshot)));
        replace_file(&path, &framed).map_err(io_error("write", &path))?;
        let old = list_segments(&self.path)?;
        self.segment_number += 1;
        self.segment_path = segment_path(&self.path, self.segment_number);
        self.segment = open_segment(&self.segment_path)?;
        self.segment_bytes = 0;
        self.append(&LogRecord::Vote(VoteRecordWire::from(&self.vote)))?;
        if !tail.is_empty() {
            let entries = tail.iter().map(LogEntryWire::from).collect();
            self.append(&LogRecord::Entries(entries))?;
        }
        self.sync()?;
        for (_, path) in old {
            fs::remove_file(&path).map_err(io_error("remove", &path))?;
        }
        sync_parent(&self.segment_path).map_err(io_error("sync", &self.path))
    }
}

/// Returns a function that converts an I/O error of `action` on `path`.
pub(super) fn io_error(
    action: &'static str,
    path: &Path,
) -> impl FnOnce(io::Error) -> StorageError {
    let path = path.to_owned();
    move |source| StorageError::Io {
        action,
        path,
        source,
    }
}

/// Locks the folder until the returned file is closed.
fn lock_folder(path: &Path) -> Result<File, StorageError> {
    let name = path.join("lock");
    let file = File::create(&name).map_err(io_error("create", &name))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(fs::TryLockError::WouldBlock) => Err(StorageError::InUse {
            path: path.to_owned(),
        }),
        Err(fs::TryLockError::Error(source)) => Err(io_error("lock", &name)(source)),
    }
}

/// Reads the identity file, or creates it with the node ID `new_node`.
fn read_identity(path: &Path, new_node: NodeId) -> Result<FolderIdentity, StorageError> {
    let file = path.join(IDENTITY_FILE);
    if !file.exists() {
        let identity = FolderIdentity {
            node: new_node.0,
            cluster: None,
        };
        write_identity(path, &identity)?;
        return Ok(identity);
    }
    let payload = read_single_record(&file)?;
    codec::decode(&payload).map_err(decode_error(&file))
}

fn write_identity(path: &Path, identity: &FolderIdentity) -> Result<(), StorageError> {
    let file = path.join(IDENTITY_FILE);
    let framed = record::frame(&codec::encode(identity));
    replace_file(&file, &framed).map_err(io_error("write", &file))
}

/// Returns a function that converts a decoding error in `path`.
pub(super) fn decode_error(path: &Path) -> impl Fn(WireError) -> StorageError {
    let path = path.to_owned();
    move |source| StorageError::Decode {
        path: path.clone(),
        source,
    }
}

fn segment_path(path: &Path, number: u64) -> PathBuf {
    path.join(format!("{SEGMENT_PREFIX}{number:016x}"))
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

/// Returns number and path of each segment, oldest first.
fn list_segments(path: &Path) -> Result<Vec<(u64, PathBuf)>, StorageError> {
    let mut segments = Vec::new();
    for entry in fs::read_dir(path).map_err(io_error("list", path))? {
        let entry = entry.map_err(io_error("list", path))?;
        let name = entry.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix(SEGMENT_PREFIX))
            .and_then(|digits| u64::from_str_radix(digits, 16).ok());
        if let Some(number) = number {
            segments.push((number, entry.path()));
        }
    }
    segments.sort();
    Ok(segments)
}
