//! Frames between daemons.

use serde::Deserialize;
use serde::Serialize;
use serde_bytes::ByteBuf;

use crate::consensus::ConsensusMessageWire;
use crate::consensus::GroupMembershipWire;
use crate::consensus::LogEntryWire;
use crate::control::AttemptIdWire;
use crate::control::ControlCommandWire;
use crate::control::ControlOutcomeWire;
use crate::control::UsageDeltaWire;
use crate::targets::TargetAnnouncementWire;
use crate::targets::TargetLifeWire;
use crate::targets::TargetNameWire;

/// Version of the protocol between daemons; a daemon of another version is refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// What a daemon says of itself when a connection starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloFrame {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u32,
    /// Random bytes that the other side's proof must cover.
    pub nonce: u64,
    /// Cluster ID, once known.
    pub cluster: Option<u64>,
    /// Process run.
    pub run: u64,
    /// Identity of the data folder, if there is one.
    pub node: Option<u64>,
    /// Name of the instance.
    pub name: String,
    /// Peer address, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
}

/// A wish for slots of a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SlotDemand {
    /// The target.
    pub target: TargetNameWire,
    /// Slots that the asking instance still counts as its own.
    pub held: u32,
    /// Slots wanted in all.
    pub want: u32,
}

/// Slots of a target that an instance may use.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SlotAllocation {
    /// The target.
    pub target: TargetNameWire,
    /// Number of slots.
    pub count: u32,
}

/// Demand for a service at one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DemandReport {
    /// Service.
    pub service: String,
    /// Callers' requests in progress or waiting.
    pub lookups: u32,
    /// Samples waiting or in progress.
    pub rollouts: u32,
}

/// A wish for a share of a customer's limits.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShareDemand {
    /// Customer.
    pub customer: String,
    /// Requests in progress wanted.
    pub concurrency: u32,
    /// Requests a second wanted.
    pub rate_per_s: u32,
}

/// Share of a customer's limits at one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShareAllocation {
    /// Customer.
    pub customer: String,
    /// Requests in progress.
    pub concurrency: u32,
    /// Requests a second.
    pub rate_per_s: u32,
}

/// Question of an instance to the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AskFrame {
    /// When it was sent, by the sender's clock; comes back in the answer.
    pub sent_at: u64,
    /// Rises with each question of the run.
    pub sequence: u64,
    /// Index of the last entry that the sender has applied.
    pub applied: u64,
    /// Leader run and registry revision that the sender knows.
    pub registry: (u64, u64),
    /// Leader run and roster revision that the sender knows.
    pub roster: (u64, u64),
    /// Slots wanted.
    pub slots: Vec<SlotDemand>,
    /// Demand by service.
    pub demand: Vec<DemandReport>,
    /// Wanted shares of customers' limits.
    pub shares: Vec<ShareDemand>,
    /// Usage increments: their sequence number and content.
    pub usage: Option<(u64, Vec<UsageDeltaWire>)>,
    /// Whether the sender finishes up and takes no new work.
    pub draining: bool,
}

/// A target as the leader tells it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetFrame {
    /// Latest announcement.
    pub announcement: TargetAnnouncementWire,
    /// State.
    pub life: TargetLifeWire,
}

/// A live instance as the leader tells it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceFrame {
    /// Process run.
    pub run: u64,
    /// Identity of the data folder, if there is one.
    pub node: Option<u64>,
    /// Name.
    pub name: String,
    /// Peer address, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it finishes up and takes no new work.
    pub draining: bool,
}

/// Who is there.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RosterFrame {
    /// Rises with each change under one leader.
    pub revision: u64,
    /// Live instances.
    pub instances: Vec<InstanceFrame>,
    /// Membership of the group.
    pub membership: GroupMembershipWire,
}

/// What the asking instance lacks of the log.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CatchUp {
    /// Entries that follow what it has.
    Entries(Vec<LogEntryWire>),
    /// The whole control state, since the log no longer holds what it lacks.
    State(ByteBuf),
}

