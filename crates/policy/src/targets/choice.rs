//! Which target takes a request: free slots, lagged load, prefix affinity, zone, price.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use slotmap::SlotMap;
use slotmap::new_key_type;

use super::cell::SlotPermit;
use super::cell::TargetCounters;
use bergamotlane_coordination::clock::ClockTime;

new_key_type! {
    /// Key of a target in a [`TargetChooser`].
    pub struct TargetKey;
}

/// Candidates looked at when there are more than [`SCAN_LIMIT`].
const SAMPLED_CANDIDATES: usize = 8;

/// Up to this many candidates all are looked at.
const SCAN_LIMIT: usize = 32;

/// Cost of leaving the zone, in slots in use per thousand.
const OTHER_ZONE_COST: u64 = 60;

/// Cost of missing the cached prefix, in slots in use per thousand.
const COLD_PREFIX_COST: u64 = 250;

/// Cost of using a class that the request doesn't prefer.
const OTHER_CLASS_COST: u64 = 2_000;

/// Bytes of a prompt that identify its prefix.
const PREFIX_BYTES: usize = 256;

/// Buckets of an [`AffinityTable`].
const AFFINITY_BUCKETS: usize = 4_096;

/// Returns the digest of a prompt's prefix.
pub fn prefix_digest(prompt: &Bytes) -> u64 {
    let prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
    let hash = blake3::hash(prefix);
    let mut digest = [0; 8];
    digest.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(digest)
}

/// A target that may take requests.
#[derive(Debug, Clone)]
pub struct ChoiceTarget {
    /// Counters shared with traffic.
    pub counters: Arc<TargetCounters>,
    /// Number that stays the same while the target runs.
    pub identity: u64,
    /// Address, `ip:port`.
    pub address: Arc<str>,
    /// Whether it is in the entry's own zone.
    pub local: bool,
    /// Whether it may vanish at short notice.
    pub reclaimable: bool,
    /// Weight version that it last reported.
    pub version: u64,
    /// Requests that others have in progress there, by its own late count.
    pub others_load: u32,
    /// Requests that it bears in all.
    pub capacity: u32,
}

/// What a request asks of its target.
#[derive(Debug, Clone, Copy, Default)]
pub struct ChoiceRequest {
    /// Digest of the prompt's prefix, or zero if there is none.
    pub prefix: u64,
    /// Whether a cheap target is preferred, as for rollouts.
    pub prefer_reclaimable: bool,
    /// Oldest weight version that will do.
    pub least_version: u64,
    /// Identity of a target to avoid, since it failed the request already.
    pub avoid: Option<u64>,
    /// Random number that spreads the choice.
    pub spread: u64,
}

/// Targets of one service at one entry.
#[derive(Debug, Clone, Default)]
pub struct TargetChooser {
    targets: SlotMap<TargetKey, ChoiceTarget>,
    keys: Vec<TargetKey>,
    identities: HashMap<u64, TargetKey>,
}

impl TargetChooser {
    /// Adds a target.
    pub fn insert(&mut self, target: ChoiceTarget) -> TargetKey {
        let identity = target.identity;
        let key = self.targets.insert(target);
        self.identities.insert(identity, key);
        self.keys.push(key);
        key
    }

    /// Returns a target.
    pub fn get(&self, key: TargetKey) -> Option<&ChoiceTarget> {
        self.targets.get(key)
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether there is no target.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = &ChoiceTarget> {
        self.targets.values()
    }

    /// Takes a slot of the best target, or returns `None` if none has a free one.
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
            .map(|round| self.keys[place(request.spread, round, self.keys.len())]);
        let cached_key = cached.and_then(|it| self.identities.get(&it).copied());
        let sampled = sampled.chain(cached_key);
        // A sample may miss the few that are free, so all are tried before giving up.
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
        let guard = self.targets.get(key)?.counters.try_take(now)?;
        Some((key, guard))
    }

    /// Returns the cost of a target, or `None` if it can't take the request.
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
        if full || old || request.avoid == Some(target.identity) || target.counters.is_ejected(now)
        {
            return None;
        }
        let load = u64::from(own.saturating_add(target.others_load));
        let mut cost = load * 1_000 / u64::from(target.capacity.max(1));
        if !target.local {
            cost += OTHER_ZONE_COST;
        }
        if request.prefix != 0 && cached != Some(target.identity) {
            cost += COLD_PREFIX_COST;
        }
        if target.reclaimable != request.prefer_reclaimable {
            cost += OTHER_CLASS_COST;
        }
        Some(cost)
    }
}

/// Returns a place below `len` that depends on `spread` and `round`.
fn place(spread: u64, round: u64, len: usize) -> usize {
    let mixed = (spread ^ round.wrapping_mul(0x9e37_79b9_7f4a_7c15))
        .wrapping_mul(0xbf58_476d_1ce4_e5b9)
        .rotate_left(31);
    (mixed % len as u64) as usize
}

/// Which target saw a prefix last; a bounded table of hints that needs no lock.
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
    /// Returns the identity of the target that saw `prefix` last, if the table knows.
    ///
    /// Two writers at once may leave a wrong hint, which costs a cache miss only.
    pub fn get(&self, prefix: u64) -> Option<u64> {
        let (known, identity) = &self.buckets[prefix as usize % AFFINITY_BUCKETS];
        let hit = prefix != 0 && known.load(Ordering::Relaxed) == prefix;
        hit.then(|| identity.load(Ordering::Relaxed))
    }

    /// Takes note that the target of `identity` saw `prefix`.
    pub fn set(&self, prefix: u64, identity: u64) {
        if prefix == 0 {
            return;
        }
        let bucket = &self.buckets[prefix as usize % AFFINITY_BUCKETS];
        bucket.0.store(prefix, Ordering::Relaxed);
        bucket.1.store(identity, Ordering::Relaxed);
    }
}
