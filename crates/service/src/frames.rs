//! Messages between the processes of the service.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::directory::GroupMembers;
use crate::heartbeats::HeartbeatBatch;
use crate::jobs::ItemEnd;
use crate::leaving::LeavingStart;
use crate::plan::RoutingPlan;
use crate::registry::TargetAnnouncement;
use crate::registry::TargetView;
use crate::relay::RelayReply;
use crate::relay::RelayRequest;
use crate::software::SoftwareBuild;
use crate::state::StateCommand;
use crate::streams::StreamKey;
use crate::suspects::SuspectView;
use crate::texts::TextDelta;
use crate::usage::UsageSums;
use bergamotlane_wire::ConsensusMessageWire;

/// Format of snapshots in which payloads may be references to log entries. A keeper that names a lower
/// one reads only payloads that are held in full.
pub const STATE_FORMAT: u32 = 1;

/// Identity of a process, sent as the first frame on each link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloFrame {
    /// Random ID of the process, drawn at each start.
    pub run: u64,
    /// ID of the cluster, once the process knows it.
    pub cluster: Option<u64>,
    /// Node ID of a keeper, stored in its data folder.
    pub node: Option<u64>,
    /// Name of the instance.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address at which a keeper accepts links.
    pub address: Option<SocketAddr>,
    /// Address at which a keeper accepts calls of targets and operators.
    pub control: Option<SocketAddr>,
    /// Whether this keeper may bootstrap the consensus group, together with the other seeds.
    pub founds: bool,
    /// Address at which an entry accepts requests of other entries.
    #[serde(default)]
    pub relay: Option<SocketAddr>,
    /// Longest frame that the process receives from an entry, in bytes.
    #[serde(default)]
    pub max_frame_bytes: Option<u64>,
    /// Link addresses of the keepers to link to first.
    pub keepers: BTreeSet<SocketAddr>,
    /// Latest format of snapshots that a keeper reads; see [`STATE_FORMAT`].
    #[serde(default)]
    pub state_format: u32,
    /// Whether the process asks the leader for each request to a cold target. One of an earlier build
    /// spends a share of its own.
    #[serde(default)]
    pub asks_for_cold: bool,
    /// Whether a keeper answers heartbeats of targets by itself as follower, and reads batches of them
    /// as leader.
    #[serde(default)]
    pub batches_heartbeats: bool,
}

/// Role of a keeper, sent with each heartbeat of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeadHint {
    /// Whether the keeper leads and its lease is valid.
    pub leads: bool,
    /// Current term of the keeper.
    pub term: u64,
}

/// Update of the leader's view for entries and keepers; a part that did not change is `None`.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ViewFrame {
    /// Term of the leader that sent the view.
    pub term: u64,
    /// Routing plan in force.
    pub plan: Option<RoutingPlan>,
    /// Evacuated zones.
    pub evacuated: Option<Vec<String>>,
    /// All targets that the receiver needs; `None` if it has them up to the changes below.
    pub targets: Option<Vec<TargetView>>,
    /// Targets that are new or changed since the last view.
    pub changed: Vec<TargetView>,
    /// IDs of targets that are gone since the last view.
    pub removed: Vec<String>,
    /// Link addresses of all keepers.
    pub keepers: Option<BTreeSet<SocketAddr>>,
    /// Members of the consensus group, one of which leads.
    pub members: Option<GroupMembers>,
    /// Control addresses of the keepers that targets send their heartbeats to.
    #[serde(default)]
    pub heartbeat_keepers: Option<BTreeSet<SocketAddr>>,
    /// Requests under which targets crashed.
    #[serde(default)]
    pub suspects: Option<Vec<SuspectView>>,
    /// Number of live entries, which share the limits that targets name while no leader answers; those
    /// of an earlier build share the rate of requests to a cold target as well.
    pub entries: u32,
}

/// Request to the leader. Every call is idempotent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderCall {
    /// Apply a command to the replicated state; the reply follows once it is durable.
    Change(StateCommand),
    /// End a job of a customer.
    EndJob {
        /// ID of the job.
        job: String,
        /// Customer that makes the call.
        customer: Option<String>,
    },
    /// Register or refresh a target.
    Announce(TargetAnnouncement),
    /// Remove the target with this ID, which leaves.
    Depart(String),
    /// Return the document of the plan in force, as the operator sent it.
    ReadPlan,
    /// Return the results of a job from a position on.
    ReadJob {
        /// ID of the job.
        job: String,
        /// Customer that makes the call.
        customer: Option<String>,
        /// Position of the first result to return.
        after: u64,
        /// Longest time to wait while there is no result to return, in milliseconds.
        wait_ms: u64,
    },
    /// Return the request body of an item.
    ReadItem {
        /// ID of the job.
        job: String,
        /// Customer that makes the call.
        customer: Option<String>,
        /// ID of the item.
        item: String,
    },
    /// Drain the instance of this name, so that it can be removed.
    Retire(String),
    /// Return whether the instance of this name is drained.
    RetireState(String),
    /// Give a permit for a request to a target that names a limit or is cold.
    Permit {
        /// ID of the target.
        target: String,
        /// Limit as the caller knows it, in thousandths of a request per second, or 0 if it knows none.
        rate: u64,
        /// Longest time that the request may wait for its permit, in milliseconds, or `None` if no
        /// caller waits for it.
        max_wait_ms: Option<u64>,
        /// Whether the target is cold, as the caller knows it. A leader of an earlier build doesn't
        /// read this; its answer is no permit for a cold target.
        #[serde(default)]
        is_cold: bool,
    },
    /// Record that a target crashed while it ran a request.
    ReportCrash {
        /// Digest of the request.
        digest: [u8; 16],
        /// ID of the target.
        target: String,
        /// Start time of the target, in milliseconds since 1970.
        born: u64,
    },
    /// Record that the request with this digest was answered by a target.
    ClearSuspect([u8; 16]),
    /// Record that a target said in an answer that it leaves; the reply follows once it is durable.
    TargetLeaving(LeavingStart),
    /// Record which build begins a stream; the reply follows once it is durable.
    BeginStream {
        /// Identity of the stream.
        stream: StreamKey,
        /// Build of the target that begins it.
        build: SoftwareBuild,
    },
    /// Return the build that began a stream.
    FindStream(StreamKey),
    /// Record the limit that a target names in its answers.
    NameLimit {
        /// ID of the target.
        target: String,
        /// Limit, in thousandths of a request per second, or `None` if the target names none.
        rate: Option<u64>,
        /// Time since the request was sent whose answer says so, in milliseconds.
        age_ms: u64,
    },
}

