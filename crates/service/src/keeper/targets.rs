//! Copy of the last known targets on disk, so that a restarted keeper knows them before they
//! announce themselves again.

use std::collections::BTreeMap;
use std::path::Path;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::ViewFrame;
use crate::registry::TargetView;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;
use bergamotlane_storage::load_record;
use bergamotlane_storage::save_record;
use bergamotlane_wire::codec;

/// Name of the file in the data folder that holds the last known targets.
const TARGETS_FILE: &str = "targets";

/// Delay from a change of the targets until they are saved, in milliseconds.
const TARGETS_SAVE_DELAY_MS: u64 = 700;

/// Returns the targets that an earlier run of the process saved, by ID; empty if there is no usable
/// copy.
pub(super) fn load_targets(data: &Path) -> BTreeMap<String, TargetView> {
    let Some(record) = load_record(&data.join(TARGETS_FILE)) else {
        return BTreeMap::new();
    };
    match codec::decode(&record) {
        Ok(targets) => by_id(targets),
        Err(error) => {
            spdlog::warn!("storage: saved targets could not be decoded", kv: { error = error.to_string() });
            BTreeMap::new()
        }
    }
}

/// Returns views of targets by the IDs of the targets.
pub(super) fn by_id(targets: Vec<TargetView>) -> BTreeMap<String, TargetView> {
    let targets = targets.into_iter();
    targets.map(|it| (it.announcement.id.clone(), it)).collect()
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Schedules a save of the targets, unless one is due already.
    pub(super) fn schedule_targets_save(&mut self) {
        let due = now() + TARGETS_SAVE_DELAY_MS;
        self.targets_due = self.targets_due.or(Some(due));
    }

    /// Takes over the targets and their changes from a leader's view.
    pub(super) fn receive_targets(&mut self, view: &mut ViewFrame) {
        if let Some(targets) = view.targets.take() {
            self.last_targets = by_id(targets);
            self.schedule_targets_save();
        }
        if view.changed.is_empty() && view.removed.is_empty() {
            return;
        }
        let changed = std::mem::take(&mut view.changed);
        self.last_targets.extend(by_id(changed));
        for id in &view.removed {
            self.last_targets.remove(id);
        }
        self.schedule_targets_save();
    }

    pub(super) fn save_targets_if_due(&mut self, time: ClockTime) {
        if self.targets_due.is_none_or(|it| time < it) {
            return;
        }
        self.targets_due = None;
        if let Some(lead) = &self.lead {
            self.last_targets = by_id(lead.registry.views(time));
        }
        let targets: Vec<&TargetView> = self.last_targets.values().collect();
        let path = self.settings.data.join(TARGETS_FILE);
        if let Err(error) = save_record(&path, &codec::encode(&targets)) {
            spdlog::warn!("storage: targets could not be saved", kv: { error = error.to_string() });
        }
    }
}
