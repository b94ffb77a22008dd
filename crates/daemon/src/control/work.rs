//! Hands out the samples that this instance should run.

use std::collections::BTreeSet;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::thread::ControlCore;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::control::SampleKey;

/// Samples that one instance runs at a time.
const JOBS_AT_A_TIME: usize = 256;

/// A sample to be run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutJob {
    /// Trainer.
    pub trainer: String,
    /// Sample.
    pub sample: SampleKey,
    /// Prompt.
    pub prompt: Bytes,
    /// Instances that may hold a copy.
    pub holders: Vec<RunId>,
    /// Oldest weight version that will do.
    pub least_version: u64,
}

/// Jobs that are out.
#[derive(Debug)]
pub(super) struct WorkState {
    out: BTreeSet<(String, SampleKey)>,
    jobs: mpsc::UnboundedSender<RolloutJob>,
    looked_at: u64,
}

impl WorkState {
    pub(super) fn new(jobs: mpsc::UnboundedSender<RolloutJob>) -> Self {
        Self {
            out: BTreeSet::new(),
            jobs,
            looked_at: 0,
        }
    }

    pub(super) fn ended(&mut self, job: &RolloutJob) {
        self.out.remove(&(job.trainer.clone(), job.sample.clone()));
        self.looked_at = 0;
    }

    pub(super) fn is_idle(&self) -> bool {
        self.out.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.out.len()
    }
}

impl ControlCore {
    pub(super) fn work_tick(&mut self) {
        let fresh = self.follow.freshness.is_fresh(crate::clock::now());
        if !fresh || self.shared.is_draining() || self.work.out.len() >= JOBS_AT_A_TIME {
            return;
        }
        let runs = self.working_runs();
        // Runs come and go without a new entry, so they count as a change too.
        let stamp = self.state.index.wrapping_mul(31).wrapping_add(
            runs.iter()
                .fold(1, |hash: u64, run| hash.rotate_left(7) ^ run.0),
        );
        if stamp == self.work.looked_at {
            return;
        }
        self.work.looked_at = stamp;
        let mut jobs = Vec::new();
        for (trainer, book) in &self.state.trainers {
            let Some(row) = self.state.config.plan.trainers.get(trainer) else {
                continue;
            };
            let least_version = book.version.saturating_sub(u64::from(row.max_age));
            for (sample, group) in book.open_samples() {
                let id = (trainer.clone(), sample.clone());
                let full = self.work.out.len() >= JOBS_AT_A_TIME;
                if full || self.work.out.contains(&id) {
                    continue;
                }
                if owner_of(&runs, trainer, &sample.group) != Some(self.run) {
                    continue;
                }
                self.work.out.insert(id);
                jobs.push(RolloutJob {
                    trainer: trainer.clone(),
                    sample: sample.clone(),
                    prompt: group.prompt.clone(),
                    holders: runs.clone(),
                    least_version,
                });
            }
        }
        for job in jobs {
            self.work.jobs.send(job).ok();
        }
        self.samples.retain(|sample| {
            let key = SampleKey {
                group: sample.group.clone(),
                place: sample.place,
            };
            let attempt = bergamotlane_policy::control::AttemptId {
                run: RunId(sample.attempt.run),
                number: sample.attempt.number,
            };
            let book = self.state.trainers.get(&sample.trainer);
            book.is_some_and(|book| book.needs(&key, attempt))
        });
    }
}

/// Returns the run that a group belongs to: the one with the highest hash.
fn owner_of(runs: &[RunId], trainer: &str, group: &str) -> Option<RunId> {
    let score = |run: &RunId| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&run.0.to_le_bytes());
        hasher.update(trainer.as_bytes());
        hasher.update(&[0]);
        hasher.update(group.as_bytes());
        *hasher.finalize().as_bytes()
    };
    runs.iter().copied().max_by_key(score)
}
