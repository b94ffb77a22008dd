//! What is known of one target: its announcement, its lifecycle stage, and the view that others get of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::leaving::LeavingStart;
use crate::software::SoftwareBuild;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::RequestRate;

/// Announcement of a target: its identity, state and capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetAnnouncement {
    /// ID of the target.
    pub id: String,
    /// Name of the service that the target runs.
    pub service: String,
    /// Address at which the target accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the target.
    pub zone: String,
    /// Number of requests that the target runs concurrently.
    pub capacity: u32,
    /// Whether the target drains before it leaves.
    pub is_draining: bool,
    /// Time for which the target stays cold, in milliseconds; zero once it is warm.
    pub cold_left_ms: u64,
    /// Weight version by model.
    pub models: BTreeMap<String, u64>,
    /// Version of the target's software, if it names one.
    #[serde(default)]
    pub software: Option<String>,
    /// Sequence number of the announcement, counted from the start of the target's process.
    pub sequence: u64,
    /// Start time of the target's process, in milliseconds since 1970; it distinguishes two starts
    /// with the same ID.
    pub born: u64,
    /// Whether the platform may reclaim the target.
    pub is_reclaimable: bool,
}

impl TargetAnnouncement {
    /// Returns the start of the target, as one that leaves.
    pub fn leaving_start(&self) -> LeavingStart {
        LeavingStart {
            id: self.id.clone(),
            born: self.born,
        }
    }

    /// Returns whether the target runs a build.
    pub fn runs(&self, build: &SoftwareBuild) -> bool {
        self.service == build.service && self.software.as_ref() == Some(&build.version)
    }

    /// Returns the build that the target runs, if it names the version of its software.
    pub fn build(&self) -> Option<SoftwareBuild> {
        let version = self.software.clone()?;
        Some(SoftwareBuild {
            service: self.service.clone(),
            version,
        })
    }
}

/// Lifecycle stage of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetStage {
    /// Accepts requests.
    Ready,
    /// Has not announced itself for a while.
    Silent,
    /// Accepts no new requests.
    Draining,
}

/// Target as the leader's view shows it to other processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetView {
    /// Last announcement, with the cold time that was left when the view was made.
    #[serde(rename = "notice")]
    pub announcement: TargetAnnouncement,
    /// Lifecycle stage when the view was made.
    pub stage: TargetStage,
    /// Limit that the target names, in thousandths of a request per second.
    #[serde(default)]
    pub rate_limit: Option<u64>,
}

/// Target in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Last announcement.
    pub announcement: TargetAnnouncement,
    /// Current lifecycle stage.
    pub stage: TargetStage,
    /// Time from which the target is warm.
    pub cold_until: ClockTime,
    /// Whether the target is known only from a view of an earlier leader, and has not announced
    /// itself since.
    pub is_unconfirmed: bool,
    /// Rate limit that the target advertises for all senders, if any.
    pub rate_limit: Option<RequestRate>,
    /// Time at which the target was last known to name a limit.
    pub(crate) limit_named_at: ClockTime,
    /// Time at which the target was last heard of.
    pub(super) announced_at: ClockTime,
    /// Node of the keeper that took the last heartbeat, if not the leader.
    pub(super) reporter: Option<u64>,
}

impl TargetEntry {
    /// Returns whether the target is still cold, so that it may get only few requests.
    pub fn is_cold(&self, now: ClockTime) -> bool {
        now < self.cold_until
    }

    /// Returns the view of the target to send to other processes.
    pub fn view(&self, now: ClockTime) -> TargetView {
        TargetView {
            announcement: TargetAnnouncement {
                cold_left_ms: self.cold_until.since(now),
                ..self.announcement.clone()
            },
            stage: self.stage,
            rate_limit: self.rate_limit.map(|it| it.0),
        }
    }
}
