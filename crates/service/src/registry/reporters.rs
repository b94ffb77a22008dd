//! Keepers that report which targets live, and what a late batch of theirs means.

use std::collections::BTreeMap;

use super::REMOVED_AFTER_MS;
use super::SILENT_AFTER_MS;
use crate::heartbeats::BATCH_INTERVAL_MS;
use bergamotlane_coordination::clock::ClockTime;

/// Time of the last batch of heartbeats of each keeper, by node.
#[derive(Debug, Default)]
pub(super) struct ReporterTimes {
    reported_at: BTreeMap<u64, ClockTime>,
}

impl ReporterTimes {
    /// Records that a batch came from a keeper.
    pub(super) fn record(&mut self, now: ClockTime, reporter: u64) {
        self.reported_at
            .retain(|_, at| now.since(*at) < REMOVED_AFTER_MS);
        self.reported_at.insert(reporter, now);
    }

    /// Returns whether a heartbeat within the time limit may be in a batch that is late by less than
    /// the limit: the last one of the keeper came before its target, last announced at `announced_at`,
    /// became silent.
    pub(super) fn is_awaited(
        &self,
        now: ClockTime,
        reporter: Option<u64>,
        announced_at: ClockTime,
    ) -> bool {
        let Some(reported_at) = reporter.and_then(|it| self.reported_at.get(&it)) else {
            return false;
        };
        let is_late = now.since(*reported_at) < BATCH_INTERVAL_MS + SILENT_AFTER_MS;
        *reported_at < announced_at + SILENT_AFTER_MS && is_late
    }
}
