//! A consensus node together with the data folder that stores its state.

use crate::folder::DataFolder;
use crate::folder::StorageError;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::NodeRole;

/// Thresholds at which a snapshot replaces the log.
///
/// A snapshot is due when either threshold is exceeded and the log has entries to replace.
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
}

impl DiskVoter {
    /// Stores and syncs the durable outputs of the node, and returns the remaining outputs for the
    /// caller to execute.
    ///
    /// After each sync the node is informed that its log is durable. Outputs that it produces in
    /// response are processed the same way and come last.
    ///
    /// # Errors
    ///
    /// Returns an error if an output can't be stored or synced. None of the outputs may be executed
    /// then, since they may depend on state that isn't durable.
    pub fn persist(
        &mut self,
        now: ClockTime,
        mut outputs: Vec<ConsensusOutput>,
    ) -> Result<Vec<ConsensusOutput>, StorageError> {
        let mut ready = Vec::new();
        while !outputs.is_empty() {
            let mut stored = false;
            for output in &outputs {
                if output.is_durable() {
                    let log = self.node.log();
                    // `slice` adds the count to an offset, which `usize::MAX` would overflow.
                    let tail = log.slice(log.snapshot().index + 1, usize::MAX >> 1);
                    self.folder.save(output, tail)?;
                    stored = true;
                }
            }
            ready.extend(outputs.drain(..).filter(|output| !output.is_durable()));
            if stored {
                self.folder.sync()?;
                let last = self.node.log().last_index();
                self.node.mark_synced(now, last, &mut outputs);
            }
        }
        Ok(ready)
    }

    /// Returns whether the log has exceeded a threshold of [`Self::snapshots`].
    pub fn needs_snapshot(&self) -> bool {
        let log = self.node.log();
        let entries = log.last_index() - log.snapshot().index;
        let is_large = self.folder.log_bytes() > self.snapshots.log_bytes;
        entries > self.snapshots.entries || (is_large && entries > 0)
    }

    /// Returns whether the node is the leader of its current term.
    pub fn leads(&self) -> bool {
        self.node.role() == NodeRole::Leader
    }
}
