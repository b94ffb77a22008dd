//! Messages exchanged by daemons over a peer connection.
//!
//! Both sides start with [`PeerFrame::Hello`] and [`PeerFrame::Proof`]. After the handshake, either
//! side may send any other frame. Requests that carry a `nonce` are answered by a frame with the
//! same `nonce`.

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

/// Version of the peer protocol. Connections to daemons of another version are refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// Identity that a daemon sends when a connection starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloFrame {
    /// [`PROTOCOL_VERSION`] of the sender.
    pub version: u32,
    /// Random number of the sender. The receiver's proof must cover it, so a recorded proof can't
    /// be replayed.
    pub nonce: u64,
    /// Cluster ID, or `None` while the sender doesn't know it.
    pub cluster: Option<u64>,
    /// Run ID of the sender's process, new at every start.
    pub run: u64,
    /// Node ID from the sender's data folder, or `None` if it has no data folder.
    pub node: Option<u64>,
    /// Name of the sender's instance.
    pub name: String,
    /// Address at which the sender accepts peer connections, `ip:port`.
    pub address: String,
    /// Availability zone of the sender.
    pub zone: String,
}

/// Number of slots of a target that an instance requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SlotDemand {
    /// Target whose slots are requested.
    pub target: TargetNameWire,
    /// Slots that the instance still holds from earlier leases.
    pub held: u32,
    /// Total number of slots wanted, including those held. A number below `held` returns slots.
    pub want: u32,
}

/// Number of slots of a target that an instance may use until its lease ends.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SlotAllocation {
    /// Target whose slots are granted.
    pub target: TargetNameWire,
    /// Total number of slots granted.
    pub count: u32,
}

/// Current demand for a service at one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DemandReport {
    /// Name of the service.
    pub service: String,
    /// Number of callers' requests that are in progress or waiting.
    pub lookups: u32,
    /// Number of samples that are in progress or waiting.
    pub rollouts: u32,
}

/// Share of a customer's limits that an instance requests.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShareDemand {
    /// Customer whose limits are shared.
    pub customer: String,
    /// Number of concurrent requests wanted.
    pub concurrency: u32,
    /// Request rate wanted, in requests per second.
    pub rate_per_s: u32,
}

/// Share of a customer's limits that an instance may use.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ShareAllocation {
    /// Customer whose limits are shared.
    pub customer: String,
    /// Number of concurrent requests granted.
    pub concurrency: u32,
    /// Request rate granted, in requests per second.
    pub rate_per_s: u32,
}

/// Request of an instance to the leader, answered with a [`ViewFrame`].
///
/// Each instance sends it regularly to fetch new log entries, targets and slot leases, and to
/// report its demand and usage.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AskFrame {
    /// Send time by the sender's clock, in milliseconds. The response repeats it, and leases count
    /// from it.
    pub sent_at: u64,
    /// Sequence number, which rises with each request of a process run.
    pub sequence: u64,
    /// Index of the last log entry that the sender has applied.
    pub applied: u64,
    /// Run ID of the leader and revision of its target registry that the sender has; zeros if none.
    pub registry: (u64, u64),
    /// Run ID of the leader and revision of its roster that the sender has; zeros if none.
    pub roster: (u64, u64),
    /// Requested slots by target.
    pub slots: Vec<SlotDemand>,
    /// Current demand by service.
    pub demand: Vec<DemandReport>,
    /// Requested shares of the customers' limits.
    pub shares: Vec<ShareDemand>,
    /// Usage increments that the leader hasn't confirmed yet, with their sequence number, by which
    /// each is merged only once.
    pub usage: Option<(u64, Vec<UsageDeltaWire>)>,
    /// Whether the sender is draining: it finishes its work and accepts no new work.
    pub draining: bool,
    /// Crashes of targets under requests that the sender saw lately.
    #[serde(default)]
    pub crashes: Vec<CrashFrame>,
    /// Digests of suspected requests that targets of the sender answered lately.
    #[serde(default)]
    pub answered: Vec<[u8; 16]>,
}

/// Crash of a target while it ran a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashFrame {
    /// Digest of the request.
    pub digest: [u8; 16],
    /// Address of the target, `ip:port`.
    pub target: String,
    /// Number that identifies the target until it restarts.
    pub identity: u64,
}

/// Request under which targets crashed, as the leader knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectFrame {
    /// Digest of the request.
    pub digest: [u8; 16],
    /// Number of targets that crashed under it.
    pub crashes: u32,
    /// Time left of its quarantine, in milliseconds.
    pub quarantine_left_ms: u64,
}

/// Entry of the leader's target registry.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetFrame {
    /// Latest announcement of the target.
    pub announcement: TargetAnnouncementWire,
    /// Life-cycle state of the target.
    pub life: TargetLifeWire,
}

/// Live instance in the leader's roster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceFrame {
    /// Run ID of the instance's process.
    pub run: u64,
    /// Node ID from the instance's data folder, or `None` if it has no data folder.
    pub node: Option<u64>,
    /// Name of the instance.
    pub name: String,
    /// Address at which the instance accepts peer connections, `ip:port`.
    pub address: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Whether the instance is draining: it finishes its work and accepts no new work.
    pub draining: bool,
}

/// Live instances and consensus membership.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RosterFrame {
    /// Revision of the roster, which rises with each change. Revisions of different leaders can't
    /// be compared.
    pub revision: u64,
    /// Instances that the leader considers alive.
    pub instances: Vec<InstanceFrame>,
    /// Voters and learners of the consensus group.
    pub membership: GroupMembershipWire,
}

