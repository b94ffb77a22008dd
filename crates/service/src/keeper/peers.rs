//! Links to other keepers and entries, and the leader that these announce.

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::HelloFrame;
use crate::frames::LeadHint;
use crate::frames::LinkFrame;
use crate::link::LinkId;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::ConsensusMessageWire;
use bergamotlane_wire::codec;

/// Interval between two updates of the links, in milliseconds.
const PEERS_INTERVAL_MS: u64 = 500;

impl<D: TargetDialect> KeeperCore<D> {
    /// Passes the addresses of the keepers to link to to the link hub, and tells linked processes of
    /// the members if they have changed.
    pub(super) fn update_peers(&mut self) {
        if *self.directory.members() != self.sent_members {
            self.sent_members.clone_from(self.directory.members());
            let frame = codec::encode(&LinkFrame::Members(self.sent_members.clone()));
            for link in self.links.keys() {
                self.hub.send_encoded(*link, frame.clone());
            }
        }
        let primary = self.directory.primary_peers();
        self.hub.update_hello(|it| it.keepers = primary);
        let _runtime = self.runtime.enter();
        self.hub.set_peers(self.directory.peers(now()));
    }

    /// Updates the links at their interval, since other keepers are tried while no leader is known.
    pub(super) fn update_peers_if_due(&mut self, time: ClockTime) {
        if time < self.peers_due {
            return;
        }
        self.peers_due = time + PEERS_INTERVAL_MS;
        let knows_leader = self.leader.is_some() || self.is_confirmed_leader();
        self.directory.set_leader_known(time, knows_leader);
        self.update_peers();
    }

    pub(super) fn on_link_up(&mut self, link: LinkId, hello: HelloFrame, dialled: bool) {
        let time = now();
        if time < self.links_from {
            self.hub.close(link);
            return;
        }
        if let Some(cluster) = hello.cluster {
            self.join_cluster(cluster);
        }
        if hello.node.is_some() {
            self.restart_text_replication();
        }
        self.directory.learn(time, hello.address);
        if hello.node.is_some() {
            self.directory.learn(time, hello.keepers.iter().copied());
        }
        self.links.insert(link, (hello, dialled));
        if !self.sent_members.addresses.is_empty() {
            let members = self.sent_members.clone();
            self.hub.send(link, &LinkFrame::Members(members));
        }
        self.update_peers();
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
        self.heartbeats.lose_link(link);
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
