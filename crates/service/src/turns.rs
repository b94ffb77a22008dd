//! Turns of duty holders: keeps an instance from acting on a subject again shortly after another
//! instance has.
//!
//! A receiver takes actions of the holders A, B and A in quick succession as a conflict, since it
//! cannot tell a hasty change of leaders from two leaders. An instance therefore remembers when it
//! last acted on each subject, and waits in a later term until its turn time is over. A successor
//! need not wait: its first action is the second one of the three.

use std::collections::HashMap;

use bergamotlane_coordination::clock::ClockTime;

/// What a duty's action concerns; receivers judge the holders of each subject by themselves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum DutySubject {
    /// Usage reports of all windows.
    Usage,
    /// Orders to the engine with this ID.
    Engine(String),
}

/// Last actions of this instance.
#[derive(Debug)]
pub struct DutyTurns {
    turn_ms: u64,
    /// Time from which on earlier actions of an earlier process are surely over, if there may have
    /// been any that receivers still count.
    unknown_until: ClockTime,
    /// Term and time of the last action on each subject.
    last: HashMap<DutySubject, (u64, ClockTime)>,
}

impl DutyTurns {
    /// Returns the turns of an instance whose process starts now. `forgets_actions` is set if an
    /// earlier process may have acted and receivers don't except a restarted holder.
    pub fn new(now: ClockTime, turn_ms: u64, forgets_actions: bool) -> Self {
        let unknown_ms = if forgets_actions { turn_ms } else { 0 };
        Self {
            turn_ms,
            unknown_until: now + unknown_ms,
            last: HashMap::new(),
        }
    }

    /// Returns whether this instance, as the leader of a term, may act on a subject.
    pub fn may_act(&self, now: ClockTime, subject: &DutySubject, term: u64) -> bool {
        match self.last.get(subject) {
            Some((last_term, at)) => *last_term == term || now.since(*at) >= self.turn_ms,
            None => now >= self.unknown_until,
        }
    }

    /// Records that this instance acts on a subject, and forgets actions that no longer matter.
    pub fn record(&mut self, now: ClockTime, subject: DutySubject, term: u64) {
        self.last
            .retain(|_, (last_term, at)| *last_term == term || now.since(*at) < self.turn_ms);
        self.last.insert(subject, (term, now));
    }
}
