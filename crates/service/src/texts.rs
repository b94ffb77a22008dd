//! Partial texts of unfinished items, from which another run can resume: after a change of
//! leader, or in a later job that carries the item over.
//!
//! The texts are kept in memory and, with some delay, in a journal on disk, see
//! [`crate::text_journal`]. Losing one costs time, since the item starts over, but never a result.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::software::SoftwareBuild;
use crate::work::PartialText;
use bergamotlane_coordination::clock::ClockTime;

/// Retention time of a text after it last grew, in milliseconds.
const TEXT_RETENTION_MS: u64 = 20_000;

/// Identity of an item across all jobs of its customer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TextKey {
    /// Customer that owns the item, if the plan names any.
    pub customer: Option<String>,
    /// ID of the item.
    pub item: String,
}

/// Events that a run has added to a text since the previous delta.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDelta {
    /// Identity of the item.
    pub key: TextKey,
    /// ID of the run that generates the text.
    pub run: u64,
    /// Number of events that precede this delta; at zero, the delta replaces the stored text.
    #[serde(rename = "told")]
    pub offset: u32,
    /// Data of the added events.
    pub events: Vec<Bytes>,
    /// ID of the last event.
    pub last_id: Option<u64>,
    /// Weight versions that generated the text so far, ascending.
    pub versions: Vec<u64>,
    /// Software that generated the text, if known.
    #[serde(default)]
    pub build: Option<SoftwareBuild>,
    /// Whether the text is complete with this delta.
    #[serde(default)]
    pub is_complete: bool,
}

impl TextDelta {
    /// Returns the events of a text from `offset` on, or `None` if there are none and the text is
    /// not complete.
    pub fn since(key: &TextKey, run: u64, offset: u32, text: &PartialText) -> Option<Self> {
        let events = text.events.get(offset as usize..)?;
        (!events.is_empty() || text.is_complete).then(|| Self {
            key: key.clone(),
            run,
            offset,
            events: events.to_vec(),
            last_id: text.last_id,
            versions: text.versions.clone(),
            build: text.build.clone(),
            is_complete: text.is_complete,
        })
    }
}

#[derive(Debug)]
struct StoredText {
    run: u64,
    text: PartialText,
    grown_at: ClockTime,
}

/// Partial texts by item.
#[derive(Debug, Default)]
pub struct TextStore {
    texts: BTreeMap<TextKey, StoredText>,
}

impl TextStore {
    /// Stores a text from its start and replaces an earlier one of the item. An empty text is
    /// ignored.
    pub fn insert(&mut self, now: ClockTime, key: TextKey, run: u64, text: PartialText) {
        if text.events.is_empty() {
            return;
        }
        let stored = StoredText {
            run,
            text,
            grown_at: now,
        };
        self.texts.insert(key, stored);
    }

    /// Applies a delta. One that does not continue the stored text of the same run is ignored.
    pub fn apply_delta(&mut self, now: ClockTime, delta: TextDelta) {
        if delta.offset == 0 {
            let text = PartialText {
                events: delta.events,
                last_id: delta.last_id,
                versions: delta.versions,
                build: delta.build,
                is_complete: delta.is_complete,
            };
            self.insert(now, delta.key, delta.run, text);
            return;
        }
        let Some(stored) = self.texts.get_mut(&delta.key) else {
            return;
        };
        if stored.run != delta.run || stored.text.events.len() != delta.offset as usize {
            return;
        }
        stored.text.events.extend(delta.events);
        stored.text.last_id = delta.last_id;
        stored.text.versions = delta.versions;
        stored.text.is_complete = delta.is_complete;
        stored.grown_at = now;
    }

    /// Returns the text of an item if all weight versions that generated it are at least
    /// `min_version`.
    pub fn get(&self, key: &TextKey, min_version: u64) -> Option<&PartialText> {
        let text = &self.texts.get(key)?.text;
        let is_recent = text.versions.iter().all(|it| *it >= min_version);
        is_recent.then_some(text)
    }

    /// Removes the text of an item, for example once the item is done.
    pub fn remove(&mut self, key: &TextKey) {
        self.texts.remove(key);
    }

    /// Removes texts that have not grown within the retention time.
    pub fn expire(&mut self, now: ClockTime) {
        self.texts
            .retain(|_, it| now.since(it.grown_at) < TEXT_RETENTION_MS);
    }

    /// Returns all texts, each as a delta from its start.
    pub fn all_deltas(&self) -> Vec<TextDelta> {
        let texts = self.texts.iter();
        texts
            .filter_map(|(key, it)| TextDelta::since(key, it.run, 0, &it.text))
            .collect()
    }

    /// Returns the number of stored texts.
    pub fn len(&self) -> usize {
        self.texts.len()
    }

    /// Returns whether no text is stored.
    pub fn is_empty(&self) -> bool {
        self.texts.is_empty()
    }
}
