//! An instance with a disk: its consensus node and its data folder.

use crate::folder::DataFolder;
use crate::folder::StorageError;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::NodeRole;

/// When a snapshot replaces the log.
#[derive(Debug, Clone, Copy)]
pub struct SnapshotThresholds {
    /// Log size after which a snapshot is taken, in bytes.
    pub log_bytes: u64,
    /// Entries after which a snapshot is taken.
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

/// Consensus node with its storage.
#[derive(Debug)]
pub struct DiskVoter {
    /// The node.
    pub node: ConsensusNode,
    /// The folder.
    pub folder: DataFolder,
    /// When a snapshot replaces the log.
    pub snapshots: SnapshotThresholds,
}

impl DiskVoter {
    /// Makes outputs durable, tells the node, and returns those to act on.
    ///
    /// Outputs that the node adds once it knows that its log is durable come last.
    ///
    /// # Errors
    ///
    /// Returns an error if storage failed; the outputs must not be acted on then.
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
                    let rest = log.slice(log.snapshot().index + 1, usize::MAX >> 1);
                    self.folder.save(output, rest)?;
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

    /// Returns whether it is time for a snapshot.
    pub fn needs_snapshot(&self) -> bool {
        let log = self.node.log();
        let entries = log.last_index() - log.snapshot().index;
        let much = self.folder.log_bytes() > self.snapshots.log_bytes;
        entries > self.snapshots.entries || (much && entries > 0)
    }

    /// Returns whether the node leads.
    pub fn leads(&self) -> bool {
        self.node.role() == NodeRole::Leader
    }
}
