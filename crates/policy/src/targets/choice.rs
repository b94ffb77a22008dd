//! Target selection by free slots, load, prefix affinity, availability zone and price class.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use slotmap::SlotMap;
use slotmap::new_key_type;

use super::counters::SlotPermit;
use super::counters::TargetCounters;
use bergamotlane_coordination::clock::ClockTime;

new_key_type! {
    /// Key of a target in a [`TargetChooser`].
    pub struct TargetKey;
}

/// Number of candidates sampled when there are more than [`SCAN_LIMIT`].
const SAMPLED_CANDIDATES: usize = 8;

/// Number of candidates up to which all are compared.
const SCAN_LIMIT: usize = 32;

/// Cost of a target in another zone, in thousandths of its capacity in use.
const OTHER_ZONE_COST_MILLI: u64 = 60;

/// Cost of a target without the prompt's prefix in its cache, in thousandths of its
/// capacity in use.
const UNCACHED_PREFIX_COST_MILLI: u64 = 250;

/// Cost of a target of the price class that the request doesn't prefer, in thousandths of
/// its capacity in use.
const OTHER_CLASS_COST_MILLI: u64 = 2_000;

/// Number of bytes at the start of a prompt that identify its prefix.
const PREFIX_BYTES: usize = 256;

/// Number of buckets of an [`AffinityTable`].
const AFFINITY_BUCKETS: usize = 4_096;

/// Returns a 64-bit digest of a prompt's first 256 bytes.
pub fn prefix_digest(prompt: &Bytes) -> u64 {
    let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
    let hash = blake3::hash(prefix);
    let mut digest = [0; 8];
    digest.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(digest)
}

/// Returns a 64-bit digest of a target's software version.
pub fn software_digest(version: &str) -> u64 {
    let hash = blake3::hash(version.as_bytes());
    let mut digest = [0; 8];
    digest.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(digest)
}

/// A target that requests may be sent to.
#[derive(Debug, Clone)]
pub struct ChoiceTarget {
    /// Counters shared with the threads that serve requests.
    pub counters: Arc<TargetCounters>,
    /// Number that identifies the target until it restarts.
    pub identity: u64,
    /// Address of the target, `ip:port`.
    pub address: Arc<str>,
    /// Whether the target is in the entry's availability zone.
    pub local: bool,
    /// Whether the platform may reclaim the target at short notice.
    pub reclaimable: bool,
    /// Weight version that the target last reported.
    pub version: u64,
    /// Digest of the version of its software.
    pub software: u64,
    /// Requests in flight from other entries, as last reported by the target.
    pub others_load: u32,
    /// Concurrent requests that the target can serve.
    pub capacity: u32,
}

/// Requirements and preferences of a request for its target.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChoiceRequest {
    /// Digest of the prompt's prefix, or zero if there is none.
    pub prefix: u64,
    /// Whether reclaimable targets are preferred over steady ones, as for rollouts.
    pub prefer_reclaimable: bool,
    /// Oldest weight version that is acceptable.
    pub least_version: u64,
    /// Digest of the software version that a target must run, or `None` if any may serve the request.
    pub software: Option<u64>,
    /// Identity of a target to exclude because it already failed the request.
    pub avoid: Option<u64>,
    /// Random number from which the candidates are sampled.
    pub spread: u64,
}

/// Targets of one service at one entry, and the selection among them.
#[derive(Debug, Clone, Default)]
pub struct TargetChooser {
    targets: SlotMap<TargetKey, ChoiceTarget>,
    keys: Vec<TargetKey>,
    identities: HashMap<u64, TargetKey>,
}

impl TargetChooser {
    /// Adds a target, whose identity must not be in use yet.
    pub fn insert(&mut self, target: ChoiceTarget) -> TargetKey {
        let identity = target.identity;
        let key = self.targets.insert(target);
        self.identities.insert(identity, key);
        self.keys.push(key);
        key
    }

    /// Returns the target of a key, or `None` if the key is of another chooser.
    pub fn get(&self, key: TargetKey) -> Option<&ChoiceTarget> {
        self.targets.get(key)
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether a target runs the software with this digest.
    pub fn has_software(&self, software: u64) -> bool {
        self.iter().any(|it| it.software == software)
    }

    /// Returns whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns all targets, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &ChoiceTarget> {
        self.targets.values()
    }

