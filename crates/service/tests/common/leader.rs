//! Model of a leader's knowledge of one target, that several test programs share.

use std::collections::BTreeMap;

use crate::announcements;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_service::leaving::LeavingMarks;
use bergamotlane_service::leaving::LeavingStart;
use bergamotlane_service::registry::TargetAnnouncement;
use bergamotlane_service::registry::TargetRegistry;
use bergamotlane_service::registry::TargetStage;
use bergamotlane_service::starts::ReturnProofs;
use bergamotlane_service::starts::StartOutcome;
use bergamotlane_service::starts::TargetStarts;
use bergamotlane_service::state::ServiceState;

/// Start times of two starts of a target under one ID.
pub const EARLIER: u64 = 10;
pub const LATER: u64 = 20;

/// Message about the target.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Message {
    Ready { born: u64, sequence: u64 },
    Draining { born: u64, sequence: u64 },
    SaysLeaving { born: u64 },
    Departure,
}

/// Leader's knowledge of the target, and the committed state.
#[derive(Default)]
pub struct Leader {
    pub registry: TargetRegistry,
    returns: ReturnProofs,
    marks: LeavingMarks,
    pub state: ServiceState,
}

impl Leader {
    /// Applies an announcement and commits its command. Returns whether it is confirmed.
    #[allow(dead_code)]
    pub fn announce(&mut self, now: ClockTime, announcement: TargetAnnouncement) -> bool {
        let outcome = self.starts().announce(now, announcement);
        let is_confirmed = !outcome.is_refused;
        self.commit(outcome);
        is_confirmed
    }

    fn commit(&mut self, outcome: StartOutcome) {
        if let Some(command) = outcome.command {
            self.state.apply(self.state.index + 1, command);
        }
    }

    /// Applies a message without its command, and returns what it has done.
    pub fn receive(&mut self, now: ClockTime, message: Message) -> StartOutcome {
        let mut starts = self.starts();
        match message {
            Message::Ready { born, sequence } => {
                starts.announce(now, announcement(born, sequence, false))
            }
            Message::Draining { born, sequence } => {
                starts.announce(now, announcement(born, sequence, true))
            }
            Message::SaysLeaving { born } => {
                let id = "x".to_owned();
                starts.mark_leaving(now, &LeavingStart { id, born })
            }
            Message::Departure => starts.depart(now, "x"),
        }
    }

    /// Applies a message and commits its command.
    pub fn deliver(&mut self, now: ClockTime, message: Message) {
        let outcome = self.receive(now, message);
        self.commit(outcome);
        self.registry.expire(now);
    }

    /// Replaces the leader by one that knows its last view and the state.
    pub fn elect(&mut self, now: ClockTime) {
        let mut registry = TargetRegistry::default();
        registry.restore(now, &self.registry.views(now));
        self.begin(now, registry);
    }

    /// Replaces the leader by one that knows no target, only the state.
    #[allow(dead_code)]
    pub fn elect_without_view(&mut self, now: ClockTime) {
        self.begin(now, TargetRegistry::default());
    }

    fn begin(&mut self, now: ClockTime, registry: TargetRegistry) {
        self.registry = registry;
        self.returns = ReturnProofs::default();
        self.marks = LeavingMarks::default();
        self.starts().apply_leaving(now);
    }

    fn starts(&mut self) -> TargetStarts<'_> {
        TargetStarts {
            registry: &mut self.registry,
            returns: &mut self.returns,
            marks: &mut self.marks,
            state: &self.state,
        }
    }

    /// Returns whether requests may go to a start of the target.
    pub fn uses(&self, born: u64) -> bool {
        self.registry
            .get("x")
            .is_some_and(|it| it.announcement.born == born && it.stage == TargetStage::Ready)
    }
}

/// Returns an announcement of the target.
pub fn announcement(born: u64, sequence: u64, is_draining: bool) -> TargetAnnouncement {
    TargetAnnouncement {
        is_draining,
        models: BTreeMap::new(),
        software: None,
        ..announcements::announcement("x", born, sequence)
    }
}
