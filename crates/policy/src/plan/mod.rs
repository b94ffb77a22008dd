//! The operators' plan: customers, keys, zones, services, pools and trainers.

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

/// Largest sheet taken, in bytes.
pub const MAX_SHEET_BYTES: usize = 16 * 1024 * 1024;

/// Hash of a key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes a key with BLAKE3.
    pub fn of(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }

    /// Reads 64 hexadecimal digits.
    pub fn from_hex(text: &str) -> Option<Self> {
        blake3::Hash::from_hex(text)
            .ok()
            .map(|hash| Self(*hash.as_bytes()))
    }

    /// Returns the hash as 64 hexadecimal digits.
    pub fn to_hex(self) -> String {
        blake3::Hash::from_bytes(self.0).to_hex().to_string()
    }

    /// Compares in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(other.0)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyHash({}…)", &self.to_hex()[..8])
    }
}

/// What a key is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyRole {
    /// Calls services for a customer.
    Caller,
    /// Announces targets of a service.
    Target,
    /// Submits prompts and fetches batches for a trainer.
    Trainer,
}

/// A key granted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyRow {
    /// Name of the key.
    pub id: String,
    /// What the key is for.
    pub role: KeyRole,
    /// The customer, service or trainer that the role speaks of.
    pub owner: String,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerRow {
    /// Share of service relative to other customers.
    pub weight: u32,
    /// Requests a second over all entries.
    pub rate_per_s: u32,
    /// Requests in progress over all entries.
    pub concurrency: u32,
}

/// Kind of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines that generate tokens.
    Engine,
    /// Anything else that answers HTTP requests.
    Plain,
}

/// A service that requests are routed to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRow {
    /// Kind.
    pub kind: ServiceKind,
    /// Customers that may call it; empty if all may.
    pub customers: BTreeSet<String>,
    /// Whether calls may be repeated.
    pub repeatable: bool,
    /// Whether it may be called without a key.
    pub open: bool,
    /// Longest time for a call, in milliseconds.
    pub deadline_ms: u32,
    /// Requests in progress that a warm target bears.
    pub target_slots: u32,
    /// Requests in progress that a cold target bears.
    pub cold_slots: u32,
    /// Zones it may use; empty if all.
    pub zones: BTreeSet<String>,
}

/// Targets of a service in a zone: counts and prices.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PoolRow {
    /// The service.
    pub service: String,
    /// The zone.
    pub zone: String,
    /// Fewest steady targets.
    pub steady_min: u32,
    /// Most steady targets.
    pub steady_max: u32,
    /// Most reclaimable targets.
    pub reclaimable_max: u32,
    /// Price of a steady target an hour, in thousandths of the billing unit.
    pub steady_price: u32,
    /// Price of a reclaimable target an hour, in thousandths of the billing unit.
    pub reclaimable_price: u32,
}

/// A trainer and what it wants.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrainerRow {
    /// The customer that is charged.
    pub customer: String,
    /// The engine service that generates.
    pub service: String,
    /// The plain service that scores, if any.
    pub scorer: Option<String>,
    /// Samples in a group.
    pub group_size: u32,
    /// Samples in a step.
    pub step_samples: u32,
    /// Most versions that a sample may be behind the trainer's.
    pub max_age: u32,
    /// Percentage of a step's samples that closes a batch.
    pub suffices_percent: u32,
}

/// The whole plan.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct PlanSheet {
    /// Number of the configuration that the sheet was exported from.
    pub based_on: u64,
    /// Zones that services may use.
    pub zones: BTreeSet<String>,
    /// Customers by ID.
    pub customers: BTreeMap<String, CustomerRow>,
    /// Keys by hash.
    pub keys: BTreeMap<KeyHash, KeyRow>,
    /// Services by ID.
    pub services: BTreeMap<String, ServiceRow>,
    /// Pools by ID.
    pub pools: BTreeMap<String, PoolRow>,
    /// Trainers by ID.
    pub trainers: BTreeMap<String, TrainerRow>,
}
