//! Order in which the control thread handles what has reached it, and how much of it in one turn.
//!
//! Under overload, consensus and leases go first, then plan, zones and drains, then results and
//! submissions, then heartbeats of targets. Heartbeats that wait for too long are refused, so that their
//! targets turn to another keeper in time.

use std::collections::VecDeque;

use crate::frames::LeaderCall;
use crate::state::StateCommand;
use bergamotlane_coordination::clock::ClockTime;

/// Time from the start of a turn after which no further work begins in it, in milliseconds.
const WORK_TURN_MS: u64 = 8;

/// Time from the start of a turn after which no further heartbeat is handled in it, in milliseconds.
const HEARTBEAT_TURN_MS: u64 = 4;

/// Inputs of a class that each turn handles whatever time it has taken, so that all classes go on.
const MIN_PER_TURN: usize = 8;

/// Inputs about plan, zones and drains that one turn handles at most.
const MAX_CONTROL_PER_TURN: usize = 256;

/// Time for which a heartbeat may wait, in milliseconds. Targets give up after one second.
const HEARTBEAT_WAIT_MS: u64 = 500;

/// Number of heartbeats that may wait. It bounds their share of the memory for received frames, which
/// consensus messages need, too.
const MAX_HEARTBEATS: usize = 512;

/// Class of an input; earlier variants go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum InputClass {
    /// Consensus messages, and whatever else must stay in the order of its link.
    Consensus,
    /// Plan, zones, drains and departures.
    Control,
    /// Results, submissions and permits.
    Work,
    /// Heartbeats of targets.
    Heartbeat,
}

/// Number of classes.
const CLASSES: usize = InputClass::Heartbeat as usize + 1;

impl InputClass {
    /// Returns the class of a call to the leader.
    pub fn of_call(call: &LeaderCall) -> Self {
        match call {
            LeaderCall::Announce(announcement) if !announcement.is_draining => Self::Heartbeat,
            LeaderCall::Change(StateCommand::Submit(_))
            | LeaderCall::EndJob { .. }
            | LeaderCall::ReadJob { .. }
            | LeaderCall::ReadItem { .. }
            | LeaderCall::Permit { .. }
            | LeaderCall::ReportCrash { .. }
            | LeaderCall::ClearSuspect(_)
            | LeaderCall::BeginStream { .. }
            | LeaderCall::FindStream(_)
            | LeaderCall::NameLimit { .. } => Self::Work,
            LeaderCall::Announce(_)
            | LeaderCall::Change(_)
            | LeaderCall::Depart(_)
            | LeaderCall::ReadPlan
            | LeaderCall::Retire(_)
            | LeaderCall::RetireState(_)
            | LeaderCall::TargetLeaving(_) => Self::Control,
        }
    }
}

/// Inputs that have not been handled yet, by class; those of one class stay in order.
#[derive(Debug)]
pub struct InputQueue<T> {
    queues: [VecDeque<(ClockTime, T)>; CLASSES],
    turn_started: ClockTime,
    /// Number of inputs that the turn has handled, by class.
    handled: [usize; CLASSES],
}

impl<T> Default for InputQueue<T> {
    fn default() -> Self {
        Self {
            queues: Default::default(),
            turn_started: ClockTime::default(),
            handled: [0; CLASSES],
        }
    }
}

impl<T> InputQueue<T> {
    /// Adds an input.
    pub fn push(&mut self, now: ClockTime, class: InputClass, input: T) {
        self.queues[class as usize].push_back((now, input));
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    /// Begins a turn.
    pub fn begin_turn(&mut self, now: ClockTime) {
        self.turn_started = now;
        self.handled = [0; CLASSES];
    }

    /// Returns whether the turn may handle another input of a class.
    fn has_room(&self, now: ClockTime, class: InputClass) -> bool {
        let handled = self.handled[class as usize];
        let took_ms = now.since(self.turn_started);
        match class {
            InputClass::Consensus => true,
            InputClass::Control => handled < MAX_CONTROL_PER_TURN,
            InputClass::Work => handled < MIN_PER_TURN || took_ms < WORK_TURN_MS,
            InputClass::Heartbeat => handled < MIN_PER_TURN || took_ms < HEARTBEAT_TURN_MS,
        }
    }

    /// Returns the next input of the turn, or `None` if nothing waits or the rest must wait for the
    /// next turn.
    pub fn next(&mut self, now: ClockTime) -> Option<T> {
        let classes = [
            InputClass::Consensus,
            InputClass::Control,
            InputClass::Work,
            InputClass::Heartbeat,
        ];
        for class in classes {
            if !self.has_room(now, class) {
                continue;
            }
            if let Some((_, input)) = self.queues[class as usize].pop_front() {
                self.handled[class as usize] += 1;
                return Some(input);
            }
        }
        None
    }

    /// Removes the waiting heartbeats that a condition selects, and returns them in order.
    pub fn take_heartbeats(&mut self, mut is_taken: impl FnMut(&T) -> bool) -> Vec<T> {
        let queue = &mut self.queues[InputClass::Heartbeat as usize];
        let (taken, left) = queue.drain(..).partition(|(_, it)| is_taken(it));
        *queue = left;
        let taken: VecDeque<(ClockTime, T)> = taken;
        taken.into_iter().map(|(_, input)| input).collect()
    }

    /// Returns the next heartbeat to refuse, if one has waited for too long or too many wait.
    pub fn next_refused(&mut self, now: ClockTime) -> Option<T> {
        let queue = &mut self.queues[InputClass::Heartbeat as usize];
        let (at, _) = queue.front()?;
        if queue.len() <= MAX_HEARTBEATS && now.since(*at) < HEARTBEAT_WAIT_MS {
            return None;
        }
        queue.pop_front().map(|(_, input)| input)
    }
}
