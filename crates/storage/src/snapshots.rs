//! Snapshots in a data folder: the base of the log, and newer ones.

use std::fs;
use std::fs::File;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::error::StorageError;
use super::error::decode_error;
use super::error::io_error;
use super::file::sync_parent;
use super::record;
use super::segments::list_numbered;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::SnapshotData;
use bergamotlane_wire::GroupMembershipWire;
use bergamotlane_wire::LogSnapshotWire;
use bergamotlane_wire::codec;

const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Name of the only snapshot in folders of earlier builds.
const EARLIER_SNAPSHOT_FILE: &str = "snapshot";

const TEMPORARY_SUFFIX: &str = ".tmp";

/// Tells temporary files of writers apart that run at the same time.
static NEXT_WRITER: AtomicU64 = AtomicU64::new(0);

/// A snapshot on disk.
#[derive(Debug, Clone)]
struct SnapshotFile {
    index: u64,
    path: PathBuf,
    bytes: u64,
}

/// Whether a snapshot that is being written may still become part of the folder.
///
/// It is locked while the finished file gets its name, so that none appears once the writer was
/// told to stop.
#[derive(Debug, Clone)]
struct WritePermit(Arc<Mutex<bool>>);

impl WritePermit {
    fn lock(&self) -> MutexGuard<'_, bool> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Snapshot that is to be written, on any thread.
#[derive(Debug)]
pub struct SnapshotWriter {
    snapshot: LogSnapshot,
    path: PathBuf,
    permit: WritePermit,
}

/// Snapshot that a [`SnapshotWriter`] has written.
#[derive(Debug)]
pub struct WrittenSnapshot {
    index: u64,
    path: PathBuf,
    bytes: u64,
}

impl SnapshotWriter {
    /// Returns the index of the last entry that the snapshot covers.
    pub fn index(&self) -> u64 {
        self.snapshot.index
    }

    /// Durably writes the snapshot, whose state is `data`.
    ///
    /// Nothing is left on disk if the snapshot was abandoned meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written, synced or renamed.
    pub fn write(self, data: &[u8]) -> Result<WrittenSnapshot, StorageError> {
        let bytes = write_file(&self.path, &self.snapshot, data, &self.permit)
            .map_err(io_error("write", &self.path))?;
        Ok(WrittenSnapshot {
            index: self.snapshot.index,
            path: self.path,
            bytes,
        })
    }
}

/// Encoding of a [`LogSnapshotWire`], with borrowed data.
#[derive(Debug, Serialize)]
struct SnapshotRecord<'a> {
    index: u64,
    term: u64,
    membership: GroupMembershipWire,
    #[serde(with = "serde_bytes")]
    data: &'a [u8],
}

/// What is read of a [`LogSnapshotWire`] without its data.
#[derive(Debug, Deserialize)]
struct SnapshotHeader {
    index: u64,
    term: u64,
    membership: GroupMembershipWire,
}

/// Writes a snapshot whose state is `data` under a temporary name, and renames it if it is still
/// wanted. Returns the size of the file in bytes.
fn write_file(
    path: &Path,
    snapshot: &LogSnapshot,
    data: &[u8],
    permit: &WritePermit,
) -> io::Result<u64> {
    let writer = NEXT_WRITER.fetch_add(1, Ordering::Relaxed);
    let temporary = path.with_extension(format!("{writer}{TEMPORARY_SUFFIX}"));
    let written = write_temporary(&temporary, snapshot, data);
    let permit = permit.lock();
    if !*permit || written.is_err() {
        // What remains after a failure takes space until the folder is opened again.
        fs::remove_file(&temporary).ok();
        return written;
    }
    fs::rename(&temporary, path)?;
    sync_parent(path)?;
    written
}

/// Durably writes a snapshot, and returns the size of its file in bytes.
fn write_temporary(path: &Path, snapshot: &LogSnapshot, data: &[u8]) -> io::Result<u64> {
    let record = SnapshotRecord {
        index: snapshot.index,
        term: snapshot.term,
        membership: GroupMembershipWire::from(&snapshot.membership),
        data,
    };
    let mut file = File::create(path)?;
    let bytes = record::write_only(&mut file, &record)?;
    file.sync_all()?;
    Ok(bytes)
}

