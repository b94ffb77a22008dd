//! JSON bodies that callers, trainers, targets and operators see.

use serde::Deserialize;
use serde::Serialize;

/// Header that says whether a refused call may have run: `not-run` or `may-have-run`.
pub const RUN_HEADER: &str = "x-bergamotlane-run";

/// Header that carries the request ID of a call that may not be repeated.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that names the weight versions of a generation.
pub const VERSION_HEADER: &str = "x-weight-version";

/// Whether a refused call may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ExecutionStatus {
    /// No byte of it was sent to a target.
    NotRun,
    /// It may have run.
    MayHaveRun,
}

impl ExecutionStatus {
    /// Returns the header's value.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

/// Body of a refusal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Stable code.
    pub code: String,
    /// One sentence for people.
    pub message: String,
    /// Whether the call may have run.
    pub run: ExecutionStatus,
    /// Every fault found in the request, if that is why.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub findings: Vec<String>,
}

/// A target's announcement.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AnnounceBody {
    /// Service.
    pub service: String,
    /// Name, unique within the service.
    pub name: String,
    /// Changes whenever the target restarts.
    pub boot: u64,
    /// Time since that restart, in milliseconds.
    pub uptime_ms: u64,
    /// Address, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// `steady` or `reclaimable`.
    pub class: String,
    /// Whether it bears its full load.
    pub warm: bool,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Weight version loaded; zero for plain services.
    #[serde(default)]
    pub weight_version: u64,
    /// Requests in progress.
    pub load: u32,
}

/// An order to an engine to load a weight version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LoadBody {
    /// Version.
    pub version: u64,
    /// Fencing number: the leader's term.
    pub fence: u64,
}

/// An order to the platform for targets.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetOrderBody {
    /// Order ID; the same when the order is sent again.
    pub order: u64,
    /// Fencing number: the leader's term.
    pub fence: u64,
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// `steady` or `reclaimable`.
    pub class: String,
    /// Targets wanted.
    pub count: u32,
}

/// One line of a usage report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageLineBody {
    /// Customer.
    pub customer: String,
    /// Service.
    pub service: String,
    /// Answers delivered.
    pub requests: u64,
    /// Tokens delivered.
    pub tokens: u64,
    /// Samples delivered.
    pub samples: u64,
    /// Second attempts, hedges and runs given up; not charged.
    pub uncharged: u64,
}

/// Report of one usage window to the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReportBody {
    /// Window.
    pub window: u64,
    /// Fencing number: the leader's term.
    pub fence: u64,
    /// Start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End, in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// Figures.
    pub lines: Vec<UsageLineBody>,
}

/// A window as operators see it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct UsageWindowBody {
    /// Window.
    pub window: u64,
    /// `open`, `closed` or `reported`.
    pub state: String,
    /// Figures.
    pub lines: Vec<UsageLineBody>,
}

/// Prompts of a trainer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SubmitBody {
    /// Groups.
    pub groups: Vec<GroupBody>,
}

/// A group of samples of one prompt.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GroupBody {
    /// ID, chosen by the trainer.
    pub id: String,
    /// Prompt.
    pub prompt: String,
    /// Number of samples; the plan's group size if absent.
    #[serde(default)]
    pub samples: Option<u32>,
}

/// Consecutive tokens of one weight version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanBody {
    /// First token.
    pub from: u32,
    /// Token after the last.
    pub to: u32,
    /// Weight version that the engine reported.
    pub weight_version: u64,
}

/// A sample as a trainer receives it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SampleBody {
    /// Group.
    pub group: String,
    /// Place in the group.
    pub place: u32,
    /// Text.
    pub text: String,
    /// Tokens with their weight versions.
    pub spans: Vec<SpanBody>,
    /// Score, if the trainer has a scorer.
    pub score: Option<f64>,
}

/// A batch as a trainer receives it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BatchBody {
    /// Cursor.
    pub cursor: u64,
    /// Revision, to be named in the acknowledgement.
    pub revision: u32,
    /// Samples.
    pub samples: Vec<SampleBody>,
}

/// Acknowledgement of a batch.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AcknowledgeBody {
    /// Cursor.
    pub cursor: u64,
    /// Revision fetched.
    pub revision: u32,
}

/// A trainer's new weight version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct VersionBody {
    /// Version.
    pub version: u64,
}

/// Answer to a configuration change.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AcceptedBody {
    /// Number of the configuration after the change.
    pub number: u64,
    /// Log index of the change.
    pub index: u64,
    /// Whether it is in force on every live instance, if that was asked.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_force: Option<bool>,
}

/// A grant of a key; the key itself never leaves the operator's machine.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct GrantBody {
    /// Name of the key.
    pub id: String,
    /// `caller`, `target` or `trainer`.
    pub role: String,
    /// Customer, service or trainer.
    pub owner: String,
    /// BLAKE3 hash, 64 hexadecimal digits.
    pub hash: String,
}

/// A voter or learner.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct MemberBody {
    /// Identity of the data folder.
    pub node: String,
    /// Name of the instance.
    pub name: String,
    /// Peer address.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// `voter` or `learner`.
    pub role: String,
}

/// A live instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct InstanceBody {
    /// Name.
    pub name: String,
    /// Peer address.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Whether it has a data folder.
    pub disk: bool,
    /// Whether it finishes up.
    pub draining: bool,
}

/// State of the group as one instance sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StatusBody {
    /// Name of the answering instance.
    pub instance: String,
    /// Availability zone of the answering instance.
    pub zone: String,
    /// Cluster ID, if known.
    pub cluster: Option<String>,
    /// Role of the answering instance.
    pub role: String,
    /// Term.
    pub term: u64,
    /// Name of the leader, if known.
    pub leader: Option<String>,
    /// Whether the group has formed.
    pub formed: bool,
    /// Index applied.
    pub applied: u64,
    /// Whether the view is confirmed.
    pub fresh: bool,
    /// Number of the configuration.
    pub number: u64,
    /// Zones taken out.
    pub pulled: Vec<String>,
    /// Members of the group.
    pub members: Vec<MemberBody>,
    /// Live instances.
    pub instances: Vec<InstanceBody>,
}

/// A target as operators see it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TargetBody {
    /// Service.
    pub service: String,
    /// Name.
    pub name: String,
    /// Address.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// `steady` or `reclaimable`.
    pub class: String,
    /// `cold`, `warm`, `leaving` or `gone`.
    pub state: String,
    /// Weight version.
    pub weight_version: u64,
    /// Requests in progress by its own count.
    pub load: u32,
    /// Requests in progress from the answering instance.
    pub in_flight: u32,
    /// Slots granted to the answering instance.
    pub granted: u32,
}
