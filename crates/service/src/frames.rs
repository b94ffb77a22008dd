//! What the processes of the service send each other.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::jobs::ItemEnd;
use crate::plan::RoutingPlan;
use crate::registry::TargetNotice;
use crate::registry::TargetView;
use crate::state::StateCommand;
use crate::texts::TextDelta;
use crate::usage::UsageSums;
use bergamotlane_wire::ConsensusMessageWire;

/// How a process introduces itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HelloFrame {
    /// Identity of the process run.
    pub run: u64,
    /// Cluster, once it is known.
    pub cluster: Option<u64>,
    /// Identity of the data folder of a keeper.
    pub node: Option<u64>,
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for links, of a keeper.
    pub address: Option<SocketAddr>,
    /// Address that targets and operators call, of a keeper.
    pub control: Option<SocketAddr>,
    /// Whether this keeper may found the group, with the others that may.
    pub founds: bool,
    /// Addresses of all keepers that it knows.
    pub keepers: BTreeSet<SocketAddr>,
}

/// What a keeper says of its role with each sign of life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct LeadHint {
    /// Whether it leads, with a live lease.
    pub leads: bool,
    /// Its term.
    pub term: u64,
}

/// What the leader tells entries and keepers; parts that did not change are missing.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct ViewFrame {
    /// Term of the leader.
    pub term: u64,
    /// Plan in force.
    pub plan: Option<RoutingPlan>,
    /// Zones taken out.
    pub evacuated: Option<Vec<String>>,
    /// Targets.
    pub targets: Option<Vec<TargetView>>,
    /// Link addresses of the keepers.
    pub keepers: Option<BTreeSet<SocketAddr>>,
    /// Number of live entries.
    pub entries: u32,
}

/// A request to the leader. Every call may be repeated.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderCall {
    /// Make a change and answer once it is durable.
    Change(StateCommand),
    /// End a job of a customer.
    EndJob {
        /// Job.
        job: String,
        /// Customer that asks.
        customer: Option<String>,
    },
    /// A target announces itself.
    Announce(TargetNotice),
    /// A target leaves.
    Depart(String),
    /// Return the newest plan as the operator sent it.
    ReadPlan,
    /// Return the results of a job from a position on.
    ReadJob {
        /// Job.
        job: String,
        /// Customer that asks.
        customer: Option<String>,
        /// First position wanted.
        after: u64,
        /// Longest wait for a first result, in milliseconds.
        wait_ms: u64,
    },
    /// Return the body of an item.
    ReadItem {
        /// Job.
        job: String,
        /// Customer that asks.
        customer: Option<String>,
        /// Item.
        item: String,
    },
    /// Empty an instance.
    Retire(String),
    /// Return how far that is.
    RetireState(String),
}

/// A result as it is read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedResult {
    /// Item.
    pub id: String,
    /// How it ended.
    pub end: ItemEnd,
    /// Text.
    pub text: Bytes,
    /// Versions that generated it.
    pub versions: Vec<u64>,
}

/// Answer of the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LeaderReply {
    /// Done and durable.
    Done,
    /// Nothing was done: this is not the leader.
    NotLeader,
    /// The change may or may not be made.
    Unclear,
    /// Nothing by that name.
    Missing,
    /// The change can't be made as things stand.
    Conflict,
    /// The plan, as it was sent.
    Document(Bytes),
    /// Where targets should announce themselves.
    Announced(Option<SocketAddr>),
    /// Results of a job.
    Results {
        /// Items of the job.
        total: u64,
        /// Position after the last result.
        next: u64,
        /// Results.
        results: Vec<ListedResult>,
    },
    /// Body of an item.
    Body(Bytes),
    /// Whether an instance is empty.
    Retired(bool),
}

/// One message on a link.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum LinkFrame {
    /// First message in both directions.
    Hello(HelloFrame),
    /// Sign of life.
    Ping(LeadHint),
    /// Between the nodes of the group.
    Consensus(ConsensusMessageWire),
    /// Request to the leader.
    Call {
        /// Number, echoed in the reply.
        id: u64,
        /// Request.
        call: LeaderCall,
    },
    /// Answer.
    Reply {
        /// Number of the call.
        id: u64,
        /// Answer.
        reply: LeaderReply,
    },
    /// What the leader tells.
    View(Box<ViewFrame>),
    /// Usage counted by a process.
    Usage {
        /// Process run.
        process: u64,
        /// Sums so far.
        sums: UsageSums,
    },
    /// What runs have added to their texts, from the leader to the other voters.
    Texts(Vec<TextDelta>),
}
