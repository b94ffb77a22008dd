//! Data folder of a consensus node.
//!
//! The folder holds the node's identity, snapshots, and log segments that are numbered in the
//! order of their creation. The log begins after the oldest snapshot, its base. A lock file keeps
//! other processes out.

use std::fs;
use std::fs::File;
use std::ops::Range;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use super::error::StorageError;
use super::error::decode_error;
use super::error::io_error;
use super::file::replace_file;
use super::places::PlaceTable;
use super::record;
use super::recovery::LogReplay;
use super::recovery::place_entries;
use super::recovery::read_single_record;
use super::segments::SegmentSet;
use super::snapshots::SnapshotSet;
use super::snapshots::SnapshotWriter;
use super::snapshots::WrittenSnapshot;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_coordination::consensus::LogEntry;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::ReplicatedLog;
use bergamotlane_coordination::consensus::VoteRecord;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_wire::LogEntryWire;
use bergamotlane_wire::codec;

const IDENTITY_FILE: &str = "identity";

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
    /// Base of the log and the entries that follow it, whose commands are only on disk.
    pub log: ReplicatedLog,
    /// Index of the newest snapshot, which the state machine is restored from.
    pub applied: u64,
}

impl FolderContent {
    /// Returns whether nothing has ever been stored in the folder.
    pub fn is_empty(&self) -> bool {
        self.vote == VoteRecord::default() && self.log.last_index() == 0
    }

    /// Lets an empty folder count as one whose node may have led, since an earlier folder of the
    /// instance may be lost, unless the instance starts for the first time. The first vote that is
    /// stored keeps that.
    pub fn mark_replacement(&mut self, is_first_start: bool) {
        if self.is_empty() && !is_first_start {
            self.vote.may_have_led = true;
        }
    }
}

/// An open and locked data folder.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    identity: FolderIdentity,
    /// Keeps the folder locked while it is open.
    _lock: File,
    segments: SegmentSet,
    snapshots: SnapshotSet,
    places: PlaceTable,
    /// Size of the commands after the newest snapshot, in bytes; those that were replaced since it was
    /// counted are included.
    recent_bytes: u64,
}

impl DataFolder {
    /// Opens the data folder at `path` and recovers its content, or creates it with the node ID
    /// `new_node`.
    ///
    /// An incomplete record at the end of the log is truncated. It was never synced, so the node
    /// can't have acknowledged it. Of the log's commands, one record is in memory at a time.
    ///
    /// # Errors
    ///
    /// Returns an error if another process uses the folder, if a file can't be read or written, or
    /// if a file is damaged elsewhere than at the end of the log.
    pub fn open(path: &Path, new_node: NodeId) -> Result<(Self, FolderContent), StorageError> {
        fs::create_dir_all(path).map_err(io_error("create", path))?;
        let lock = lock_folder(path)?;
        let identity = read_identity(path, new_node)?;
        let snapshots = SnapshotSet::open(path)?;
        let newest = snapshots.read_header(snapshots.newest())?;
        let base = snapshots.read_header(snapshots.oldest())?;
        let replay = LogReplay::read(path, base)?;
        if replay.has_gap() {
            let path = path.to_owned();
            return Err(StorageError::Gap { path });
        }
        let is_replaced = !replay.agrees_with(&newest);
        let mut content = FolderContent {
            vote: replay.vote,
            log: replay.log,
            applied: newest.index,
        };
        let mut folder = Self {
            path: path.to_owned(),
            identity,
            _lock: lock,
            segments: SegmentSet::open(path, replay.segments, replay.vote)?,
            snapshots,
            places: replay.places,
            recent_bytes: 0,
        };
        folder.count_recent();
        if is_replaced {
            folder.replace_log(&newest)?;
            content.log = ReplicatedLog::new(newest, Vec::new());
        }
        Ok((folder, content))
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Returns the node and cluster that the folder belongs to.
    pub fn identity(&self) -> FolderIdentity {
        self.identity
    }

    /// Returns the size of the log's segments in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.segments.bytes()
    }

    /// Returns the size of segments and snapshots in bytes.
    pub fn disk_bytes(&self) -> u64 {
        self.segments.bytes() + self.snapshots.bytes()
    }

    /// Returns the size of the commands after the newest snapshot up to the entry at `end`, in bytes,
    /// or zero while no more than `limit_bytes` have been added since.
    pub(super) fn uncovered_bytes(&self, end: u64, limit_bytes: u64) -> u64 {
        match self.recent_bytes > limit_bytes {
            true => self.places.command_bytes(self.newest_snapshot(), end),
            false => 0,
        }
    }

    /// Returns the index of the last stored entry, or that of the base if no entry follows it.
    pub fn last_index(&self) -> u64 {
        self.places.last_index()
    }

    /// Returns the index of the newest snapshot, or zero if there is none.
    pub fn newest_snapshot(&self) -> u64 {
        self.snapshots.newest()
    }

