//! JSON bodies and header names of the HTTP interfaces for callers, trainers, targets, the platform
//! and operators.

use serde::Deserialize;
use serde::Serialize;

/// Response header that carries the [`ExecutionStatus`] of a refused call.
pub const RUN_HEADER: &str = "x-bergamotlane-run";

/// Request header with the request ID of a call that must not run twice. Retries of the call
/// repeat it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Response header with the weight versions that generated the text, separated by commas.
pub const VERSION_HEADER: &str = "x-weight-version";

/// Whether a refused call may have been executed by a target, so that a caller knows if a retry is
/// safe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionStatus {
    /// No part of the call was sent to a target.
    NotRun,
    /// The call was sent, or may have been, so a target may have executed it.
    MayHaveRun,
}

impl ExecutionStatus {
    /// Returns the value for [`RUN_HEADER`].
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

/// Response body of a refused request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Stable, machine-readable code, for example `deadline`.
    pub code: String,
    /// Explanation for people, in one sentence.
    pub message: String,
    /// Whether the call may have been executed.
    pub run: ExecutionStatus,
    /// All errors found in the request; empty if it was refused for another reason.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<String>,
}

/// Announcement that a target sends repeatedly to register itself and report its state.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnnounceBody {
    /// Service that the target belongs to.
    pub service: String,
    /// Name of the target, unique within the service.
    pub name: String,
    /// Boot ID of the target, which changes with every restart.
    pub boot: u64,
    /// Time since the last restart, in milliseconds.
    pub uptime_ms: u64,
    /// Address at which the target accepts requests, `ip:port`.
    pub address: String,
    /// Availability zone of the target.
    pub zone: String,
    /// Price class, `steady` or `reclaimable`.
    pub class: String,
    /// Whether the target can take its full load; a cold target gets fewer slots.
    pub warm: bool,
    /// Whether the target is about to shut down and must get no new requests.
    pub leaving: bool,
    /// Weight version that the target has loaded; zero for services without weights.
    #[serde(default)]
    pub weight_version: u64,
    /// Version of the target's software. A generation that one version began is resumed only at
    /// targets with the same; those that name none count as one version.
    #[serde(default)]
    pub software: String,
    /// Number of requests in progress at the target.
    pub load: u32,
}

/// Command to an engine to load a weight version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadBody {
    /// Weight version to load.
    pub version: u64,
    /// Fencing token: the term of the leader that sends the command.
    pub fence: u64,
}

/// Order to the platform that sets the number of targets of a service in one zone and price class.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrderBody {
    /// Order ID. Retries of an order use the same ID.
    pub order: u64,
    /// Fencing token: the term of the leader that sends the order.
    pub fence: u64,
    /// Service that the targets run.
    pub service: String,
    /// Availability zone of the targets.
    pub zone: String,
    /// Price class, `steady` or `reclaimable`.
    pub class: String,
    /// Desired total number of targets.
    pub count: u32,
}

/// Usage of one service by one customer within a window.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLineBody {
    /// Customer that is charged.
    pub customer: String,
    /// Service that was used.
    pub service: String,
    /// Number of responses delivered.
    pub requests: u64,
    /// Number of tokens delivered.
    pub tokens: u64,
    /// Number of samples delivered.
    pub samples: u64,
    /// Number of retries, hedged requests and abandoned runs, which are not charged.
    pub uncharged: u64,
}

/// Report of a closed usage window to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReportBody {
    /// Number of the window.
    pub window: u64,
    /// Fencing token: the term of the leader that sends the report.
    pub fence: u64,
    /// Start of the window, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End of the window, in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// Usage by customer and service.
    pub lines: Vec<UsageLineBody>,
}

/// Usage window as shown to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UsageWindowBody {
    /// Number of the window.
    pub window: u64,
    /// `open`, `closed`, or `reported` once the platform has accepted the report.
    pub state: String,
    /// Usage by customer and service.
    pub lines: Vec<UsageLineBody>,
}

/// Prompts submitted by a trainer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubmitBody {
    /// Groups of samples to generate, one for each prompt.
    pub groups: Vec<GroupBody>,
}

/// Group of samples to generate from one prompt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupBody {
    /// Group ID, chosen by the trainer.
    pub id: String,
    /// Prompt for all samples of the group.
    pub prompt: String,
    /// Number of samples; defaults to the group size in the plan.
    #[serde(default)]
    pub samples: Option<u32>,
}

