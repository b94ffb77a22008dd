//! Admission of batch jobs: whether a job still fits into the disk and the memory.
//!
//! A job takes space when it is submitted and again when its results are listed. Since an accepted
//! job must be able to finish, the results that open items will have are counted in advance.

use bergamotlane_coordination::clock::ClockTime;

/// Fraction of each share that new jobs leave free, for plans, ends of jobs and other changes.
const RESERVE_DIVISOR: u64 = 10;

/// Expected size of a result while too few are known, in bytes.
const DEFAULT_RESULT_BYTES: u64 = 4 * 1024;

/// Number of known results that count as much as the default size.
const DEFAULT_RESULT_WEIGHT: u64 = 32;

/// Time after which a caller should return if it is not known when space becomes free, in
/// milliseconds.
const DEFAULT_RETURN_MS: u64 = 3_000;

/// Shortest time after which a refused caller should return, in milliseconds.
const MIN_RETURN_MS: u64 = 1_000;

/// Longest time after which a refused caller should return, in milliseconds.
const MAX_RETURN_MS: u64 = 30_000;

/// Largest sizes of what is stored, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreShares {
    /// Log and snapshots on disk.
    pub disk_bytes: u64,
    /// State in memory.
    pub state_bytes: u64,
    /// A single job.
    pub job_bytes: u64,
}

/// What is stored at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreLoad {
    /// Log and snapshots on disk, in bytes.
    pub disk_bytes: u64,
    /// State in memory, in bytes.
    pub state_bytes: u64,
    /// Number of items whose results are still to come.
    pub open_items: u64,
    /// Number of listed results.
    pub results: u64,
    /// Size of the listed results' texts, in bytes.
    pub result_bytes: u64,
}

impl StoreLoad {
    /// Returns the expected size of a result, in bytes.
    pub fn mean_result_bytes(&self) -> u64 {
        let sum = self.result_bytes + DEFAULT_RESULT_WEIGHT * DEFAULT_RESULT_BYTES;
        sum / (self.results + DEFAULT_RESULT_WEIGHT)
    }
}

/// Space that a job takes when it is submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct JobSize {
    /// Log entry, in bytes.
    pub disk_bytes: u64,
    /// Record in the state, in bytes.
    pub state_bytes: u64,
    /// Number of items.
    pub items: u64,
}

/// Share that a job does not fit into.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FullShare {
    /// Log and snapshots on disk.
    Disk,
    /// State in memory.
    State,
}

/// Decision about a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionReply {
    /// There is space for the job and its results.
    Accepted,
    /// There is no space now.
    Refused {
        /// Share that is full.
        share: FullShare,
        /// Time after which the caller should return, in milliseconds.
        return_ms: u64,
    },
    /// The job is larger than any that is accepted.
    TooLarge,
}

/// Rate at which the used space of a share shrinks, from what was seen of it.
#[derive(Debug, Clone, Copy, Default)]
struct ReleaseRate {
    seen: Option<(ClockTime, u64)>,
    bytes_per_s: Option<u64>,
}

impl ReleaseRate {
    fn observe(&mut self, now: ClockTime, used_bytes: u64) {
        let seen = self.seen.replace((now, used_bytes));
        let Some((seen_at, seen_bytes)) = seen else {
            return;
        };
        let elapsed_ms = now.since(seen_at).max(1);
        let released = seen_bytes.saturating_sub(used_bytes);
        if released == 0 {
            return;
        }
        let rate = released.saturating_mul(1_000) / elapsed_ms;
        self.bytes_per_s = Some(match self.bytes_per_s {
            Some(known) => (known + rate) / 2,
            None => rate,
        });
    }

    /// Returns the time after which a caller should return if `missing_bytes` have to become free.
    fn return_ms(&self, missing_bytes: u64) -> u64 {
        let rate = self.bytes_per_s.filter(|it| *it > 0);
        rate.map_or(DEFAULT_RETURN_MS, |it| {
            let wait_ms = missing_bytes.saturating_mul(1_000) / it;
            wait_ms.clamp(MIN_RETURN_MS, MAX_RETURN_MS)
        })
    }
}

/// Decides which jobs are accepted.
#[derive(Debug)]
pub struct JobAdmission {
    shares: StoreShares,
    disk: ReleaseRate,
    state: ReleaseRate,
}

impl JobAdmission {
    /// Returns an admission that keeps what is stored within `shares`.
    pub fn new(shares: StoreShares) -> Self {
        Self {
            shares,
            disk: ReleaseRate::default(),
            state: ReleaseRate::default(),
        }
    }

    /// Returns the shares.
    pub fn shares(&self) -> StoreShares {
        self.shares
    }

    /// Records what is stored, from which follows how fast space becomes free.
    pub fn observe(&mut self, now: ClockTime, load: &StoreLoad) {
        self.disk.observe(now, load.disk_bytes);
        self.state.observe(now, load.state_bytes);
    }

    /// Decides about a job that comes on top of what is stored.
    pub fn decide(&self, load: &StoreLoad, job: JobSize) -> AdmissionReply {
        let shares = &self.shares;
        let result_bytes = load.mean_result_bytes();
        let own_disk = job.disk_bytes + job.items * result_bytes;
        let disk_limit = shares.disk_bytes - shares.disk_bytes / RESERVE_DIVISOR;
        let state_limit = shares.state_bytes - shares.state_bytes / RESERVE_DIVISOR;
        if job.disk_bytes > shares.job_bytes
            || own_disk > disk_limit
            || job.state_bytes > state_limit
        {
            return AdmissionReply::TooLarge;
        }
        let disk = load.disk_bytes + load.open_items * result_bytes + own_disk;
        let state = load.state_bytes + job.state_bytes;
        let refused = |share, rate: &ReleaseRate, missing_bytes| AdmissionReply::Refused {
            share,
            return_ms: rate.return_ms(missing_bytes),
        };
        if disk > disk_limit {
            return refused(FullShare::Disk, &self.disk, disk - disk_limit);
        }
        if state > state_limit {
            return refused(FullShare::State, &self.state, state - state_limit);
        }
        AdmissionReply::Accepted
    }
}
