//! Refusal of batch jobs for which there is no space, before they are proposed.

use std::collections::BTreeMap;

use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::budget::ResourceBudget;
use crate::dialect::TargetDialect;
use crate::frames::LeaderReply;
use crate::jobs::ItemSpec;
use crate::jobs::JobRecord;
use crate::jobs::JobSubmission;
use crate::metrics::METRICS;
use crate::state::StateCommand;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::ConsensusOutput;
use bergamotlane_coordination::consensus::EntryBody;
use bergamotlane_policy::admission::AdmissionReply;
use bergamotlane_policy::admission::FullShare;
use bergamotlane_policy::admission::JobAdmission;
use bergamotlane_policy::admission::JobSize;
use bergamotlane_policy::admission::StoreLoad;
use bergamotlane_policy::admission::StoreShares;
use bergamotlane_storage::DiskVoter;
use bergamotlane_storage::clock::now;

/// Interval at which the state is measured while jobs are submitted, in milliseconds.
const MEASURE_INTERVAL_MS: u64 = 1_000;

/// Size of a job's record in the state without its items, in bytes.
const JOB_RECORD_BYTES: usize = 512;

/// Size of an item in the state without its texts, in bytes.
const ITEM_RECORD_BYTES: usize = 384;

/// Size of a result in the state and of its log entry, without its text, in bytes.
const RESULT_RECORD_BYTES: usize = 192;

/// Divisor of the shares for frames that yields the largest job: it is sent to several voters at once.
const JOB_DIVISOR: u64 = 3;

/// Job that was proposed.
#[derive(Debug, Clone, Copy)]
struct ProposedJob {
    size: JobSize,
    content: blake3::Hash,
}

/// Admission of jobs in one term, with those that were proposed and may not be applied yet.
#[derive(Debug)]
pub(super) struct SubmissionGate {
    term: u64,
    admission: JobAdmission,
    /// State as it was measured last.
    measured: StoreLoad,
    measure_due: ClockTime,
    /// Jobs that were proposed since the state was measured.
    proposed: BTreeMap<String, ProposedJob>,
}

impl SubmissionGate {
    /// Returns a gate that keeps what is stored within the shares of `budget`.
    pub(super) fn new(budget: &ResourceBudget) -> Self {
        let frame_bytes = budget.inbound_bytes.min(budget.outbound_bytes);
        let shares = StoreShares {
            disk_bytes: budget.disk_bytes,
            state_bytes: budget.state_bytes,
            job_bytes: frame_bytes / JOB_DIVISOR,
        };
        Self {
            term: 0,
            admission: JobAdmission::new(shares),
            measured: StoreLoad::default(),
            measure_due: ClockTime::default(),
            proposed: BTreeMap::new(),
        }
    }
}

fn item_bytes(item: &ItemSpec) -> (usize, usize) {
    let headers = item.headers.iter();
    let mut record = ITEM_RECORD_BYTES + item.id.len() + item.path.len() + item.group.len();
    record += headers
        .map(|(name, value)| name.len() + value.len() + 2 * size_of::<String>())
        .sum::<usize>();
    let mut bodies = item.body.len();
    if let Some(reward) = &item.reward {
        record += reward.id.len() + reward.host.len() + reward.path.len();
        bodies += reward.body.len();
    }
    (record, bodies)
}

/// Returns the space that a job takes when it is submitted. Its bodies are on disk, its records in
/// memory as well.
fn job_size(submission: &JobSubmission) -> JobSize {
    let (mut records, mut bodies) = (JOB_RECORD_BYTES, 0);
    for item in &submission.items {
        let (record, body) = item_bytes(item);
        records += record;
        bodies += body;
    }
    JobSize {
        disk_bytes: (records + bodies) as u64,
        state_bytes: records as u64,
        items: submission.items.len() as u64,
    }
}

