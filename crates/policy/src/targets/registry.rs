//! The leader's registry of targets.
//!
//! It isn't replicated: a new leader rebuilds it from the targets' periodic announcements.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use super::life::LifeEvent;
use super::life::TargetLife;
use super::life::life_chart;
use crate::control::PriceClass;
use bergamotlane_coordination::chart::StateChart;
use bergamotlane_coordination::clock::ClockTime;

/// Time without an announcement after which a target counts as gone, in milliseconds.
pub const REGISTRY_EXPIRY_MS: u64 = 3_000;

/// Time after a target's last announcement for which its record is kept, so that every
/// entry learns that it is gone, in milliseconds.
const RECORD_KEPT_MS: u64 = 60_000;

/// Number of replaced boots that are remembered for a target.
const MAX_REPLACED_BOOTS: usize = 16;

/// Name of a target, unique within its service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetName {
    /// ID of the service in the plan.
    pub service: String,
    /// Name chosen by the target.
    pub name: String,
}

/// Periodic announcement of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetAnnouncement {
    /// Service and name of the target.
    pub target: TargetName,
    /// Boot ID, which differs after each restart of the target.
    pub boot: u64,
    /// Address at which the target serves requests, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Price class in which the target was ordered.
    pub class: PriceClass,
    /// Whether the target can serve its full load.
    pub warm: bool,
    /// Whether the target is about to shut down.
    pub leaving: bool,
    /// Weight version loaded; zero for plain services.
    pub version: u64,
    /// Digest of the version of its software.
    pub software: u64,
    /// Requests in progress at the target when it sent the announcement.
    pub load: u32,
}

/// A target in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// Latest announcement.
    pub announcement: TargetAnnouncement,
    /// State of the target's life cycle.
    pub life: TargetLife,
    /// Registry revision of the last change that entries must learn of.
    pub revision: u64,
    /// Time of the latest announcement.
    pub announced_at: ClockTime,
    /// Whether the target started after this registry, as its uptime shows, so that no
    /// earlier leader can have granted slots of it.
    pub started_this_term: bool,
}

/// Targets known to the leader, with their life cycle and a revision for each change.
#[derive(Debug)]
pub struct TargetRegistry {
    chart: StateChart<TargetLife, LifeEvent>,
    revision: u64,
    records: BTreeMap<TargetName, TargetRecord>,
    /// Boots of each target that a later one has replaced, oldest first. Boot IDs have no order.
    replaced_boots: BTreeMap<TargetName, VecDeque<u64>>,
    started_at: ClockTime,
}

impl TargetRegistry {
    /// Creates an empty registry for a leader whose term starts at `now`.
    pub fn new(now: ClockTime) -> Self {
        Self {
            chart: life_chart(),
            revision: 0,
            records: BTreeMap::new(),
            replaced_boots: BTreeMap::new(),
            started_at: now,
        }
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns all targets, including those that are gone.
    pub fn records(&self) -> impl Iterator<Item = &TargetRecord> {
        self.records.values()
    }

    /// Returns the targets that changed after `revision`, oldest change first.
    pub fn changed_since(&self, revision: u64) -> Vec<&TargetRecord> {
        let mut changed: Vec<&TargetRecord> = self
            .records
            .values()
            .filter(|record| record.revision > revision)
            .collect();
        changed.sort_by_key(|record| record.revision);
        changed
    }

    /// Returns the record of a target, which may be gone.
    pub fn get(&self, target: &TargetName) -> Option<&TargetRecord> {
        self.records.get(target)
    }

    /// Records an announcement of a target that started `uptime_ms` milliseconds ago.
    ///
    /// Returns the states before and after; the former is `None` if the target is new. A late
    /// announcement of a boot that a later one has replaced changes nothing.
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
        let replaced = self.replaced_boots.get(&announcement.target);
        if let Some(record) = known
            && replaced.is_some_and(|it| it.contains(&announcement.boot))
        {
            return (Some(record.life), record.life);
        }
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
            announced_at: now,
            started_this_term,
            announcement,
        };
        let name = record.announcement.target.clone();
        let old = self.records.insert(name.clone(), record);
        if let Some(old) = old.filter(|_| restarted) {
            self.record_replaced(name, old.announcement.boot);
        }
        (before, life)
    }

    fn record_replaced(&mut self, target: TargetName, boot: u64) {
        let boots = self.replaced_boots.entry(target).or_default();
        boots.push_back(boot);
        if boots.len() > MAX_REPLACED_BOOTS {
            boots.pop_front();
        }
    }

    /// Marks targets as gone that no longer announce themselves, and returns their names.
    pub fn expire(&mut self, now: ClockTime) -> Vec<TargetName> {
        let mut gone = Vec::new();
        for (name, record) in &mut self.records {
            let silent = now.since(record.announced_at) > REGISTRY_EXPIRY_MS;
            if silent && record.life != TargetLife::Gone {
                record.life = self.chart.next(record.life, LifeEvent::Silent);
                self.revision += 1;
                record.revision = self.revision;
                gone.push(name.clone());
            }
        }
        self.records
            .retain(|_, record| now.since(record.announced_at) < RECORD_KEPT_MS);
        self.replaced_boots
            .retain(|name, _| self.records.contains_key(name));
        gone
    }
}
