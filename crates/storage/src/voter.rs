//! A consensus node together with the data folder that stores its state.

use std::ops::Range;

use bytes::Bytes;

use crate::error::StorageError;
use crate::folder::DataFolder;
use crate::snapshots::SnapshotWriter;
use crate::snapshots::WrittenSnapshot;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusMessage;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_coordination::consensus::LogEntry;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::NodeRole;
use bergamotlane_coordination::consensus::SnapshotData;

/// Memory that an entry takes whose command is on disk, in bytes: 4 in the log and 8 in the table of
/// places, either of which may have twice the room it needs.
const INDEXED_ENTRY_BYTES: u64 = 24;

/// Thresholds at which a snapshot is due.
///
/// A snapshot is due when either threshold is exceeded and the log has entries that no snapshot
/// covers.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotThresholds {
    /// Size of the log since the last snapshot, in bytes, above which a snapshot is due.
    pub log_bytes: u64,
    /// Number of log entries since the last snapshot above which a snapshot is due.
    pub entries: u64,
}

impl Default for SnapshotThresholds {
    fn default() -> Self {
        Self {
            log_bytes: 8 * 1024 * 1024,
            entries: 4_096,
        }
    }
}

/// A consensus node whose vote, log and snapshots are stored on disk.
///
/// An instance without a data folder has none: it receives the committed entries but can't vote.
#[derive(Debug)]
pub struct DiskVoter {
    /// Consensus state machine.
    pub node: ConsensusNode,
    /// Storage of the node's vote, log and snapshots.
    pub folder: DataFolder,
    /// When to take the next snapshot; set by the owner of the node.
    pub snapshots: SnapshotThresholds,
    /// Size of the youngest entries that are kept in memory with their commands, in bytes; set by
    /// the owner of the node. Older commands are read from the folder when they are needed.
    pub log_tail_bytes: usize,
}

impl DiskVoter {
    /// Stores and syncs the durable outputs of the node, and returns the remaining outputs for the
    /// caller to execute. They hold all commands and snapshots in full.
    ///
    /// `outputs` must be all that the node has produced since the last call, in order. After each
    /// sync the node is informed that its log is durable. Outputs that it produces in response are
    /// processed the same way and come last.
    ///
    /// # Errors
    ///
    /// Returns an error if an output can't be stored, synced, or completed from the folder. None of
    /// the outputs may be executed then, since they may depend on state that isn't durable.
    pub fn persist(
        &mut self,
        now: ClockTime,
        mut outputs: Vec<ConsensusOutput>,
    ) -> Result<Vec<ConsensusOutput>, StorageError> {
        let mut ready = Vec::new();
        while !outputs.is_empty() {
            let mut stored = false;
            // The commands of an output are read before a later output can replace them on disk.
            for output in outputs.drain(..) {
                if output.is_durable() {
                    self.folder.save(&output)?;
                    stored = true;
                } else {
                    ready.extend(self.complete(output)?);
                }
            }
            if stored {
                self.folder.sync()?;
                let last = self.folder.last_index();
                self.node.mark_synced(now, last, &mut outputs);
            }
        }
        self.node.evict_commands(self.log_tail_bytes);
        Ok(ready)
    }

    /// Reads part of the command of an entry, from memory or from disk.
    ///
    /// Returns `None` if the log has no such entry, or its command no such bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read.
    pub fn read_command(
        &self,
        index: u64,
        range: Range<u32>,
    ) -> Result<Option<Bytes>, StorageError> {
        let Some(entry) = self.node.log().entry(index) else {
            return Ok(None);
        };
        match &entry.body {
            EntryBody::Command(command) => {
                let (start, end) = (range.start as usize, range.end as usize);
                let is_inside = start <= end && end <= command.len();
                Ok(is_inside.then(|| command.slice(start..end)))
            }
            EntryBody::Stored(_) => self.folder.read_command(index, range),
            EntryBody::Noop | EntryBody::Membership(_) => Ok(None),
        }
    }

    /// Returns up to `count` entries of the log from `index` on, with their commands.
    ///
    /// Starts at the first entry after the base if `index` was compacted.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read.
    pub fn read_entries(&self, index: u64, count: usize) -> Result<Vec<LogEntry>, StorageError> {
        let log = self.node.log();
        let mut entries: Vec<LogEntry> = log.entries_from(index).take(count).collect();
        for entry in &mut entries {
            if !self.load_command(entry)? {
                return Err(self.missing(entry.index));
            }
        }
        Ok(entries)
    }

    /// Reads the newest stored snapshot with its data; the empty one if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be read, or is damaged.
    pub fn read_snapshot(&self) -> Result<LogSnapshot, StorageError> {
        let newest = self.folder.newest_snapshot();
        let snapshot = self.folder.read_snapshot(newest)?;
        snapshot.ok_or_else(|| self.missing(newest))
    }

