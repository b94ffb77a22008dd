//! The operators' plan: customers, keys, zones, services, pools and trainers.
//!
//! Operators edit the plan as a CSV file, the plan sheet, with one row per entity.

mod reader;
mod row;
mod writer;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;

pub use reader::read_sheet;
pub use writer::write_sheet;

/// Largest plan sheet that [`read_sheet`] accepts, in bytes.
pub const MAX_SHEET_BYTES: usize = 16 * 1024 * 1024;

/// BLAKE3 hash of an API key or a request; keys themselves are never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes `key` with BLAKE3.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }

    /// Parses 64 hexadecimal digits, or returns `None` if `text` is anything else.
    pub fn from_hex(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text)
            .ok()
            .map(|hash| Self(*hash.as_bytes()))
    }

    /// Returns the hash as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }

    /// Returns whether the hashes are equal, in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(other.0)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({}…)", &self.to_hex()[..8])
    }
}

/// Permission that a key grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRole {
    /// Calls services on behalf of a customer.
    Caller,
    /// Announces targets of a service.
    Target,
    /// Submits prompts and fetches batches for a trainer.
    Trainer,
}

/// An API key, without the key itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRow {
    /// ID by which operators refer to the key; unique among all keys.
    pub id: String,
    /// Permission that the key grants.
    pub role: KeyRole,
    /// ID of the customer, service or trainer that the role applies to.
    pub owner: String,
}

/// A customer with its weight and limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerRow {
    /// Weight in fair queueing, from 1 to 1,000.
    pub weight: u32,
    /// Request rate limit per second, over all entries together.
    pub rate_per_s: u32,
    /// Limit of concurrent requests, over all entries together.
    pub concurrency: u32,
}

/// Kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines that generate tokens.
    Engine,
    /// Any other HTTP service.
    Plain,
}

/// A service that requests are routed to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRow {
    /// Decides how requests are forwarded.
    pub kind: ServiceKind,
    /// IDs of the customers that may call the service; empty if all may.
    pub customers: BTreeSet<String>,
    /// Whether calls are idempotent, so that a failed one may be retried. Always set for
    /// engines.
    pub repeatable: bool,
    /// Whether the service may be called without a key.
    pub open: bool,
    /// Longest duration of a call, in milliseconds; at most one hour.
    pub deadline_ms: u32,
    /// Concurrent requests that a warm target can serve.
    pub target_slots: u32,
    /// Concurrent requests that a cold target can serve; at most `target_slots`.
    pub cold_slots: u32,
    /// Availability zones that the service may use; empty if it may use all.
    pub zones: BTreeSet<String>,
}

/// Limits and prices for the targets of one service in one availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolRow {
    /// ID of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Minimum count of steady targets.
    pub steady_min: u32,
    /// Maximum count of steady targets; at least `steady_min`.
    pub steady_max: u32,
    /// Maximum count of reclaimable targets.
    pub reclaimable_max: u32,
    /// Price of a steady target per hour, in thousandths of the billing unit.
    pub steady_price: u32,
    /// Price of a reclaimable target per hour, in thousandths of the billing unit.
    pub reclaimable_price: u32,
}

/// A trainer and the shape of the batches that it fetches.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrainerRow {
    /// ID of the customer that is charged.
    pub customer: String,
    /// ID of the engine service that generates the samples.
    pub service: String,
    /// ID of the service that scores the samples, if any.
    pub scorer: Option<String>,
    /// Samples generated for one prompt.
    pub group_size: u32,
    /// Samples in a full batch, which is one training step.
    pub step_samples: u32,
    /// Largest number of weight versions by which a sample may lag behind the trainer.
    pub max_age: u32,
    /// Percentage of `step_samples` that must be done before a batch is delivered.
    pub suffices_percent: u32,
}

/// The plan, as read from or written to a plan sheet.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlanSheet {
    /// Number of the configuration from which the sheet was exported.
    pub based_on: u64,
    /// Availability zones that services may use.
    pub zones: BTreeSet<String>,
    /// Customers by ID.
    pub customers: BTreeMap<String, CustomerRow>,
    /// Keys by the hash of the key.
    pub keys: BTreeMap<KeyHash, KeyRow>,
    /// Services by ID.
    pub services: BTreeMap<String, ServiceRow>,
    /// Pools by ID.
    pub pools: BTreeMap<String, PoolRow>,
    /// Trainers by ID.
    pub trainers: BTreeMap<String, TrainerRow>,
}
