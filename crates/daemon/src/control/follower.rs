//! The follower side of the ask/view exchange, which runs on every instance.
//!
//! An instance polls the leader for changes, and acts on its view only for a limited time
//! after the leader has confirmed that the view is complete.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::answer;
use super::thread::ControlCore;
use super::thread::ForwardedRequest;
use crate::clock::now;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::GroupMembership;
use bergamotlane_coordination::consensus::LogEntry;
use bergamotlane_coordination::freshness::ViewFreshness;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::targets::TargetAnnouncement;
use bergamotlane_policy::targets::TargetLife;
use bergamotlane_policy::targets::TargetName;
use bergamotlane_wire::TargetAnnouncementWire;
use bergamotlane_wire::UsageDeltaWire;
use bergamotlane_wire::codec::WireError;
use bergamotlane_wire::peer::AskFrame;
use bergamotlane_wire::peer::CatchUp;
use bergamotlane_wire::peer::InstanceFrame;
use bergamotlane_wire::peer::MembershipChange;
use bergamotlane_wire::peer::PeerFrame;
use bergamotlane_wire::peer::TargetFrame;
use bergamotlane_wire::peer::ViewFrame;

/// Interval of asks while usage waits to be merged, in milliseconds.
const ASK_INTERVAL_MS: u64 = 250;

/// Interval of asks otherwise, in milliseconds.
const IDLE_ASK_INTERVAL_MS: u64 = 500;

/// Minimum time between an ask and an urgent next one, in milliseconds.
const MIN_ASK_INTERVAL_MS: u64 = 5;

/// Time for which a confirmed view may be acted on, in milliseconds; counts from the moment
/// at which the ask was sent.
pub(super) const FRESH_WINDOW_MS: u64 = 2_000;

/// Time without an answer after which the known leader is dropped and other instances are
/// asked, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 800;

/// A target from the leader's registry.
#[derive(Debug, Clone)]
pub(super) struct KnownTarget {
    pub(super) announcement: TargetAnnouncement,
    pub(super) life: TargetLife,
}

/// What an instance has received from the leader, and when it asks next.
#[derive(Debug)]
pub(super) struct FollowerState {
    /// Process run of the leader, if one is known.
    pub(super) leader: Option<RunId>,
    pub(super) freshness: ViewFreshness,
    pub(super) membership: GroupMembership,
    pub(super) instances: Vec<InstanceFrame>,
    pub(super) targets: BTreeMap<TargetName, KnownTarget>,
    /// Leader run and registry revision of `targets`.
    registry: (u64, u64),
    /// Leader run and roster revision of `instances` and `membership`.
    roster: (u64, u64),
    /// Sequence number of the latest ask.
    sequence: u64,
    asked_at: ClockTime,
    answered_at: ClockTime,
    /// Earliest time of the next ask.
    ask_due: ClockTime,
    /// Whether the next ask must not wait for the idle interval.
    urgent: bool,
    /// Round-robin position among the instances that are asked while no leader is known.
    peer_cursor: usize,
}

impl FollowerState {
    pub(super) fn new(time: ClockTime) -> Self {
        Self {
            leader: None,
            freshness: ViewFreshness::new(FRESH_WINDOW_MS),
            membership: GroupMembership::default(),
            instances: Vec::new(),
            targets: BTreeMap::new(),
            registry: (0, 0),
            roster: (0, 0),
            sequence: 0,
            asked_at: ClockTime::default(),
            answered_at: time,
            ask_due: time,
            urgent: false,
            peer_cursor: 0,
        }
    }

    /// Schedules the next ask as early as [`MIN_ASK_INTERVAL_MS`] allows.
    pub(super) fn ask_now(&mut self) {
        self.urgent = true;
        self.ask_due = self.asked_at + MIN_ASK_INTERVAL_MS;
    }

    /// Drops the leader if the connection to it is lost.
    pub(super) fn on_disconnect(&mut self, run: RunId) {
        if self.leader == Some(run) {
            self.leader = None;
            self.ask_now();
        }
    }

    /// Handles the answer of `from` that it does not lead; `hint` is the leader that it knows.
    pub(super) fn redirect(&mut self, from: RunId, hint: Option<RunId>) {
        if self.leader == Some(from) || self.leader.is_none() {
            self.leader = hint.filter(|leader| *leader != from);
            self.ask_now();
        }
    }
}

