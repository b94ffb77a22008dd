//! Bootstrap of the consensus group, and the switch to non-voting after a storage failure.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::thread::ControlCore;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::GroupMembership;

impl ControlCore {
    /// Stores the cluster ID in memory and in the data folder, unless one is known already.
    pub(super) fn set_cluster(&mut self, cluster: u64) {
        if self.cluster.is_some() {
            return;
        }
        self.cluster = Some(cluster);
        self.local.set_cluster(cluster);
        if let Some(voter) = &mut self.voter
            && let Err(error) = voter.folder.set_cluster(cluster)
        {
            self.on_storage_failure(&error);
        }
    }

    /// Bootstraps the consensus group with this instance as its only voter.
    ///
    /// Only the configured founder does so, only while its log is empty and no cluster ID
    /// is known, and only once it is connected to every seed address. A seed of an existing
    /// cluster would have supplied its cluster ID during the handshake.
    pub(super) fn bootstrap_group(&mut self, time: ClockTime) {
        let Some(voter) = &self.voter else {
            return;
        };
        let is_unused = self.cluster.is_none() && voter.node.log().last_index() == 0;
        if !is_unused || self.config.founder != self.config.name {
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
            voters: BTreeMap::from([(voter.node.id(), self.own_member_record())]),
            learners: BTreeMap::new(),
            barred: BTreeSet::new(),
        };
        let cluster = rand::random::<u64>().max(1);
        spdlog::info!("consensus: bootstrapped cluster {cluster:016x}");
        self.set_cluster(cluster);
        if let Some(voter) = &mut self.voter {
            voter.node.bootstrap(time, membership, &mut self.outputs);
        }
    }

    /// Stops voting and leading after a storage failure; the instance stays a follower.
    pub(super) fn on_storage_failure(&mut self, error: &crate::storage::StorageError) {
        spdlog::error!("consensus: stopped voting after a storage failure: {error}");
        self.voter = None;
        self.outputs.clear();
        self.stop_leading();
    }
}
