//! What changed in the registry, for the views and for the leader's engines.

use std::collections::BTreeSet;

/// IDs of the targets that changed since the changes were last taken, those that are gone included.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RegistryChanges {
    /// Targets with changes that matter for routing.
    pub routing: BTreeSet<String>,
    /// Targets of which only weight versions changed, or something else that only keepers need.
    pub versions: BTreeSet<String>,
}

impl RegistryChanges {
    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.routing.is_empty() && self.versions.is_empty()
    }
}

/// Changes that have not been taken yet.
#[derive(Debug, Default)]
pub(super) struct ChangeLog {
    views: RegistryChanges,
    engines: BTreeSet<String>,
}

impl ChangeLog {
    /// Records a change that no view has to tell of.
    pub(super) fn record_unseen(&mut self, id: &str) {
        self.engines.insert(id.to_owned());
    }

    /// Records a change that matters for routing.
    pub(super) fn record_routing(&mut self, id: &str) {
        self.engines.insert(id.to_owned());
        self.views.routing.insert(id.to_owned());
    }

    /// Records a change of weight versions, or of something else that only keepers need.
    pub(super) fn record_version(&mut self, id: &str) {
        self.engines.insert(id.to_owned());
        self.views.versions.insert(id.to_owned());
    }

    /// Returns the changes for the views since this method was last called.
    pub(super) fn take_views(&mut self) -> RegistryChanges {
        std::mem::take(&mut self.views)
    }

    /// Returns the changes for the engines since this method was last called.
    pub(super) fn take_engines(&mut self) -> BTreeSet<String> {
        std::mem::take(&mut self.engines)
    }
}
