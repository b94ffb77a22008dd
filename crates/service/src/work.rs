//! Inputs and outcomes of runs; a run is one attempt to generate an item's text at an engine.

use std::collections::BTreeMap;

use bytes::Bytes;
use bytes::BytesMut;

use crate::software::SoftwareBuild;
use bergamotlane_coordination::clock::ClockTime;

/// ID of a run, unique within a scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey(pub u64);

/// Constraints of a job on its runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobConstraints {
    /// Deadline for all results of the job.
    pub due: ClockTime,
    /// Time from which items may be given up.
    pub expires: ClockTime,
    /// Name of the service whose engines run the items; empty while the job has no route.
    pub service: String,
    /// Name of the model that generates the texts.
    pub model: String,
    /// Oldest weight version that may generate a text.
    pub min_version: u64,
    /// Whether one weight version must generate the entire text of an item.
    pub single_version: bool,
    /// Number of failures, as engines report them, after which an item is given up.
    pub max_attempts: u32,
}

impl JobConstraints {
    /// Returns whether no further run may start, since the job has no route at the moment.
    pub fn is_on_hold(&self) -> bool {
        self.service.is_empty()
    }
}

/// Engine to which items can be assigned.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSlot {
    /// ID of the engine.
    pub id: String,
    /// Name of the service that the engine belongs to.
    pub service: String,
    /// Number of runs that the engine handles concurrently.
    pub capacity: u32,
    /// Weight version on the engine, by model.
    pub models: BTreeMap<String, u64>,
    /// Software that the engine runs, if known.
    pub build: Option<SoftwareBuild>,
    /// Number of runs that may start now, or `None` if the engine is warm and names no limit.
    pub permits: Option<u32>,
}

/// Text generated so far, from which another run can resume.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartialText {
    /// Data of each event so far.
    pub events: Vec<Bytes>,
    /// ID of the last event, after which a stream resumes.
    pub last_id: Option<u64>,
    /// Weight versions that generated the events, ascending and without duplicates.
    pub versions: Vec<u64>,
    /// Software that generated the events, if known.
    pub build: Option<SoftwareBuild>,
    /// Whether the text is the item's entire output.
    pub is_complete: bool,
}

impl PartialText {
    /// Adds a weight version that generated part of the text, unless it is in the list.
    pub fn add_version(&mut self, version: u64) {
        if let Err(index) = self.versions.binary_search(&version) {
            self.versions.insert(index, version);
        }
    }

    /// Returns the data of all events, joined by line feeds.
    pub fn text(&self) -> Bytes {
        let mut text = BytesMut::new();
        for (index, event) in self.events.iter().enumerate() {
            if index > 0 {
                text.extend_from_slice(b"\n");
            }
            text.extend_from_slice(event);
        }
        text.freeze()
    }

    /// Returns whether a job accepts the weight versions of this text.
    pub fn fits(&self, min_version: u64, single_version: bool) -> bool {
        let is_recent = self.versions.iter().all(|it| *it >= min_version);
        let is_consistent = !single_version || self.versions.len() <= 1;
        is_recent && is_consistent
    }

    /// Returns whether a run at an engine with the weights of `version` and the software `build` may
    /// resume from this text. Events of unknown software continue nowhere.
    pub fn can_resume(
        &self,
        constraints: &JobConstraints,
        version: u64,
        build: Option<&SoftwareBuild>,
    ) -> bool {
        let origin = TextOrigin {
            has_events: !self.events.is_empty(),
            versions: &self.versions,
            build: self.build.as_ref(),
        };
        origin.can_resume(constraints, version, build)
    }
}

/// What decides where a text can be continued.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TextOrigin<'a> {
    pub(crate) has_events: bool,
    /// Weight versions that generated the events.
    pub(crate) versions: &'a [u64],
    /// Software that generated the events, if known.
    pub(crate) build: Option<&'a SoftwareBuild>,
}

impl TextOrigin<'_> {
    /// Returns whether a run at an engine with the weights of `version` and the software `build` may
    /// resume from the text.
    pub(crate) fn can_resume(
        self,
        constraints: &JobConstraints,
        version: u64,
        build: Option<&SoftwareBuild>,
    ) -> bool {
        let same_build = self.build.is_some() && self.build == build;
        if self.has_events && !same_build {
            return false;
        }
        let is_recent = self
            .versions
            .iter()
            .all(|it| *it >= constraints.min_version);
        let is_consistent =
            !constraints.single_version || self.versions.iter().all(|it| *it == version);
        is_recent && is_consistent
    }
}

/// Events of a run so far, without those that it resumed from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunMark {
    /// Number of events.
    pub events: u32,
    /// Time of the latest event.
    pub last_at: ClockTime,
}

/// Outcome of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The stream ended after the complete text.
    Completed(PartialText),
    /// The stream broke off, or the scheduler stopped it; another run can resume from the text.
    Broken(PartialText),
    /// A close of the connection ended the stream after an event, and nothing else says whether the
    /// text is complete; another run that resumes from it can tell.
    Closed(PartialText),
    /// The engine reported that the item failed; another run may succeed.
    Failed,
    /// The engine reported that the item can never succeed.
    Rejected,
    /// The engine refused the item without running it.
    Refused,
    /// The request reached another engine, or one with other weights; nothing ran.
    Misdirected,
    /// The engine could not be reached.
    Unreachable,
}

/// Run that the caller should start.
#[derive(Debug, Clone)]
pub struct RunStart {
    /// ID of the run.
    pub run: RunKey,
    /// ID of the job.
    pub job: String,
    /// Index of the item in its submission.
    pub item: u32,
    /// ID of the engine.
    pub engine: String,
    /// Weight version that the engine is expected to have.
    pub version: u64,
    /// Text to resume from; empty to start over.
    pub partial: PartialText,
    /// Number of events that earlier runs generated and that this run can't resume from.
    pub discarded_events: u32,
}