/// Adds what a job holds to `load`.
fn add_job(load: &mut StoreLoad, record: &JobRecord) {
    load.state_bytes += job_size(&record.submission).state_bytes;
    for result in &record.results {
        let versions = result.versions.len() * size_of::<u64>();
        let score = result.score.as_ref().map_or(0, String::len);
        load.state_bytes += (RESULT_RECORD_BYTES + versions + score) as u64;
        load.result_bytes += (RESULT_RECORD_BYTES + result.text.len()) as u64;
    }
    load.results += record.results.len() as u64;
    if !record.ended {
        load.open_items += (record.listed.len() - record.results.len()) as u64;
    }
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Returns the space that the log and its snapshots take on disk, in bytes.
    fn stored_bytes(&self) -> u64 {
        let stored = self.voter.as_ref().map_or(0, DiskVoter::disk_bytes);
        stored + self.unwritten_bytes()
    }

    /// Returns the size of proposed commands that have not been written yet, in bytes.
    fn unwritten_bytes(&self) -> u64 {
        let entries = self.outputs.iter().flat_map(|it| match it {
            ConsensusOutput::AppendEntries(entries) => entries.as_slice(),
            _ => &[],
        });
        let lengths = entries.map(|it| match &it.body {
            EntryBody::Command(command) => command.len() as u64,
            _ => 0,
        });
        lengths.sum()
    }

    /// Returns what is stored, the state as it was measured lately.
    fn store_load(&mut self, time: ClockTime) -> StoreLoad {
        let disk_bytes = self.stored_bytes();
        let index_bytes = self.voter.as_ref().map_or(0, DiskVoter::index_bytes);
        let term = self.lead.as_ref().map_or(0, |it| it.term);
        let gate = &mut self.submissions;
        if gate.term != term {
            gate.term = term;
            gate.proposed.clear();
            gate.measure_due = time;
        }
        if time >= gate.measure_due {
            gate.measure_due = time + MEASURE_INTERVAL_MS;
            let jobs = &self.state.jobs;
            gate.proposed.retain(|id, _| jobs.get(id).is_none());
            gate.measured = StoreLoad {
                disk_bytes,
                state_bytes: index_bytes,
                ..StoreLoad::default()
            };
            for (_, record) in jobs.iter() {
                add_job(&mut gate.measured, record);
            }
            gate.admission.observe(time, &gate.measured);
            METRICS.state_bytes.set(gate.measured.state_bytes as i64);
        }
        let proposed = gate.proposed.values().map(|it| it.size);
        StoreLoad {
            disk_bytes,
            state_bytes: gate.measured.state_bytes
                + proposed.clone().map(|it| it.state_bytes).sum::<u64>(),
            open_items: gate.measured.open_items + proposed.map(|it| it.items).sum::<u64>(),
            ..gate.measured
        }
    }

    /// Proposes a new job, or refuses it if there is no space for it and its results.
    pub(super) fn submit_job(
        &mut self,
        command: &StateCommand,
        submission: &JobSubmission,
        origin: CallOrigin,
    ) {
        let load = self.store_load(now());
        let gate = &mut self.submissions;
        let content = submission.content_digest();
        match gate.proposed.get(&submission.id) {
            // A job that was proposed may be committed, so its repetition must not be refused.
            Some(known) if known.content == content => {
                self.propose(command, origin);
                return;
            }
            // Which of the two jobs has the ID is not known yet.
            Some(_) if self.state.jobs.get(&submission.id).is_none() => {
                self.reply(origin, LeaderReply::NotLeader);
                return;
            }
            _ => {}
        }
        let job = job_size(submission);
        let reply = match gate.admission.decide(&load, job) {
            AdmissionReply::Accepted => {
                let size = job;
                gate.proposed
                    .insert(submission.id.clone(), ProposedJob { size, content });
                self.propose(command, origin);
                return;
            }
            AdmissionReply::TooLarge => {
                self.log_refusal(&submission.id, "size", &load, job, 0);
                LeaderReply::Conflict
            }
            AdmissionReply::Refused { share, return_ms } => {
                let share = match share {
                    FullShare::Disk => "disk",
                    FullShare::State => "state",
                };
                // Refused callers should not all return at once.
                let return_ms = return_ms + rand::random_range(0..=return_ms / 2);
                self.log_refusal(&submission.id, share, &load, job, return_ms);
                LeaderReply::NoPermit(return_ms)
            }
        };
        self.reply(origin, reply);
    }

    fn log_refusal(&self, id: &str, share: &str, load: &StoreLoad, job: JobSize, return_ms: u64) {
        METRICS.jobs_refused.with_label_values(&[share]).inc();
        let shares = self.submissions.admission.shares();
        spdlog::warn!("job: refused, no space", kv: {
            job = id,
            share,
            return_ms,
            job_bytes = job.disk_bytes,
            job_items = job.items,
            max_job_bytes = shares.job_bytes,
            disk_bytes = load.disk_bytes,
            disk_share = shares.disk_bytes,
            open_items = load.open_items,
            result_bytes = load.mean_result_bytes(),
            state_bytes = load.state_bytes,
            state_share = shares.state_bytes,
        });
    }
}
