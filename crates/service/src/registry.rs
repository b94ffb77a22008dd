//! Registry of the targets, which register and refresh themselves by announcements.

mod changes;
mod effect;
mod reporters;
mod target;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

pub use self::changes::RegistryChanges;
pub use self::effect::AnnouncementEffect;
pub use self::target::TargetAnnouncement;
pub use self::target::TargetEntry;
pub use self::target::TargetStage;
pub use self::target::TargetView;

use self::changes::ChangeLog;
use self::effect::effect_of;
use self::reporters::ReporterTimes;
use crate::heartbeats::TargetBeat;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::RequestRate;

/// Time without an announcement after which a target is used only if no other is available, in
/// milliseconds.
const SILENT_AFTER_MS: u64 = 4_000;

/// Time without an announcement after which a target is removed, in milliseconds.
const REMOVED_AFTER_MS: u64 = 40_000;

/// Time for which delayed announcements of a departed target are ignored, in milliseconds.
const DEPARTED_RETENTION_MS: u64 = 120_000;

/// Effect of a sign of life that another keeper has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BeatEffect {
    /// The target counts as heard of.
    Taken,
    /// None: a later announcement was applied.
    Late,
    /// None: the target is not known as ready and warm with this start, and has to announce itself.
    Unknown,
}

/// Known targets by ID, and recently departed ones.
#[derive(Debug, Default)]
pub struct TargetRegistry {
    entries: BTreeMap<String, TargetEntry>,
    changes: ChangeLog,
    /// Targets that may count as cold, those that do included.
    maybe_cold: BTreeSet<String>,
    /// Start time of each departed target, and when it departed.
    departed: BTreeMap<String, (u64, ClockTime)>,
    /// Start time of each target that replaced an earlier start under its ID, and when it did.
    restarted: BTreeMap<String, (u64, ClockTime)>,
    /// Keepers that report which targets live.
    reporters: ReporterTimes,
}

