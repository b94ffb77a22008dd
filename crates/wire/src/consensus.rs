//! Wire types of the replicated log and of the messages between consensus nodes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;
use serde_bytes::ByteBuf;

use crate::codec::WireError;
use crate::mirror::Mirror;
use crate::mirror::mirror_conversions;
use crate::mirror::mirror_enum;
use crate::mirror::mirror_struct;
use bergamotlane_coordination::consensus::ConsensusMessage;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::consensus::LogEntry;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::MemberRecord;
use bergamotlane_coordination::consensus::SnapshotData;
use bergamotlane_coordination::consensus::VoteRecord;
use bergamotlane_coordination::ident::NodeId;

mirror_struct! {
    /// Wire type of [`MemberRecord`].
    MemberRecordWire for MemberRecord { name: String, address: String, zone: String }
}

mirror_struct! {
    /// Wire type of [`GroupMembership`].
    GroupMembershipWire for GroupMembership {
        voters: BTreeMap<NodeId, MemberRecord>,
        learners: BTreeMap<NodeId, MemberRecord>,
        barred: BTreeSet<NodeId>,
    }
}

/// Returns the value for records of builds that didn't store whether a node may have led.
fn unknown_leadership() -> bool {
    true
}

mirror_struct! {
    /// Wire type of [`VoteRecord`].
    VoteRecordWire for VoteRecord {
        term: u64,
        voted_for: Option<NodeId>,
        #[serde(default = "unknown_leadership")]
        may_have_led: bool,
    }
}

/// Wire type of [`EntryBody`].
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum EntryBodyWire {
    Noop,
    Command(ByteBuf),
    Membership(GroupMembershipWire),
}

impl Mirror for EntryBody {
    type Wire = EntryBodyWire;

    /// # Panics
    ///
    /// Panics if the command is only in storage: its owner must read it first, since any bytes in
    /// its place would be taken for the command.
    fn to_wire(&self) -> EntryBodyWire {
        match self {
            Self::Noop => EntryBodyWire::Noop,
            Self::Command(bytes) => EntryBodyWire::Command(bytes.to_wire()),
            Self::Stored(_) => panic!("a stored command has no encoding until it is read"),
            Self::Membership(membership) => EntryBodyWire::Membership(membership.to_wire()),
        }
    }

    fn from_wire(wire: EntryBodyWire) -> Result<Self, WireError> {
        Ok(match wire {
            EntryBodyWire::Noop => Self::Noop,
            EntryBodyWire::Command(bytes) => Self::Command(Bytes::from_wire(bytes)?),
            EntryBodyWire::Membership(membership) => {
                Self::Membership(GroupMembership::from_wire(membership)?)
            }
        })
    }
}

mirror_conversions!(EntryBodyWire, EntryBody);

mirror_struct! {
    /// Wire type of [`LogEntry`].
    LogEntryWire for LogEntry { index: u64, term: u64, body: EntryBody }
}

impl Mirror for SnapshotData {
    type Wire = ByteBuf;

    /// # Panics
    ///
    /// Panics if the data is only in storage: its owner must read it first, since any bytes in its
    /// place would be taken for the state.
    fn to_wire(&self) -> ByteBuf {
        match self {
            Self::Inline(bytes) => bytes.to_wire(),
            Self::Stored => panic!("a stored snapshot has no encoding until it is read"),
        }
    }

    fn from_wire(wire: ByteBuf) -> Result<Self, WireError> {
        Bytes::from_wire(wire).map(Self::Inline)
    }
}

mirror_struct! {
    /// Wire type of [`LogSnapshot`].
    LogSnapshotWire for LogSnapshot {
        index: u64,
        term: u64,
        membership: GroupMembership,
        data: SnapshotData,
    }
}

mirror_enum! {
    /// Wire type of [`ConsensusMessage`].
    ConsensusMessageWire for ConsensusMessage {
        PreVote { term: u64, last_index: u64, last_term: u64 },
        PreVoteReply { term: u64, granted: bool },
        Vote { term: u64, last_index: u64, last_term: u64, transfer: bool },
        VoteReply { term: u64, granted: bool },
        Append {
            term: u64,
            prev_index: u64,
            prev_term: u64,
            entries: Vec<LogEntry>,
            commit: u64,
            round: u64,
        },
        AppendReply { term: u64, matched: Option<u64>, prev_index: u64, hint: u64, round: u64 },
        Snapshot { term: u64, snapshot: LogSnapshot, round: u64 },
        Campaign { term: u64 },
        Standing { term: u64, leads: bool },
    }
}
