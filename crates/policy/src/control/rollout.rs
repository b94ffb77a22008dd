//! Rollouts of a trainer: groups of samples, attempts at them, and batches that are each
//! delivered once.
//!
//! A sample is identified by its group and its index in the group. Several attempts may
//! run it; the first one recorded is kept. A batch lists samples with their attempts and
//! is committed before it is delivered. An attempt that is dropped, since it is outdated or
//! its content is lost, is never delivered afterwards.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;

use super::sample::AttemptId;
use super::sample::AttemptRecord;
use super::sample::BatchRecord;
use super::sample::FetchOutcome;
use super::sample::GroupRecord;
use super::sample::NewGroup;
use super::sample::RolloutCommand;
use super::sample::RolloutOutcome;
use super::sample::SampleKey;
use super::sample::SampleRecord;
use crate::plan::TrainerRow;

/// Number of batches for which a completed group is remembered, so that a resubmission of
/// it is recognized.
const GROUP_KEPT_BATCHES: u64 = 64;

/// Rollouts of one trainer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TrainerState {
    /// Highest weight version that the trainer has named.
    pub version: u64,
    /// Cursor of the last acknowledged batch; zero if there is none.
    pub acknowledged: u64,
    /// Total number of samples acknowledged.
    pub delivered: u64,
    /// The next batch, once it has been fetched.
    pub batch: Option<BatchRecord>,
    /// Open and recently completed groups by ID.
    pub groups: BTreeMap<String, GroupRecord>,
    /// Samples that aren't acknowledged yet.
    pub samples: BTreeMap<SampleKey, SampleRecord>,
}

impl TrainerState {
    /// Returns the samples without a finished attempt, with their groups, oldest first.
    pub fn open_samples(&self) -> Vec<(&SampleKey, &GroupRecord)> {
        let mut open: Vec<(&SampleKey, &SampleRecord)> = self
            .samples
            .iter()
            .filter(|(_, record)| record.attempt.is_none())
            .collect();
        open.sort_by_key(|(_, record)| record.order);
        open.into_iter()
            .filter_map(|(key, _)| Some((key, self.groups.get(&key.group)?)))
            .collect()
    }

    /// Returns whether `attempt` may still be delivered, so that its content must be kept.
    pub fn needs(&self, sample: &SampleKey, attempt: AttemptId) -> bool {
        self.samples.get(sample).is_some_and(|record| {
            record
                .attempt
                .as_ref()
                .is_none_or(|kept| kept.attempt == attempt)
                && !record.dropped.contains(&attempt)
        })
    }

    pub(super) fn apply(
        &mut self,
        index: u64,
        row: &TrainerRow,
        command: RolloutCommand,
    ) -> RolloutOutcome {
        match command {
            RolloutCommand::Submit { groups } => self.submit(index, groups),
            RolloutCommand::Version { version } => {
                self.version = self.version.max(version);
                RolloutOutcome::Done {}
            }
            RolloutCommand::Finish { sample, record } => self.finish(row, &sample, record),
            RolloutCommand::Fetch { cursor, version } => {
                self.version = self.version.max(version);
                RolloutOutcome::Fetched {
                    fetch: self.fetch(row, cursor),
                }
            }
            RolloutCommand::Acknowledge { cursor, revision } => self.acknowledge(cursor, revision),
            RolloutCommand::Lose { sample, attempt } => {
                self.drop_attempt(&sample, attempt);
                RolloutOutcome::Done {}
            }
        }
    }

    fn submit(&mut self, index: u64, groups: Vec<NewGroup>) -> RolloutOutcome {
        let conflict = groups.iter().find(|group| {
            self.groups.get(&group.id).is_some_and(|known| {
                let same_prompt = known.finished_at.is_some() || known.prompt == group.prompt;
                known.count != group.count || !same_prompt
            })
        });
        if let Some(group) = conflict {
            return RolloutOutcome::GroupConflict {
                group: group.id.clone(),
            };
        }
        for group in groups {
            if self.groups.contains_key(&group.id) {
                continue;
            }
            for place in 0..group.count {
                let key = SampleKey {
                    group: group.id.clone(),
                    place,
                };
                let record = SampleRecord {
                    order: index,
                    attempt: None,
                    dropped: BTreeSet::new(),
                };
                self.samples.insert(key, record);
            }
            let record = GroupRecord {
                prompt: group.prompt,
                count: group.count,
                left: group.count,
                finished_at: None,
            };
            self.groups.insert(group.id, record);
        }
        RolloutOutcome::Done {}
    }

    /// Returns whether an attempt is too many weight versions behind the trainer.
    fn is_outdated(&self, row: &TrainerRow, record: &AttemptRecord) -> bool {
        self.version.saturating_sub(record.oldest_version) > u64::from(row.max_age)
    }