/// Committed state that the requesting instance lacks.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum CatchUp {
    /// Log entries that follow the last one that the instance has applied.
    Entries(Vec<LogEntryWire>),
    /// Encoded control state, sent when the log no longer holds the entries that the instance
    /// lacks.
    State(ByteBuf),
}

/// Response of the leader to an [`AskFrame`].
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ViewFrame {
    /// `sent_at` of the request.
    pub sent_at: u64,
    /// `sequence` of the request.
    pub sequence: u64,
    /// Run ID of the leader's process.
    pub leader: u64,
    /// Current term.
    pub term: u64,
    /// Commit index, confirmed while the leader held a lease, or `None` if the leader can't confirm
    /// it.
    pub commit: Option<u64>,
    /// Log entries or state that the instance lacks.
    pub catch_up: CatchUp,
    /// Registry revision that the instance has after applying `targets`.
    pub registry: u64,
    /// Whether `targets` is the complete registry instead of the changes since the requested
    /// revision.
    pub registry_whole: bool,
    /// Registry entries that are new or changed.
    pub targets: Vec<TargetFrame>,
    /// Granted slots by target.
    pub slots: Vec<SlotAllocation>,
    /// Duration of the slot leases in milliseconds, counted from `sent_at`.
    pub slot_lease_ms: u64,
    /// Granted shares of the customers' limits.
    pub shares: Vec<ShareAllocation>,
    /// Sequence number of the last usage increments merged from the requesting process.
    pub usage_merged: u64,
    /// Current roster, or `None` if the instance already has it.
    pub roster: Option<RosterFrame>,
    /// Requests under which targets crashed.
    #[serde(default)]
    pub suspects: Vec<SuspectFrame>,
}

/// Reason why the outcome of a command isn't available.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmitFailure {
    /// The command was not accepted and will never be applied.
    NotTaken,
    /// The command may or may not have been applied.
    Unknown,
}

/// Content of a finished sample, as stored by instances and delivered to the trainer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredSample {
    /// Trainer that the sample is for.
    pub trainer: String,
    /// ID of the group that the sample belongs to.
    pub group: String,
    /// Index of the sample within its group, from zero.
    pub place: u32,
    /// Attempt that produced the sample.
    pub attempt: AttemptIdWire,
    /// JSON text of the sample as delivered to the trainer.
    pub body: ByteBuf,
}

/// Message between two daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[allow(clippy::large_enum_variant)]
pub enum PeerFrame {
    /// First message of both sides: who the sender is.
    Hello(HelloFrame),
    /// Second message of both sides: proves that the sender has the cluster key.
    Proof(ByteBuf),
    /// Keep-alive message.
    Ping,
    /// Message between consensus nodes.
    Consensus(ConsensusMessageWire),
    /// Request for updates, sent to the leader.
    Ask(AskFrame),
    /// Response of the leader to [`Self::Ask`].
    View(Box<ViewFrame>),
    /// Response to [`Self::Ask`] of an instance that isn't the leader. Holds the run ID of the
    /// leader's process if the instance knows it.
    NotLeader(Option<u64>),
    /// Notifies an instance that the leader's commit index has advanced to this index, so that it
    /// sends [`Self::Ask`] at once.
    Advance(u64),
    /// Requests that the leader commits a command.
    Submit {
        /// Request ID, repeated in the response.
        nonce: u64,
        /// Command to commit.
        command: ControlCommandWire,
    },
    /// Response to [`Self::Submit`].
    Submitted {
        /// `nonce` of the request.
        nonce: u64,
        /// Outcome of the applied command, or why there is none.
        result: Result<ControlOutcomeWire, SubmitFailure>,
    },
    /// Forwards target announcements to the leader, each with the target's uptime in milliseconds.
    Announce(Vec<(TargetAnnouncementWire, u64)>),
    /// Asks the leader whether a log entry is in force on every live instance.
    IsInForce {
        /// Request ID, repeated in the response.
        nonce: u64,
        /// Log index of the entry.
        index: u64,
    },
    /// Response to [`Self::IsInForce`].
    InForce {
        /// `nonce` of the request.
        nonce: u64,
        /// Whether the entry is in force; `None` if the sender isn't the leader.
        in_force: Option<bool>,
    },
    /// Requests that the receiver stores a copy of a sample.
    StoreSample {
        /// Request ID, repeated in the response.
        nonce: u64,
        /// Sample to store.
        sample: StoredSample,
    },
    /// Response to [`Self::StoreSample`]: the copy is stored.
    SampleStored {
        /// `nonce` of the request.
        nonce: u64,
    },
    /// Requests a stored sample.
    GetSample {
        /// Request ID, repeated in the response.
        nonce: u64,
        /// Attempt that produced the sample.
        attempt: AttemptIdWire,
    },
    /// Response to [`Self::GetSample`].
    GotSample {
        /// `nonce` of the request.
        nonce: u64,
        /// JSON text of the sample, or `None` if the sender doesn't store it.
        body: Option<ByteBuf>,
    },
    /// Requests a membership change from the leader on behalf of an operator.
    ChangeMembership {
        /// Request ID, repeated in the response.
        nonce: u64,
        /// Member to add or remove.
        change: MembershipChange,
    },
    /// Response to [`Self::ChangeMembership`].
    MembershipChanged {
        /// `nonce` of the request.
        nonce: u64,
        /// Nothing if the change was made, or an error message that starts in lower case.
        result: Result<(), String>,
    },
}

/// Membership change requested by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "change")]
pub enum MembershipChange {
    /// Adds a live instance that has a data folder.
    Add {
        /// Name of the instance.
        name: String,
    },
    /// Removes the member with the given instance name.
    Remove {
        /// Name of the instance.
        name: String,
    },
}
