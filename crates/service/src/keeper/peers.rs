//! Links to other keepers and entries, and the leader that these announce.

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

/// Time for which a keeper that is neither a seed nor a member is dialled after its address was
/// learned or its link came up, in milliseconds.
const KEEPER_RETENTION_MS: u64 = 30_000;

impl<D: TargetDialect> KeeperCore<D> {
    /// Passes the addresses of the seeds, the members and other known keepers to the link hub.
    pub(super) fn update_peers(&mut self) {
        let time = now();
        let members: Vec<SocketAddr> = self
            .voter
            .iter()
            .flat_map(|it| it.node.membership().members())
            .filter_map(|(_, record)| record.address.parse().ok())
            .collect();
        self.keepers
            .retain(|_, at| time.since(*at) < KEEPER_RETENTION_MS);
        let mut addresses: BTreeSet<SocketAddr> = self.settings.seeds.clone();
        addresses.extend(members);
        addresses.extend(self.keepers.keys());
        self.hub.update_hello(|it| it.keepers = addresses.clone());
        let _runtime = self.runtime.enter();
        self.hub.set_peers(addresses);
    }

    pub(super) fn on_link_up(&mut self, link: LinkId, hello: HelloFrame, dialled: bool) {
        let time = now();
        if let Some(cluster) = hello.cluster {
            self.join_cluster(cluster);
        }
        if hello.node.is_some() {
            self.restart_text_replication();
        }
        let mut has_new_address = false;
        if let Some(address) = hello.address {
            has_new_address |= self.keepers.insert(address, time).is_none();
        }
        if hello.node.is_some() {
            for address in &hello.keepers {
                has_new_address |= !self.keepers.contains_key(address);
                self.keepers.entry(*address).or_insert(time);
            }
        }
        self.links.insert(link, (hello, dialled));
        if has_new_address {
            self.update_peers();
        }
        self.mark_replaced_voters(link);
        self.send_leadership_status(link);
        self.send_full_view(link);
    }

    /// Marks a voter as replaced in the consensus node if its instance has connected with a
    /// different data folder, since the voter then never returns.
    pub(super) fn mark_replaced_voters(&mut self, link: LinkId) {
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

    /// Sends another keeper the leadership status of this one, so that the other need not wait for
    /// the lease of a leader that no longer runs to expire.
    pub(super) fn send_leadership_status(&self, link: LinkId) {
        let is_keeper = self
            .links
            .get(&link)
            .is_some_and(|(hello, _)| hello.node.is_some());
        if let Some(voter) = self.voter.as_ref().filter(|_| is_keeper) {
            let wire = ConsensusMessageWire::from(&voter.node.leadership_status());
            self.hub.send(link, &LinkFrame::Consensus(wire));
        }
    }

    pub(super) fn on_link_down(&mut self, link: LinkId) {
        self.links.remove(&link);
        if self.leader.is_some_and(|(_, it)| it == link) {
            self.leader = None;
        }
        self.calls.fail_link(link);
    }

    /// Records the peer as leader if it reports that it leads and no leader of a higher term is
    /// known; clears the leader if that peer no longer leads.
    pub(super) fn on_hint(&mut self, link: LinkId, hint: LeadHint) {
        let known_term = self.leader.map(|(term, _)| term);
        if hint.leads && known_term.is_none_or(|term| term <= hint.term) {
            self.leader = Some((hint.term, link));
        }
        if !hint.leads && self.leader.is_some_and(|(_, it)| it == link) {
            self.leader = None;
        }
    }
}
