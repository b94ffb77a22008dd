//! Messages between nodes, and the records that nodes store.

use bytes::Bytes;

use super::log::LogEntry;
use super::log::LogSnapshot;
use super::membership::GroupMembership;
use crate::ident::NodeId;

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EntryBody {
    /// Carries no data. A leader appends one at the start of its term, since it can commit
    /// entries of earlier terms only together with one of its own.
    Noop,
    /// Carries a command for the state machine.
    Command(Bytes),
    /// Stands for a command of this length, in bytes, that is only in storage.
    ///
    /// Outputs of a node may contain such entries. Their commands must be read before anybody acts
    /// on them; they are never sent or stored in this form.
    Stored(u32),
    /// Sets the membership, which takes effect as soon as the entry is appended.
    Membership(GroupMembership),
}

/// Term and vote that a node stores before it answers a vote request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct VoteRecord {
    /// Highest term that the node has seen.
    pub term: u64,
    /// Candidate that got the node's vote in that term.
    pub voted_for: Option<NodeId>,
    /// Whether the instance of the node may ever have led. It is set and stored before a candidate
    /// asks for votes, and by the owner of a node whose folder may stand in for a lost one.
    pub may_have_led: bool,
}

/// Message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConsensusMessage {
    /// Asks whether the receiver would grant its vote, without starting an election.
    PreVote {
        /// Term that the sender would start an election in.
        term: u64,
        /// Index of the last entry in the sender's log.
        last_index: u64,
        /// Term of the last entry in the sender's log.
        last_term: u64,
    },
    /// Answers a [`Self::PreVote`].
    PreVoteReply {
        /// Term of the request if the vote would be granted, otherwise the current term of
        /// the sender.
        term: u64,
        /// Whether the sender would grant its vote.
        granted: bool,
    },
    /// Requests a vote.
    Vote {
        /// Term of the election.
        term: u64,
        /// Index of the last entry in the sender's log.
        last_index: u64,
        /// Term of the last entry in the sender's log.
        last_term: u64,
        /// Whether the leader has released its lease and asked the sender to start this
        /// election, so that receivers needn't wait for the lease to expire.
        transfer: bool,
    },
    /// Answers a [`Self::Vote`].
    VoteReply {
        /// Current term of the sender.
        term: u64,
        /// Whether the sender grants its vote.
        granted: bool,
    },
    /// Replicates entries, or serves as a heartbeat if there are none.
    Append {
        /// Term of the leader.
        term: u64,
        /// Index of the entry before the first one of `entries`.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// Entries from `prev_index + 1` on.
        entries: Vec<LogEntry>,
        /// Commit index of the leader.
        commit: u64,
        /// Heartbeat round of the leader, which the answer repeats.
        round: u64,
    },
    /// Answers an [`Self::Append`] or a [`Self::Snapshot`].
    AppendReply {
        /// Current term of the sender.
        term: u64,
        /// Index up to which the sender's log matches the leader's and is durable, or `None`
        /// if the append was rejected.
        matched: Option<u64>,
        /// `prev_index` of the append, or the last index of the snapshot.
        prev_index: u64,
        /// Index that the leader should send from next, if the append was rejected.
        hint: u64,
        /// Heartbeat round of the message that this answers.
        round: u64,
    },
    /// Replaces the log of a node that lacks entries which the leader has compacted.
    Snapshot {
        /// Term of the leader.
        term: u64,
        /// Latest snapshot of the leader.
        snapshot: LogSnapshot,
        /// Heartbeat round of the leader, which the answer repeats.
        round: u64,
    },
    /// Transfers the leadership: asks the receiver to start an election at once, after the
    /// sender has released its lease.
    Campaign {
        /// Term of the leader.
        term: u64,
    },
    /// Reports whether the sender is the leader.
    ///
    /// A sender that reports that it isn't can't become the leader of `term` or an earlier
    /// term later on.
    Standing {
        /// Latest term that the report covers.
        term: u64,
        /// Whether the sender is the leader.
        leads: bool,
    },
}