impl ControlCore {
    /// Sends an ask when one is due: to the leader or, if none is known, to the next connected
    /// instance with a data folder.
    pub(super) fn follower_tick(&mut self, time: ClockTime) {
        if time < self.follower.ask_due {
            return;
        }
        self.collect_usage();
        let elapsed = time.since(self.follower.asked_at);
        let before_idle_due = (ASK_INTERVAL_MS..IDLE_ASK_INTERVAL_MS).contains(&elapsed);
        if before_idle_due && !self.follower.urgent && self.meter.is_settled() {
            self.follower.ask_due = self.follower.asked_at + IDLE_ASK_INTERVAL_MS;
            return;
        }
        self.follower.urgent = false;
        self.follower.ask_due = time + ASK_INTERVAL_MS;
        let timed_out = time.since(self.follower.answered_at) > ANSWER_TIMEOUT_MS;
        if self.is_leader() {
            self.follower.leader = Some(self.run);
        } else if let Some(leader) = self.known_leader() {
            self.follower.leader = Some(leader);
        } else if timed_out {
            self.follower.leader = None;
        }
        let Some(to) = self.follower.leader.or_else(|| self.next_peer_with_disk()) else {
            return;
        };
        let ask = self.build_ask(time);
        if to == self.run {
            let run = self.run;
            self.on_ask(run, ask);
            return;
        }
        if !self.send(to, PeerFrame::Ask(ask)) {
            self.follower.on_disconnect(to);
        }
    }

    /// Returns the leader known to this instance's own consensus node.
    fn known_leader(&self) -> Option<RunId> {
        let leader = self.voter.as_ref()?.node.leader()?;
        self.run_of_node(leader)
    }

    /// Returns a connected instance with a data folder, in turn from call to call.
    fn next_peer_with_disk(&mut self) -> Option<RunId> {
        let mut candidates: Vec<RunId> = self
            .peers
            .iter()
            .filter(|(_, hello)| hello.node.is_some())
            .map(|(run, _)| *run)
            .collect();
        candidates.sort_unstable();
        self.follower.peer_cursor += 1;
        let place = self.follower.peer_cursor % candidates.len().max(1);
        candidates.get(place).copied()
    }

    /// Builds the next ask; it reports demand and usage and requests slots and shares.
    fn build_ask(&mut self, time: ClockTime) -> AskFrame {
        self.follower.sequence += 1;
        self.follower.asked_at = time;
        let usage = self.meter.pending_increments().map(|(sequence, deltas)| {
            let deltas = deltas.iter().map(UsageDeltaWire::from).collect();
            (sequence, deltas)
        });
        let (crashes, answered) = self.shared.suspects.reports();
        AskFrame {
            sent_at: time.0,
            sequence: self.follower.sequence,
            applied: self.state.index,
            registry: self.follower.registry,
            roster: self.follower.roster,
            slots: self.slot_demands(time, self.follower.sequence),
            demand: self.demand_reports(),
            shares: self.share_demands(time),
            usage,
            draining: self.shared.is_draining(),
            crashes,
            answered,
        }
    }

    /// Applies the leader's answer to an ask.
    pub(super) fn on_view(&mut self, view: ViewFrame) {
        let time = now();
        self.follower.answered_at = time;
        self.follower.leader = Some(RunId(view.leader));
        let before = self.state.index;
        if let Err(error) = self.catch_up(view.catch_up) {
            spdlog::error!(
                "follower: could not decode the log entries or state in a view: {error}"
            );
            return;
        }
        if let Some(commit) = view.commit {
            let asked_at = ClockTime(view.sent_at);
            let applied = self.state.index;
            let was_fresh = self.follower.freshness.is_fresh(time);
            let confirmed = self.follower.freshness.confirm(asked_at, commit, applied);
            if !confirmed {
                self.follower.ask_now();
            }
            if confirmed && !was_fresh {
                spdlog::info!("follower: view confirmed at index {applied}");
            }
        }
        if let Some(roster) = view.roster {
            self.follower.roster = (view.leader, roster.revision);
            if roster.instances != self.follower.instances {
                self.publish.changed = true;
            }
            self.follower.instances = roster.instances;
            if let Ok(membership) = GroupMembership::try_from(roster.membership) {
                self.follower.membership = membership;
                self.dial_members();
            }
        }
        if let Err(error) = self.update_targets(view.registry_whole, view.targets) {
            spdlog::error!("follower: could not decode a target in a view: {error}");
            return;
        }
        self.follower.registry =
            match view.registry_whole || self.follower.registry.0 == view.leader {
                true => (view.leader, view.registry),
                false => (0, 0),
            };
        self.shared.suspects.replace(&view.suspects);
        self.meter.mark_merged(view.usage_merged);
        let until = ClockTime(view.sent_at) + view.slot_lease_ms;
        self.apply_slot_allocations(until, view.sequence, view.slots);
        self.apply_share_allocations(view.shares);
        // The next ask tells the leader that the change is applied on this instance.
        // Without this ask, the change would count as in force only after the usual interval.
        if self.state.index > before && self.publish.changed {
            self.follower.ask_now();
        }
    }