/// All snapshots of a folder, oldest first. The oldest is the base of the log.
#[derive(Debug)]
pub(super) struct SnapshotSet {
    folder: PathBuf,
    files: Vec<SnapshotFile>,
    /// Index and permit of the snapshot that is being written.
    writing: Option<(u64, WritePermit)>,
}

impl SnapshotSet {
    /// Lists the snapshots in `folder`, and removes what writers left incomplete.
    pub(super) fn open(folder: &Path) -> Result<Self, StorageError> {
        remove_incomplete(folder)?;
        let mut files = Vec::new();
        let earlier = folder.join(EARLIER_SNAPSHOT_FILE);
        if earlier.exists() {
            files.push((read_header(&earlier)?.index, earlier));
        }
        files.extend(list_numbered(folder, SNAPSHOT_PREFIX)?);
        files.sort();
        let files = files.into_iter().map(|(index, path)| {
            let bytes = fs::metadata(&path).map_err(io_error("inspect", &path))?;
            let bytes = bytes.len();
            Ok(SnapshotFile { index, path, bytes })
        });
        Ok(Self {
            folder: folder.to_owned(),
            files: files.collect::<Result<_, StorageError>>()?,
            writing: None,
        })
    }

    /// Returns the size of all snapshots in bytes.
    pub(super) fn bytes(&self) -> u64 {
        self.files.iter().map(|file| file.bytes).sum()
    }

    /// Returns the index of the oldest snapshot, or zero if there is none.
    pub(super) fn oldest(&self) -> u64 {
        self.files.first().map_or(0, |file| file.index)
    }

    /// Returns the index of the newest snapshot, or zero if there is none.
    pub(super) fn newest(&self) -> u64 {
        self.files.last().map_or(0, |file| file.index)
    }

    /// Returns the index of the newest snapshot before `end`, or `None` if there is none.
    pub(super) fn newest_before(&self, end: u64) -> Option<u64> {
        let mut files = self.files.iter().rev();
        files.find(|file| file.index < end).map(|file| file.index)
    }

    /// Reads the snapshot at `index` with its data; `None` if there is none. The snapshot at index
    /// zero is the empty one.
    pub(super) fn read(&self, index: u64) -> Result<Option<LogSnapshot>, StorageError> {
        let file = self.files.iter().rev().find(|file| file.index == index);
        match file {
            Some(file) => read_file(&file.path).map(Some),
            None => Ok((index == 0).then(LogSnapshot::default)),
        }
    }

    /// Reads index, term and membership of the snapshot at `index`. The snapshot at index zero is
    /// the empty one.
    pub(super) fn read_header(&self, index: u64) -> Result<LogSnapshot, StorageError> {
        let file = self.files.iter().rev().find(|file| file.index == index);
        match file {
            Some(file) => read_header(&file.path),
            None => Ok(LogSnapshot::default()),
        }
    }

    /// Returns whether a snapshot is being written.
    pub(super) fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Returns a writer for a snapshot whose data follows, unless another one is being written.
    pub(super) fn start(&mut self, snapshot: LogSnapshot) -> Option<SnapshotWriter> {
        if self.is_writing() || snapshot.index <= self.newest() {
            return None;
        }
        let permit = WritePermit(Arc::new(Mutex::new(true)));
        self.writing = Some((snapshot.index, permit.clone()));
        Some(SnapshotWriter {
            path: snapshot_path(&self.folder, snapshot.index),
            snapshot,
            permit,
        })
    }

    /// Adds the snapshot that was being written. Returns whether it was still wanted.
    pub(super) fn finish(&mut self, written: WrittenSnapshot) -> bool {
        let index = self.writing.as_ref().map(|(index, _)| *index);
        if index != Some(written.index) {
            return false;
        }
        self.writing = None;
        self.files.push(SnapshotFile {
            index: written.index,
            path: written.path,
            bytes: written.bytes,
        });
        true
    }

