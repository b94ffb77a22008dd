//! Partial texts of unfinished items, from which another run can resume: after a change of
//! leader, or in a later job that carries the item over.
//!
//! The texts are kept in memory and, with some delay, in a journal on disk, see
//! [`crate::text_journal`]. Losing one costs time, since the item starts over, but never a result.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::jobs::ItemSpec;
use crate::jobs::JobSubmission;
use crate::metrics::METRICS;
use crate::software::SoftwareBuild;
use crate::work::PartialText;
use bergamotlane_coordination::clock::ClockTime;

/// Retention time of a text after it last grew, in milliseconds.
const TEXT_RETENTION_MS: u64 = 20_000;

/// Size of all texts in a store without a limit of its own, in bytes.
const DEFAULT_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Memory that a text takes in addition to its key and its events, in bytes.
const TEXT_BYTES: usize = 256;

/// Memory that an event takes in addition to its data, in bytes.
const EVENT_BYTES: usize = 64;

/// Identity of an item across all jobs of its customer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TextKey {
    /// Customer that owns the item's job, if any.
    pub customer: Option<String>,
    /// ID of the item.
    pub item: String,
}

impl TextKey {
    /// Returns the identity of an item of a job.
    pub fn of(submission: &JobSubmission, item: &ItemSpec) -> Self {
        Self {
            customer: submission.owner().map(str::to_owned),
            item: item.id.clone(),
        }
    }
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

/// Place of a text in the order in which texts last grew.
type GrowthRank = (ClockTime, u64);

#[derive(Debug)]
struct StoredText {
    run: u64,
    text: PartialText,
    rank: GrowthRank,
    bytes: usize,
}

/// Partial texts by item, bounded in bytes: the text that has not grown for the longest time is dropped
/// first.
#[derive(Debug)]
pub struct TextStore {
    texts: BTreeMap<TextKey, StoredText>,
    /// Texts in the order in which they last grew.
    order: BTreeMap<GrowthRank, TextKey>,
    next_rank: u64,
    bytes: usize,
    limit_bytes: usize,
}

impl Default for TextStore {
    fn default() -> Self {
        Self::with_limit(DEFAULT_LIMIT_BYTES)
    }
}

/// Returns the memory that events take, in bytes.
pub(crate) fn event_bytes(events: &[Bytes]) -> usize {
    events.iter().map(|it| EVENT_BYTES + it.len()).sum()
}

impl TextStore {
    /// Returns a store that holds up to `limit_bytes`.
    pub fn with_limit(limit_bytes: usize) -> Self {
        Self {
            texts: BTreeMap::new(),
            order: BTreeMap::new(),
            next_rank: 0,
            bytes: 0,
            limit_bytes,
        }
    }

    /// Returns the size of all texts, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the rank of a text that grows now.
    fn rank_at(&mut self, now: ClockTime) -> GrowthRank {
        self.next_rank += 1;
        (now, self.next_rank)
    }

    /// Drops texts until the others fit.
    fn shrink(&mut self) {
        while self.bytes > self.limit_bytes {
            let Some((_, key)) = self.order.pop_first() else {
                return;
            };
            if let Some(stored) = self.texts.remove(&key) {
                self.bytes -= stored.bytes;
                METRICS.texts_dropped.inc();
            }
        }
    }

    /// Stores a text from its start and replaces an earlier one of the item. An empty text is
    /// ignored.
    pub fn insert(&mut self, now: ClockTime, key: TextKey, run: u64, text: PartialText) {
        if text.events.is_empty() {
            return;
        }
        self.remove(&key);
        let rank = self.rank_at(now);
        let bytes = TEXT_BYTES + 2 * key.item.len() + event_bytes(&text.events);
        let stored = StoredText {
            run,
            text,
            rank,
            bytes,
        };
        self.bytes += bytes;
        self.order.insert(rank, key.clone());
        self.texts.insert(key, stored);
        self.shrink();
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
        let rank = self.rank_at(now);
        let Some(stored) = self.texts.get_mut(&delta.key) else {
            return;
        };
        if stored.run != delta.run || stored.text.events.len() != delta.offset as usize {
            return;
        }
        let added = event_bytes(&delta.events);
        stored.bytes += added;
        stored.text.events.extend(delta.events);
        stored.text.last_id = delta.last_id;
        stored.text.versions = delta.versions;
        stored.text.is_complete = delta.is_complete;
        let old_rank = std::mem::replace(&mut stored.rank, rank);
        self.bytes += added;
        self.order.remove(&old_rank);
        self.order.insert(rank, delta.key);
        self.shrink();
    }

    /// Shortens the text of a run to its first events, so that a delta after them continues it. Ignored
    /// if the stored text is shorter or of another run.
    pub fn truncate(&mut self, key: &TextKey, run: u64, events: usize) {
        let stored = self.texts.get_mut(key).filter(|it| it.run == run);
        let Some(stored) = stored.filter(|it| it.text.events.len() > events) else {
            return;
        };
        let removed = stored.text.events.split_off(events);
        // The IDs of the events of a text are consecutive.
        let last_id = stored.text.last_id;
        stored.text.last_id = last_id.and_then(|it| it.checked_sub(removed.len() as u64));
        let removed = event_bytes(&removed);
        stored.bytes -= removed;
        self.bytes -= removed;
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
        if let Some(stored) = self.texts.remove(key) {
            self.order.remove(&stored.rank);
            self.bytes -= stored.bytes;
        }
    }

    /// Removes texts that have not grown within the retention time.
    pub fn expire(&mut self, now: ClockTime) {
        while let Some(((grown_at, _), key)) = self.order.first_key_value() {
            if now.since(*grown_at) < TEXT_RETENTION_MS {
                return;
            }
            let key = key.clone();
            self.remove(&key);
        }
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
