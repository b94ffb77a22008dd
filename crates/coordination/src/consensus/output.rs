//! Actions that a node hands to its caller, and the errors of proposals.

use thiserror::Error;

use super::log::LogEntry;
use super::log::LogSnapshot;
use super::message::ConsensusMessage;
use super::message::VoteRecord;
use super::role::NodeRole;
use crate::ident::NodeId;

/// Reason why a proposal was rejected.
#[derive(Debug, Error, Clone, Copy, PartialEq, Eq)]
pub enum ConsensusError {
    /// The node isn't the leader, or has released its lease.
    #[error("this node is not the leader")]
    NotLeader,
    /// A membership change isn't committed yet, or the leader has no committed entry of its
    /// own term yet.
    #[error("an earlier membership change or the start of the term is not committed yet")]
    ChangePending,
    /// The change adds or removes more than one voter, or leaves none.
    #[error("a membership change may add or remove one voter only, and must leave one")]
    NotSingleStep,
    /// The learner to promote lacks committed entries.
    #[error("the learner to promote does not have all committed entries yet")]
    NotCaughtUp,
}

/// Action for the caller to carry out, in the order of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConsensusOutput {
    /// Store the vote record in place of the previous one.
    SaveVote(VoteRecord),
    /// Store entries, after dropping all stored ones from the first new index on.
    AppendEntries(Vec<LogEntry>),
    /// Store a snapshot, which has its data, and drop the entries that it covers.
    SaveSnapshot(LogSnapshot),
    /// Send a message to another node; it may be lost, delayed or duplicated.
    Send {
        /// Node to send it to.
        to: NodeId,
        /// Message to send.
        message: ConsensusMessage,
    },
    /// Apply a committed entry to the state machine.
    Apply(LogEntry),
    /// Replace the state of the state machine by a snapshot.
    Restore(LogSnapshot),
    /// Adapt to a new role of the node, such as the start or the end of its lead.
    RoleChanged {
        /// Role after the change.
        role: NodeRole,
        /// Current term of the node.
        term: u64,
    },
}

impl ConsensusOutput {
    /// Returns whether the output must be durable before the caller acts on later ones.
    pub fn is_durable(&self) -> bool {
        matches!(
            self,
            Self::SaveVote(_) | Self::AppendEntries(_) | Self::SaveSnapshot(_)
        )
    }
}
