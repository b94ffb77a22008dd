//! What a run of an item starts from, and how it ends.

use std::collections::BTreeMap;

use bytes::Bytes;
use bytes::BytesMut;

use bergamotlane_coordination::clock::ClockTime;

/// Identity of one run of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunKey(pub u64);

/// What of a job matters for its runs.
#[derive(Debug, Clone)]
pub struct JobConstraints {
    /// Time by which all results are due.
    pub due: ClockTime,
    /// Time from which items may be given up.
    pub expires: ClockTime,
    /// Service whose engines run the items.
    pub service: String,
    /// Model.
    pub model: String,
    /// Oldest weight version allowed.
    pub min_version: u64,
    /// Whether a text must come from one version.
    pub single_version: bool,
    /// Failed attempts after which an item is given up.
    pub max_attempts: u32,
}

/// An engine that may take work now.
#[derive(Debug, Clone)]
pub struct EngineSlot {
    /// ID.
    pub id: String,
    /// Service.
    pub service: String,
    /// Runs that it takes at once.
    pub capacity: u32,
    /// Weight version by model.
    pub models: BTreeMap<String, u64>,
    /// Starts allowed within one second, if the engine is cold.
    pub starts_per_s: Option<u32>,
}

/// Text that a run has produced so far.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartialText {
    /// Data of the events so far.
    pub events: Vec<Bytes>,
    /// ID of the last event.
    pub last_id: Option<u64>,
    /// Versions that generated them, ascending.
    pub versions: Vec<u64>,
}

impl PartialText {
    /// Adds a version.
    pub fn add_version(&mut self, version: u64) {
        if let Err(place) = self.versions.binary_search(&version) {
            self.versions.insert(place, version);
        }
    }

    /// Returns the data of all events, joined by line feeds.
    pub fn text(&self) -> Bytes {
        let mut text = BytesMut::new();
        for (place, event) in self.events.iter().enumerate() {
            if place > 0 {
                text.extend_from_slice(b"\n");
            }
            text.extend_from_slice(event);
        }
        text.freeze()
    }

    /// Returns whether another run at an engine with `version` may go on from here.
    pub fn fits(&self, terms: &JobConstraints, version: u64) -> bool {
        let fresh = self.versions.iter().all(|it| *it >= terms.min_version);
        let single = !terms.single_version || self.versions.iter().all(|it| *it == version);
        fresh && single
    }
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
    /// The stream is whole.
    Completed(PartialText),
    /// The stream broke; another run can go on.
    Broken(PartialText),
    /// The engine reported a failure of the item.
    Failed,
    /// The engine reported that the item can never be done.
    Rejected,
    /// The engine did not run the item.
    Refused,
    /// Another engine, or other weights, answered; nothing ran.
    Misdirected,
    /// The engine could not be reached.
    Unreachable,
}

/// A run to start.
#[derive(Debug, Clone)]
pub struct RunStart {
    /// Run.
    pub run: RunKey,
    /// Job.
    pub job: String,
    /// Place of the item in its job.
    pub item: u32,
    /// Engine.
    pub engine: String,
    /// Weight version that the engine should have.
    pub version: u64,
    /// Text to go on from.
    pub partial: PartialText,
}
