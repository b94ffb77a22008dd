//! Replication of partial texts: the leader sends them to the other voters, so that a new leader
//! can resume their items.

use bytes::Bytes;

use super::core::KeeperCore;
use super::lead::LeaderState;
use super::lead::RunHandle;
use crate::dialect::TargetDialect;
use crate::frames::LinkFrame;
use crate::jobs::ItemResult;
use crate::link::LinkId;
use crate::texts::TextDelta;
use crate::texts::TextKey;
use crate::work::PartialText;
use crate::work::RunKey;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::codec;

/// Interval at which additions to partial texts are sent, in milliseconds.
const TEXT_REPLICATION_INTERVAL_MS: u64 = 800;

/// Least age of a run whose text is replicated, in milliseconds; to restart a younger one costs
/// less than to send its text.
const MIN_REPLICATED_AGE_MS: u64 = 800;

/// Size of the additions from runs in one round of replication from which on no others are added, in
/// bytes. Even when all texts are sent anew, the frame is one of the usual size.
const MAX_ROUND_BYTES: usize = 2 * 1024 * 1024;

/// Returns an ID of a run that is unique across leaders: the term in the upper 32 bits, the run's
/// key in the lower ones.
pub(super) fn global_run_id(term: u64, run: RunKey) -> u64 {
    (term << 32) | (run.0 & u64::from(u32::MAX))
}

/// Complete text of an item under this leader.
#[derive(Debug)]
pub(super) struct FinishedText {
    pub(super) job: String,
    /// Index of the item in its submission.
    pub(super) item: u32,
    pub(super) text: PartialText,
    /// ID of the run under which the text is sent to the other voters.
    pub(super) run: u64,
    /// Number of events of the text that were sent to the other voters.
    pub(super) replicated_events: u32,
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Stores what the leader's runs have added to their texts.
    pub(super) fn receive_texts(&mut self, deltas: Vec<TextDelta>) {
        let time = now();
        self.record_texts(time, deltas);
    }

    /// Stores additions to texts in memory and in the journal.
    fn record_texts(&mut self, time: ClockTime, deltas: Vec<TextDelta>) {
        for delta in &deltas {
            self.texts.apply_delta(time, delta.clone());
        }
        if let Some(journal) = &mut self.text_journal {
            journal.append(&deltas, &self.texts);
        }
    }

    /// Stores the partial texts of the runs of `job` and its complete texts that are not listed, or
    /// those of all jobs for `None`.
    pub(super) fn store_texts(&mut self, job: Option<&str>) {
        let time = now();
        let Some(lead) = &self.lead else {
            return;
        };
        for handle in lead.runs.values() {
            if job.is_none_or(|it| it == handle.job) {
                let text = handle.progress.text().clone();
                self.texts
                    .insert(time, handle.key.clone(), handle.text_run, text);
            }
        }
        for task in lead.scores.tasks() {
            if job.is_none_or(|it| it == task.job) {
                let text = task.text.clone();
                self.texts
                    .insert(time, task.text_key.clone(), task.run, text);
            }
        }
        for held in lead.listing.texts(job) {
            let text = held.text.clone();
            self.texts.insert(time, held.key.clone(), held.run, text);
        }
    }

    /// Drops the partial texts of items whose results are listed.
    pub(super) fn drop_texts(&mut self, results: &[(String, ItemResult)]) {
        for (job, result) in results {
            let Some(record) = self.state.jobs.get(job) else {
                continue;
            };
            let submission = &record.submission;
            let Some(item) = submission.items.get(result.item as usize) else {
                continue;
            };
            self.texts.remove(&TextKey::of(submission, item));
        }
    }

    /// Drops expired partial texts and sends additions, once per interval.
    pub(super) fn maintain_texts(&mut self, time: ClockTime) {
        if time < self.texts_due {
            return;
        }
        self.texts_due = time + TEXT_REPLICATION_INTERVAL_MS;
        self.texts.expire(time);
        self.replicate_texts(time);
    }

    /// Makes the next replication send all texts from their start, for a voter that has just
    /// joined.
    pub(super) fn restart_text_replication(&mut self) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        for handle in lead.runs.values_mut() {
            handle.replicated_events = 0;
        }
        lead.replicated_texts.clear();
        lead.scores.restart_replication();
        lead.listing.restart_replication();
    }

    /// Sends what each run has added to its text since the last replication.
    fn replicate_texts(&mut self, time: ClockTime) {
        let voters = self.voter_links();
        let Some(lead) = self.lead.as_mut().filter(|it| it.active) else {
            return;
        };
        let mut deltas = run_deltas(time, lead);
        for task in lead.scores.take_unreplicated() {
            deltas.extend(TextDelta::since(
                &task.text_key,
                task.run,
                task.replicated_events,
                &task.text,
            ));
        }
        deltas.extend(lead.listing.take_unreplicated(time, MAX_ROUND_BYTES / 2));
        if deltas.is_empty() {
            return;
        }
        let frame = LinkFrame::Texts(deltas);
        let encoded = codec::encode(&frame);
        for link in voters {
            self.hub.send_encoded(link, encoded.clone());
        }
        if let LinkFrame::Texts(deltas) = frame {
            self.record_texts(time, deltas);
        }
    }

    fn voter_links(&self) -> Vec<LinkId> {
        let Some(voter) = &self.voter else {
            return Vec::new();
        };
        let own = voter.node.id();
        let voters = voter.node.membership().voters.keys();
        let others = voters.filter(|it| **it != own);
        others.filter_map(|it| self.link_of(*it)).collect()
    }
}

/// Returns what the leader's runs have added to their texts, those first of which least was sent, up to
/// about [`MAX_ROUND_BYTES`]; the rest is left for the next time.
fn run_deltas(time: ClockTime, lead: &mut LeaderState) -> Vec<TextDelta> {
    let is_old = |handle: &RunHandle| time.since(handle.started) >= MIN_REPLICATED_AGE_MS;
    let runs = lead.runs.iter_mut().filter(|(_, it)| is_old(it));
    let mut runs: Vec<(&RunKey, &mut RunHandle)> = runs.collect();
    runs.sort_by_key(|(run, handle)| (handle.replicated_events, run.0));
    let mut bytes = 0;
    let mut deltas = Vec::new();
    for (_, handle) in runs {
        if bytes >= MAX_ROUND_BYTES {
            break;
        }
        let text = handle.progress.text();
        let offset = handle.replicated_events;
        if let Some(delta) = TextDelta::since(&handle.key, handle.text_run, offset, &text) {
            bytes += delta.events.iter().map(Bytes::len).sum::<usize>();
            deltas.push(delta);
        }
        handle.replicated_events = text.events.len() as u32;
    }
    deltas
}