impl TargetRegistry {
    /// Adds or replaces targets by those of a leader's view, as unconfirmed. Not recorded as changes.
    pub fn restore<'a>(&mut self, now: ClockTime, views: impl IntoIterator<Item = &'a TargetView>) {
        for view in views {
            let entry = TargetEntry {
                announcement: view.announcement.clone(),
                stage: view.stage,
                cold_until: now + view.announcement.cold_left_ms,
                is_unconfirmed: true,
                rate_limit: view.rate_limit.map(RequestRate),
                limit_named_at: now,
                announced_at: now,
                reporter: None,
            };
            let id = &view.announcement.id;
            self.changes.record_unseen(id);
            self.maybe_cold.insert(id.clone());
            self.entries.insert(id.clone(), entry);
        }
    }

    /// Returns the number of targets.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no target is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the targets that may be cold or unconfirmed, with their IDs: all that are, and others
    /// until [`Self::forget_warm`] is called.
    pub fn maybe_cold(&self) -> impl Iterator<Item = (&String, &TargetEntry)> {
        let ids = self.maybe_cold.iter();
        ids.filter_map(|id| self.entries.get_key_value(id))
    }

    /// Takes those that are neither cold nor unconfirmed off the list of targets that may be.
    pub fn forget_warm(&mut self, now: ClockTime) {
        let entries = &self.entries;
        self.maybe_cold.retain(|id| {
            let entry = entries.get(id);
            entry.is_some_and(|it| it.is_unconfirmed || it.is_cold(now))
        });
    }

    /// Returns all targets with their IDs, in the order of the IDs.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &TargetEntry)> {
        self.entries.iter()
    }

    /// Returns the target with an ID.
    pub fn get(&self, id: &str) -> Option<&TargetEntry> {
        self.entries.get(id)
    }

    /// Returns the views of all targets to send to other processes.
    pub fn views(&self, now: ClockTime) -> Vec<TargetView> {
        self.entries.values().map(|it| it.view(now)).collect()
    }

    /// Returns the changes since this method was last called.
    pub fn take_changes(&mut self) -> RegistryChanges {
        self.changes.take_views()
    }

    /// Returns the IDs of the targets that changed in any way but by the time of an announcement, or
    /// are gone, since this method was last called.
    pub fn take_engine_changes(&mut self) -> BTreeSet<String> {
        self.changes.take_engines()
    }

    /// Removes a target that another process reports as gone.
    pub fn remove(&mut self, id: &str) {
        self.changes.record_unseen(id);
        self.entries.remove(id);
    }

    /// Applies what is known of a leaving target from an earlier leader: the target started at
    /// `born`, drains and, if `departed` is set, is gone.
    pub fn mark_leaving(&mut self, now: ClockTime, id: &str, born: u64, departed: bool) {
        let Some(entry) = self.entries.get_mut(id) else {
            return;
        };
        if entry.announcement.born > born {
            return;
        }
        if departed {
            self.depart(now, id);
            return;
        }
        entry.stage = TargetStage::Draining;
        entry.announcement.is_draining = true;
        self.changes.record_routing(id);
    }

    /// Applies an announcement and returns its effect; all services count as those of the plan in force.
    pub fn announce(
        &mut self,
        now: ClockTime,
        announcement: TargetAnnouncement,
    ) -> AnnouncementEffect {
        self.announce_among(now, announcement, |_| true)
    }

    /// Applies an announcement and returns its effect. `is_served` tells whether the plan in force has a
    /// service. Of two targets at one address, one of a service in the plan doesn't give way to one of
    /// another service, whose announcement may come from a sender that the deployment doesn't know.
    pub fn announce_among(
        &mut self,
        now: ClockTime,
        announcement: TargetAnnouncement,
        is_served: impl Fn(&str) -> bool,
    ) -> AnnouncementEffect {
        if self.is_outdated(&announcement, &is_served) {
            return AnnouncementEffect::Ignored;
        }
        if !self.owns_address(&announcement) {
            self.remove_predecessors(&announcement, &is_served);
        }
        let stage = match announcement.is_draining {
            true => TargetStage::Draining,
            false => TargetStage::Ready,
        };
        let cold_until = now + announcement.cold_left_ms;
        let old = self.entries.get(&announcement.id);
        if old.is_some_and(|it| it.announcement.born < announcement.born) {
            self.restarted
                .insert(announcement.id.clone(), (announcement.born, now));
        }
        let same_start = old.filter(|it| it.announcement.born == announcement.born);
        let rate_limit = same_start.and_then(|it| it.rate_limit);
        let limit_named_at = old.map(|it| it.limit_named_at).unwrap_or_default();
        let effect = match old {
            Some(old) => effect_of(old, &announcement, stage, now),
            None => AnnouncementEffect::Changed,
        };
        match effect {
            AnnouncementEffect::Changed => self.changes.record_routing(&announcement.id),
            AnnouncementEffect::Versions => self.changes.record_version(&announcement.id),
            AnnouncementEffect::Ignored | AnnouncementEffect::Refreshed => {}
        }
        if announcement.cold_left_ms > 0 {
            self.maybe_cold.insert(announcement.id.clone());
        }
        let entry = TargetEntry {
            stage,
            cold_until,
            is_unconfirmed: false,
            rate_limit,
            limit_named_at,
            announced_at: now,
            reporter: None,
            announcement,
        };
        self.entries.insert(entry.announcement.id.clone(), entry);
        effect
    }

    /// Records that a batch of heartbeats came from a keeper.
    pub fn record_report(&mut self, now: ClockTime, reporter: u64) {
        self.reporters.record(now, reporter);
    }

    /// Applies a sign of life that a keeper has taken, since the announcement said what the view says.
    pub fn beat(&mut self, now: ClockTime, beat: &TargetBeat, reporter: u64) -> BeatEffect {
        let Some(entry) = self.entries.get_mut(&beat.id) else {
            return BeatEffect::Unknown;
        };
        let age = (beat.born, beat.sequence);
        if age <= (entry.announcement.born, entry.announcement.sequence) {
            return BeatEffect::Late;
        }
        let same_start = beat.born == entry.announcement.born;
        if !same_start || entry.stage != TargetStage::Ready || entry.is_cold(now) {
            return BeatEffect::Unknown;
        }
        entry.announcement.sequence = beat.sequence;
        entry.is_unconfirmed = false;
        entry.announced_at = entry.announced_at.max(now - beat.age_ms);
        entry.reporter = Some(reporter);
        BeatEffect::Taken
    }

    /// Returns whether the target of an announcement is known to be the only one at its address, since
    /// it has announced itself there before.
    fn owns_address(&self, announcement: &TargetAnnouncement) -> bool {
        let old = self.entries.get(&announcement.id);
        old.is_some_and(|it| !it.is_unconfirmed && it.announcement.address == announcement.address)
    }

    /// Removes other targets at the address of a newer one; they no longer run.
    fn remove_predecessors(
        &mut self,
        announcement: &TargetAnnouncement,
        is_served: &impl Fn(&str) -> bool,
    ) {
        let newer_is_served = is_served(&announcement.service);
        let replaced = self.entries.extract_if(.., |id, entry| {
            *id != announcement.id
                && entry.announcement.address == announcement.address
                && (newer_is_served || !is_served(&entry.announcement.service))
        });
        let replaced: Vec<String> = replaced.map(|(id, _)| id).collect();
        for id in &replaced {
            self.changes.record_routing(id);
        }
    }

    /// Returns whether an announcement is outdated: its target departed, a newer announcement was
    /// applied, or a newer target has taken over the address.
    fn is_outdated(
        &self,
        announcement: &TargetAnnouncement,
        is_served: &impl Fn(&str) -> bool,
    ) -> bool {
        if let Some((born, _)) = self.departed.get(&announcement.id)
            && announcement.born <= *born
        {
            return true;
        }
        let age = (announcement.born, announcement.sequence);
        if let Some(old) = self.entries.get(&announcement.id)
            && age <= (old.announcement.born, old.announcement.sequence)
        {
            return true;
        }
        // A heartbeat must not cost a search of all targets.
        if self.owns_address(announcement) {
            return false;
        }
        let older_is_served = is_served(&announcement.service);
        self.entries.values().any(|it| {
            it.announcement.id != announcement.id
                && it.announcement.address == announcement.address
                && it.announcement.born > announcement.born
                && (!older_is_served || is_served(&it.announcement.service))
        })
    }

    /// Removes a target that leaves and ignores its delayed announcements from now on. Returns
    /// whether the target was known.
    pub fn depart(&mut self, now: ClockTime, id: &str) -> bool {
        let Some(entry) = self.entries.remove(id) else {
            return false;
        };
        self.departed
            .insert(id.to_owned(), (entry.announcement.born, now));
        self.changes.record_routing(id);
        true
    }

    /// Returns the start of a target that departed within the last `window_ms` milliseconds, if this
    /// leader knows one.
    pub fn departed_within(&self, now: ClockTime, id: &str, window_ms: u64) -> Option<u64> {
        let (born, at) = self.departed.get(id)?;
        (now.since(*at) <= window_ms).then_some(*born)
    }

    /// Accepts announcements of a departed target again.
    pub fn readmit(&mut self, id: &str) {
        self.departed.remove(id);
    }

    /// Returns whether an earlier start of a target was known within the last minutes.
    pub fn follows_earlier_start(&self, id: &str, born: u64) -> bool {
        let departed = self.departed.get(id).is_some_and(|(it, _)| *it < born);
        let restarted = self.restarted.get(id).is_some_and(|(it, _)| *it == born);
        departed || restarted
    }

    /// Sets the weight version of a model on a target that started at `born`, as observed in one of its
    /// answers. An answer of an earlier start says nothing of a later one.
    pub fn set_version(&mut self, id: &str, born: u64, model: &str, version: u64) {
        let entry = self.entries.get_mut(id);
        if let Some(entry) = entry.filter(|it| it.announcement.born == born) {
            let old = entry.announcement.models.insert(model.to_owned(), version);
            if old != Some(version) {
                self.changes.record_version(id);
            }
        }
    }

    /// Records the limit that a target names in its answer to a request that was sent at `sent_at`,
    /// or that it names none. Returns whether that is news.
    ///
    /// An answer without a limit says nothing if its request was sent before the limit was last
    /// named.
    pub fn name_limit(
        &mut self,
        now: ClockTime,
        id: &str,
        rate: Option<RequestRate>,
        sent_at: ClockTime,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        match rate {
            Some(_) => entry.limit_named_at = now,
            None if sent_at < entry.limit_named_at => return false,
            None => {}
        }
        let is_news = entry.rate_limit != rate;
        entry.rate_limit = rate;
        if is_news {
            self.changes.record_routing(id);
        }
        is_news
    }

    /// Marks targets without recent announcements as silent, and removes them later. Returns
    /// whether a target was removed or changed its stage.
    pub fn expire(&mut self, now: ClockTime) -> bool {
        let expired = self.entries.extract_if(.., |_, entry| {
            now.since(entry.announced_at) >= REMOVED_AFTER_MS
        });
        let mut changed: Vec<String> = expired.map(|(id, _)| id).collect();
        self.departed
            .retain(|_, (_, at)| now.since(*at) < DEPARTED_RETENTION_MS);
        self.restarted
            .retain(|_, (_, at)| now.since(*at) < DEPARTED_RETENTION_MS);
        for (id, entry) in &mut self.entries {
            let silent = now.since(entry.announced_at) >= SILENT_AFTER_MS;
            let is_awaited = self
                .reporters
                .is_awaited(now, entry.reporter, entry.announced_at);
            if silent && !is_awaited && entry.stage == TargetStage::Ready {
                entry.stage = TargetStage::Silent;
                changed.push(id.clone());
            }
        }
        let has_changed = !changed.is_empty();
        for id in &changed {
            self.changes.record_routing(id);
        }
        has_changed
    }
}