    fn finish(
        &mut self,
        row: &TrainerRow,
        sample: &SampleKey,
        record: AttemptRecord,
    ) -> RolloutOutcome {
        let outdated = self.is_outdated(row, &record);
        let Some(known) = self.samples.get_mut(sample) else {
            return RolloutOutcome::Useless {};
        };
        if let Some(kept) = &known.attempt {
            // A resent record gets its original outcome.
            return match kept.attempt == record.attempt {
                true => RolloutOutcome::Kept {},
                false => RolloutOutcome::Useless {},
            };
        }
        if outdated || known.dropped.contains(&record.attempt) {
            return RolloutOutcome::Useless {};
        }
        known.attempt = Some(record);
        RolloutOutcome::Kept {}
    }

    /// Drops the attempt if it is the one kept, and removes it from the batch.
    fn drop_attempt(&mut self, sample: &SampleKey, attempt: AttemptId) {
        let Some(known) = self.samples.get_mut(sample) else {
            return;
        };
        if known.attempt.as_ref().map(|it| it.attempt) != Some(attempt) {
            return;
        }
        known.attempt = None;
        known.dropped.insert(attempt);
        if let Some(batch) = &mut self.batch
            && batch.samples.remove(sample).is_some()
        {
            batch.revision += 1;
        }
    }

    fn drop_outdated(&mut self, row: &TrainerRow) {
        let outdated: Vec<(SampleKey, AttemptId)> = self
            .samples
            .iter()
            .filter_map(|(key, record)| {
                let kept = record.attempt.as_ref()?;
                self.is_outdated(row, kept)
                    .then(|| (key.clone(), kept.attempt))
            })
            .collect();
        for (key, attempt) in outdated {
            self.drop_attempt(&key, attempt);
        }
    }

    fn fetch(&mut self, row: &TrainerRow, cursor: u64) -> FetchOutcome {
        let next = self.acknowledged + 1;
        if cursor != next {
            return FetchOutcome::BadCursor { next };
        }
        self.drop_outdated(row);
        let outstanding = self.samples.len() as u32;
        let full_size = row.step_samples.min(outstanding);
        let needed = match &self.batch {
            Some(batch) => batch.needed.min(outstanding),
            None => (u64::from(full_size) * u64::from(row.suffices_percent)).div_ceil(100) as u32,
        };
        let ready = self
            .samples
            .values()
            .filter(|record| record.attempt.is_some())
            .count() as u32;
        if ready < needed || needed == 0 {
            return FetchOutcome::NotReady { ready, needed };
        }
        let batch = self.fill_batch(cursor, needed, full_size);
        FetchOutcome::Ready { batch }
    }

    /// Forms the batch with up to `full_size` samples, or refills one that has lost
    /// samples to `needed`.
    fn fill_batch(&mut self, cursor: u64, needed: u32, full_size: u32) -> BatchRecord {
        let mut batch = self.batch.take().unwrap_or(BatchRecord {
            cursor,
            revision: 0,
            needed,
            samples: BTreeMap::new(),
        });
        let is_new = batch.samples.is_empty() && batch.revision == 0;
        let size = if is_new { full_size } else { needed } as usize;
        let mut done: Vec<(u64, &SampleKey, &AttemptRecord)> = self
            .samples
            .iter()
            .filter(|(key, _)| !batch.samples.contains_key(*key))
            .filter_map(|(key, record)| Some((record.order, key, record.attempt.as_ref()?)))
            .collect();
        done.sort_by(|left, right| (left.0, left.1).cmp(&(right.0, right.1)));
        for (_, key, record) in done {
            if batch.samples.len() >= size {
                break;
            }
            batch.samples.insert(key.clone(), record.clone());
        }
        self.batch = Some(batch.clone());
        batch
    }

    fn acknowledge(&mut self, cursor: u64, revision: u32) -> RolloutOutcome {
        if cursor <= self.acknowledged {
            return RolloutOutcome::Acknowledged {
                samples: 0,
                tokens: 0,
            };
        }
        let next = self.acknowledged + 1;
        let Some(batch) = self.batch.as_ref().filter(|it| it.cursor == cursor) else {
            return RolloutOutcome::BadCursor { next };
        };
        if batch.revision != revision {
            let revision = batch.revision;
            return RolloutOutcome::Revised { revision };
        }
        let samples = std::mem::take(&mut self.batch).map_or_else(BTreeMap::new, |it| it.samples);
        let tokens = samples.values().map(|it| u64::from(it.tokens)).sum();
        for key in samples.keys() {
            self.remove_sample(key, cursor);
        }
        self.acknowledged = cursor;
        self.delivered += samples.len() as u64;
        self.groups.retain(|_, group| {
            group
                .finished_at
                .is_none_or(|it| it + GROUP_KEPT_BATCHES > cursor)
        });
        RolloutOutcome::Acknowledged {
            samples: samples.len() as u64,
            tokens,
        }
    }

    /// Removes an acknowledged sample, and completes its group with the last one.
    fn remove_sample(&mut self, key: &SampleKey, cursor: u64) {
        self.samples.remove(key);
        let Some(group) = self.groups.get_mut(&key.group) else {
            return;
        };
        group.left -= 1;
        if group.left == 0 {
            group.prompt = Bytes::new();
            group.finished_at = Some(cursor);
        }
    }
}