    /// Applies the entries or the state that this instance lacks.
    fn catch_up(&mut self, catch_up: CatchUp) -> Result<(), WireError> {
        match catch_up {
            CatchUp::Entries(entries) => {
                for wire in entries {
                    let entry = LogEntry::try_from(wire)?;
                    self.apply(entry);
                }
            }
            CatchUp::State(data) => {
                let state = super::outputs::read_state(&data)?;
                let index = state.index;
                if index > self.state.index {
                    self.install_state(index, &data);
                }
            }
        }
        Ok(())
    }

    /// Merges changed targets, or replaces all of them if `whole`.
    fn update_targets(&mut self, whole: bool, targets: Vec<TargetFrame>) -> Result<(), WireError> {
        if whole {
            self.follower.targets.clear();
        }
        self.publish.targets_changed |= whole || !targets.is_empty();
        for frame in targets {
            let announcement = TargetAnnouncement::try_from(frame.announcement)?;
            let life = TargetLife::try_from(frame.life)?;
            let name = announcement.target.clone();
            if life == TargetLife::Gone {
                self.follower.targets.remove(&name);
                continue;
            }
            let known = KnownTarget { announcement, life };
            self.follower.targets.insert(name, known);
        }
        Ok(())
    }

    /// Registers announcements on the leader; elsewhere forwards them to the leader, if one is
    /// known.
    pub(super) fn on_announcements(&mut self, announcements: Vec<(TargetAnnouncement, u64)>) {
        if self.leader_state.is_some() {
            for (announcement, uptime_ms) in announcements {
                self.register(announcement, uptime_ms);
            }
            return;
        }
        if let Some(leader) = self.follower.leader {
            let wires = announcements
                .iter()
                .map(|(announcement, uptime_ms)| {
                    (TargetAnnouncementWire::from(announcement), *uptime_ms)
                })
                .collect();
            self.send(leader, PeerFrame::Announce(wires));
        }
    }

    /// Registers targets whose announcements another instance forwarded to the leader.
    pub(super) fn on_announce_frame(&mut self, wires: Vec<(TargetAnnouncementWire, u64)>) {
        let announcements = wires
            .into_iter()
            .filter_map(|(wire, uptime_ms)| {
                let announcement = TargetAnnouncement::try_from(wire).ok()?;
                Some((announcement, uptime_ms))
            })
            .collect();
        if self.leader_state.is_some() {
            self.on_announcements(announcements);
        }
    }

    /// Answers whether an entry is in force, or asks the leader.
    ///
    /// The reply is `None` if no leader is connected.
    pub(super) fn ask_in_force(&mut self, index: u64, reply: oneshot::Sender<Option<bool>>) {
        if self.is_leader() {
            answer(reply, self.in_force(index));
            return;
        }
        let nonce = self.nonce();
        let leader = self.follower.leader;
        match leader.filter(|run| self.send(*run, PeerFrame::IsInForce { nonce, index })) {
            Some(_) => {
                let request = ForwardedRequest::InForce(reply);
                self.forwarded_requests.insert(nonce, request);
            }
            None => answer(reply, None),
        }
    }

    pub(super) fn on_in_force(&mut self, nonce: u64, in_force: Option<bool>) {
        if let Some(ForwardedRequest::InForce(reply)) = self.forwarded_requests.remove(&nonce) {
            answer(reply, in_force);
        }
    }

    /// Changes the membership, or asks the leader to.
    pub(super) fn ask_membership(
        &mut self,
        change: MembershipChange,
        reply: oneshot::Sender<Result<(), String>>,
    ) {
        if self.is_leader() {
            answer(reply, self.change_membership(&change));
            return;
        }
        let nonce = self.nonce();
        let leader = self.follower.leader;
        let frame = PeerFrame::ChangeMembership { nonce, change };
        match leader.filter(|run| self.send(*run, frame)) {
            Some(_) => {
                let request = ForwardedRequest::Membership(reply);
                self.forwarded_requests.insert(nonce, request);
            }
            None => answer(reply, Err("no leader is known".to_owned())),
        }
    }

    pub(super) fn on_membership_changed(&mut self, nonce: u64, result: Result<(), String>) {
        if let Some(ForwardedRequest::Membership(reply)) = self.forwarded_requests.remove(&nonce) {
            answer(reply, result);
        }
    }
}
