//! Records of samples, attempts, groups and batches, and the commands that change them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;

use bergamotlane_coordination::ident::RunId;

/// Identity of a sample within its trainer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SampleKey {
    /// ID of the sample's group.
    pub group: String,
    /// Zero-based index of the sample in its group.
    pub place: u32,
}

/// Identity of one attempt at a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Process run that made the attempt.
    pub run: RunId,
    /// Number of the attempt within that process run.
    pub number: u64,
}

/// A finished attempt. The generated content isn't part of the control state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// Identity of the attempt.
    pub attempt: AttemptId,
    /// Process runs that store the sample's content.
    pub holders: Vec<RunId>,
    /// Oldest weight version with which the engine generated any part of the sample.
    pub oldest_version: u64,
    /// Number of tokens generated.
    pub tokens: u32,
}

/// A sample that isn't acknowledged yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SampleRecord {
    /// Log index at which the sample was submitted; older samples are run and delivered
    /// first.
    pub order: u64,
    /// The attempt that will be delivered, once one has finished.
    pub attempt: Option<AttemptRecord>,
    /// Attempts that were outdated or lost and may never be delivered.
    pub dropped: BTreeSet<AttemptId>,
}

/// A group of samples to be submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewGroup {
    /// ID of the group, chosen by the trainer.
    pub id: String,
    /// Prompt in the form that the engine accepts.
    pub prompt: Bytes,
    /// Number of samples to generate for the prompt.
    pub count: u32,
}

/// A submitted group of samples.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRecord {
    /// Prompt in the form that the engine accepts; empty once all samples are acknowledged.
    pub prompt: Bytes,
    /// Number of samples in the group.
    pub count: u32,
    /// Number of samples that aren't acknowledged yet.
    pub left: u32,
    /// Cursor of the batch whose acknowledgement completed the group, if it is complete.
    pub finished_at: Option<u64>,
}

/// A batch committed for delivery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchRecord {
    /// Number of the batch; the first one is 1.
    pub cursor: u64,
    /// Rises whenever a sample is removed because it was outdated or lost.
    pub revision: u32,
    /// Minimum number of samples with which the batch may be delivered.
    pub needed: u32,
    /// Samples of the batch, each with the attempt that is delivered.
    pub samples: BTreeMap<SampleKey, AttemptRecord>,
}

/// A command to a trainer's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Submits groups; idempotent, as known groups are skipped.
    Submit {
        /// The groups, which are taken all or none.
        groups: Vec<NewGroup>,
    },
    /// Sets the trainer's current weight version.
    Version {
        /// The version; ignored if it is lower than before.
        version: u64,
    },
    /// Records a finished attempt.
    Finish {
        /// The sample.
        sample: SampleKey,
        /// The attempt at it.
        record: AttemptRecord,
    },
    /// Fetches the next batch; idempotent until the batch is acknowledged.
    Fetch {
        /// Number of the batch.
        cursor: u64,
        /// Current weight version of the trainer.
        version: u64,
    },
    /// Acknowledges a batch, after which the trainer may use its samples.
    Acknowledge {
        /// Number of the batch.
        cursor: u64,
        /// The revision that the trainer fetched.
        revision: u32,
    },
    /// Records that the content of an attempt is lost, as no holder has it any more.
    Lose {
        /// The sample.
        sample: SampleKey,
        /// The attempt whose content is lost.
        attempt: AttemptId,
    },
}

/// Result of [`RolloutCommand::Fetch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The batch is ready.
    Ready {
        /// The batch.
        batch: BatchRecord,
    },
    /// Too few samples are done.
    NotReady {
        /// Number of samples done.
        ready: u32,
        /// Number of samples needed; zero if none are submitted.
        needed: u32,
    },
    /// The cursor isn't that of the next batch.
    BadCursor {
        /// Cursor of the next batch.
        next: u64,
    },
}

/// Result of a [`RolloutCommand`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// The plan has no such trainer.
    UnknownTrainer {},
    /// The command was applied and has no result.
    Done {},
    /// A group ID is already used with another prompt or count; nothing was submitted.
    GroupConflict {
        /// The ID.
        group: String,
    },
    /// The attempt was recorded and will be delivered.
    Kept {},
    /// The attempt was discarded because it is outdated, or its sample is already done,
    /// acknowledged or unknown.
    Useless {},
    /// Result of a fetch.
    Fetched {
        /// The batch, or the reason why there is none.
        fetch: FetchOutcome,
    },
    /// The batch is acknowledged, by this command or an earlier one.
    Acknowledged {
        /// Number of samples that this command acknowledged; zero if it is a repetition.
        samples: u64,
        /// Number of tokens in these samples.
        tokens: u64,
    },
    /// The batch has changed since it was fetched and must be fetched again.
    Revised {
        /// Current revision of the batch.
        revision: u32,
    },
    /// The acknowledged batch was never delivered.
    BadCursor {
        /// Cursor of the next batch.
        next: u64,
    },
}
