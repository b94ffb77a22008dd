//! What the scheduler knows of one engine: its runs, its pace, and whether it is held back.

use std::collections::VecDeque;

use crate::work::EngineSlot;
use crate::work::RunEnd;
use bergamotlane_coordination::clock::ClockTime;

/// Pause after an engine refused work, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 120;

/// First pause after an engine failed, in milliseconds; it doubles with each failure.
const FAILURE_PAUSE_MS: u64 = 300;

/// Longest pause after failures, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 4_000;

/// Weight of a new observation in an engine's pace.
const PACE_WEIGHT: f64 = 0.3;

/// Time between events that an engine is expected to need before it is known, in
/// milliseconds.
const DEFAULT_PACE_MS: f64 = 40.0;

#[derive(Debug)]
pub(crate) struct EngineLoad {
    pub(crate) running: u32,
    pub(crate) pace_ms: f64,
    held_until: ClockTime,
    failures: u32,
    pub(crate) starts: VecDeque<ClockTime>,
}

impl Default for EngineLoad {
    fn default() -> Self {
        Self {
            running: 0,
            pace_ms: DEFAULT_PACE_MS,
            held_until: ClockTime::default(),
            failures: 0,
            starts: VecDeque::new(),
        }
    }
}

impl EngineLoad {
    /// Returns whether the engine may get another run now.
    pub(crate) fn takes_more(&mut self, now: ClockTime, engine: &EngineSlot) -> bool {
        if self.running >= engine.capacity || now < self.held_until {
            return false;
        }
        while self
            .starts
            .front()
            .is_some_and(|it| now.since(*it) >= 1_000)
        {
            self.starts.pop_front();
        }
        let budget = engine.starts_per_s;
        budget.is_none_or(|it| (self.starts.len() as u32) < it)
    }

    /// Notes how fast a run gets its events.
    pub(crate) fn observe(&mut self, pace_ms: f64) {
        self.pace_ms += (pace_ms - self.pace_ms) * PACE_WEIGHT;
    }

    /// Notes the end of a run; `asked` says whether it was stopped from here.
    pub(crate) fn note_end(&mut self, now: ClockTime, end: &RunEnd, asked: bool) {
        match end {
            RunEnd::Completed(_) | RunEnd::Rejected | RunEnd::Failed => self.failures = 0,
            RunEnd::Refused | RunEnd::Misdirected => {
                self.held_until = self.held_until.max(now + REFUSAL_PAUSE_MS);
            }
            RunEnd::Broken(_) if asked => {}
            RunEnd::Broken(partial) if !partial.events.is_empty() && self.failures == 0 => {
                self.failures = 1;
            }
            RunEnd::Broken(_) | RunEnd::Unreachable => {
                // Runs that were started before the pause began tell nothing new.
                if now >= self.held_until {
                    let pause = FAILURE_PAUSE_MS << self.failures.min(4);
                    self.held_until = now + pause.min(LONGEST_PAUSE_MS);
                    self.failures += 1;
                }
            }
        }
    }
}
