//! Samples, attempts, groups and batches, and the commands about them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;

use bergamotlane_coordination::ident::RunId;

/// Identity of a sample within its trainer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SampleKey {
    /// Group.
    pub group: String,
    /// Place in the group, from zero.
    pub place: u32,
}

/// Identity of one attempt at a sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// Process run that made the attempt.
    pub run: RunId,
    /// Number of the attempt within that run.
    pub number: u64,
}

/// A finished attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// Process runs that hold the sample's content.
    pub holders: Vec<RunId>,
    /// Oldest weight version that the engine reported for any span.
    pub oldest_version: u64,
    /// Tokens.
    pub tokens: u32,
}

/// A sample that isn't acknowledged yet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SampleRecord {
    /// Log index at which it was submitted.
    pub order: u64,
    /// The attempt kept.
    pub attempt: Option<AttemptRecord>,
    /// Attempts that may never be delivered.
    pub dropped: BTreeSet<AttemptId>,
}

/// A group to be submitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewGroup {
    /// ID, chosen by the trainer.
    pub id: String,
    /// Prompt, as the engine takes it.
    pub prompt: Bytes,
    /// Number of samples.
    pub count: u32,
}

/// A group as remembered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRecord {
    /// Prompt; empty once all samples are delivered.
    pub prompt: Bytes,
    /// Number of samples.
    pub count: u32,
    /// Samples not acknowledged yet.
    pub left: u32,
    /// Cursor with which the last sample was acknowledged.
    pub finished_at: Option<u64>,
}

/// A batch committed for delivery.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BatchRecord {
    /// Cursor.
    pub cursor: u64,
    /// Rises when samples that aged or were lost are replaced.
    pub revision: u32,
    /// Samples that the batch must have.
    pub needed: u32,
    /// Samples with the attempts delivered.
    pub samples: BTreeMap<SampleKey, AttemptRecord>,
}

/// A command to a trainer's book.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutCommand {
    /// Submits groups.
    Submit {
        /// The groups.
        groups: Vec<NewGroup>,
    },
    /// Names the trainer's present weight version.
    Version {
        /// The version.
        version: u64,
    },
    /// Records a finished attempt.
    Finish {
        /// The sample.
        sample: SampleKey,
        /// The attempt.
        record: AttemptRecord,
    },
    /// Fetches the batch under a cursor.
    Fetch {
        /// The cursor.
        cursor: u64,
        /// Weight version of the trainer.
        version: u64,
    },
    /// Acknowledges the batch under a cursor; the trainer may use the samples after that.
    Acknowledge {
        /// The cursor.
        cursor: u64,
        /// The revision that the trainer holds.
        revision: u32,
    },
    /// Records that no holder has an attempt's content any more.
    Lose {
        /// The sample.
        sample: SampleKey,
        /// The attempt.
        attempt: AttemptId,
    },
}

/// Answer to a fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FetchOutcome {
    /// The batch.
    Ready {
        /// The batch.
        batch: BatchRecord,
    },
    /// Not enough samples are done.
    NotReady {
        /// Samples done.
        ready: u32,
        /// Samples needed.
        needed: u32,
    },
    /// The cursor isn't the next one.
    BadCursor {
        /// The next cursor.
        next: u64,
    },
}

/// Result of a rollout command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RolloutOutcome {
    /// No such trainer in the plan.
    UnknownTrainer {},
    /// Done.
    Done {},
    /// A group ID was used with other content; nothing was submitted.
    GroupConflict {
        /// The ID.
        group: String,
    },
    /// The attempt was kept.
    Kept {},
    /// The attempt is of no use: the sample is done, delivered or unknown, or too old.
    Useless {},
    /// Answer to a fetch.
    Fetched {
        /// The answer.
        fetch: FetchOutcome,
    },
    /// The batch was acknowledged with this, now or before.
    Acknowledged {
        /// Samples that the acknowledgement settled; zero for a repeated one.
        samples: u64,
        /// Tokens in them.
        tokens: u64,
    },
    /// The batch has changed since it was fetched; it must be fetched again.
    Revised {
        /// The present revision.
        revision: u32,
    },
    /// The cursor of an acknowledgement was never delivered.
    BadCursor {
        /// The next cursor.
        next: u64,
    },
}
