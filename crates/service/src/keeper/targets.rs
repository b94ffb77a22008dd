//! The targets known last, on disk, for the time right after a restart.

use std::path::Path;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::registry::TargetView;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;
use bergamotlane_storage::load_record;
use bergamotlane_storage::save_record;
use bergamotlane_wire::codec;

/// File that holds the targets known last.
const TARGETS_FILE: &str = "targets";

/// Longest time for which a change of the targets is not saved, in milliseconds.
const TARGETS_PAUSE_MS: u64 = 700;

/// Returns the targets that were known when the process last ran.
pub(super) fn load_targets(data: &Path) -> Vec<TargetView> {
    let Some(record) = load_record(&data.join(TARGETS_FILE)) else {
        return Vec::new();
    };
    match codec::decode(&record) {
        Ok(targets) => targets,
        Err(error) => {
            spdlog::warn!("storage: targets unreadable", kv: { error = error.to_string() });
            Vec::new()
        }
    }
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Sees to it that the targets are saved soon.
    pub(super) fn targets_changed(&mut self) {
        let due = now() + TARGETS_PAUSE_MS;
        self.targets_due = self.targets_due.or(Some(due));
    }

    pub(super) fn save_targets(&mut self, time: ClockTime) {
        if self.targets_due.is_none_or(|it| time < it) {
            return;
        }
        self.targets_due = None;
        if let Some(lead) = &self.lead {
            self.last_targets = lead.registry.views(time);
        }
        let path = self.settings.data.join(TARGETS_FILE);
        if let Err(error) = save_record(&path, &codec::encode(&self.last_targets)) {
            spdlog::warn!("storage: targets not saved", kv: { error = error.to_string() });
        }
    }
}
