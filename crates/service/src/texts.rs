//! Texts of items that are not done, so that another run need not start from nothing: after a
//! change of leader, and in a later job that carries the item over. They live in memory alone;
//! losing one costs time, never a result.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::work::PartialText;
use bergamotlane_coordination::clock::ClockTime;

/// Time for which a text is kept after it last grew, in milliseconds.
const TEXT_KEPT_MS: u64 = 20_000;

/// An item as jobs of its customer know it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TextKey {
    /// Customer.
    pub customer: Option<String>,
    /// ID of the item.
    pub item: String,
}

/// What one run has added to a text since it was last told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextDelta {
    /// Item.
    pub key: TextKey,
    /// Run that generates it.
    pub run: u64,
    /// Events that were told before.
    pub told: u32,
    /// Events that follow.
    pub events: Vec<Bytes>,
    /// ID of the last event.
    pub last_id: Option<u64>,
    /// Versions of the whole text, ascending.
    pub versions: Vec<u64>,
}

impl TextDelta {
    /// Returns what a text has beyond the events that were told, if anything.
    pub fn since(key: &TextKey, run: u64, told: u32, text: &PartialText) -> Option<Self> {
        let events = text.events.get(told as usize..)?;
        (!events.is_empty()).then(|| Self {
            key: key.clone(),
            run,
            told,
            events: events.to_vec(),
            last_id: text.last_id,
            versions: text.versions.clone(),
        })
    }
}

#[derive(Debug)]
struct StoredText {
    run: u64,
    text: PartialText,
    grown_at: ClockTime,
}

/// The texts.
#[derive(Debug, Default)]
pub struct TextStore {
    texts: BTreeMap<TextKey, StoredText>,
}

impl TextStore {
    /// Takes a whole text as it stands; an older one of the item goes.
    pub fn keep(&mut self, now: ClockTime, key: TextKey, run: u64, text: PartialText) {
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

    /// Takes what a run has added. A share that does not follow what is stored is ignored.
    pub fn take(&mut self, now: ClockTime, share: TextDelta) {
        if share.told == 0 {
            let text = PartialText {
                events: share.events,
                last_id: share.last_id,
                versions: share.versions,
            };
            self.keep(now, share.key, share.run, text);
            return;
        }
        let Some(stored) = self.texts.get_mut(&share.key) else {
            return;
        };
        if stored.run != share.run || stored.text.events.len() != share.told as usize {
            return;
        }
        stored.text.events.extend(share.events);
        stored.text.last_id = share.last_id;
        stored.text.versions = share.versions;
        stored.grown_at = now;
    }

    /// Returns the text of an item, if every version in it is at least `min_version`.
    pub fn get(&self, key: &TextKey, min_version: u64) -> Option<&PartialText> {
        let text = &self.texts.get(key)?.text;
        let fresh = text.versions.iter().all(|it| *it >= min_version);
        fresh.then_some(text)
    }

    /// Forgets the text of an item that is done.
    pub fn remove(&mut self, key: &TextKey) {
        self.texts.remove(key);
    }

    /// Forgets texts that have not grown for long.
    pub fn expire(&mut self, now: ClockTime) {
        self.texts
            .retain(|_, it| now.since(it.grown_at) < TEXT_KEPT_MS);
    }

    /// Returns the number of texts.
    pub fn len(&self) -> usize {
        self.texts.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.texts.is_empty()
    }
}