    /// Returns whether a snapshot was started and neither finished nor abandoned.
    pub fn is_writing_snapshot(&self) -> bool {
        self.snapshots.is_writing()
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
    /// Votes and entries are durable only after [`Self::sync`]. A snapshot, which must have its
    /// data, is durable on return; it replaces all others and the log up to it.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be written. The folder must not be used any more then,
    /// since a record may have been written in part.
    pub fn save(&mut self, output: &ConsensusOutput) -> Result<(), StorageError> {
        match output {
            ConsensusOutput::SaveVote(vote) => self.segments.save_vote(*vote),
            ConsensusOutput::AppendEntries(entries) => self.append(entries),
            ConsensusOutput::SaveSnapshot(snapshot) => self.install(snapshot),
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
        self.segments.sync()
    }

    /// Reads part of the command of an entry; `None` if the folder has no such entry or range.
    ///
    /// # Errors
    ///
    /// Returns an error if the segment can't be read.
    pub fn read_command(
        &self,
        index: u64,
        range: Range<u32>,
    ) -> Result<Option<Bytes>, StorageError> {
        let Some(place) = self.places.place(index) else {
            return Ok(None);
        };
        if range.start > range.end || range.end > place.length {
            return Ok(None);
        }
        let length = range.end - range.start;
        self.segments.read(place, range.start, length).map(Some)
    }

    /// Reads the snapshot at `index` with its data, or returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or is damaged.
    pub fn read_snapshot(&self, index: u64) -> Result<Option<LogSnapshot>, StorageError> {
        self.snapshots.read(index)
    }

    /// Returns a writer for a snapshot whose data follows; `None` if one is being written, or a
    /// stored one is as new.
    pub fn start_snapshot(&mut self, snapshot: LogSnapshot) -> Option<SnapshotWriter> {
        let writer = self.snapshots.start(snapshot)?;
        // The entries that the snapshot covers can be removed without those that follow.
        self.segments.rotate_later();
        Some(writer)
    }

    /// Adds a snapshot that was written, unless another one has replaced the log meanwhile.
    pub fn finish_snapshot(&mut self, written: WrittenSnapshot) {
        if self.snapshots.finish(written) {
            self.count_recent();
        }
    }

    /// Lets nothing come of the snapshot that is being written, if any.
    pub fn abandon_snapshot(&mut self) {
        self.snapshots.abandon();
    }

    /// Makes the newest snapshot before `first_needed` the base of the log, and removes the
    /// snapshots, entries and segments before it. Returns the index of the base.
    ///
    /// A crash at any step loses nothing: the base is durable, and what the log begins with is
    /// removed only after the older snapshots, of which the oldest one needs it.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be removed. The folder must not be used any more then.
    pub fn release(&mut self, first_needed: u64) -> Result<u64, StorageError> {
        let oldest = self.snapshots.oldest();
        let Some(base) = self.snapshots.newest_before(first_needed) else {
            return Ok(oldest);
        };
        if base > oldest || base > self.places.base() {
            self.snapshots.remove_before(base)?;
            self.places.drop_until(base);
            self.segments.remove_before(self.places.first_segment())?;
        }
        Ok(base)
    }

    /// Sets the size of a segment, in bytes, above which the next record begins a new one.
    #[cfg(test)]
    pub(super) fn set_segment_bytes(&mut self, bytes: u64) {
        self.segments.set_segment_bytes(bytes);
    }

    fn count_recent(&mut self) {
        let (newest, last) = (self.newest_snapshot(), self.places.last_index());
        self.recent_bytes = self.places.command_bytes(newest, last);
    }

    fn append(&mut self, entries: &[LogEntry]) -> Result<(), StorageError> {
        let wires = entries.iter().map(LogEntryWire::from).collect();
        let appended = self.segments.append_entries(wires)?;
        let (segment, offset) = (appended.segment, appended.offset);
        let places = place_entries(entries, &appended.payload, segment, offset);
        let places = places.map_err(|_| StorageError::Damaged {
            path: self.path.clone(),
            offset: offset as usize,
        })?;
        for (entry, place) in entries.iter().zip(places) {
            self.places.push(entry.index, entry.term, place);
        }
        let last = self.places.last_index();
        self.recent_bytes += self.places.command_bytes(last - entries.len() as u64, last);
        Ok(())
    }

    /// Stores the snapshot of a leader, or the first one of a group, in place of all others.
    fn install(&mut self, snapshot: &LogSnapshot) -> Result<(), StorageError> {
        self.sync()?;
        self.snapshots.save(snapshot)?;
        if self.places.term(snapshot.index) == Some(snapshot.term) {
            self.recent_bytes = 0;
            return self.release(snapshot.index + 1).map(|_| ());
        }
        self.replace_log(snapshot)
    }

    /// Replaces the log by a stored snapshot, the newest one.
    ///
    /// The new segment begins with an entry in place of the last one that the snapshot covers,
    /// which makes recovery drop all earlier entries while their segments remain.
    fn replace_log(&mut self, snapshot: &LogSnapshot) -> Result<(), StorageError> {
        let index = snapshot.index;
        self.snapshots.remove_before(index)?;
        self.segments.rotate()?;
        let covered = LogEntry {
            index,
            term: snapshot.term,
            body: EntryBody::Noop,
        };
        self.segments
            .append_entries(vec![LogEntryWire::from(&covered)])?;
        self.segments.remove_before(None)?;
        self.places = PlaceTable::new(index);
        self.recent_bytes = 0;
        Ok(())
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
