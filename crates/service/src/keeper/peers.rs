//! Which processes are linked, and who leads them.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::HelloFrame;
use crate::frames::LeadHint;
use crate::frames::LinkFrame;
use crate::link::LinkId;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::ConsensusMessageWire;

/// Time for which a keeper that is gone is still dialled, in milliseconds.
const KEEPER_KEPT_MS: u64 = 30_000;

impl<D: TargetDialect> KeeperCore<D> {
    pub(super) fn dial(&mut self) {
        let time = now();
        let members: Vec<SocketAddr> = self
            .voter
            .iter()
            .flat_map(|it| it.node.membership().members())
            .filter_map(|(_, record)| record.address.parse().ok())
            .collect();
        self.keepers
            .retain(|_, at| time.since(*at) < KEEPER_KEPT_MS);
        let mut wanted: BTreeSet<SocketAddr> = self.settings.seeds.clone();
        wanted.extend(members);
        wanted.extend(self.keepers.keys());
        self.hub.update_hello(|it| it.keepers = wanted.clone());
        let _runtime = self.runtime.enter();
        self.hub.set_peers(wanted);
    }

    pub(super) fn on_link_up(&mut self, link: LinkId, hello: HelloFrame, dialled: bool) {
        let time = now();
        if let Some(cluster) = hello.cluster {
            self.join_cluster(cluster);
        }
        if hello.node.is_some() {
            self.share_texts_anew();
        }
        let mut fresh = false;
        if let Some(address) = hello.address {
            fresh |= self.keepers.insert(address, time).is_none();
        }
        if hello.node.is_some() {
            for address in &hello.keepers {
                fresh |= !self.keepers.contains_key(address);
                self.keepers.entry(*address).or_insert(time);
            }
        }
        self.links.insert(link, (hello, dialled));
        if fresh {
            self.dial();
        }
        self.note_successor(link);
        self.tell_standing(link);
        self.welcome(link);
    }

    /// Notes that a voter's instance has come back with another folder.
    pub(super) fn note_successor(&mut self, link: LinkId) {
        let (Some((hello, _)), Some(voter)) = (self.links.get(&link), &mut self.voter) else {
            return;
        };
        let (Some(node), Some(address)) = (hello.node, hello.address) else {
            return;
        };
        let address = address.to_string();
        let gone: Vec<NodeId> = voter
            .node
            .membership()
            .voters
            .iter()
            .filter(|(id, record)| {
                id.0 != node && record.name == hello.name && record.address == address
            })
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            voter.node.mark_replaced(now(), id);
        }
    }

    /// Tells another keeper whether this one leads, so that it need not wait for a leader that
    /// is gone.
    pub(super) fn tell_standing(&self, link: LinkId) {
        let to_keeper = self
            .links
            .get(&link)
            .is_some_and(|(hello, _)| hello.node.is_some());
        if let Some(voter) = self.voter.as_ref().filter(|_| to_keeper) {
            let wire = ConsensusMessageWire::from(&voter.node.leadership_status());
            self.hub.send(link, &LinkFrame::Consensus(wire));
        }
    }

    pub(super) fn on_link_down(&mut self, link: LinkId) {
        self.links.remove(&link);
        if self.leader.is_some_and(|(_, it)| it == link) {
            self.leader = None;
        }
        self.calls.lose_link(link);
    }

    pub(super) fn on_hint(&mut self, link: LinkId, hint: LeadHint) {
        let known = self.leader.map(|(term, _)| term);
        if hint.leads && known.is_none_or(|term| term <= hint.term) {
            self.leader = Some((hint.term, link));
        }
        if !hint.leads && self.leader.is_some_and(|(_, it)| it == link) {
            self.leader = None;
        }
    }
}
