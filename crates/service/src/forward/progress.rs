//! What the tries of a forwarded request have shown so far, and what follows from it.

use http::StatusCode;

use super::attempt::TryOutcome;
use crate::permits::return_ms;
use crate::plain::PlainAnswer;
use crate::plain::PlainOutcome;
use crate::plain::PlainRequest;
use crate::plan::RouteKind;
use crate::registry::TargetEntry;
use bergamotlane_policy::suspect::RequestDigest;

/// Number of the first rejection of a request by a target that counts as an attempt, as all later
/// ones do.
const MAX_REJECTIONS: usize = 6;

/// Divisor of the latency target that yields the longest wait of a less urgent request for room. One that
/// is refused after it should have most of its time left to try again.
const ROOM_WAIT_DIVISOR: u64 = 4;

/// Shortest wait for room, in milliseconds.
const MIN_ROOM_WAIT_MS: u64 = 5;

/// Number of targets to which a request could not connect after which it is relayed.
const MIN_UNREACHABLE: u32 = 2;

/// Whether a request was sent through another entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RelayStage {
    NotTried,
    Running,
    /// A request is relayed at most once.
    Done,
}

/// Returns the outcome of a request of which another copy may run or have run, so that nobody can say
/// that the request did not.
pub(super) fn beside_another_copy(outcome: PlainOutcome) -> PlainOutcome {
    match outcome {
        PlainOutcome::NotRun
        | PlainOutcome::Limited(_)
        | PlainOutcome::Overloaded(_)
        | PlainOutcome::Quarantined(_) => PlainOutcome::Failed,
        outcome => outcome,
    }
}

/// State of a request while it is forwarded.
pub(super) struct ForwardProgress {
    is_idempotent: bool,
    max_attempts: u32,
    attempts: u32,
    rejections: usize,
    /// Set once a try failed after the request may have run, with the error answer if any.
    failed: Option<Option<PlainAnswer>>,
    /// IDs of the targets that were tried.
    pub(super) tried: Vec<String>,
    /// Time until a permit for a target becomes free, if none could be had, in milliseconds.
    pub(super) free_in_ms: Option<u64>,
    /// Time until a target is expected to have room, if none has, in milliseconds.
    pub(super) room_in_ms: Option<u64>,
    /// Time for which the request may still wait for a slot beside one that it leaves, in milliseconds.
    wait_left_ms: u64,
    /// Digest of the request if a target crashed under it.
    pub(super) suspect: Option<RequestDigest>,
    pub(super) may_have_run: bool,
    /// Number of answers with status 500.
    pub(super) server_errors: u32,
    pub(super) relay: RelayStage,
    /// Number of targets to which no connection could be made.
    unreachable: u32,
}

impl ForwardProgress {
    /// Returns the state of a request before its first try.
    pub(super) fn new(request: &PlainRequest) -> Self {
        Self {
            is_idempotent: request.kind == RouteKind::Safe,
            max_attempts: request.max_attempts,
            attempts: 0,
            rejections: 0,
            failed: None,
            tried: Vec::new(),
            free_in_ms: None,
            room_in_ms: None,
            wait_left_ms: match request.leaves_slot {
                true => request.latency_target_ms / ROOM_WAIT_DIVISOR,
                false => 0,
            },
            suspect: None,
            may_have_run: false,
            server_errors: 0,
            relay: RelayStage::NotTried,
            unreachable: 0,
        }
    }

    /// Sets the digest of a request under which a target crashed; it gets one attempt alone.
    pub(super) fn set_suspect(&mut self, suspect: Option<RequestDigest>) {
        self.suspect = suspect;
        if suspect.is_some() {
            self.max_attempts = 1;
        }
    }

    /// Returns how long the request waits here for room at a target that it leaves to more urgent ones, or
    /// `None` if it is to be refused. `room_in_ms` is the time until there is room, and `left_ms` that
    /// until the deadline. All are in milliseconds.
    pub(super) fn wait_for_room(&mut self, room_in_ms: u64, left_ms: u64) -> Option<u64> {
        let wait_ms = room_in_ms.max(MIN_ROOM_WAIT_MS);
        if self.attempts > 0 || !self.tried.is_empty() || wait_ms > self.wait_left_ms.min(left_ms) {
            return None;
        }
        self.wait_left_ms -= wait_ms;
        Some(wait_ms)
    }

