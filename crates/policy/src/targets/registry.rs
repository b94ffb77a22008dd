//! The leader's registry of targets, built from announcements alone.

use std::collections::BTreeMap;

use super::life::LifeEvent;
use super::life::TargetLife;
use super::life::life_chart;
use crate::control::PriceClass;
use bergamotlane_coordination::chart::StateChart;
use bergamotlane_coordination::clock::ClockTime;

/// Silence after which a target counts as gone, in milliseconds.
pub const REGISTRY_EXPIRY_MS: u64 = 3_000;

/// How long a gone target is remembered, so that every entry hears of it, in milliseconds.
const TOMBSTONE_MS: u64 = 60_000;

/// Name of a target, unique within its service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetName {
    /// Service.
    pub service: String,
    /// Name that the target gives itself.
    pub name: String,
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// Service and name.
    pub target: TargetName,
    /// Changes whenever the target restarts.
    pub boot: u64,
    /// Address, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Price class.
    pub class: PriceClass,
    /// Whether it bears its full load.
    pub warm: bool,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Weight version loaded; zero for plain services.
    pub version: u64,
    /// Requests in progress, as it counts them; late.
    pub load: u32,
}

/// A target as the leader knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Latest announcement.
    pub announcement: TargetAnnouncement,
    /// State.
    pub life: TargetLife,
    /// Rises with each change that entries must hear of.
    pub revision: u64,
    /// When it announced itself last.
    pub heard_at: ClockTime,
    /// Whether it was first heard of within this leader's tenure with an age that shows
    /// that no earlier leader knew it.
    pub started_this_term: bool,
}

/// All targets.
#[derive(Debug)]
pub struct TargetRegistry {
    chart: StateChart<TargetLife, LifeEvent>,
    revision: u64,
    records: BTreeMap<TargetName, TargetRecord>,
    started_at: ClockTime,
}

impl TargetRegistry {
    /// Creates an empty registry for a leader that starts at `now`.
    pub fn new(now: ClockTime) -> Self {
        Self {
            chart: life_chart(),
            revision: 0,
            records: BTreeMap::new(),
            started_at: now,
        }
    }

    /// Returns the number of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all targets, gone ones included.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Returns the targets that changed after `revision`.
    pub fn changed_since(&self, revision: u64) -> Vec<&TargetRecord> {
        let mut changed: Vec<&TargetRecord> = self
            .records
            .values()
            .filter(|record| record.revision > revision)
            .collect();
        changed.sort_by_key(|record| record.revision);
        changed
    }

    /// Returns a target by name.
    pub fn get(&self, target: &TargetName) -> Option<&TargetRecord> {
        self.records.get(target)
    }

    /// Takes note of an announcement of a target that started `uptime_ms` ago.
    ///
    /// Returns the state before and after, or `None` before if the target is new.
    pub fn announce(
        &mut self,
        now: ClockTime,
        announcement: TargetAnnouncement,
        uptime_ms: u64,
    ) -> (Option<TargetLife>, TargetLife) {
        let event = match &announcement {
            it if it.leaving => LifeEvent::AnnouncedLeaving,
            it if it.warm => LifeEvent::AnnouncedWarm,
            _ => LifeEvent::AnnouncedCold,
        };
        let known = self.records.get(&announcement.target);
        let before = known.map(|record| record.life);
        let restarted = known.is_some_and(|it| it.announcement.boot != announcement.boot);
        let start = match before {
            Some(life) if restarted => self.chart.next(life, LifeEvent::Restarted),
            Some(life) => life,
            None => self.chart.start(),
        };
        let life = self.chart.next(start, event);
        let changed = known.is_none_or(|record| {
            let old = &record.announcement;
            let moved = old.address != announcement.address || old.zone != announcement.zone;
            let loaded = old.version != announcement.version || old.load != announcement.load;
            moved || loaded || restarted || record.life != life || old.class != announcement.class
        });
        let revision = match (changed, known) {
            (false, Some(record)) => record.revision,
            _ => {
                self.revision += 1;
                self.revision
            }
        };
        let started_this_term = match known {
            Some(record) if !restarted => record.started_this_term,
            _ => now - uptime_ms > self.started_at,
        };
        let record = TargetRecord {
            life,
            revision,
            heard_at: now,
            started_this_term,
            announcement,
        };
        let name = record.announcement.target.clone();
        self.records.insert(name, record);
        (before, life)
    }

    /// Marks silent targets as gone and returns their names.
    pub fn expire(&mut self, now: ClockTime) -> Vec<TargetName> {
        let mut gone = Vec::new();
        for (name, record) in &mut self.records {
            let silent = now.since(record.heard_at) > REGISTRY_EXPIRY_MS;
            if silent && record.life != TargetLife::Gone {
                record.life = self.chart.next(record.life, LifeEvent::Silent);
                self.revision += 1;
                record.revision = self.revision;
                gone.push(name.clone());
            }
        }
        self.records
            .retain(|_, record| now.since(record.heard_at) < TOMBSTONE_MS);
        gone
    }
}
