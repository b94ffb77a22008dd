//! Requests under which targets crashed, as this process knows them from its own calls and from the
//! leader, which counts the crashes that all instances report.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::now;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::suspect::RequestDigest;
use bergamotlane_policy::suspect::SuspectReport;
use bergamotlane_policy::suspect::SuspectTable;
use bergamotlane_policy::suspect::TargetStart;
use bergamotlane_wire::peer::CrashFrame;
use bergamotlane_wire::peer::SuspectFrame;

/// Time for which a crash or an answer is reported with each ask, in milliseconds; the leader may
/// change meanwhile.
const REPORT_MS: u64 = 10_000;

/// Time limit for the check whether a target still listens.
const PROBE_LIMIT: Duration = Duration::from_millis(150);

/// Returns whether no process listens at an address any more. An address that doesn't answer at all
/// counts as in use.
pub async fn is_abandoned(address: &str) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else {
        return false;
    };
    if refuses_connections(address).await {
        return true;
    }
    // A process that ends may close its connections before it stops listening.
    sleep(PROBE_PAUSE).await;
    refuses_connections(address).await
}

async fn refuses_connections(address: SocketAddr) -> bool {
    match timeout(PROBE_LIMIT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == std::io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}

/// Time between two such checks.
const PROBE_PAUSE: Duration = Duration::from_millis(15);

#[derive(Debug, Default)]
struct BoardState {
    table: SuspectTable,
    /// Crashes to report, with their times.
    crashes: Vec<(ClockTime, CrashFrame)>,
    /// Answered suspects to report, with the times of the answers.
    answered: Vec<(ClockTime, [u8; 16])>,
}

/// Suspects known to this process, shared by all threads.
#[derive(Debug, Default)]
pub struct SuspectBoard {
    state: Mutex<BoardState>,
}

impl SuspectBoard {
    fn state(&self) -> MutexGuard<'_, BoardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the digest of a request if a target crashed under it; `digest` is called only if there
    /// is any suspect.
    pub fn find(&self, digest: impl FnOnce() -> RequestDigest) -> Option<RequestDigest> {
        if self.state().table.is_empty() {
            return None;
        }
        let digest = digest();
        self.state().table.contains(digest).then_some(digest)
    }

    /// Returns whether a request must not be sent because targets crashed under it.
    pub fn is_quarantined(&self, digest: RequestDigest) -> bool {
        let left_ms = self.state().table.quarantine_left_ms(now(), digest);
        left_ms.is_some()
    }

    /// Records that the target with this address and identity crashed under a request.
    pub fn record_crash(&self, digest: RequestDigest, address: &str, identity: u64) {
        let frame = CrashFrame {
            digest: digest.0,
            target: address.to_owned(),
            identity,
        };
        let time = now();
        let mut state = self.state();
        let crashes = state.table.record_crash(time, digest, target_start(&frame));
        state.crashes.push((time, frame));
        drop(state);
        spdlog::warn!("target: crashed under a request, target {address}, crashes {crashes}");
    }

    /// Records that a target answered a suspect.
    pub fn record_answer(&self, digest: RequestDigest) {
        let mut state = self.state();
        if state.table.clear(digest) {
            state.answered.push((now(), digest.0));
        }
    }

    /// Returns the crashes and the answered suspects that the leader may not know yet.
    pub fn reports(&self) -> (Vec<CrashFrame>, Vec<[u8; 16]>) {
        let time = now();
        let mut state = self.state();
        state.crashes.retain(|(at, _)| time.since(*at) < REPORT_MS);
        state.answered.retain(|(at, _)| time.since(*at) < REPORT_MS);
        let crashes = state.crashes.iter().map(|(_, it)| it.clone());
        let answered = state.answered.iter().map(|(_, it)| *it);
        (crashes.collect(), answered.collect())
    }

    /// Counts the crashes that an instance reports to this process as leader, and drops the suspects
    /// that were answered.
    pub fn merge(&self, crashes: &[CrashFrame], answered: &[[u8; 16]]) {
        let time = now();
        let table = &mut self.state().table;
        table.expire(time);
        for frame in crashes {
            table.record_crash(time, RequestDigest(frame.digest), target_start(frame));
        }
        for digest in answered {
            table.clear(RequestDigest(*digest));
        }
    }

    /// Returns the suspects to tell other instances.
    pub fn frames(&self) -> Vec<SuspectFrame> {
        let reports = self.state().table.reports(now());
        let frames = reports.iter().map(|it| SuspectFrame {
            digest: it.digest.0,
            crashes: it.crashes,
            quarantine_left_ms: it.quarantine_left_ms,
        });
        frames.collect()
    }

    /// Takes over the suspects that the leader knows.
    pub fn replace(&self, frames: &[SuspectFrame]) {
        let reports = frames.iter().map(|it| SuspectReport {
            digest: RequestDigest(it.digest),
            crashes: it.crashes,
            quarantine_left_ms: it.quarantine_left_ms,
        });
        let reports: Vec<SuspectReport> = reports.collect();
        self.state().table.replace(now(), &reports, REPORT_MS);
    }
}

fn target_start(frame: &CrashFrame) -> TargetStart {
    TargetStart {
        id: frame.target.clone(),
        born: frame.identity,
    }
}
