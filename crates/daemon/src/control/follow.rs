//! Every instance as a follower: it asks the leader what is new, and trusts its view only
//! as long as the leader confirmed it.

use std::collections::BTreeMap;

use tokio::sync::oneshot;

use super::answer;
use super::thread::ControlCore;
use super::thread::ForwardedQuestion;
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

/// Time between two questions to the leader while there is usage to ship, in milliseconds.
const ASK_INTERVAL_MS: u64 = 250;

/// Time between two questions to the leader otherwise, in milliseconds.
const IDLE_ASK_INTERVAL_MS: u64 = 500;

/// Shortest time between two questions, in milliseconds.
const ASK_PAUSE_MS: u64 = 5;

/// How long a view may be acted on after its confirmation, in milliseconds.
pub(super) const FRESH_WINDOW_MS: u64 = 2_000;

/// Time without an answer after which another instance is asked, in milliseconds.
const ANSWER_LIMIT_MS: u64 = 800;

/// A target as the leader told it.
#[derive(Debug, Clone)]
pub(super) struct KnownTarget {
    pub(super) announcement: TargetAnnouncement,
    pub(super) life: TargetLife,
}

/// What a follower knows of the leader and from it.
#[derive(Debug)]
pub(super) struct FollowState {
    /// The leader's run, as last heard.
    pub(super) leader: Option<RunId>,
    pub(super) freshness: ViewFreshness,
    pub(super) membership: GroupMembership,
    pub(super) instances: Vec<InstanceFrame>,
    pub(super) targets: BTreeMap<TargetName, KnownTarget>,
    registry: (u64, u64),
    roster: (u64, u64),
    sequence: u64,
    asked_at: ClockTime,
    answered_at: ClockTime,
    due: ClockTime,
    /// Whether an answer is wanted as soon as possible.
    urgent: bool,
    /// Rises to try one instance after the other while no leader is known.
    attempt: usize,
}

impl FollowState {
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
            due: time,
            urgent: false,
            attempt: 0,
        }
    }

    /// Asks as soon as possible.
    pub(super) fn ask_now(&mut self) {
        self.urgent = true;
        self.due = self.asked_at + ASK_PAUSE_MS;
    }

    /// Takes note that the connection to a run is down.
    pub(super) fn lost(&mut self, run: RunId) {
        if self.leader == Some(run) {
            self.leader = None;
            self.ask_now();
        }
    }

    /// Takes note that `from` doesn't lead, but perhaps `hint` does.
    pub(super) fn redirect(&mut self, from: RunId, hint: Option<RunId>) {
        if self.leader == Some(from) || self.leader.is_none() {
            self.leader = hint.filter(|it| *it != from);
            self.ask_now();
        }
    }
}

impl ControlCore {
    pub(super) fn follow_tick(&mut self, time: ClockTime) {
        if time < self.follow.due {
            return;
        }
        self.gather_usage();
        let elapsed = time.since(self.follow.asked_at);
        let early = (ASK_INTERVAL_MS..IDLE_ASK_INTERVAL_MS).contains(&elapsed);
        if early && !self.follow.urgent && self.meter.is_settled() {
            self.follow.due = self.follow.asked_at + IDLE_ASK_INTERVAL_MS;
            return;
        }
        self.follow.urgent = false;
        self.follow.due = time + ASK_INTERVAL_MS;
        let silent = time.since(self.follow.answered_at) > ANSWER_LIMIT_MS;
        if self.leads() {
            self.follow.leader = Some(self.run);
        } else if let Some(leader) = self.known_leader() {
            self.follow.leader = Some(leader);
        } else if silent {
            self.follow.leader = None;
        }
        let Some(to) = self.follow.leader.or_else(|| self.next_candidate()) else {
            return;
        };
        let ask = self.build_ask(time);
        if to == self.run {
            let run = self.run;
            self.on_ask(run, ask);
            return;
        }
        if !self.send(to, PeerFrame::Ask(ask)) {
            self.follow.lost(to);
        }
    }

    /// Returns the leader that this instance's own node follows.
    fn known_leader(&self) -> Option<RunId> {
        let leader = self.voter.as_ref()?.node.leader()?;
        self.run_of(leader)
    }

    /// Returns an instance with a disk, another one at each call.
    fn next_candidate(&mut self) -> Option<RunId> {
        let mut candidates: Vec<RunId> = self
            .peers
            .iter()
            .filter(|(_, hello)| hello.node.is_some())
            .map(|(run, _)| *run)
            .collect();
        candidates.sort_unstable();
        self.follow.attempt += 1;
        let place = self.follow.attempt % candidates.len().max(1);
        candidates.get(place).copied()
    }

    fn build_ask(&mut self, time: ClockTime) -> AskFrame {
        self.follow.sequence += 1;
        self.follow.asked_at = time;
        let usage = self.meter.pending_increments().map(|(sequence, deltas)| {
            let deltas = deltas.iter().map(UsageDeltaWire::from).collect();
            (sequence, deltas)
        });
        AskFrame {
            sent_at: time.0,
            sequence: self.follow.sequence,
            applied: self.state.index,
            registry: self.follow.registry,
            roster: self.follow.roster,
            slots: self.slot_wishes(time, self.follow.sequence),
            demand: self.demand_reports(),
            shares: self.share_reports(time),
            usage,
            draining: self.shared.is_draining(),
        }
    }

