//! Directory of keepers: which of them a process links to.
//!
//! A process links to the seeds and to the members of the consensus group, one of which leads. The
//! number of its links therefore doesn't grow with the number of keepers. While no leader is
//! known for long, it also tries a few of the other keepers that it has heard of, since the
//! members may have been replaced while it was cut off.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use bergamotlane_coordination::clock::ClockTime;

/// Time without a leader after which other keepers are tried, in milliseconds; it is the length of
/// a round too.
const ROUND_MS: u64 = 2_000;

/// Number of other keepers that are tried in a round.
const TRIED_KEEPERS: usize = 4;

/// Time for which an address is remembered after it was last heard of, in milliseconds.
const RETENTION_MS: u64 = 60_000;

/// Members of the consensus group by their link addresses; the later log entry is the greater one.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GroupMembers {
    /// Term of the log entry that set the membership.
    pub term: u64,
    /// Index of that entry.
    pub index: u64,
    /// Link addresses of the members.
    pub addresses: BTreeSet<SocketAddr>,
}

/// Keepers that a process has heard of.
#[derive(Debug)]
pub struct KeeperDirectory {
    /// Name of the instance, which decides the order in which it tries other keepers.
    instance: String,
    seeds: BTreeSet<SocketAddr>,
    members: GroupMembers,
    /// All keepers, with the time at which each was last heard of.
    known: BTreeMap<SocketAddr, ClockTime>,
    leaderless_since: Option<ClockTime>,
}

impl KeeperDirectory {
    /// Returns the directory of an instance that knows only the seeds, and no leader yet.
    pub fn new(now: ClockTime, instance: &str, seeds: BTreeSet<SocketAddr>) -> Self {
        Self {
            instance: instance.to_owned(),
            seeds,
            members: GroupMembers::default(),
            known: BTreeMap::new(),
            leaderless_since: Some(now),
        }
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: BTreeSet<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Replaces the members of the consensus group; an empty set is ignored.
    pub fn set_members(&mut self, members: GroupMembers) {
        if !members.addresses.is_empty() {
            self.members = members;
        }
    }

    /// Records that keepers exist at these addresses.
    pub fn learn(&mut self, now: ClockTime, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.known.extend(addresses.into_iter().map(|it| (it, now)));
        self.known.retain(|_, at| now.since(*at) < RETENTION_MS);
    }

    /// Records whether a leader is known.
    pub fn set_leader_known(&mut self, now: ClockTime, is_known: bool) {
        self.leaderless_since = match is_known {
            true => None,
            false => self.leaderless_since.or(Some(now)),
        };
    }

    /// Takes over the members that another keeper reports if they are later than the known ones,
    /// unless this process knows a leader, whose views are more recent.
    ///
    /// Without that order, keepers that hold two memberships would take them over from each other
    /// and pass them on without end.
    pub fn hear_members(&mut self, members: GroupMembers) {
        let is_first = self.members.addresses.is_empty();
        if is_first || (self.leaderless_since.is_some() && members > self.members) {
            self.set_members(members);
        }
    }

    /// Returns the members of the consensus group, as far as they are known.
    pub fn members(&self) -> &GroupMembers {
        &self.members
    }

    /// Returns the keepers to link to first: the seeds and members.
    pub fn primary_peers(&self) -> BTreeSet<SocketAddr> {
        self.seeds.union(&self.members.addresses).copied().collect()
    }

    /// Returns the addresses to link to now.
    pub fn peers(&self, now: ClockTime) -> BTreeSet<SocketAddr> {
        let mut peers = self.primary_peers();
        // Before the members are known, what other processes tell is all there is.
        if self.members.addresses.is_empty() {
            peers.extend(self.known.keys());
            return peers;
        }
        let leaderless_ms = self.leaderless_since.map_or(0, |it| now.since(it));
        let round = leaderless_ms / ROUND_MS;
        if round > 0 {
            let mut others: Vec<SocketAddr> = self.known.keys().copied().collect();
            others.retain(|it| !peers.contains(it));
            others.sort_by_cached_key(|it| self.rank(*it, round));
            peers.extend(others.into_iter().take(TRIED_KEEPERS));
        }
        peers
    }

    /// Returns the place of an address in this instance's order of a round.
    fn rank(&self, address: SocketAddr, round: u64) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.instance.as_bytes());
        hasher.update(address.to_string().as_bytes());
        hasher.update(&round.to_le_bytes());
        *hasher.finalize().as_bytes()
    }
}