    /// Acquires a slot of the target with the lowest cost, or returns `None` if no
    /// eligible target has a free slot.
    pub fn choose(
        &self,
        now: ClockTime,
        request: &ChoiceRequest,
        affinity: &AffinityTable,
    ) -> Option<(TargetKey, SlotPermit)> {
        let cached = affinity.get(request.prefix);
        if self.keys.len() <= SCAN_LIMIT {
            return self.best_of(now, request, cached, self.keys.iter().copied());
        }
        let sampled = (0..SAMPLED_CANDIDATES as u64)
            .map(|round| self.keys[sample_index(request.spread, round, self.keys.len())]);
        let cached_key = cached.and_then(|it| self.identities.get(&it).copied());
        let sampled = sampled.chain(cached_key);
        // The sample may miss the few targets with a free slot, so fall back to all.
        self.best_of(now, request, cached, sampled)
            .or_else(|| self.best_of(now, request, cached, self.keys.iter().copied()))
    }

    fn best_of(
        &self,
        now: ClockTime,
        request: &ChoiceRequest,
        cached: Option<u64>,
        keys: impl Iterator<Item = TargetKey>,
    ) -> Option<(TargetKey, SlotPermit)> {
        let mut best: Option<(u64, TargetKey)> = None;
        for key in keys {
            let Some(cost) = self.cost(now, request, cached, key) else {
                continue;
            };
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        let (_, key) = best?;
        let guard = self.targets.get(key)?.counters.try_acquire(now)?;
        Some((key, guard))
    }

    /// Returns the cost of a target in thousandths of its capacity in use, or `None` if it
    /// isn't eligible.
    fn cost(
        &self,
        now: ClockTime,
        request: &ChoiceRequest,
        cached: Option<u64>,
        key: TargetKey,
    ) -> Option<u64> {
        let target = self.targets.get(key)?;
        let own = target.counters.in_flight();
        let full = own >= target.counters.granted(now);
        let old = target.version < request.least_version;
        let is_other = request.software.is_some_and(|it| it != target.software);
        if full
            || old
            || is_other
            || request.avoid == Some(target.identity)
            || target.counters.is_ejected(now)
        {
            return None;
        }
        let load = u64::from(own.saturating_add(target.others_load));
        let mut cost = load * 1_000 / u64::from(target.capacity.max(1));
        if !target.local {
            cost += OTHER_ZONE_COST_MILLI;
        }
        if request.prefix != 0 && cached != Some(target.identity) {
            cost += UNCACHED_PREFIX_COST_MILLI;
        }
        if target.reclaimable != request.prefer_reclaimable {
            cost += OTHER_CLASS_COST_MILLI;
        }
        Some(cost)
    }
}

/// Returns a pseudo-random index below `len`, derived from `spread` and `round`.
fn sample_index(spread: u64, round: u64, len: usize) -> usize {
    let mixed = (spread ^ round.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9)
        .rotate_left(31);
    (mixed % len as u64) as usize
}

/// Lock-free hash table of hints at which target last served a prefix.
///
/// Its size is fixed; prefixes that share a bucket overwrite each other.
#[derive(Debug)]
pub struct AffinityTable {
    buckets: Vec<(AtomicU64, AtomicU64)>,
}

impl Default for AffinityTable {
    fn default() -> Self {
        let mut buckets = Vec::new();
        buckets.resize_with(AFFINITY_BUCKETS, Default::default);
        Self { buckets }
    }
}

impl AffinityTable {
    /// Returns the identity of the target that last served `prefix`, if it is known.
    ///
    /// Concurrent writers may leave a wrong hint, which only costs a cache miss.
    pub fn get(&self, prefix: u64) -> Option<u64> {
        let (known, identity) = &self.buckets[prefix as usize % AFFINITY_BUCKETS];
        let hit = prefix != 0 && known.load(Ordering::Relaxed) == prefix;
        hit.then(|| identity.load(Ordering::Relaxed))
    }

    /// Records that the target `identity` served `prefix`; a prefix of zero is ignored.
    pub fn set(&self, prefix: u64, identity: u64) {
        if prefix == 0 {
            return;
        }
        let bucket = &self.buckets[prefix as usize % AFFINITY_BUCKETS];
        bucket.0.store(prefix, Ordering::Relaxed);
        bucket.1.store(identity, Ordering::Relaxed);
    }
}
