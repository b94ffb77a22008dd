//! The data folder of an instance that may vote.

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

use super::file::sync_parent;
use super::file::write_whole;
use super::record;
use super::recovery::follow_snapshot;
use super::recovery::read_segment;
use super::recovery::read_single;
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

/// Why the data folder can't be used.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A file operation failed.
    #[error("could not {action} {path}: {source}")]
    Io {
        /// What was tried.
        action: &'static str,
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// A file is damaged in a way that a crash can't cause.
    #[error("{path} is damaged at byte {offset}; restore the folder or start with an empty one")]
    Damaged {
        /// The file.
        path: PathBuf,
        /// Where the first bad record starts.
        offset: usize,
    },
    /// A record holds something else than expected.
    #[error("could not decode {path}: {source}")]
    Decode {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: WireError,
    },
    /// Entries are missing between snapshot and log.
    #[error("the log in {path} starts after the snapshot ends")]
    Gap {
        /// The folder.
        path: PathBuf,
    },
    /// Another process uses the folder.
    #[error("{path} is in use by another process")]
    InUse {
        /// The folder.
        path: PathBuf,
    },
}

/// Who the folder belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FolderIdentity {
    /// Identity of the folder, drawn when it was created.
    pub node: u64,
    /// Cluster that the folder belongs to, once known.
    pub cluster: Option<u64>,
}

/// What the folder held when it was opened.
#[derive(Debug)]
pub struct FolderContent {
    /// Votes.
    pub vote: VoteRecord,
    /// Log.
    pub log: ReplicatedLog,
}

/// A record of the log.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum LogRecord {
    Vote(VoteRecordWire),
    Entries(Vec<LogEntryWire>),
}

/// An open data folder.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    identity: FolderIdentity,
    /// Held for its lock, which keeps other processes out.
    _lock: File,
    segment: File,
    segment_path: PathBuf,
    segment_number: u64,
    segment_bytes: u64,
    unsynced: bool,
    vote: VoteRecord,
}

impl DataFolder {
    /// Opens a folder, or creates one with the identity `fresh`.
    ///
    /// A torn record at the end of the log is cut: it was never acknowledged.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be used or is damaged before its end.
    pub fn open(path: &Path, fresh: NodeId) -> Result<(Self, FolderContent), StorageError> {
        fs::create_dir_all(path).map_err(io_error("create", path))?;
        let lock = lock_folder(path)?;
        let identity = read_identity(path, fresh)?;
        let snapshot = read_snapshot(&path.join(SNAPSHOT_FILE))?;
        let mut vote = VoteRecord::default();
        let mut entries = Vec::new();
        let segments = list_segments(path)?;
        for (place, (_, segment)) in segments.iter().enumerate() {
            let is_last = place + 1 == segments.len();
            read_segment(segment, is_last, &mut vote, &mut entries)?;
        }
        let entries = follow_snapshot(path, &snapshot, entries)?;
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

    /// Returns who the folder belongs to.
    pub fn identity(&self) -> FolderIdentity {
        self.identity
    }

    /// Returns the bytes of log since the last snapshot.
    pub fn log_bytes(&self) -> u64 {
        self.segment_bytes
    }

    /// Records the cluster that the folder belongs to, for good.
    ///
    /// # Errors
    ///
    /// Returns an error if the identity can't be written.
    pub fn set_cluster(&mut self, cluster: u64) -> Result<(), StorageError> {
        self.identity.cluster = Some(cluster);
        write_identity(&self.path, &self.identity)
    }

    /// Stores a durable output; it lasts only after [`Self::sync`].
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written; the folder must not be used after it.
    pub fn save(
        &mut self,
        output: &ConsensusOutput,
        rest: &[LogEntry],
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
            ConsensusOutput::SaveSnapshot(snapshot) => self.save_snapshot(snapshot, rest),
            _ => Ok(()),
        }
    }

    /// Makes everything stored so far durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the sync fails; what was stored since the last one may be lost.
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

    /// Writes the snapshot whole, then starts a segment with what follows it.
    fn save_snapshot(
        &mut self,
        snapshot: &LogSnapshot,
        rest: &[LogEntry],
    ) -> Result<(), StorageError> {
        self.sync()?;
        let path = self.path.join(SNAPSHOT_FILE);
        let framed = record::frame(&codec::encode(&LogSnapshotWire::from(snapshot)));
        write_whole(&path, &framed).map_err(io_error("write", &path))?;
        let old = list_segments(&self.path)?;
        self.segment_number += 1;
        self.segment_path = segment_path(&self.path, self.segment_number);
        self.segment = open_segment(&self.segment_path)?;
        self.segment_bytes = 0;
        self.append(&LogRecord::Vote(VoteRecordWire::from(&self.vote)))?;
        if !rest.is_empty() {
            let rest = rest.iter().map(LogEntryWire::from).collect();
            self.append(&LogRecord::Entries(rest))?;
        }
        self.sync()?;
        for (_, path) in old {
            fs::remove_file(&path).map_err(io_error("remove", &path))?;
        }
        sync_parent(&self.segment_path).map_err(io_error("sync", &self.path))
    }
}

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

fn read_identity(path: &Path, fresh: NodeId) -> Result<FolderIdentity, StorageError> {
    let file = path.join(IDENTITY_FILE);
    if !file.exists() {
        let identity = FolderIdentity {
            node: fresh.0,
            cluster: None,
        };
        write_identity(path, &identity)?;
        return Ok(identity);
    }
    let payload = read_single(&file)?;
    codec::decode(&payload).map_err(decode_error(&file))
}

fn write_identity(path: &Path, identity: &FolderIdentity) -> Result<(), StorageError> {
    let file = path.join(IDENTITY_FILE);
    let framed = record::frame(&codec::encode(identity));
    write_whole(&file, &framed).map_err(io_error("write", &file))
}

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

fn open_segment(path: &Path) -> Result<File, StorageError> {
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .map_err(io_error("open", path))?;
    sync_parent(path).map_err(io_error("sync the folder of", path))?;
    Ok(file)
}

fn list_segments(path: &Path) -> Result<Vec<(u64, PathBuf)>, StorageError> {
    let mut segments = Vec::new();
    for entry in fs::read_dir(path).map_err(io_error("list", path))? {
        let entry = entry.map_err(io_error("list", path))?;
        let name = entry.file_name();
        let number = name
            .to_str()
            .and_then(|it| it.strip_prefix(SEGMENT_PREFIX))
            .and_then(|it| u64::from_str_radix(it, 16).ok());
        if let Some(number) = number {
            segments.push((number, entry.path()));
        }
    }
    segments.sort();
    Ok(segments)
}
