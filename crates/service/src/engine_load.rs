//! Load of one engine as the scheduler observes it: runs, speed, and backoff after failures.

use crate::engine_speed::EngineSpeed;
use crate::work::RunEnd;
use bergamotlane_coordination::clock::ClockTime;

/// Backoff after an engine refused a run, in milliseconds.
const REFUSAL_BACKOFF_MS: u64 = 120;

/// First backoff after an engine failed, in milliseconds; each further failure doubles it.
const FAILURE_BACKOFF_MS: u64 = 300;

/// Longest backoff after failures, in milliseconds.
const MAX_BACKOFF_MS: u64 = 4_000;

/// Time for which the load of an engine is kept that can't get runs, in milliseconds: the IDs of engines
/// that come and go are without bound.
const LOAD_RETENTION_MS: u64 = 60_000;

/// Load and health of one engine.
#[derive(Debug, Default)]
pub(crate) struct EngineLoad {
    /// Number of runs in progress.
    pub(crate) running: u32,
    /// Number of free slots that are kept for runs that move to the engine.
    pub(crate) reserved: u32,
    pub(crate) speed: EngineSpeed,
    /// Latest time at which the engine could get runs.
    pub(crate) usable_at: ClockTime,
    held_until: ClockTime,
    failures: u32,
}

impl EngineLoad {
    /// Returns whether the engine is backed off after failures or refusals.
    pub(crate) fn is_held(&self, now: ClockTime) -> bool {
        now < self.held_until
    }

    /// Returns whether the engine has runs or could get runs lately.
    pub(crate) fn is_current(&self, now: ClockTime) -> bool {
        self.running > 0 || now.since(self.usable_at) < LOAD_RETENTION_MS
    }

    /// Records the end of a run; `was_stopped` is set if the scheduler stopped it.
    pub(crate) fn record_end(&mut self, now: ClockTime, end: &RunEnd, was_stopped: bool) {
        match end {
            RunEnd::Completed(_) | RunEnd::Rejected | RunEnd::Failed => self.failures = 0,
            RunEnd::Refused | RunEnd::Misdirected => {
                self.held_until = self.held_until.max(now + REFUSAL_BACKOFF_MS);
            }
            RunEnd::Broken(_) if was_stopped => {}
            // An engine may end all its streams so.
            RunEnd::Closed(partial) if !partial.events.is_empty() => {}
            RunEnd::Broken(partial) if !partial.events.is_empty() && self.failures == 0 => {
                self.failures = 1;
            }
            RunEnd::Broken(_) | RunEnd::Closed(_) | RunEnd::Unreachable => {
                // Runs that end during the backoff started before it, so their failures have the
                // same cause and don't extend it.
                if now >= self.held_until {
                    let backoff_ms = FAILURE_BACKOFF_MS << self.failures.min(4);
                    self.held_until = now + backoff_ms.min(MAX_BACKOFF_MS);
                    self.failures += 1;
                }
            }
        }
    }
}
