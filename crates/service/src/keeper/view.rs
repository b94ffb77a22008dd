//! Views: the plan, zones, targets and keepers that the leader sends to entries and other keepers.
//!
//! A process gets the whole view when its link comes up, and then only what changes. Entries get
//! the targets of services that callers' requests may go to; keepers get all of them, so that the
//! next leader knows them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::directory::GroupMembers;
use crate::frames::LinkFrame;
use crate::frames::ViewFrame;
use crate::link::LinkId;
use crate::plan::RouteKind;
use crate::registry::RegistryChanges;
use crate::registry::TargetEntry;
use crate::registry::TargetView;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::codec;

/// Time for which changes of the targets are collected before they are sent, in milliseconds.
const VIEW_INTERVAL_MS: u64 = 60;

/// Parts of the view that changed since it was last sent, other than single targets.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct ViewChanges {
    pub(super) plan: bool,
    pub(super) zones: bool,
    pub(super) all_targets: bool,
    pub(super) keepers: bool,
    pub(super) suspects: bool,
}

impl ViewChanges {
    /// Returns all parts that a full view has.
    pub(super) fn all() -> Self {
        Self {
            plan: true,
            zones: true,
            all_targets: true,
            keepers: true,
            suspects: true,
        }
    }

    fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// Kind of process that receives a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ViewReceiver {
    Entry,
    Keeper,
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

    /// Returns the members of the consensus group, none after storage failed.
    pub(super) fn members(&self) -> GroupMembers {
        let Some(voter) = &self.voter else {
            return GroupMembers::default();
        };
        let (term, index) = voter.node.membership_version();
        let records = voter.node.membership().members();
        GroupMembers {
            term,
            index,
            addresses: records
                .filter_map(|(_, record)| record.address.parse().ok())
                .collect(),
        }
    }

    /// Returns the link addresses of all members and linked keepers, this one included.
    fn keeper_addresses(&self) -> BTreeSet<SocketAddr> {
        let mut addresses = self.members().addresses;
        addresses.extend(self.links.values().filter_map(|(hello, _)| hello.address));
        addresses.insert(self.settings.link);
        addresses
    }

    /// Returns the names of the services that callers' requests may go to.
    fn caller_services(&self) -> BTreeSet<String> {
        let routes = self.state.plan.iter().flat_map(|it| &it.plan.routes);
        let plain = routes.filter(|it| it.kind != RouteKind::Rollout);
        plain
            .flat_map(|it| it.shares.iter().map(|share| share.service.clone()))
            .collect()
    }

    /// Returns a view with the changed parts that the receiver needs, or `None` if it needs none.
    fn build_view(
        &self,
        changes: ViewChanges,
        targets: &RegistryChanges,
        receiver: ViewReceiver,
    ) -> Option<ViewFrame> {
        let lead = self.lead.as_ref()?;
        let time = now();
        let for_entry = receiver == ViewReceiver::Entry;
        let services = self.caller_services();
        let is_needed =
            |entry: &TargetEntry| !for_entry || services.contains(&entry.announcement.service);
        let all_targets = || -> Vec<TargetView> {
            let entries = lead.registry.iter().map(|(_, entry)| entry);
            entries
                .filter(|it| is_needed(it))
                .map(|it| it.view(time))
                .collect()
        };
        let versions = targets.versions.iter().filter(|_| !for_entry);
        let ids = targets.routing.iter().chain(versions);
        let (mut changed, mut removed) = (Vec::new(), Vec::new());
        for id in ids.filter(|_| !changes.all_targets) {
            match lead.registry.get(id) {
                Some(entry) if is_needed(entry) => changed.push(entry.view(time)),
                Some(_) => {}
                None => removed.push(id.clone()),
            }
        }
        let plan = self
            .state
            .plan
            .as_ref()
            .filter(|_| changes.plan && for_entry);
        let view = ViewFrame {
            term: lead.term,
            plan: plan.map(|it| it.plan.clone()),
            evacuated: (changes.zones && for_entry)
                .then(|| self.state.evacuated.iter().cloned().collect()),
            targets: changes.all_targets.then(all_targets),
            changed,
            removed,
            keepers: changes.keepers.then(|| self.keeper_addresses()),
            members: changes.keepers.then(|| self.members()),
            heartbeat_keepers: (changes.keepers && !for_entry).then(|| self.heartbeat_keepers()),
            suspects: changes.suspects.then(|| self.suspect_views(time)),
            entries: self.entry_count(),
        };
        let has_content = view.plan.is_some()
            || view.evacuated.is_some()
            || view.targets.is_some()
            || !view.changed.is_empty()
            || !view.removed.is_empty()
            || view.keepers.is_some()
            || view.suspects.is_some();
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
        let receiver = match hello.node {
            Some(_) => ViewReceiver::Keeper,
            None => ViewReceiver::Entry,
        };
        let none = RegistryChanges::default();
        if let Some(view) = self.build_view(ViewChanges::all(), &none, receiver) {
            self.hub.send(link, &LinkFrame::View(Box::new(view)));
        }
    }

    /// Sends the changed parts of the view to all linked processes.
    pub(super) fn push_views(&mut self) {
        if !self.is_confirmed_leader() {
            return;
        }
        let time = now();
        let services = self.caller_services();
        let heartbeat_keepers = self.heartbeat_keepers();
        let Some(lead) = &mut self.lead else {
            return;
        };
        lead.views_due = time + VIEW_INTERVAL_MS;
        let mut changes = std::mem::take(&mut lead.changes);
        // A plan may lead callers to targets that entries have not been sent before.
        if lead.sent_services != services {
            changes.all_targets = true;
            lead.sent_services = services;
        }
        if lead.sent_heartbeat_keepers != heartbeat_keepers {
            changes.keepers = true;
            self.heartbeats.set_keepers(heartbeat_keepers.clone());
            lead.sent_heartbeat_keepers = heartbeat_keepers;
        }
        let targets = lead.registry.take_changes();
        if changes.is_empty() && targets.is_empty() {
            return;
        }
        let has_scores = !lead.scores.is_empty();
        if changes.all_targets || !targets.routing.is_empty() {
            self.schedule_targets_save();
            if has_scores {
                self.update_chooser(time);
            }
        }
        for receiver in [ViewReceiver::Entry, ViewReceiver::Keeper] {
            let Some(view) = self.build_view(changes, &targets, receiver) else {
                continue;
            };
            let frame = codec::encode(&LinkFrame::View(Box::new(view)));
            for (link, (hello, dialled)) in &self.links {
                let is_keeper = hello.node.is_some();
                if !dialled && is_keeper == (receiver == ViewReceiver::Keeper) {
                    self.hub.send_encoded(*link, frame.clone());
                }
            }
        }
    }
}
