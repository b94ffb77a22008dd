//! Texts of items between two runs of one leader, as far as the other voters have them.
//!
//! A run that resumes such a text continues it under the same run ID, so that only new events are
//! sent to the other voters.

use std::collections::HashMap;

use bergamotlane_coordination::clock::ClockTime;

/// Longest time between two runs for which the later one continues the text, in milliseconds. The
/// other voters drop a text that has not grown for longer, and would ignore what is added to it.
const MAX_PAUSE_MS: u64 = 5_000;

/// Text of a run that ended before the item was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicatedText {
    /// ID of the run under which the text was sent to the other voters.
    pub run: u64,
    /// Number of events that were sent to the other voters.
    pub replicated_events: u32,
    /// Number of events of the whole text.
    pub events: u32,
    /// Time at which the run ended.
    pub ended_at: ClockTime,
}

/// Texts of the items that wait for their next run, by job and index of the item.
#[derive(Debug, Default)]
pub struct ReplicatedTexts(HashMap<(String, u32), ReplicatedText>);

impl ReplicatedTexts {
    /// Keeps the text of an item that waits for its next run, if any of it was sent.
    pub fn keep(&mut self, job: &str, item: u32, text: ReplicatedText) {
        if text.replicated_events > 0 {
            self.0.insert((job.to_owned(), item), text);
        }
    }

    /// Removes and returns the text of an item whose next run resumes from `events` events, if the
    /// run continues it.
    pub fn take(
        &mut self,
        now: ClockTime,
        job: &str,
        item: u32,
        events: u32,
    ) -> Option<ReplicatedText> {
        let text = self.0.remove(&(job.to_owned(), item))?;
        let is_continued = text.events == events && now.since(text.ended_at) < MAX_PAUSE_MS;
        is_continued.then_some(text)
    }

    /// Forgets the texts of a job.
    pub fn drop_job(&mut self, job: &str) {
        self.0.retain(|(it, _), _| it != job);
    }

    /// Forgets all texts, for example when they must be sent from their start.
    pub fn clear(&mut self) {
        self.0.clear();
    }
}
