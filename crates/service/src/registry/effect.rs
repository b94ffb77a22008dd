//! Effect of an announcement on a known target.

use super::target::TargetAnnouncement;
use super::target::TargetEntry;
use super::target::TargetStage;
use bergamotlane_coordination::clock::ClockTime;

/// Effect of an announcement on the registry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementEffect {
    /// None: the announcement is outdated, or its target has left.
    Ignored,
    /// Only the time and sequence number were refreshed.
    Refreshed,
    /// Something changed that only keepers need, such as weight versions or that the target is warm
    /// now, but nothing that [`AnnouncementEffect::Changed`] covers.
    Versions,
    /// The target is new, or something that matters for routing changed, such as its address,
    /// stage or capacity.
    Changed,
}

/// Returns the effect of an announcement on a known target.
pub(super) fn effect_of(
    old: &TargetEntry,
    announcement: &TargetAnnouncement,
    stage: TargetStage,
    now: ClockTime,
) -> AnnouncementEffect {
    let same = old.stage == stage
        && old.announcement.address == announcement.address
        && old.announcement.service == announcement.service
        && old.announcement.zone == announcement.zone
        && old.announcement.capacity == announcement.capacity
        && old.announcement.born == announcement.born
        && old.announcement.software == announcement.software
        && old.is_cold(now) == (announcement.cold_left_ms > 0);
    // Followers compare announcements with the view: one that still shows a target as cold would have
    // them pass on all its later heartbeats.
    let is_as_viewed = old.announcement.models == announcement.models
        && old.announcement.is_reclaimable == announcement.is_reclaimable
        && (old.announcement.cold_left_ms > 0) == (announcement.cold_left_ms > 0);
    match (same, is_as_viewed) {
        (false, _) => AnnouncementEffect::Changed,
        (true, false) => AnnouncementEffect::Versions,
        (true, true) => AnnouncementEffect::Refreshed,
    }
}
