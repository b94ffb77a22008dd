//! Requests under which targets crashed, as this process and the leader know them.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use http::header::HOST;
use serde::Deserialize;
use serde::Serialize;

use crate::frames::LeaderCall;
use crate::leader_client::LeaderClient;
use crate::metrics::METRICS;
use crate::plain::PlainRequest;
use crate::registry::TargetAnnouncement;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::suspect::RequestDigest;
use bergamotlane_policy::suspect::SuspectReport;
use bergamotlane_policy::suspect::SuspectTable;
use bergamotlane_policy::suspect::TargetStart;
use bergamotlane_storage::clock::now;

/// Time limit for telling the leader of a crash or an answer, in milliseconds.
const REPORT_LIMIT_MS: u64 = 10_000;

/// Suspect as the leader's view shows it to other processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectView {
    /// Digest of the request.
    pub digest: [u8; 16],
    /// Number of targets that crashed under it.
    pub crashes: u32,
    /// Time left of its quarantine, in milliseconds.
    pub quarantine_left_ms: u64,
}

impl From<SuspectReport> for SuspectView {
    fn from(report: SuspectReport) -> Self {
        Self {
            digest: report.digest.0,
            crashes: report.crashes,
            quarantine_left_ms: report.quarantine_left_ms,
        }
    }
}

impl From<SuspectView> for SuspectReport {
    fn from(view: SuspectView) -> Self {
        Self {
            digest: RequestDigest(view.digest),
            crashes: view.crashes,
            quarantine_left_ms: view.quarantine_left_ms,
        }
    }
}

/// Suspects known to this process, which tells the leader of crashes and answers that it sees.
#[derive(Debug)]
pub struct SuspectWatch {
    leader: LeaderClient,
    table: Mutex<SuspectTable>,
}

impl SuspectWatch {
    /// Returns a watch without suspects.
    pub fn new(leader: LeaderClient) -> Self {
        Self {
            leader,
            table: Mutex::default(),
        }
    }

    /// Locks and returns the suspects.
    pub fn table(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over the suspects of the leader's view.
    pub fn replace(&self, now: ClockTime, views: &[SuspectView]) {
        let reports: Vec<SuspectReport> = views.iter().map(|it| (*it).into()).collect();
        self.table().replace(now, &reports, REPORT_LIMIT_MS);
    }

    /// Returns the digest of a request if a target crashed under it.
    pub fn find(&self, request: &PlainRequest) -> Option<RequestDigest> {
        // Most of the time there is no suspect, and no request has to be hashed.
        if self.table().is_empty() {
            return None;
        }
        let digest = digest_of(request);
        self.table().contains(digest).then_some(digest)
    }

    /// Records that a target crashed while it ran a request.
    pub fn record_crash(&self, request: &PlainRequest, target: &TargetAnnouncement) {
        let digest = digest_of(request);
        let start = TargetStart {
            id: target.id.clone(),
            born: target.born,
        };
        let crashes = self.table().record_crash(now(), digest, start);
        METRICS.target_crashes.inc();
        spdlog::warn!("request: its target crashed", kv: {
            request = request.id.as_str(),
            target = target.id.as_str(),
            digest = format!("{:?}", &digest.0[..4]),
            crashes,
        });
        self.tell(LeaderCall::ReportCrash {
            digest: digest.0,
            target: target.id.clone(),
            born: target.born,
        });
    }

    /// Records that a target answered a request under which another one had crashed.
    pub fn record_answer(&self, digest: RequestDigest) {
        if self.table().clear(digest) {
            self.tell(LeaderCall::ClearSuspect(digest.0));
        }
    }

    /// Makes a call to the leader without waiting for it; calls that find no leader are repeated.
    fn tell(&self, call: LeaderCall) {
        let leader = self.leader.clone();
        tokio::spawn(async move {
            leader.call(call, now() + REPORT_LIMIT_MS).await.ok();
        });
    }
}

/// Returns the digest of a request's content.
fn digest_of(request: &PlainRequest) -> RequestDigest {
    let host = request.headers.get(HOST).map(|it| it.as_bytes());
    RequestDigest::of(&[
        request.customer.as_deref().unwrap_or_default().as_bytes(),
        request.method.as_str().as_bytes(),
        host.unwrap_or_default(),
        request.path.as_bytes(),
        &request.body,
    ])
}
