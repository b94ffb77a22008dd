//! Turns of duty holders: keeps an instance from acting on a subject again shortly after another
//! instance has.
//!
//! A receiver takes actions of the holders A, B and A in quick succession as a conflict, since it
//! cannot tell a hasty change of leaders from two leaders. An instance therefore remembers when it
//! last acted on each subject, and waits in a later term until its turn time is over. A successor
//! need not wait: its first action is the second one of the three. Actions of an earlier process
//! are not remembered; however it ended, they were before the start of this one, so that the turn
//! time counts from the start.

use std::collections::HashMap;

use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::clock::DRIFT_ALLOWANCE_PER_MILLE;

/// Returns how long a holder waits so that a receiver counts at least `turn_ms`, although clocks
/// drift and only whole milliseconds are counted here.
pub fn waiting_ms(turn_ms: u64) -> u64 {
    let drifted_ms = (turn_ms * 1_000).div_ceil(1_000 - DRIFT_ALLOWANCE_PER_MILLE);
    drifted_ms + 1
}

/// What a duty's action concerns; receivers judge the holders of each subject by themselves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DutySubject {
    /// Usage reports of all windows.
    Usage,
    /// Orders to the engine with this ID.
    Engine(String),
}

/// Reason for which an instance must not act on a subject yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitCause {
    /// It acted on the subject in an earlier term.
    EarlierTerm,
    /// An earlier process of the instance may have acted on the subject.
    EarlierProcess,
}

/// Wait of an instance for its turn on a subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnWait {
    /// Time from which on the instance may act.
    pub until: ClockTime,
    /// Reason for the wait.
    pub cause: WaitCause,
}

/// Last actions of this instance.
#[derive(Debug)]
pub struct DutyTurns {
    turn_ms: u64,
    /// Time from which on the turn time of all actions of an earlier process is over, if there may
    /// have been any.
    unknown_until: ClockTime,
    /// Term and time of the last action on each subject.
    last: HashMap<DutySubject, (u64, ClockTime)>,
}

impl DutyTurns {
    /// Returns the turns of an instance whose process starts now. `may_have_acted` is set if an
    /// earlier process of the instance may have acted, on any subject.
    pub fn new(now: ClockTime, turn_ms: u64, may_have_acted: bool) -> Self {
        let unknown_ms = if may_have_acted { turn_ms } else { 0 };
        Self {
            turn_ms,
            unknown_until: now + unknown_ms,
            last: HashMap::new(),
        }
    }

    /// Returns how long this instance, as the leader of a term, must wait before it acts on a
    /// subject, or `None` if it may act now.
    pub fn wait(&self, now: ClockTime, subject: &DutySubject, term: u64) -> Option<TurnWait> {
        let wait = match self.last.get(subject) {
            Some((last_term, _)) if *last_term == term => return None,
            Some((_, at)) => TurnWait {
                until: *at + self.turn_ms,
                cause: WaitCause::EarlierTerm,
            },
            None => TurnWait {
                until: self.unknown_until,
                cause: WaitCause::EarlierProcess,
            },
        };
        (now < wait.until).then_some(wait)
    }

    /// Records that this instance acts on a subject, and forgets actions that no longer matter.
    pub fn record(&mut self, now: ClockTime, subject: DutySubject, term: u64) {
        self.last
            .retain(|_, (last_term, at)| *last_term == term || now.since(*at) < self.turn_ms);
        self.last.insert(subject, (term, now));
    }

    /// Records that this instance's action on a subject was answered or given up. The receiver may
    /// have taken it at any time until now.
    pub fn finish(&mut self, now: ClockTime, subject: &DutySubject) {
        if let Some((_, at)) = self.last.get_mut(subject) {
            *at = now;
        }
    }
}