    /// Lets nothing come of the snapshot that is being written, if any.
    pub(super) fn abandon(&mut self) {
        if let Some((_, permit)) = self.writing.take() {
            *permit.lock() = false;
        }
    }

    /// Durably adds a snapshot with its data.
    pub(super) fn save(&mut self, snapshot: &LogSnapshot) -> Result<(), StorageError> {
        self.abandon();
        let path = snapshot_path(&self.folder, snapshot.index);
        let permit = WritePermit(Arc::new(Mutex::new(true)));
        let data = snapshot.data.inline().map_or(&[][..], |data| data);
        let written = write_file(&path, snapshot, data, &permit);
        let bytes = written.map_err(io_error("write", &path))?;
        let index = snapshot.index;
        self.files.retain(|file| file.path != path);
        self.files.push(SnapshotFile { index, path, bytes });
        self.files.sort_by_key(|file| file.index);
        Ok(())
    }

    /// Durably removes the snapshots before `index`, including those that were written but not
    /// added.
    pub(super) fn remove_before(&mut self, index: u64) -> Result<(), StorageError> {
        let known = self
            .files
            .iter()
            .map(|file| (file.index, file.path.clone()));
        let mut old: Vec<_> = known.collect();
        old.extend(list_numbered(&self.folder, SNAPSHOT_PREFIX)?);
        old.retain(|(number, _)| *number < index);
        old.sort();
        old.dedup();
        if old.is_empty() {
            return Ok(());
        }
        for (_, path) in &old {
            fs::remove_file(path).map_err(io_error("remove", path))?;
        }
        self.files.retain(|file| file.index >= index);
        File::open(&self.folder)
            .and_then(|folder| folder.sync_all())
            .map_err(io_error("sync", &self.folder))
    }
}

impl Drop for SnapshotSet {
    fn drop(&mut self) {
        self.abandon();
    }
}

fn snapshot_path(folder: &Path, index: u64) -> PathBuf {
    folder.join(format!("{SNAPSHOT_PREFIX}{index:016x}"))
}

/// Reads a snapshot with its data.
fn read_file(path: &Path) -> Result<LogSnapshot, StorageError> {
    let wire: LogSnapshotWire = read_record(path)?;
    LogSnapshot::try_from(wire).map_err(decode_error(path))
}

/// Reads a snapshot, and drops its data.
fn read_header(path: &Path) -> Result<LogSnapshot, StorageError> {
    let header: SnapshotHeader = read_record(path)?;
    let membership = GroupMembership::try_from(header.membership).map_err(decode_error(path))?;
    Ok(LogSnapshot {
        index: header.index,
        term: header.term,
        membership,
        data: SnapshotData::Stored,
    })
}

/// Reads a file that is only ever replaced atomically; any damage is an error.
fn read_record<T: DeserializeOwned>(path: &Path) -> Result<T, StorageError> {
    let file = File::open(path).map_err(io_error("open", path))?;
    let payload = record::open_first(file).map_err(io_error("read", path))?;
    let payload = payload.ok_or_else(|| StorageError::Damaged {
        path: path.to_owned(),
        offset: 0,
    })?;
    codec::decode_from(payload).map_err(decode_error(path))
}

/// Removes temporary files of snapshots.
fn remove_incomplete(folder: &Path) -> Result<(), StorageError> {
    for entry in fs::read_dir(folder).map_err(io_error("list", folder))? {
        let entry = entry.map_err(io_error("list", folder))?;
        let name = entry.file_name();
        let is_incomplete = name.to_str().is_some_and(|name| {
            name.starts_with(EARLIER_SNAPSHOT_FILE) && name.ends_with(TEMPORARY_SUFFIX)
        });
        if is_incomplete {
            let path = entry.path();
            fs::remove_file(&path).map_err(io_error("remove", &path))?;
        }
    }
    Ok(())
}
