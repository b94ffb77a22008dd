//! Heartbeats of targets that a following keeper answers by itself.
//!
//! Targets are spread over the keepers that follow. A keeper that knows from the leader's view what a
//! target announces takes its heartbeat, and reports to the leader in batches which targets live.
//! Whatever differs from the view goes to the leader as a call.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::link::LinkId;
use crate::registry::TargetAnnouncement;
use crate::registry::TargetStage;
use crate::registry::TargetView;
use bergamotlane_coordination::clock::ClockTime;

/// Time for which nothing may have come from the leader until its view counts as outdated, in
/// milliseconds; it is the length of a lease.
const VIEW_FRESH_MS: u64 = 900;

/// Interval between two batches, in milliseconds.
pub(crate) const BATCH_INTERVAL_MS: u64 = 200;

/// Time for which batches, even empty ones, follow the last heartbeat that was taken, in milliseconds:
/// the leader then knows that a target's heartbeat is not under way.
const REPORT_AFTER_MS: u64 = 10_000;

/// Time for which a target whose heartbeat the leader did not take announces itself to the leader, in
/// milliseconds.
const REFUSAL_MS: u64 = 3_000;

/// Sign of life of a target, for the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetBeat {
    /// ID of the target.
    pub id: String,
    /// Start time of the target's process, in milliseconds since 1970.
    pub born: u64,
    /// Sequence number of the announcement.
    pub sequence: u64,
    /// Time since the announcement was received, in milliseconds.
    pub age_ms: u64,
}

/// Signs of life that a keeper has received since its last batch.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatBatch {
    /// Term of the leader with whose view the announcements were compared.
    pub term: u64,
    /// Targets that live, each one once.
    pub beats: Vec<TargetBeat>,
}

/// Last announcement of a target that a keeper has taken.
#[derive(Debug, Clone, Copy)]
struct TakenBeat {
    born: u64,
    sequence: u64,
    at: ClockTime,
    is_sent: bool,
}

/// Heartbeats that a following keeper has taken for the leader.
#[derive(Debug, Default)]
pub struct HeartbeatBook {
    /// Term and link of the leader whose whole list of targets was received.
    view: Option<(u64, LinkId)>,
    /// Time at which that leader was last heard of.
    heard_at: ClockTime,
    /// Control addresses over which the targets are spread.
    keepers: BTreeSet<SocketAddr>,
    taken: BTreeMap<String, TakenBeat>,
    /// Targets whose heartbeats the leader did not take, each with the end of the time for which
    /// they go to the leader.
    refused: BTreeMap<String, ClockTime>,
    last_taken_at: Option<ClockTime>,
    batch_due: ClockTime,
}

impl HeartbeatBook {
    /// Records that all targets were received from a leader over a link. `reads_batches` tells whether
    /// the leader's build knows batches; for one that doesn't, no heartbeat is taken.
    pub fn begin_view(&mut self, now: ClockTime, term: u64, link: LinkId, reads_batches: bool) {
        let view = reads_batches.then_some((term, link));
        if self.view != view {
            *self = Self {
                view,
                keepers: std::mem::take(&mut self.keepers),
                ..Self::default()
            };
        }
        self.heard_at = now;
    }

    /// Records that something came over a link.
    pub fn record_frame(&mut self, now: ClockTime, link: LinkId) {
        if self.view.is_some_and(|(_, it)| it == link) {
            self.heard_at = now;
        }
    }

    /// Replaces the control addresses over which the targets are spread.
    pub fn set_keepers(&mut self, keepers: BTreeSet<SocketAddr>) {
        self.keepers = keepers;
    }

    /// Returns the control address for a target's next heartbeats, if any is known.
    pub fn address_of(&self, id: &str) -> Option<SocketAddr> {
        heartbeat_address(id, &self.keepers)
    }

    /// Drops what came over a link that went down.
    pub fn lose_link(&mut self, link: LinkId) {
        if self.view.is_some_and(|(_, it)| it == link) {
            *self = Self {
                keepers: std::mem::take(&mut self.keepers),
                ..Self::default()
            };
        }
    }

    /// Returns the link over which the targets of the leader of a term came, if they did.
    pub fn link(&self, leader_term: Option<u64>) -> Option<LinkId> {
        let view = self.view.filter(|(term, _)| leader_term == Some(*term));
        view.map(|(_, link)| link)
    }

