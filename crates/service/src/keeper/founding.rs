//! The very first start of a group, without a named founder.
//!
//! All seeds form the same group once each knows the folder of every other one. What they form
//! depends on the folders alone, so no order of their starts matters. A seed that comes back
//! without its folder may not found again: it is taken in like any other spare.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::consensus::MemberRecord;
use bergamotlane_coordination::ident::NodeId;

/// Returns the founding members if every seed is known, by address and folder.
pub(super) fn founders(
    seeds: &BTreeSet<std::net::SocketAddr>,
    hellos: &[&crate::frames::HelloFrame],
) -> Option<BTreeMap<NodeId, MemberRecord>> {
    let mut members = BTreeMap::new();
    for seed in seeds {
        let hello = hellos
            .iter()
            .find(|it| it.address == Some(*seed) && it.founds && it.cluster.is_none())?;
        let record = MemberRecord {
            name: hello.name.clone(),
            address: seed.to_string(),
            zone: hello.zone.clone(),
        };
        members.insert(NodeId(hello.node?), record);
    }
    (members.len() == seeds.len()).then_some(members)
}

/// Returns the cluster ID of a group founded by these folders.
fn cluster_of(members: &BTreeMap<NodeId, MemberRecord>) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for node in members.keys() {
        hasher.update(&node.0.to_le_bytes());
    }
    let hash = hasher.finalize();
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes).max(1)
}

impl<D: TargetDialect> KeeperCore<D> {
    pub(super) fn join_cluster(&mut self, cluster: u64) {
        if self.hello.cluster.is_some() {
            return;
        }
        self.hello.cluster = Some(cluster);
        self.hub.update_hello(|it| it.cluster = Some(cluster));
        if let Some(voter) = &mut self.voter
            && let Err(error) = voter.folder.set_cluster(cluster)
        {
            self.lose_disk(&error);
        }
    }

    pub(super) fn found_group(&mut self, time: ClockTime) {
        let Some(voter) = &self.voter else {
            return;
        };
        if !self.hello.founds || self.hello.cluster.is_some() || voter.node.log().last_index() > 0 {
            return;
        }
        let mut hellos: Vec<&crate::frames::HelloFrame> =
            self.links.values().rev().map(|(hello, _)| hello).collect();
        hellos.push(&self.hello);
        let Some(members) = founders(&self.settings.seeds, &hellos) else {
            return;
        };
        let cluster = cluster_of(&members);
        spdlog::info!("consensus: group founded", kv: { cluster = cluster, members = members.len() });
        let membership = GroupMembership {
            voters: members,
            ..GroupMembership::default()
        };
        self.join_cluster(cluster);
        if let Some(voter) = &mut self.voter {
            voter.node.bootstrap(time, membership, &mut self.outputs);
        }
    }
}
