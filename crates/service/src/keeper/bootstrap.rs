//! Bootstrap of the consensus group by its seeds, without a designated first member.
//!
//! A seed bootstraps the group once it knows the identity of every other seed's data folder. The
//! membership and the cluster ID depend on these identities alone, so all seeds form the same
//! group in whatever order they start. A seed that restarts without its data folder must not
//! bootstrap a group again; it joins the existing one like any other spare.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::HelloFrame;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::consensus::MemberRecord;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_storage::FolderIdentity;

/// Time within which a link is up on which this process has introduced itself, in milliseconds.
const INTRODUCTION_LIMIT_MS: u64 = 1_000;

/// Returns the initial members if every seed has introduced itself with the identity of its data
/// folder, may bootstrap the group and belongs to no cluster yet.
pub(super) fn initial_members(
    seeds: &BTreeSet<SocketAddr>,
    hellos: &[&HelloFrame],
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

/// Returns the nonzero cluster ID, a hash of the initial members' data folder identities.
fn cluster_id(members: &BTreeMap<NodeId, MemberRecord>) -> u64 {
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
    /// Adopts a cluster ID and stores it, unless this keeper already belongs to a cluster.
    pub(super) fn join_cluster(&mut self, cluster: u64) {
        if self.hello.cluster.is_some() {
            return;
        }
        self.hello.cluster = Some(cluster);
        self.hub.update_hello(|it| it.cluster = Some(cluster));
        self.store_cluster();
    }

    /// Stores the cluster ID in the data folder, if it is known.
    pub(super) fn store_cluster(&mut self) {
        if let (Some(cluster), Some(voter)) = (self.hello.cluster, &mut self.voter)
            && voter.folder.identity().cluster != Some(cluster)
            && let Err(error) = voter.folder.set_cluster(cluster)
        {
            self.handle_storage_failure(&error);
        }
    }

    /// Becomes the node that the data folder names, if it is another one than before. Links end, since
    /// peers know them as those of the earlier node, whose votes the folder doesn't have.
    pub(super) fn adopt_identity(&mut self, time: ClockTime, identity: FolderIdentity) {
        let earlier = self.hello.node;
        if earlier == Some(identity.node) {
            return;
        }
        spdlog::warn!("storage: the data folder is another one", kv: {
            node = identity.node,
            earlier = earlier.unwrap_or_default(),
        });
        self.hello.node = Some(identity.node);
        // The group exists, whatever an empty folder says.
        self.hello.founds = false;
        self.hub.update_hello(|it| {
            it.node = Some(identity.node);
            it.founds = false;
        });
        self.links_from = time + INTRODUCTION_LIMIT_MS;
        for link in self.links.keys().copied().collect::<Vec<_>>() {
            self.hub.close(link);
            self.on_link_down(link);
        }
    }

    /// Bootstraps the group if this keeper may do so and every seed has introduced itself.
    pub(super) fn try_bootstrap(&mut self, time: ClockTime) {
        let Some(voter) = &self.voter else {
            return;
        };
        if !self.hello.founds || self.hello.cluster.is_some() || voter.node.log().last_index() > 0 {
            return;
        }
        let mut hellos: Vec<&HelloFrame> =
            self.links.values().rev().map(|(hello, _)| hello).collect();
        hellos.push(&self.hello);
        let Some(members) = initial_members(&self.settings.seeds, &hellos) else {
            return;
        };
        let cluster = cluster_id(&members);
        spdlog::info!("consensus: group formed", kv: { cluster, members = members.len() });
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
