//! Dispatch of rollout samples.
//!
//! The open samples of a group are run by one instance, chosen by rendezvous hashing over
//! the live instances, so that instances agree on the owner without messages.

use std::collections::BTreeSet;

use bytes::Bytes;
use tokio::sync::mpsc;

use super::thread::ControlCore;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::control::SampleKey;

/// Maximum number of samples that an instance runs at the same time.
const MAX_RUNNING_JOBS: usize = 256;

/// A sample that this instance must generate, score and record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutJob {
    /// ID of the trainer that ordered the sample.
    pub trainer: String,
    /// Group of the sample, and its place in the group.
    pub sample: SampleKey,
    /// Prompt that all samples of the group share.
    pub prompt: Bytes,
    /// Process runs of the instances that may store a copy, including this one.
    pub holders: Vec<RunId>,
    /// Oldest weight version that the trainer's `max_age` allows.
    pub min_version: u64,
}

/// Tracks the rollout jobs that are running on this instance.
#[derive(Debug)]
pub(super) struct JobDispatcher {
    running: BTreeSet<(String, SampleKey)>,
    sender: mpsc::UnboundedSender<RolloutJob>,
    /// Digest of the state at the last dispatch; zero forces the next one.
    last_digest: u64,
}

impl JobDispatcher {
    pub(super) fn new(sender: mpsc::UnboundedSender<RolloutJob>) -> Self {
        Self {
            running: BTreeSet::new(),
            sender,
            last_digest: 0,
        }
    }

    /// Removes an ended job and forces the next dispatch, so that a failed sample is retried.
    pub(super) fn finish_job(&mut self, job: &RolloutJob) {
        self.running
            .remove(&(job.trainer.clone(), job.sample.clone()));
        self.last_digest = 0;
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    pub(super) fn len(&self) -> usize {
        self.running.len()
    }
}

impl ControlCore {
    /// Starts the open samples that this instance owns, if the state or the set of live
    /// instances has changed, and drops stored samples that are no longer needed.
    ///
    /// Starts none while the view isn't confirmed or the instance is draining.
    pub(super) fn dispatch_jobs(&mut self) {
        let is_fresh = self.follower.freshness.is_fresh(crate::clock::now());
        if !is_fresh
            || self.shared.is_draining()
            || self.dispatcher.running.len() >= MAX_RUNNING_JOBS
        {
            return;
        }
        let runs = self.accepting_runs();
        // Instances come and go without a new log entry, so the digest covers them too.
        let digest = self.state.index.wrapping_mul(31).wrapping_add(
            runs.iter()
                .fold(1, |hash: u64, run| hash.rotate_left(7) ^ run.0),
        );
        if digest == self.dispatcher.last_digest {
            return;
        }
        self.dispatcher.last_digest = digest;
        let mut jobs = Vec::new();
        for (trainer, trainer_state) in &self.state.trainers {
            let Some(row) = self.state.config.plan.trainers.get(trainer) else {
                continue;
            };
            let min_version = trainer_state.version.saturating_sub(u64::from(row.max_age));
            for (sample, group) in trainer_state.open_samples() {
                let id = (trainer.clone(), sample.clone());
                let full = self.dispatcher.running.len() >= MAX_RUNNING_JOBS;
                if full || self.dispatcher.running.contains(&id) {
                    continue;
                }
                if owner_of(&runs, trainer, &sample.group) != Some(self.run) {
                    continue;
                }
                self.dispatcher.running.insert(id);
                jobs.push(RolloutJob {
                    trainer: trainer.clone(),
                    sample: sample.clone(),
                    prompt: group.prompt.clone(),
                    holders: runs.clone(),
                    min_version,
                });
            }
        }
        for job in jobs {
            self.dispatcher.sender.send(job).ok();
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
            let trainer_state = self.state.trainers.get(&sample.trainer);
            trainer_state.is_some_and(|state| state.needs(&key, attempt))
        });
    }
}

/// Returns the process run that owns a group: the one with the highest hash of run, trainer and
/// group (rendezvous hashing).
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