/// Consecutive tokens of a sample that were generated with the same weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanBody {
    /// Index of the first token.
    pub from: u32,
    /// Index after the last token.
    pub to: u32,
    /// Weight version reported by the engine for these tokens.
    pub weight_version: u64,
}

/// Finished sample as delivered to a trainer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SampleBody {
    /// ID of the group that the sample belongs to.
    pub group: String,
    /// Index of the sample within its group, from zero.
    pub place: u32,
    /// Generated text.
    pub text: String,
    /// Token ranges with the weight versions that generated them.
    pub spans: Vec<SpanBody>,
    /// Score from the trainer's scorer, or `None` if the trainer has no scorer.
    pub score: Option<f64>,
}

/// Batch of samples as delivered to a trainer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BatchBody {
    /// Cursor under which the batch was fetched.
    pub cursor: u64,
    /// Revision of the batch, which the acknowledgement must repeat. It rises when samples are
    /// replaced.
    pub revision: u32,
    /// Samples of the batch.
    pub samples: Vec<SampleBody>,
}

/// Acknowledgement of a batch by a trainer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AcknowledgeBody {
    /// Cursor of the batch.
    pub cursor: u64,
    /// Revision of the batch that the trainer received.
    pub revision: u32,
}

/// Announcement of a new weight version by a trainer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionBody {
    /// The trainer's current weight version.
    pub version: u64,
}

/// Response to an accepted configuration change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AcceptedBody {
    /// Configuration number after the change.
    pub number: u64,
    /// Log index of the change.
    pub index: u64,
    /// Whether the change is in force on every live instance; `None` if the request didn't ask for
    /// it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<bool>,
}

/// Request to grant a key. It carries only a hash, so the key itself never leaves the operator's
/// machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantBody {
    /// Key ID by which the key can be withdrawn.
    pub id: String,
    /// Role of the key: `caller`, `target` or `trainer`.
    pub role: String,
    /// Name of the customer, service or trainer that the key belongs to, depending on the role.
    pub owner: String,
    /// BLAKE3 hash of the key, as 64 hexadecimal digits.
    pub hash: String,
}

/// Member of the consensus group.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberBody {
    /// Node ID, stored in the member's data folder.
    pub node: String,
    /// Name of the instance.
    pub name: String,
    /// Address for connections from other instances.
    pub address: String,
    /// Availability zone of the member.
    pub zone: String,
    /// `voter` or `learner`.
    pub role: String,
}

/// Live instance, as last reported by the leader.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceBody {
    /// Name of the instance.
    pub name: String,
    /// Address for connections from other instances.
    pub address: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Whether the instance has a data folder, so that it may become a member.
    pub disk: bool,
    /// Whether the instance is draining: it finishes its requests and accepts no new ones.
    pub draining: bool,
}

/// Status of the cluster as known to the responding instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusBody {
    /// Name of the responding instance.
    pub instance: String,
    /// Availability zone of the responding instance.
    pub zone: String,
    /// Cluster ID as 16 hexadecimal digits, or `None` while it is unknown.
    pub cluster: Option<String>,
    /// Consensus role of the responding instance.
    pub role: String,
    /// Current term of the responding instance's node; zero if the instance has no data folder.
    pub term: u64,
    /// Name of the leader, or `None` while it is unknown.
    pub leader: Option<String>,
    /// Whether the cluster has been formed.
    pub formed: bool,
    /// Index of the last log entry that the responding instance has applied.
    pub applied: u64,
    /// Whether the leader has recently confirmed that the responding instance is up to date.
    pub fresh: bool,
    /// Number of the applied configuration.
    pub number: u64,
    /// Availability zones that an operator has taken out of service.
    pub pulled: Vec<String>,
    /// Members of the consensus group.
    pub members: Vec<MemberBody>,
    /// Live instances.
    pub instances: Vec<InstanceBody>,
}

/// Target as shown to operators.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetBody {
    /// Service that the target belongs to.
    pub service: String,
    /// Name of the target, unique within the service.
    pub name: String,
    /// Address at which the target accepts requests, `ip:port`.
    pub address: String,
    /// Availability zone of the target.
    pub zone: String,
    /// Price class, `steady` or `reclaimable`.
    pub class: String,
    /// `cold`, `warm`, `leaving` or `gone`.
    pub state: String,
    /// Weight version that the target has loaded; zero for services without weights.
    pub weight_version: u64,
    /// Number of requests in progress as announced by the target, from all instances.
    pub load: u32,
    /// Number of requests in progress that the responding instance has sent.
    pub in_flight: u32,
    /// Number of slots that the responding instance currently holds.
    pub granted: u32,
}
