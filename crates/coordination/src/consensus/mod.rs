//! Raft consensus with a leader lease.
//!
//! The caller passes the current time and incoming messages to a [`ConsensusNode`], which
//! appends [`ConsensusOutput`]s to a list. The caller carries them out in order. It must
//! make each output for which [`ConsensusOutput::is_durable`] returns `true` durable before
//! it acts on any later one, and then call [`ConsensusNode::mark_synced`].
//!
//! The node needn't hold the whole log: [`ConsensusNode::evict_commands`] drops commands of
//! synced entries, and data of snapshots is never kept. Outputs may then contain
//! [`EntryBody::Stored`] and [`SnapshotData::Stored`], which the caller replaces by the bytes
//! from its storage.
//!
//! A [`NodeId`](crate::ident::NodeId) identifies a data folder, not a machine: a machine
//! that lost its folder comes back under a new ID, so that it can't vote twice in a term
//! whose vote it has forgotten.
//!
//! Reference: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014), chapters 3, 4,
//! 5, 6.4 and 9.6.

mod election;
mod lease;
mod log;
mod membership;
mod message;
mod node;
mod output;
mod proposal;
mod replication;
mod role;
mod start;
mod status;
mod stored;

#[cfg(test)]
mod tests;

pub use log::LogEntry;
pub use log::LogSnapshot;
pub use log::ReplicatedLog;
pub use log::SnapshotData;
pub use membership::GroupMembership;
pub use membership::MemberRecord;
pub use message::ConsensusMessage;
pub use message::EntryBody;
pub use message::VoteRecord;
pub use node::ConsensusNode;
pub use output::ConsensusError;
pub use output::ConsensusOutput;
pub use role::NodeRole;
pub use start::ConsensusConfig;
pub use start::NodeStart;
pub use status::GroupStatus;
