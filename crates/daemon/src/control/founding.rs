//! The very first start of a group, and the end of a disk.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::thread::ControlCore;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::GroupMembership;

impl ControlCore {
    pub(super) fn set_cluster(&mut self, cluster: u64) {
        if self.cluster.is_some() {
            return;
        }
        self.cluster = Some(cluster);
        self.local.set_cluster(cluster);
        if let Some(voter) = &mut self.voter
            && let Err(error) = voter.folder.set_cluster(cluster)
        {
            self.lose_disk(&error);
        }
    }

    /// Forms the group at the very first start, on the founder only, and only once every
    /// seed has answered that it knows of no group.
    pub(super) fn found_group(&mut self, time: ClockTime) {
        let Some(voter) = &self.voter else {
            return;
        };
        let fresh = self.cluster.is_none() && voter.node.log().last_index() == 0;
        if !fresh || self.config.founder != self.config.name {
            return;
        }
        let own = self.config.peers;
        let known: BTreeSet<SocketAddr> = self
            .peers
            .values()
            .filter_map(|hello| hello.address.parse().ok())
            .collect();
        let mut seeds = self.config.seeds.iter();
        if !seeds.all(|seed| *seed == own || known.contains(seed)) {
            return;
        }
        let membership = GroupMembership {
            voters: BTreeMap::from([(voter.node.id(), self.own_record())]),
            learners: BTreeMap::new(),
            barred: BTreeSet::new(),
        };
        let cluster = rand::random::<u64>().max(1);
        spdlog::info!("consensus: Forms cluster {cluster:016x}.");
        self.set_cluster(cluster);
        if let Some(voter) = &mut self.voter {
            voter.node.bootstrap(time, membership, &mut self.outputs);
        }
    }

    /// Goes on without voting after storage has failed.
    pub(super) fn lose_disk(&mut self, error: &crate::storage::StorageError) {
        spdlog::error!("consensus: Stops voting, since storage failed: {error}.");
        self.voter = None;
        self.outputs.clear();
        self.end_lead();
    }
}
