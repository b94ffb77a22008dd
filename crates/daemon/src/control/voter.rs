//! An instance with a disk: its consensus node and its data folder.

use crate::storage::DataFolder;
use crate::storage::StorageError;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::NodeRole;

/// Log size after which a snapshot is taken, in bytes.
const SNAPSHOT_AFTER_BYTES: u64 = 8 * 1024 * 1024;

/// Entries after which a snapshot is taken.
const SNAPSHOT_AFTER_ENTRIES: u64 = 4_096;

/// Consensus node with its storage.
#[derive(Debug)]
pub struct DiskVoter {
    /// The node.
    pub node: ConsensusNode,
    /// The folder.
    pub folder: DataFolder,
}

impl DiskVoter {
    /// Makes outputs durable, tells the node, and returns those to act on.
    ///
    /// Outputs that the node adds once it knows that its log is durable come last.
    ///
    /// # Errors
    ///
    /// Returns an error if storage failed; the outputs must not be acted on then.
    pub fn settle(
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
                self.node.synced(now, last, &mut outputs);
            }
        }
        Ok(ready)
    }

    /// Returns whether it is time for a snapshot.
    pub fn wants_snapshot(&self) -> bool {
        let log = self.node.log();
        let entries = log.last_index() - log.snapshot().index;
        let much = self.folder.log_bytes() > SNAPSHOT_AFTER_BYTES;
        entries > SNAPSHOT_AFTER_ENTRIES || (much && entries > 0)
    }

    /// Returns whether the node leads.
    pub fn leads(&self) -> bool {
        self.node.role() == NodeRole::Leader
    }
}
