//! What nodes send each other.

use bytes::Bytes;

use super::log::LogEntry;
use super::log::LogSnapshot;
use super::membership::GroupMembership;
use crate::ident::NodeId;

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryBody {
    /// Marks the start of a term.
    Noop,
    /// A command for the state machine.
    Command(Bytes),
    /// A membership, in effect from its append on.
    Membership(GroupMembership),
}

/// What a node must remember of its votes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct VoteRecord {
    /// Highest term seen.
    pub term: u64,
    /// Node voted for in that term.
    pub voted_for: Option<NodeId>,
}

/// Message between two nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConsensusMessage {
    /// Asks whether a vote would be granted.
    PreVote {
        /// Term that the sender would campaign in.
        term: u64,
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
    },
    /// Answers a pre-vote.
    PreVoteReply {
        /// Term asked for if granted, else the term of the answering node.
        term: u64,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Term of the election.
        term: u64,
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Whether the leader itself gave up its lease and asked for this election.
        transfer: bool,
    },
    /// Answers a vote request.
    VoteReply {
        /// Term of the answering node.
        term: u64,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Sends entries, or a heartbeat if there are none.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index before the first entry.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// Entries that follow `prev_index`.
        entries: Vec<LogEntry>,
        /// Commit index of the leader.
        commit: u64,
        /// Heartbeat round that an answer confirms.
        round: u64,
    },
    /// Answers an append or a snapshot.
    AppendReply {
        /// Term of the answering node.
        term: u64,
        /// Index up to which the logs match and are synced, if the append was taken.
        matched: Option<u64>,
        /// Index before the first entry of the append answered.
        prev_index: u64,
        /// Index that the leader should send next if the append was not taken.
        hint: u64,
        /// Heartbeat round confirmed.
        round: u64,
    },
    /// Sends a whole snapshot.
    Snapshot {
        /// Term of the leader.
        term: u64,
        /// The snapshot.
        snapshot: LogSnapshot,
        /// Heartbeat round that an answer confirms.
        round: u64,
    },
    /// Tells the receiver to campaign at once; the leader has given up its lease.
    Campaign {
        /// Term of the leader.
        term: u64,
    },
    /// Says whether the sender leads. One that does not never will in this term or an
    /// earlier one.
    Standing {
        /// Newest term that the statement covers.
        term: u64,
        /// Whether the sender leads.
        leads: bool,
    },
}
