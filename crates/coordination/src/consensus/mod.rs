//! A replicated log by the rules of Raft, with a leader lease.
//!
//! [`ConsensusNode`] takes the time and messages, and pushes [`ConsensusOutput`]s. The
//! caller must make every output that [`ConsensusOutput::is_durable`] names durable
//! before it acts on any later output, then call [`ConsensusNode::mark_synced`].
//!
//! A [`NodeId`](crate::ident::NodeId) names one data folder, not one machine: a machine that lost its folder
//! comes back under a new ID, so it can't vote in the place of the old one.
//!
//! Source: D. Ongaro, "Consensus: Bridging Theory and Practice" (2014), chapters 3, 4,
//! 5, 6.4 and 9.6.

mod election;
mod lease;
mod log;
mod membership;
mod message;
mod node;
mod proposal;
mod replication;
mod role;

#[cfg(test)]
mod tests;

pub use log::LogEntry;
pub use log::LogSnapshot;
pub use log::ReplicatedLog;
pub use membership::GroupMembership;
pub use membership::MemberRecord;
pub use message::ConsensusMessage;
pub use message::EntryBody;
pub use message::VoteRecord;
pub use node::ConsensusConfig;
pub use node::ConsensusError;
pub use node::ConsensusNode;
pub use node::ConsensusOutput;
pub use node::NodeStart;
pub use role::NodeRole;
