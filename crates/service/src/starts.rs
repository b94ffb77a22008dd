//! Order of the messages about targets, whichever of them arrives late, twice or in another order.
//!
//! A target may start again under its ID. Every message that adds, changes or removes a target passes
//! through [`TargetStarts`], which compares it by the start of the target's process and the sequence
//! number, so that a message of an earlier start does not act on a later one. A departure names no
//! start. If it takes out a start that had not said that it drains and that follows an earlier start, it
//! may be the late departure of the earlier one; the target comes back once its announcements have
//! gone on for longer than a message can be late, see [`ReturnProofs`]. The same holds for a departure
//! of a target that this leader doesn't know.
//!
//! Whether the plan in force has a target's service decides only whether the target is used. What its
//! messages say is kept either way, since the service may be in the next plan.

use std::collections::BTreeMap;

use crate::heartbeats::TargetBeat;
use crate::leaving::LeavingMarks;
use crate::leaving::LeavingStart;
use crate::registry::AnnouncementEffect;
use crate::registry::BeatEffect;
use crate::registry::TargetAnnouncement;
use crate::registry::TargetRegistry;
use crate::state::ServiceState;
use crate::state::StateCommand;
use bergamotlane_coordination::clock::ClockTime;

/// Time over which announcements must go on after a departure to show that their target still runs,
/// in milliseconds: longer than a message can be late.
const MAX_LATENESS_MS: u64 = 4_000;

/// Number of announcements that are needed to show it.
const MIN_ANNOUNCEMENTS: u32 = 3;

/// Longest time between two of them, in milliseconds.
const MAX_SILENCE_MS: u64 = 4_000;

/// Number of targets from which on proofs that no announcement continues are dropped.
const MAX_PROOFS: usize = 1_024;

/// Largest number of targets in the registry whose services are not in the plan in force, from which on
/// no further one is added.
const MAX_UNSERVED_TARGETS: usize = 1_024;

/// Announcements of one start since its departure.
#[derive(Debug, Clone, Copy)]
struct ReturnProof {
    born: u64,
    last_sequence: u64,
    count: u32,
    first_at: ClockTime,
    last_at: ClockTime,
}

/// Evidence that targets still run although a departure took them out, by ID of the target.
///
/// Announcements that were under way at the departure arrive within the time that a message can be
/// late, or all at once after a partition. Those of a running target go on with rising sequence
/// numbers.
#[derive(Debug, Default)]
pub struct ReturnProofs {
    proofs: BTreeMap<String, ReturnProof>,
}

impl ReturnProofs {
    /// Adds an announcement of a start that has departed. Returns whether the start runs.
    pub fn observe(&mut self, now: ClockTime, announcement: &TargetAnnouncement) -> bool {
        let (born, sequence) = (announcement.born, announcement.sequence);
        let is_current =
            |it: &ReturnProof| it.born == born && now.since(it.last_at) <= MAX_SILENCE_MS;
        let Some(proof) = self
            .proofs
            .get_mut(&announcement.id)
            .filter(|it| is_current(it))
        else {
            self.begin(now, announcement);
            return false;
        };
        if sequence <= proof.last_sequence {
            return false;
        }
        proof.last_sequence = sequence;
        proof.count += 1;
        proof.last_at = now;
        proof.count >= MIN_ANNOUNCEMENTS && now.since(proof.first_at) >= MAX_LATENESS_MS
    }

    fn begin(&mut self, now: ClockTime, announcement: &TargetAnnouncement) {
        if self.proofs.len() >= MAX_PROOFS {
            self.proofs
                .retain(|_, it| now.since(it.last_at) <= MAX_SILENCE_MS);
        }
        let proof = ReturnProof {
            born: announcement.born,
            last_sequence: announcement.sequence,
            count: 1,
            first_at: now,
            last_at: now,
        };
        self.proofs.insert(announcement.id.clone(), proof);
    }

    /// Drops the evidence for a target.
    pub fn forget(&mut self, id: &str) {
        self.proofs.remove(id);
    }
}

