//! Requests under which targets crashed, and their quarantine.
//!
//! A request that crashes the target that runs it comes again under a new ID, at any process. It is
//! therefore recognised by its content. After a few crashes no process sends it on for a while; each
//! further crash multiplies that time. A request that was merely running when its target crashed for
//! another reason is cleared by its first answer.

use std::collections::BTreeSet;
use std::collections::HashMap;

use bergamotlane_coordination::clock::ClockTime;

/// Number of crashes from which a request is quarantined.
const QUARANTINE_CRASHES: u32 = 2;

/// Duration of the first quarantine, in milliseconds.
const FIRST_QUARANTINE_MS: u64 = 30_000;

/// Factor by which each further crash prolongs the quarantine.
const QUARANTINE_FACTOR: u64 = 4;

/// Largest number of crashes that prolong the quarantine.
const MAX_PROLONGING_CRASHES: u32 = 4;

/// Time without news after which a request outside quarantine is forgotten, in milliseconds.
const SUSPICION_MS: u64 = 120_000;

/// Largest number of suspects; the one without news for the longest time makes room.
const MAX_SUSPECTS: usize = 512;

/// Digest of a request's content: caller, method, host, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest(pub [u8; 16]);

impl RequestDigest {
    /// Returns the digest of a request that consists of these parts.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut digest = [0; 16];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(digest)
    }
}

/// Start of a target: its ID and its start time, in milliseconds since 1970.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct TargetStart {
    /// ID of the target.
    pub id: String,
    /// Start time of the target.
    pub born: u64,
}

/// What one process tells another about a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SuspectReport {
    /// The request.
    pub digest: RequestDigest,
    /// Number of targets that crashed under it.
    pub crashes: u32,
    /// Time left of its quarantine, in milliseconds.
    pub quarantine_left_ms: u64,
}

#[derive(Debug, Default)]
struct Suspect {
    crashes: u32,
    /// Crashed targets that this process heard of one by one.
    targets: BTreeSet<TargetStart>,
    quarantined_until: ClockTime,
    /// Time of the last crash.
    crashed_at: ClockTime,
}

impl Suspect {
    /// Returns the time at which the suspect is forgotten.
    fn ends_at(&self) -> ClockTime {
        self.quarantined_until.max(self.crashed_at) + SUSPICION_MS
    }
}

/// Known suspects.
#[derive(Debug, Default)]
pub struct SuspectTable {
    suspects: HashMap<RequestDigest, Suspect>,
}

impl SuspectTable {
    /// Returns whether no request is under suspicion.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a target crashed under the request.
    pub fn contains(&self, digest: RequestDigest) -> bool {
        self.suspects.contains_key(&digest)
    }

    /// Returns the time left of a request's quarantine, in milliseconds, or `None` if it may be sent.
    pub fn quarantine_left_ms(&self, now: ClockTime, digest: RequestDigest) -> Option<u64> {
        let suspect = self.suspects.get(&digest)?;
        let left_ms = suspect.quarantined_until.since(now);
        (left_ms > 0).then_some(left_ms)
    }

    /// Records that a target crashed while it ran a request. Returns the number of crashes under it.
    pub fn record_crash(
        &mut self,
        now: ClockTime,
        digest: RequestDigest,
        target: TargetStart,
    ) -> u32 {
        self.make_room(now);
        let suspect = self.suspects.entry(digest).or_default();
        if !suspect.targets.insert(target) {
            return suspect.crashes;
        }
        suspect.crashes += 1;
        suspect.crashed_at = now;
        if suspect.crashes >= QUARANTINE_CRASHES {
            let further = suspect.crashes - QUARANTINE_CRASHES;
            let factor = QUARANTINE_FACTOR.pow(further.min(MAX_PROLONGING_CRASHES));
            suspect.quarantined_until = now + FIRST_QUARANTINE_MS * factor;
        }
        suspect.crashes
    }

    /// Removes a request that a target has answered. Returns whether it was under suspicion.
    pub fn clear(&mut self, digest: RequestDigest) -> bool {
        self.suspects.remove(&digest).is_some()
    }

    /// Takes over the suspects that the leader knows. Others are dropped, unless a crash under them
    /// is too recent for the leader to know.
    pub fn replace(&mut self, now: ClockTime, reports: &[SuspectReport], recent_ms: u64) {
        let known: BTreeSet<RequestDigest> = reports.iter().map(|it| it.digest).collect();
        self.suspects
            .retain(|digest, it| known.contains(digest) || now.since(it.crashed_at) < recent_ms);
        for report in reports {
            let suspect = self.suspects.entry(report.digest).or_insert(Suspect {
                crashed_at: now,
                ..Suspect::default()
            });
            suspect.crashes = suspect.crashes.max(report.crashes);
            let until = now + report.quarantine_left_ms;
            suspect.quarantined_until = suspect.quarantined_until.max(until);
        }
    }

    /// Returns what is known of all suspects.
    pub fn reports(&self, now: ClockTime) -> Vec<SuspectReport> {
        let suspects = self.suspects.iter();
        suspects
            .map(|(digest, it)| SuspectReport {
                digest: *digest,
                crashes: it.crashes,
                quarantine_left_ms: it.quarantined_until.since(now),
            })
            .collect()
    }

    /// Drops suspects without news; returns whether there were any.
    pub fn expire(&mut self, now: ClockTime) -> bool {
        let count = self.suspects.len();
        self.suspects.retain(|_, it| now < it.ends_at());
        self.suspects.len() < count
    }

    /// Makes room for another suspect.
    fn make_room(&mut self, now: ClockTime) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        self.expire(now);
        let oldest = self.suspects.iter().min_by_key(|(_, it)| it.ends_at());
        if let Some(digest) = oldest.map(|(digest, _)| *digest)
            && self.suspects.len() >= MAX_SUSPECTS
        {
            self.suspects.remove(&digest);
        }
    }
}