/// Result of an item as callers read it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    /// ID of the item.
    pub id: String,
    /// How the item ended.
    pub end: ItemEnd,
    /// Generated text: the data of all events, joined by line feeds.
    pub text: Bytes,
    /// Weight versions that generated the text, ascending.
    pub versions: Vec<u64>,
    /// Score of the text, if the item has a reward call and is completed.
    pub score: Option<String>,
}

/// Reply to a [`LeaderCall`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderReply {
    /// The call was carried out and its effect is durable.
    Done,
    /// The called keeper is not the leader and did nothing.
    NotLeader,
    /// The change may or may not take effect.
    Unclear,
    /// Nothing exists under the name in the call.
    Missing,
    /// The change conflicts with the current state, or a job is larger than any that is accepted; it
    /// was not made.
    Conflict,
    /// Document of the plan, as the operator sent it.
    Document(Bytes),
    /// Address at which targets should announce themselves, if it is known.
    Announced(Option<SocketAddr>),
    /// Results of a job.
    Results {
        /// Number of items in the job.
        total: u64,
        /// Position after the last returned result.
        next: u64,
        /// Results in the order of their positions.
        results: Vec<ListedResult>,
    },
    /// Request body of an item.
    Body(Bytes),
    /// Build that began a stream.
    Stream(SoftwareBuild),
    /// Whether the instance is drained.
    Retired(bool),
    /// The request may be sent to its target after this delay, in milliseconds.
    Permit(u64),
    /// The request, whose target is cold, may be sent after this delay, in milliseconds.
    ColdPermit(u64),
    /// The request must not be sent, or the job was not accepted; a permit or space is free after this
    /// time, in milliseconds.
    NoPermit(u64),
}

/// Message on a link between two processes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LinkFrame {
    /// First frame in both directions.
    Hello(HelloFrame),
    /// Heartbeat.
    Ping(LeadHint),
    /// Consensus message between two keepers.
    Consensus(ConsensusMessageWire),
    /// Request to the leader.
    Call {
        /// Call ID, echoed in the reply.
        id: u64,
        /// Requested operation.
        call: LeaderCall,
    },
    /// Reply to a call.
    Reply {
        /// ID of the call.
        id: u64,
        /// Result of the call.
        reply: LeaderReply,
    },
    /// Update of the leader's view.
    View(Box<ViewFrame>),
    /// Members of the consensus group, sent by a keeper on each new link and
    /// whenever they change. After a restart of all processes, the seeds may be the only ones that
    /// everybody knows, and have to hear of the members first themselves.
    Members(GroupMembers),
    /// Usage that a process has counted.
    Usage {
        /// ID of the process, as in [`HelloFrame::run`].
        process: u64,
        /// Sums of its recent windows; they replace earlier ones of the same process.
        sums: UsageSums,
    },
    /// Addresses of entries through which the receiver, an entry too, may send requests.
    Helpers(BTreeSet<SocketAddr>),
    /// Request of another entry, which has no path to the targets.
    Relay {
        /// ID of the request on this link, echoed in the reply.
        id: u64,
        /// The request.
        request: Box<RelayRequest>,
    },
    /// Reply to a relayed request.
    RelayReply {
        /// ID of the request on this link.
        id: u64,
        /// What became of it.
        reply: RelayReply,
    },
    /// Cancels the relayed request with this ID; nobody waits for the reply.
    CancelRelay(u64),
    /// Text that runs have generated since the last such frame, from the leader to the other
    /// voters.
    Texts(Vec<TextDelta>),
    /// Targets that live, as a following keeper heard of them; only to a leader that reads it, see
    /// [`HelloFrame::batches_heartbeats`].
    Heartbeats(HeartbeatBatch),
    /// IDs of the targets in such a batch whose signs of life the leader did not apply; they have to
    /// announce themselves to it.
    HeartbeatsRefused(Vec<String>),
}
