//! What a node starts from: its timings and its stored state.

use super::log::ReplicatedLog;
use super::message::VoteRecord;
use crate::ident::NodeId;

/// Timings of a node.
#[derive(Debug, Clone, Copy)]
pub struct ConsensusConfig {
    /// Interval between heartbeats of a leader, in milliseconds; shorter than `lease_ms`.
    pub heartbeat_ms: u64,
    /// Time for which a node grants no vote after a message of the leader, in milliseconds.
    ///
    /// A heartbeat that a quorum answered gives the leader a lease of this length, less the
    /// drift allowance, counted from when it was sent. All nodes of a group need the same
    /// value.
    pub lease_ms: u64,
    /// Upper bound of the random time added to `lease_ms` for an election timeout, in
    /// milliseconds.
    pub election_spread_ms: u64,
}

impl Default for ConsensusConfig {
    fn default() -> Self {
        Self {
            heartbeat_ms: 100,
            lease_ms: 1_000,
            election_spread_ms: 400,
        }
    }
}

/// Stored state and seed that a node starts from.
#[derive(Debug, Clone)]
pub struct NodeStart {
    /// ID of the data folder.
    pub node: NodeId,
    /// Stored vote, or the default for an empty folder.
    pub vote: VoteRecord,
    /// Stored log, or the default for an empty folder.
    pub log: ReplicatedLog,
    /// Index of the snapshot that the state machine was restored from, or zero.
    ///
    /// It may be newer than the one that the log begins after. A node takes a snapshot only of
    /// applied entries, or installs one of a leader, so what a snapshot covers is committed, and
    /// the stored log holds these very entries. An index after the end of the log is ignored.
    pub applied: u64,
    /// Seed of the random election timeouts, which is combined with the ID.
    pub seed: u64,
}