    /// Returns whether the applied entries since the newest snapshot have exceeded a threshold of
    /// [`Self::snapshots`], and no snapshot is being written.
    pub fn needs_snapshot(&self) -> bool {
        let applied = self.node.applied_index();
        let entries = applied.saturating_sub(self.folder.newest_snapshot());
        let limit_bytes = self.snapshots.log_bytes;
        let is_large = || self.folder.uncovered_bytes(applied, limit_bytes) > limit_bytes;
        let is_due = entries > self.snapshots.entries || is_large();
        is_due && !self.folder.is_writing_snapshot()
    }

    /// Returns a writer for a snapshot of the state after the entry at `index`, which must have
    /// been applied.
    ///
    /// Returns `None` if a snapshot is being written, or a stored one is as new. Each writer must
    /// be followed by [`Self::finish_snapshot`] or [`Self::abandon_snapshot`].
    pub fn start_snapshot(&mut self, index: u64) -> Option<SnapshotWriter> {
        if index > self.node.applied_index() {
            return None;
        }
        let snapshot = self.node.log().snapshot_at(index)?;
        self.folder.start_snapshot(snapshot)
    }

    /// Adds a snapshot that was written, unless one of a leader has replaced the log meanwhile.
    pub fn finish_snapshot(&mut self, written: WrittenSnapshot) {
        self.folder.finish_snapshot(written);
    }

    /// Lets nothing come of the snapshot that is being written, if any.
    pub fn abandon_snapshot(&mut self) {
        self.folder.abandon_snapshot();
    }

    /// Removes the part of the log that nobody needs: the owner refers to no entry before
    /// `first_needed`.
    ///
    /// The newest snapshot before that entry becomes the base of the log; entries, segments and
    /// snapshots before it are removed.
    ///
    /// # Errors
    ///
    /// Returns an error if a file can't be removed. The folder must not be used any more then.
    pub fn release_log(&mut self, first_needed: u64) -> Result<(), StorageError> {
        let base = self.folder.release(first_needed)?;
        self.node.compact(base);
        Ok(())
    }

    /// Returns the size of the commands that the log holds in memory, in bytes.
    pub fn command_bytes_in_memory(&self) -> usize {
        self.node.log().held_bytes()
    }

    /// Returns the memory that the index of the log takes, in bytes; it grows with the number of the
    /// entries.
    pub fn index_bytes(&self) -> u64 {
        let log = self.node.log();
        (log.last_index() - log.snapshot().index) * INDEXED_ENTRY_BYTES
    }

    /// Returns the size of the log's segments and of the snapshots on disk, in bytes.
    pub fn disk_bytes(&self) -> u64 {
        self.folder.disk_bytes()
    }

    /// Returns whether the node is the leader of its current term.
    pub fn leads(&self) -> bool {
        self.node.role() == NodeRole::Leader
    }

    /// Reads what an output lacks. Returns `None` for a message whose content was released
    /// meanwhile, which counts as lost.
    fn complete(
        &self,
        mut output: ConsensusOutput,
    ) -> Result<Option<ConsensusOutput>, StorageError> {
        let is_complete = match &mut output {
            ConsensusOutput::Apply(entry) => {
                let found = self.load_command(entry)?;
                if !found {
                    return Err(self.missing(entry.index));
                }
                found
            }
            ConsensusOutput::Send { message, .. } => self.complete_message(message)?,
            _ => true,
        };
        Ok(is_complete.then_some(output))
    }

    /// Reads what a message lacks. Returns whether it is complete.
    fn complete_message(&self, message: &mut ConsensusMessage) -> Result<bool, StorageError> {
        match message {
            ConsensusMessage::Append { entries, .. } => {
                for entry in entries {
                    if !self.load_command(entry)? {
                        return Ok(false);
                    }
                }
                Ok(true)
            }
            ConsensusMessage::Snapshot { snapshot, .. }
                if snapshot.data == SnapshotData::Stored =>
            {
                let stored = self.folder.read_snapshot(snapshot.index)?;
                let found = stored.is_some();
                *snapshot = stored.unwrap_or_default();
                Ok(found)
            }
            _ => Ok(true),
        }
    }

    /// Reads the command of an entry if it is only on disk. Returns whether the entry has it.
    fn load_command(&self, entry: &mut LogEntry) -> Result<bool, StorageError> {
        let EntryBody::Stored(length) = entry.body else {
            return Ok(true);
        };
        let command = self.folder.read_command(entry.index, 0..length)?;
        let Some(command) = command else {
            return Ok(false);
        };
        entry.body = EntryBody::Command(command);
        Ok(true)
    }

    fn missing(&self, index: u64) -> StorageError {
        StorageError::NoEntry {
            path: self.folder.path().to_owned(),
            index,
        }
    }
}