/// What a message about a target has done.
#[derive(Debug)]
pub struct StartOutcome {
    /// Effect on the registry.
    pub effect: AnnouncementEffect,
    /// Whether the target is back after a departure that was not its own.
    pub is_back: bool,
    /// Whether the message was refused, since it can't come from the target: it must not be confirmed.
    pub is_refused: bool,
    /// Command that every later leader has to know before the message is confirmed.
    pub command: Option<StateCommand>,
}

impl StartOutcome {
    fn of(effect: AnnouncementEffect) -> Self {
        Self {
            effect,
            is_back: false,
            is_refused: false,
            command: None,
        }
    }
}

/// What a leader knows of the targets' starts.
#[derive(Debug)]
pub struct TargetStarts<'a> {
    /// Targets in use.
    pub registry: &'a mut TargetRegistry,
    /// Evidence that departed targets still run.
    pub returns: &'a mut ReturnProofs,
    /// Targets that said in an answer that they leave.
    pub marks: &'a mut LeavingMarks,
    /// Committed state.
    pub state: &'a ServiceState,
}

impl TargetStarts<'_> {
    /// Applies to the registry which targets have left or drain, as committed under any leader. A leader
    /// begins with it.
    pub fn apply_leaving(&mut self, now: ClockTime) {
        for (id, leaving) in &self.state.leaving {
            match leaving.any_start {
                true => drop(self.registry.depart(now, id)),
                false => self
                    .registry
                    .mark_leaving(now, id, leaving.born, leaving.departed),
            }
        }
        for (id, born) in self.marks.iter() {
            self.registry.mark_leaving(now, id, born, false);
        }
    }

    /// Applies an announcement, unless it is late.
    pub fn announce(&mut self, now: ClockTime, announcement: TargetAnnouncement) -> StartOutcome {
        if self.is_foreign(&announcement) {
            return StartOutcome {
                is_refused: true,
                ..StartOutcome::of(AnnouncementEffect::Ignored)
            };
        }
        let start = announcement.leaving_start();
        let (id, born) = (start.id.as_str(), start.born);
        if announcement.is_draining {
            self.returns.forget(id);
            // What is accepted here binds this leader before it is committed.
            self.marks.mark(&start);
            let is_served = self.state.has_service(&announcement.service);
            let effect = self.register(now, announcement);
            return StartOutcome {
                command: self.leave_command(&start, false, is_served),
                ..StartOutcome::of(effect)
            };
        }
        if self.marks.contains(id, born) || self.state.has_left_for_good(id, born) {
            return StartOutcome::of(AnnouncementEffect::Ignored);
        }
        if !self.state.may_have_departed(id, born) {
            return StartOutcome::of(self.register(now, announcement));
        }
        if !self.returns.observe(now, &announcement) {
            return StartOutcome::of(AnnouncementEffect::Ignored);
        }
        self.returns.forget(id);
        self.registry.readmit(id);
        let LeavingStart { id, born } = start;
        StartOutcome {
            is_back: true,
            command: Some(StateCommand::ReturnTarget { id, born }),
            ..StartOutcome::of(self.register(now, announcement))
        }
    }

    /// Returns whether an announcement gives a target of the plan in force a service that the plan
    /// doesn't have. Its sender is another one.
    fn is_foreign(&self, announcement: &TargetAnnouncement) -> bool {
        let known = self.registry.get(&announcement.id);
        known.is_some_and(|it| {
            it.announcement.service != announcement.service
                && self.state.has_service(&it.announcement.service)
                && !self.state.has_service(&announcement.service)
        })
    }

    /// Applies an announcement to the registry, unless there is no room for its target.
    fn register(&mut self, now: ClockTime, announcement: TargetAnnouncement) -> AnnouncementEffect {
        if !self.has_room(&announcement) {
            return AnnouncementEffect::Ignored;
        }
        let state = self.state;
        let is_served = |service: &str| state.has_service(service);
        self.registry.announce_among(now, announcement, is_served)
    }

    /// Returns whether a target may be added to the registry. One of a service in the plan always may.
    fn has_room(&self, announcement: &TargetAnnouncement) -> bool {
        let is_served = |service: &str| self.state.has_service(service);
        if is_served(&announcement.service) || self.registry.get(&announcement.id).is_some() {
            return true;
        }
        let entries = self.registry.iter();
        let unserved = entries.filter(|(_, it)| !is_served(&it.announcement.service));
        unserved.count() < MAX_UNSERVED_TARGETS
    }

    /// Applies a sign of life that a keeper has taken, unless it is late.
    pub fn beat(&mut self, now: ClockTime, beat: &TargetBeat, reporter: u64) -> BeatEffect {
        let (id, born) = (beat.id.as_str(), beat.born);
        let entry = self.registry.get(id);
        let has_service = entry.is_some_and(|it| self.state.has_service(&it.announcement.service));
        let is_leaving = self.marks.contains(id, born) || self.state.is_leaving(id, born, false);
        if !has_service || is_leaving {
            return BeatEffect::Unknown;
        }
        self.registry.beat(now, beat, reporter)
    }

    /// Removes a target that leaves, as its known start. If none is known, the departure counts for
    /// whichever start announces itself next, unless it repeats an earlier one.
    pub fn depart(&mut self, now: ClockTime, id: &str) -> StartOutcome {
        self.returns.forget(id);
        let Some(entry) = self.registry.get(id) else {
            return StartOutcome {
                command: self.unknown_departure(now, id),
                ..StartOutcome::of(AnnouncementEffect::Ignored)
            };
        };
        let start = entry.announcement.leaving_start();
        let is_served = self.state.has_service(&entry.announcement.service);
        let command = self.leave_command(&start, true, is_served);
        self.registry.depart(now, id);
        StartOutcome {
            command,
            ..StartOutcome::of(AnnouncementEffect::Changed)
        }
    }

    /// Returns the command that records the departure of a target that is not known, unless the state
    /// has it. One that repeats an earlier one is recorded as that, whose record may not be committed yet.
    fn unknown_departure(&self, now: ClockTime, id: &str) -> Option<StateCommand> {
        if let Some(born) = self.registry.departed_within(now, id, MAX_LATENESS_MS) {
            let id = id.to_owned();
            return self.leave_command(&LeavingStart { id, born }, true, true);
        }
        if self.state.has_departed_unknown(id) {
            return None;
        }
        Some(StateCommand::LeaveTarget {
            id: id.to_owned(),
            born: 0,
            departed: true,
            follows: false,
            unserved: true,
            any_start: true,
        })
    }

    /// Marks a start that said in an answer that it leaves, and all earlier ones. The effect is that
    /// nothing has changed if the mark is no news.
    pub fn mark_leaving(&mut self, now: ClockTime, start: &LeavingStart) -> StartOutcome {
        let is_news = self.marks.mark(start);
        if is_news {
            self.registry
                .mark_leaving(now, &start.id, start.born, false);
        }
        let effect = match is_news {
            true => AnnouncementEffect::Changed,
            false => AnnouncementEffect::Ignored,
        };
        let known = self.registry.get(&start.id);
        let is_served = known.is_none_or(|it| self.state.has_service(&it.announcement.service));
        StartOutcome {
            command: self.leave_command(start, false, is_served),
            ..StartOutcome::of(effect)
        }
    }

    /// Returns the command that records that a start leaves, unless the state has it. `is_served` tells
    /// whether the plan in force has the target's service.
    fn leave_command(
        &self,
        start: &LeavingStart,
        departed: bool,
        is_served: bool,
    ) -> Option<StateCommand> {
        let LeavingStart { id, born } = start.clone();
        if self.state.is_leaving(&id, born, departed) {
            return None;
        }
        Some(StateCommand::LeaveTarget {
            follows: self.registry.follows_earlier_start(&id, born),
            id,
            born,
            departed,
            unserved: !is_served,
            any_start: false,
        })
    }
}