    /// Returns whether the known targets are those of the current leader, which was heard of within its
    /// lease.
    fn is_fresh(&self, now: ClockTime, leader_term: Option<u64>) -> bool {
        self.link(leader_term).is_some() && now.since(self.heard_at) < VIEW_FRESH_MS
    }

    /// Takes an announcement if it tells the leader nothing but that its target lives. Otherwise it must
    /// be passed on. `leader_term` is the term of the current leader, and `known` the target in that
    /// leader's view.
    pub fn take(
        &mut self,
        now: ClockTime,
        announcement: &TargetAnnouncement,
        known: Option<&TargetView>,
        leader_term: Option<u64>,
    ) -> bool {
        let is_known = known.is_some_and(|it| is_unchanged(announcement, it));
        let id = announcement.id.as_str();
        let is_refused = self.refused.get(id).is_some_and(|until| now < *until);
        let age = (announcement.born, announcement.sequence);
        let is_late = self
            .taken
            .get(id)
            .is_some_and(|it| age <= (it.born, it.sequence));
        if !is_known || is_refused || is_late || !self.is_fresh(now, leader_term) {
            return false;
        }
        let beat = TakenBeat {
            born: announcement.born,
            sequence: announcement.sequence,
            at: now,
            is_sent: false,
        };
        self.taken.insert(id.to_owned(), beat);
        self.last_taken_at = Some(now);
        true
    }

    /// Returns the next batch for the leader if one is due. It may be empty.
    pub fn take_batch(
        &mut self,
        now: ClockTime,
        leader_term: Option<u64>,
    ) -> Option<HeartbeatBatch> {
        self.link(leader_term)?;
        let term = leader_term?;
        let last_taken_at = self.last_taken_at?;
        if now < self.batch_due || now.since(last_taken_at) >= REPORT_AFTER_MS {
            return None;
        }
        self.batch_due = now + BATCH_INTERVAL_MS;
        self.refused.retain(|_, until| now < *until);
        self.taken
            .retain(|_, it| now.since(it.at) < REPORT_AFTER_MS);
        let mut beats = Vec::new();
        for (id, beat) in self.taken.iter_mut().filter(|(_, it)| !it.is_sent) {
            beat.is_sent = true;
            beats.push(TargetBeat {
                id: id.clone(),
                born: beat.born,
                sequence: beat.sequence,
                age_ms: now.since(beat.at),
            });
        }
        Some(HeartbeatBatch { term, beats })
    }

    /// Has the targets announce themselves to the leader, which did not take their signs of life.
    pub fn refuse(&mut self, now: ClockTime, ids: Vec<String>) {
        let until = now + REFUSAL_MS;
        self.refused.extend(ids.into_iter().map(|it| (it, until)));
    }
}

/// Returns whether an announcement says what the view of its target says, but for a later sequence
/// number. Cold and draining targets always differ.
fn is_unchanged(announcement: &TargetAnnouncement, known: &TargetView) -> bool {
    let TargetAnnouncement {
        id,
        service,
        address,
        zone,
        capacity,
        is_draining,
        cold_left_ms,
        models,
        software,
        sequence,
        born,
        is_reclaimable,
    } = announcement;
    let view = &known.announcement;
    let is_ready = known.stage == TargetStage::Ready && !is_draining && !view.is_draining;
    let is_warm = *cold_left_ms == 0 && view.cold_left_ms == 0;
    let same_start = *id == view.id && *born == view.born && *sequence > view.sequence;
    is_ready
        && is_warm
        && same_start
        && *service == view.service
        && *address == view.address
        && *zone == view.zone
        && *capacity == view.capacity
        && *models == view.models
        && *software == view.software
        && *is_reclaimable == view.is_reclaimable
}

/// Returns the keeper that a target should send its heartbeats to, by rendezvous hashing: if a keeper comes
/// or goes, only targets of that keeper change theirs.
pub fn heartbeat_address(id: &str, keepers: &BTreeSet<SocketAddr>) -> Option<SocketAddr> {
    let weight = |keeper: &SocketAddr| {
        let mut hasher = blake3::Hasher::new();
        hasher.update(id.as_bytes());
        // A separator that no address contains.
        hasher.update(b"\n");
        hasher.update(keeper.to_string().as_bytes());
        *hasher.finalize().as_bytes()
    };
    keepers.iter().copied().max_by_key(weight)
}
