//! Views: the plan, zones, targets and keepers that the leader sends to entries and other keepers.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::LinkFrame;
use crate::frames::ViewFrame;
use crate::link::LinkId;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::codec;

/// Parts of the view that changed since it was last sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ViewChanges {
    pub(super) plan: bool,
    pub(super) zones: bool,
    pub(super) targets: bool,
    /// Only weight versions of targets; entries don't need these, so keepers alone are sent them.
    pub(super) versions: bool,
    pub(super) keepers: bool,
}

impl ViewChanges {
    /// Returns all parts that a full view has; its targets include their weight versions.
    pub(super) fn all() -> Self {
        Self {
            plan: true,
            zones: true,
            targets: true,
            versions: false,
            keepers: true,
        }
    }

    fn is_empty(self) -> bool {
        self == Self::default()
    }
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Returns the number of linked entries.
    pub(super) fn entry_count(&self) -> u32 {
        let entries = self
            .links
            .values()
            .filter(|(hello, _)| hello.node.is_none());
        entries.count() as u32
    }

    /// Returns the link addresses of all members and linked keepers, this one included.
    fn keeper_addresses(&self) -> BTreeSet<SocketAddr> {
        let members = self
            .voter
            .iter()
            .flat_map(|it| it.node.membership().members())
            .filter_map(|(_, record)| record.address.parse().ok());
        let linked = self.links.values().filter_map(|(hello, _)| hello.address);
        members.chain(linked).chain([self.settings.link]).collect()
    }

    /// Returns a view with the changed parts that the receiver needs, or `None` if it needs none.
    fn build_view(&self, changes: ViewChanges, for_keeper: bool) -> Option<ViewFrame> {
        let lead = self.lead.as_ref()?;
        let targets = changes.targets || (for_keeper && changes.versions);
        let plan = self
            .state
            .plan
            .as_ref()
            .filter(|_| changes.plan && !for_keeper);
        let view = ViewFrame {
            term: lead.term,
            plan: plan.map(|it| it.plan.clone()),
            evacuated: (changes.zones && !for_keeper)
                .then(|| self.state.evacuated.iter().cloned().collect()),
            targets: targets.then(|| lead.registry.views(now())),
            keepers: changes.keepers.then(|| self.keeper_addresses()),
            entries: self.entry_count(),
        };
        let has_content = view.plan.is_some()
            || view.evacuated.is_some()
            || view.targets.is_some()
            || view.keepers.is_some();
        has_content.then_some(view)
    }

    /// Sends the full view to a process that has just connected; views go only over links that the
    /// other side dialled.
    pub(super) fn send_full_view(&mut self, link: LinkId) {
        if !self.is_confirmed_leader() || !self.lead.as_ref().is_some_and(|it| it.active) {
            return;
        }
        let Some((hello, dialled)) = self.links.get(&link) else {
            return;
        };
        if *dialled {
            return;
        }
        if let Some(view) = self.build_view(ViewChanges::all(), hello.node.is_some()) {
            self.hub.send(link, &LinkFrame::View(Box::new(view)));
        }
        if let Some(lead) = &mut self.lead {
            lead.full_view_links.insert(link);
        }
    }

    /// Sends the changed parts of the view to all linked processes.
    pub(super) fn push_views(&mut self) {
        if !self.is_confirmed_leader() {
            return;
        }
        let Some(lead) = &mut self.lead else {
            return;
        };
        let changes = std::mem::take(&mut lead.changes);
        if changes.is_empty() {
            return;
        }
        if changes.targets {
            let has_scores = !lead.scores.is_empty();
            self.schedule_targets_save();
            if has_scores {
                self.update_chooser(now());
            }
        }
        for for_keeper in [false, true] {
            let Some(view) = self.build_view(changes, for_keeper) else {
                continue;
            };
            let frame = codec::encode(&LinkFrame::View(Box::new(view)));
            for (link, (hello, dialled)) in &self.links {
                if !dialled && hello.node.is_some() == for_keeper {
                    self.hub.send_encoded(*link, frame.clone());
                }
            }
        }
    }
}