/// The leader's answer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ViewFrame {
    /// `sent_at` of the question.
    pub sent_at: u64,
    /// `sequence` of the question.
    pub sequence: u64,
    /// The leader's run.
    pub leader: u64,
    /// Term.
    pub term: u64,
    /// Commit index, confirmed under a lease; `None` if the leader can't confirm it.
    pub commit: Option<u64>,
    /// Entries or state.
    pub catch_up: CatchUp,
    /// Registry revision after `targets`.
    pub registry: u64,
    /// Whether `targets` is the whole registry.
    pub registry_whole: bool,
    /// Targets that changed.
    pub targets: Vec<TargetFrame>,
    /// Slots granted.
    pub slots: Vec<SlotAllocation>,
    /// How long the slots are granted for, in milliseconds from `sent_at`.
    pub slot_lease_ms: u64,
    /// Shares of customers' limits.
    pub shares: Vec<ShareAllocation>,
    /// Last usage increments merged of the asking run.
    pub usage_merged: u64,
    /// Roster, if it is newer than what the asking instance knows.
    pub roster: Option<RosterFrame>,
}

/// Why a command was not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitFailure {
    /// It was not taken and won't be.
    NotTaken,
    /// It may have been taken.
    Unknown,
}

/// Content of a sample as it is held and delivered.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredSample {
    /// Trainer.
    pub trainer: String,
    /// Group.
    pub group: String,
    /// Place in the group.
    pub place: u32,
    /// The attempt.
    pub attempt: AttemptIdWire,
    /// JSON that the trainer receives.
    pub body: ByteBuf,
}

/// A frame between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[allow(clippy::large_enum_variant)]
pub enum PeerFrame {
    /// First frame of both sides.
    Hello(HelloFrame),
    /// Second frame of both sides: proves that the sender has the cluster key.
    Proof(ByteBuf),
    /// Shows that the connection lives.
    Ping,
    /// A message of the replicated log.
    Consensus(ConsensusMessageWire),
    /// A question to the leader.
    Ask(AskFrame),
    /// The leader's answer.
    View(Box<ViewFrame>),
    /// The asked instance doesn't lead; the leader's run, if known.
    NotLeader(Option<u64>),
    /// The commit index moved; followers should ask at once.
    Advance(u64),
    /// Asks the leader to carry out a command.
    Submit {
        /// Comes back in the answer.
        nonce: u64,
        /// The command.
        command: ControlCommandWire,
    },
    /// Result of a command.
    Submitted {
        /// Nonce of the command.
        nonce: u64,
        /// The result.
        result: Result<ControlOutcomeWire, SubmitFailure>,
    },
    /// Announcements of targets, with their uptime in milliseconds.
    Announce(Vec<(TargetAnnouncementWire, u64)>),
    /// Asks whether an entry is in force everywhere.
    IsInForce {
        /// Comes back in the answer.
        nonce: u64,
        /// Log index.
        index: u64,
    },
    /// Answers whether an entry is in force everywhere.
    InForce {
        /// Nonce of the question.
        nonce: u64,
        /// Whether it is; `None` if the asked instance doesn't lead.
        in_force: Option<bool>,
    },
    /// Asks to hold a copy of a sample.
    StoreSample {
        /// Comes back in the answer.
        nonce: u64,
        /// The sample.
        sample: StoredSample,
    },
    /// The copy is held.
    SampleStored {
        /// Nonce of the question.
        nonce: u64,
    },
    /// Asks for a sample held.
    GetSample {
        /// Comes back in the answer.
        nonce: u64,
        /// The attempt.
        attempt: AttemptIdWire,
    },
    /// A sample held, or `None`.
    GotSample {
        /// Nonce of the question.
        nonce: u64,
        /// JSON that the trainer receives.
        body: Option<ByteBuf>,
    },
    /// Asks the leader for a membership change by an operator.
    ChangeMembership {
        /// Comes back in the answer.
        nonce: u64,
        /// The change.
        change: MembershipChange,
    },
    /// Result of a membership change: an error in lower case, or nothing.
    MembershipChanged {
        /// Nonce of the question.
        nonce: u64,
        /// The result.
        result: Result<(), String>,
    },
}

/// A membership change by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum MembershipChange {
    /// Adds a live instance with a disk.
    Add {
        /// Name of the instance.
        name: String,
    },
    /// Removes a member by instance name.
    Remove {
        /// Name of the instance.
        name: String,
    },
}
