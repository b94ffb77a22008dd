//! Which targets there are, by what they announce of themselves.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use bergamotlane_coordination::clock::ClockTime;

/// Silence after which a target is used only if nothing better is there, in milliseconds.
const SILENT_AFTER_MS: u64 = 4_000;

/// Silence after which a target is forgotten, in milliseconds.
const FORGOTTEN_AFTER_MS: u64 = 40_000;

/// Time for which a departed target's late announcements are ignored, in milliseconds.
const DEPARTED_KEPT_MS: u64 = 120_000;

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetNotice {
    /// ID.
    pub id: String,
    /// Service.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub capacity: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// Time for which it stays cold, in milliseconds.
    pub cold_left_ms: u64,
    /// Weight version by model.
    pub models: BTreeMap<String, u64>,
    /// Number of the announcement within one start of the target.
    pub sequence: u64,
    /// Start of the target, in milliseconds since 1970.
    pub born: u64,
    /// Whether the platform may take it away.
    pub is_reclaimable: bool,
}

/// Where a target is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetStage {
    /// Takes work.
    Ready,
    /// Has not been heard for a while.
    Silent,
    /// Takes no new work.
    Draining,
}

/// A target as the leader tells others about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetView {
    /// Last announcement; its cold time counts from when the view was made.
    pub notice: TargetNotice,
    /// Stage.
    pub stage: TargetStage,
}

/// A target as the registry holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetEntry {
    /// Last announcement.
    pub notice: TargetNotice,
    /// Stage.
    pub stage: TargetStage,
    /// End of the cold time.
    pub cold_until: ClockTime,
    /// Whether it is known only from an earlier leader.
    pub is_unconfirmed: bool,
    heard_at: ClockTime,
}

impl TargetEntry {
    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: ClockTime) -> bool {
        now < self.cold_until
    }
}

/// What an announcement changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeEffect {
    /// Nothing: it was late, or from a target that has left.
    Ignored,
    /// Only times and numbers.
    Refreshed,
    /// Weight versions.
    Versions,
    /// What matters to whoever sends requests.
    Changed,
}

/// The registry.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    entries: BTreeMap<String, TargetEntry>,
    departed: BTreeMap<String, (u64, ClockTime)>,
}

impl TargetRegistry {
    /// Takes over what an earlier leader knew.
    pub fn restore(&mut self, now: ClockTime, views: &[TargetView]) {
        for view in views {
            let entry = TargetEntry {
                notice: view.notice.clone(),
                stage: view.stage,
                cold_until: now + view.notice.cold_left_ms,
                is_unconfirmed: true,
                heard_at: now,
            };
            self.entries.insert(view.notice.id.clone(), entry);
        }
    }

    /// Returns the targets by ID.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &TargetEntry)> {
        self.entries.iter()
    }

    /// Returns a target.
    pub fn get(&self, id: &str) -> Option<&TargetEntry> {
        self.entries.get(id)
    }

    /// Returns what others should know.
    pub fn views(&self, now: ClockTime) -> Vec<TargetView> {
        let view = |entry: &TargetEntry| TargetView {
            notice: TargetNotice {
                cold_left_ms: entry.cold_until.since(now),
                ..entry.notice.clone()
            },
            stage: entry.stage,
        };
        self.entries.values().map(view).collect()
    }

    /// Takes an announcement.
    pub fn announce(&mut self, now: ClockTime, notice: TargetNotice) -> NoticeEffect {
        if self.is_late(&notice) {
            return NoticeEffect::Ignored;
        }
        // A younger target at the address means that the older one is gone.
        self.entries
            .retain(|id, entry| *id == notice.id || entry.notice.address != notice.address);
        let stage = match notice.is_draining {
            true => TargetStage::Draining,
            false => TargetStage::Ready,
        };
        let cold_until = now + notice.cold_left_ms;
        let effect = match self.entries.get(&notice.id) {
            Some(old) => effect_of(old, &notice, stage, now),
            None => NoticeEffect::Changed,
        };
        let entry = TargetEntry {
            stage,
            cold_until,
            is_unconfirmed: false,
            heard_at: now,
            notice,
        };
        self.entries.insert(entry.notice.id.clone(), entry);
        effect
    }

    fn is_late(&self, notice: &TargetNotice) -> bool {
        if let Some((born, _)) = self.departed.get(&notice.id)
            && notice.born <= *born
        {
            return true;
        }
        let age = (notice.born, notice.sequence);
        if let Some(old) = self.entries.get(&notice.id)
            && age <= (old.notice.born, old.notice.sequence)
        {
            return true;
        }
        self.entries.values().any(|it| {
            it.notice.id != notice.id
                && it.notice.address == notice.address
                && it.notice.born > notice.born
        })
    }

    /// Removes a target that says that it leaves. Returns whether it was known.
    pub fn depart(&mut self, now: ClockTime, id: &str) -> bool {
        let Some(entry) = self.entries.remove(id) else {
            return false;
        };
        self.departed
            .insert(id.to_owned(), (entry.notice.born, now));
        true
    }

    /// Notes a weight version that a target has shown.
    pub fn set_version(&mut self, id: &str, model: &str, version: u64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.notice.models.insert(model.to_owned(), version);
        }
    }

    /// Moves silent targets on; returns whether any changed its stage.
    pub fn expire(&mut self, now: ClockTime) -> bool {
        let count = self.entries.len();
        self.entries
            .retain(|_, entry| now.since(entry.heard_at) < FORGOTTEN_AFTER_MS);
        self.departed
            .retain(|_, (_, at)| now.since(*at) < DEPARTED_KEPT_MS);
        let mut changed = self.entries.len() != count;
        for entry in self.entries.values_mut() {
            let silent = now.since(entry.heard_at) >= SILENT_AFTER_MS;
            if silent && entry.stage == TargetStage::Ready {
                entry.stage = TargetStage::Silent;
                changed = true;
            }
        }
        changed
    }
}

fn effect_of(
    old: &TargetEntry,
    notice: &TargetNotice,
    stage: TargetStage,
    now: ClockTime,
) -> NoticeEffect {
    let same = old.stage == stage
        && old.notice.address == notice.address
        && old.notice.service == notice.service
        && old.notice.zone == notice.zone
        && old.notice.capacity == notice.capacity
        && old.notice.born == notice.born
        && old.is_cold(now) == (notice.cold_left_ms > 0);
    match same {
        false => NoticeEffect::Changed,
        true if old.notice.models != notice.models => NoticeEffect::Versions,
        true => NoticeEffect::Refreshed,
    }
}