    /// Records that there is no target to try any more. If one could not be reached, this is a reason to
    /// relay the request.
    pub(super) fn record_no_target(&mut self) {
        if self.unreachable > 0 {
            self.unreachable = MIN_UNREACHABLE;
        }
    }

    /// Returns whether another try may be made beside `running` ones. A request under which a target
    /// crashed gets one try at a time.
    pub(super) fn may_try(&self, running: usize) -> bool {
        let has_attempt = self.attempts < self.max_attempts;
        let may_repeat = self.is_idempotent || self.attempts == 0;
        has_attempt && may_repeat && (self.suspect.is_none() || running == 0)
    }

    /// Returns whether the request may be relayed beside `running` tries.
    pub(super) fn may_relay(&self, running: usize) -> bool {
        let is_alone = self.suspect.is_none() || (running == 0 && self.attempts == 0);
        let may_repeat = self.is_idempotent || (self.attempts == 0 && self.failed.is_none());
        self.relay == RelayStage::NotTried && may_repeat && is_alone
    }

    /// Returns the number of targets that another entry may try. A try that was cut off with the path
    /// doesn't keep it from one.
    pub(super) fn attempts_left(&self) -> u32 {
        self.max_attempts.saturating_sub(self.attempts).max(1)
    }

    /// Returns whether enough targets could not be reached for the request to be relayed, although the
    /// instance has reached others.
    pub(super) fn has_no_path(&self) -> bool {
        self.unreachable >= MIN_UNREACHABLE
    }

    /// Returns whether another try is made if the `running` ones take long.
    pub(super) fn can_hedge(&self, running: usize) -> bool {
        let has_attempt = self.attempts < self.max_attempts;
        self.is_idempotent && self.suspect.is_none() && has_attempt && running == 1
    }

    /// Records the start of a try.
    pub(super) fn record_start(&mut self, target: &TargetEntry) {
        self.tried.push(target.announcement.id.clone());
        self.attempts += 1;
    }

    /// Records the end of a try. Returns the answer if it goes to the caller without a further try.
    pub(super) fn record_end(&mut self, end: TryOutcome) -> Option<PlainAnswer> {
        match end {
            TryOutcome::Answered(answer) => {
                let status = answer.status;
                self.server_errors += u32::from(status == StatusCode::INTERNAL_SERVER_ERROR);
                if self.is_idempotent && status.is_server_error() {
                    self.failed = Some(Some(answer));
                    return None;
                }
                self.may_have_run = true;
                return Some(answer);
            }
            TryOutcome::Broken | TryOutcome::Failed | TryOutcome::Crashed => {
                self.failed = self.failed.take().or(Some(None));
            }
            TryOutcome::Relayed(_) => self.relay = RelayStage::Done,
            TryOutcome::NoHelper { cuts } => {
                self.relay = RelayStage::Done;
                self.attempts += cuts;
                if cuts > 0 {
                    self.failed = self.failed.take().or(Some(None));
                }
            }
            TryOutcome::NotRun | TryOutcome::Unsent => {
                self.unreachable += u32::from(matches!(end, TryOutcome::Unsent));
                self.rejections += 1;
                if self.rejections < MAX_REJECTIONS {
                    self.attempts -= 1;
                }
            }
        }
        None
    }

    /// Returns the outcome of a request that another entry forwarded. `is_running` is set if a try at a
    /// target may still run, so that nobody can say that the request did not.
    pub(super) fn relayed(&self, outcome: PlainOutcome, is_running: bool) -> PlainOutcome {
        match is_running || self.failed.is_some() {
            true => beside_another_copy(outcome),
            false => outcome,
        }
    }

    /// Returns the outcome of a request for which no further try is made; `is_late` is set if its
    /// deadline is why.
    pub(super) fn give_up(&mut self, is_late: bool) -> PlainOutcome {
        self.may_have_run |= self.failed.is_some();
        match (self.failed.take(), self.free_in_ms, self.room_in_ms) {
            (Some(Some(answer)), _, _) => PlainOutcome::Answered(answer),
            (Some(None), _, _) if is_late => PlainOutcome::Late,
            (Some(None), _, _) => PlainOutcome::Failed,
            (None, Some(wait_ms), _) => PlainOutcome::Limited(return_ms(wait_ms)),
            (None, None, Some(wait_ms)) => PlainOutcome::Overloaded(return_ms(wait_ms)),
            (None, None, None) => PlainOutcome::NotRun,
        }
    }
}