    pub(super) fn on_view(&mut self, view: ViewFrame) {
        let time = now();
        self.follow.answered_at = time;
        self.follow.leader = Some(RunId(view.leader));
        let before = self.state.index;
        if let Err(error) = self.catch_up(view.catch_up) {
            spdlog::error!("follow: Could not read the leader's answer: {error}.");
            return;
        }
        if let Some(commit) = view.commit {
            let asked_at = ClockTime(view.sent_at);
            let applied = self.state.index;
            let was_fresh = self.follow.freshness.is_fresh(time);
            let counted = self.follow.freshness.confirm(asked_at, commit, applied);
            if !counted {
                self.follow.ask_now();
            }
            if counted && !was_fresh {
                spdlog::info!("follow: View is confirmed at index {applied}.");
            }
        }
        if let Some(roster) = view.roster {
            self.follow.roster = (view.leader, roster.revision);
            if roster.instances != self.follow.instances {
                self.publish.changed = true;
            }
            self.follow.instances = roster.instances;
            if let Ok(membership) = GroupMembership::try_from(roster.membership) {
                self.follow.membership = membership;
                self.dial_members();
            }
        }
        if let Err(error) = self.take_targets(view.registry_whole, view.targets) {
            spdlog::error!("follow: Could not read a target: {error}.");
            return;
        }
        self.follow.registry = match view.registry_whole || self.follow.registry.0 == view.leader {
            true => (view.leader, view.registry),
            false => (0, 0),
        };
        self.meter.mark_merged(view.usage_merged);
        let until = ClockTime(view.sent_at) + view.slot_lease_ms;
        self.take_slots(until, view.sequence, view.slots);
        self.take_shares(view.shares);
        // The leader learns sooner that a change is in force here.
        if self.state.index > before && self.publish.changed {
            self.follow.ask_now();
        }
    }

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
                    self.take_state(index, &data);
                }
            }
        }
        Ok(())
    }

    fn take_targets(&mut self, whole: bool, targets: Vec<TargetFrame>) -> Result<(), WireError> {
        if whole {
            self.follow.targets.clear();
        }
        self.publish.targets_changed |= whole || !targets.is_empty();
        for frame in targets {
            let announcement = TargetAnnouncement::try_from(frame.announcement)?;
            let life = TargetLife::try_from(frame.life)?;
            let name = announcement.target.clone();
            if life == TargetLife::Gone {
                self.follow.targets.remove(&name);
                continue;
            }
            let known = KnownTarget { announcement, life };
            self.follow.targets.insert(name, known);
        }
        Ok(())
    }

    /// Hands announcements to the leader.
    pub(super) fn on_announcements(&mut self, announcements: Vec<(TargetAnnouncement, u64)>) {
        if self.lead.is_some() {
            for (announcement, uptime_ms) in announcements {
                self.register(announcement, uptime_ms);
            }
            return;
        }
        if let Some(leader) = self.follow.leader {
            let wires = announcements
                .iter()
                .map(|(it, uptime_ms)| (TargetAnnouncementWire::from(it), *uptime_ms))
                .collect();
            self.send(leader, PeerFrame::Announce(wires));
        }
    }

    pub(super) fn on_announce_frame(&mut self, wires: Vec<(TargetAnnouncementWire, u64)>) {
        let announcements = wires
            .into_iter()
            .filter_map(|(wire, uptime_ms)| {
                let announcement = TargetAnnouncement::try_from(wire).ok()?;
                Some((announcement, uptime_ms))
            })
            .collect();
        if self.lead.is_some() {
            self.on_announcements(announcements);
        }
    }

    pub(super) fn ask_in_force(&mut self, index: u64, reply: oneshot::Sender<Option<bool>>) {
        if self.leads() {
            answer(reply, self.in_force(index));
            return;
        }
        let nonce = self.nonce();
        let leader = self.follow.leader;
        match leader.filter(|it| self.send(*it, PeerFrame::IsInForce { nonce, index })) {
            Some(_) => {
                let question = ForwardedQuestion::InForce(reply);
                self.questions.insert(nonce, question);
            }
            None => answer(reply, None),
        }
    }

    pub(super) fn on_in_force(&mut self, nonce: u64, in_force: Option<bool>) {
        if let Some(ForwardedQuestion::InForce(reply)) = self.questions.remove(&nonce) {
            answer(reply, in_force);
        }
    }

    pub(super) fn ask_membership(
        &mut self,
        change: MembershipChange,
        reply: oneshot::Sender<Result<(), String>>,
    ) {
        if self.leads() {
            answer(reply, self.change_membership(&change));
            return;
        }
        let nonce = self.nonce();
        let leader = self.follow.leader;
        let frame = PeerFrame::ChangeMembership { nonce, change };
        match leader.filter(|it| self.send(*it, frame)) {
            Some(_) => {
                let question = ForwardedQuestion::Membership(reply);
                self.questions.insert(nonce, question);
            }
            None => answer(reply, Err("no leader is known".to_owned())),
        }
    }

    pub(super) fn on_membership_changed(&mut self, nonce: u64, result: Result<(), String>) {
        if let Some(ForwardedQuestion::Membership(reply)) = self.questions.remove(&nonce) {
            answer(reply, result);
        }
    }
}
