//! Plans the membership changes that replace lost voters and voters whose instances retire.
//!
//! A voter is replaced in three steps of one change each: a spare node is added as a learner, the
//! learner is promoted to voter once it has caught up, and the voter is removed. A leader that
//! retires takes these steps like any other one, and transfers its leadership to a voter that stays
//! as its last step. So each change leaves fewer voters to replace, whoever leads.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::chart::ChartLabel;
use crate::chart::StateChart;
use crate::clock::ClockTime;
use crate::consensus::GroupMembership;
use crate::consensus::GroupStatus;
use crate::consensus::MemberRecord;
use crate::ident::NodeId;

/// Time since the heartbeat that a member answered last for which it counts as live, in milliseconds. It
/// is a few heartbeats long, and much shorter than the time after which a member counts as lost.
const LIVE_WITHIN_MS: u64 = 500;

/// Desired size of the group, and when a voter counts as lost.
#[derive(Debug, Clone, Copy)]
pub struct RepairConfig {
    /// Number of live voters that the group should have.
    pub voter_count: usize,
    /// Time without a sign of life after which a member counts as lost, in milliseconds.
    pub lost_after_ms: u64,
    /// Time without an answer to the leader after which a member counts as lost although it shows
    /// signs of life, in milliseconds. Its storage may have failed.
    pub silent_after_ms: u64,
}

/// Stage of a node in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberStage {
    /// Is no member.
    Spare,
    /// Receives the log but doesn't vote.
    Learner,
    /// Votes, and follows the leader.
    Voter,
    /// Votes, and leads the group.
    Leader,
}

impl ChartLabel for MemberStage {
    const ALL: &'static [Self] = &[Self::Spare, Self::Learner, Self::Voter, Self::Leader];

    fn label(self) -> &'static str {
        match self {
            Self::Spare => "spare",
            Self::Learner => "learner",
            Self::Voter => "voter",
            Self::Leader => "leader",
        }
    }
}

/// Event that changes the stage of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MemberEvent {
    Add,
    Promote,
    Remove,
    WinElection,
    Transfer,
}

impl ChartLabel for MemberEvent {
    const ALL: &'static [Self] = &[
        Self::Add,
        Self::Promote,
        Self::Remove,
        Self::WinElection,
        Self::Transfer,
    ];

    fn label(self) -> &'static str {
        match self {
            Self::Add => "add",
            Self::Promote => "promote",
            Self::Remove => "remove",
            Self::WinElection => "win-election",
            Self::Transfer => "transfer",
        }
    }
}

/// Parses the chart of the stages, which is compiled into the crate.
///
/// # Panics
///
/// Panics if the chart is invalid, which `a_step_is_taken_only_from_its_stage` checks.
fn member_chart() -> StateChart<MemberStage, MemberEvent> {
    StateChart::parse(include_str!("../charts/member.chart")).expect("member chart is valid")
}

/// Step that a planner proposes to the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepairStep {
    /// Adds a spare node as a learner.
    AddLearner(NodeId, MemberRecord),
    /// Promotes a learner to voter.
    ///
    /// The leader rejects the proposal until the learner has caught up.
    Promote(NodeId),
    /// Removes a voter or learner that is lost, retires or is one too many.
    Remove(NodeId),
    /// Transfers the leadership from this node, whose instance retires, to one of these voters.
    Transfer(BTreeSet<NodeId>),
}

impl RepairStep {
    /// Returns the membership after the step.
    ///
    /// Returns `None` if the step changes no membership, or can't be taken: the node to add is a
    /// member already, the node to promote isn't a learner, or the node to remove leads or isn't a
    /// member.
    pub fn apply(&self, status: &GroupStatus) -> Option<GroupMembership> {
        let (node, event) = match self {
            Self::AddLearner(node, _) => (*node, MemberEvent::Add),
            Self::Promote(node) => (*node, MemberEvent::Promote),
            Self::Remove(node) => (*node, MemberEvent::Remove),
            Self::Transfer(_) => return None,
        };
        let stage = status.stage(node);
        if member_chart().next(stage, event) == stage {
            return None;
        }
        let membership = &status.membership;
        match self {
            Self::AddLearner(_, record) => Some(membership.with_learner(node, record.clone())),
            Self::Promote(_) => membership.with_promoted(node),
            Self::Remove(_) => Some(membership.without(node)),
            Self::Transfer(_) => None,
        }
    }
}

/// Whether an instance may retire.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetirementVerdict {
    /// It may: enough instances remain that are known to be live.
    Accepted,
    /// Too few instances would remain.
    TooFew,
    /// Too little is known yet of the instances that would remain.
    Unsure,
}

/// What a leader believes of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MemberBelief {
    /// It is this leader, or has answered it lately.
    Live,
    /// It may be live or lost: it has not answered this leader lately.
    Unheard,
    /// It counts as lost.
    Lost,
}

/// What a leader knows of a node.
#[derive(Debug, Clone, Default)]
struct NodeTrace {
    /// Last sign of life, with where the node runs.
    seen: Option<(ClockTime, MemberRecord)>,
    /// When the planner first saw the node as a member.
    member_since: Option<ClockTime>,
    /// When the node was last known to run as a member of this leader's group.
    answered_at: Option<ClockTime>,
    /// Whether the node was a member that showed signs of life but didn't answer.
    is_unresponsive: bool,
}

/// Tracks on a leader when each node was last seen, and picks the next repair step.
///
/// Only instances with a disk are nodes; the others can't become members.
#[derive(Debug)]
pub struct RepairPlanner {
    config: RepairConfig,
    started_at: ClockTime,
    nodes: BTreeMap<NodeId, NodeTrace>,
    /// Names of the instances that retire.
    retiring: BTreeSet<String>,
}

/// Voters by what is to become of them.
#[derive(Debug, Default)]
struct VoterGroups {
    /// Voters that stay, whether live or unheard.
    staying: Vec<NodeId>,
    /// Voters that stay and are known to be live.
    successors: BTreeSet<NodeId>,
    /// Voters that are lost.
    lost: Vec<NodeId>,
    /// Voters that retire, except for the leader.
    leaving: Vec<NodeId>,
    /// The leader, if it retires.
    leaving_leader: Option<NodeId>,
    /// Number of voters that are known to be live, those that retire included.
    live: usize,
}

impl RepairPlanner {
    /// Creates the planner of a leader whose term starts at `now`.
    ///
    /// A member that was never seen counts as lost `lost_after_ms` after `now`.
    pub fn new(now: ClockTime, config: RepairConfig) -> Self {
        Self {
            config,
            started_at: now,
            nodes: BTreeMap::new(),
            retiring: BTreeSet::new(),
        }
    }

    /// Records a sign of life of `node` at `now`, together with where it runs.
    pub fn record_seen(&mut self, now: ClockTime, node: NodeId, record: MemberRecord) {
        self.nodes.entry(node).or_default().seen = Some((now, record));
    }

    /// Records the names of instances that retire. Their nodes are replaced even if they are live, and
    /// never added.
    pub fn record_retiring<'a>(&mut self, names: impl IntoIterator<Item = &'a String>) {
        for name in names {
            if !self.retiring.contains(name) {
                self.retiring.insert(name.clone());
            }
        }
    }

    /// Returns whether an instance may retire beside those that do already.
    ///
    /// Only instances that are known to be live count as ones that remain.
    pub fn judge_retirement(
        &mut self,
        now: ClockTime,
        status: &GroupStatus,
        name: &str,
    ) -> RetirementVerdict {
        self.observe(now, status);
        let stays = |it: &&MemberRecord| it.name != name && !self.retiring.contains(&it.name);
        let mut live: BTreeSet<&str> = BTreeSet::new();
        let mut unheard: BTreeSet<&str> = BTreeSet::new();
        let members = status.membership.members();
        for (node, record) in members.filter(|(_, it)| stays(it)) {
            match self.belief(now, status.leader, node, record) {
                MemberBelief::Live => live.insert(&record.name),
                MemberBelief::Unheard => unheard.insert(&record.name),
                MemberBelief::Lost => false,
            };
        }
        let spares = self.spares(now, &status.membership);
        live.extend(
            spares
                .filter(|(_, it, _)| stays(it))
                .map(|(_, it, _)| it.name.as_str()),
        );
        let is_new = now.since(self.started_at) <= self.config.lost_after_ms;
        let wanted = self.config.voter_count;
        match live.len() >= wanted {
            true => RetirementVerdict::Accepted,
            false if is_new || live.union(&unheard).count() >= wanted => RetirementVerdict::Unsure,
            false => RetirementVerdict::TooFew,
        }
    }

    /// Returns the next repair step of the leader that has this `status`.
    ///
    /// Learners that are lost or retire are removed first. Lost voters are removed as soon as the
    /// voters that are known to be live suffice without them, and then a voter that retires for each
    /// one that took its place. A voter that wasn't heard of yet counts neither as live nor as lost,
    /// so that nothing is removed on the belief that it is there. Returns `None` if the group needs no
    /// repair, if no spare node is available, or if more has to be heard first.
    pub fn next_step(&mut self, now: ClockTime, status: &GroupStatus) -> Option<RepairStep> {
        self.observe(now, status);
        let membership = &status.membership;
        if let Some(node) = self.find_unwanted_learner(now, membership) {
            return Some(RepairStep::Remove(node));
        }
        let groups = self.group_voters(now, status);
        let wanted = self.config.voter_count;
        if groups.live >= wanted
            && let Some(node) = groups.lost.first()
        {
            return Some(RepairStep::Remove(*node));
        }
        if groups.live > wanted
            && let Some(node) = groups.leaving.first()
        {
            return Some(RepairStep::Remove(*node));
        }
        if groups.staying.len() < wanted {
            if let Some(node) = membership.learners.keys().next() {
                return Some(RepairStep::Promote(*node));
            }
            let (node, record) = self.best_spare(now, membership, &groups)?;
            return Some(RepairStep::AddLearner(node, record));
        }
        if groups.successors.len() < wanted {
            return None;
        }
        if groups.leaving_leader.is_some() {
            let successors = &groups.successors & &status.caught_up;
            return (!successors.is_empty()).then_some(RepairStep::Transfer(successors));
        }
        let is_settled = groups.lost.is_empty() && groups.leaving.is_empty();
        let has_extra = is_settled && groups.successors.len() > wanted;
        let extra = has_extra.then(|| extra_voter(status, &groups.successors));
        extra.flatten().map(RepairStep::Remove)
    }

    /// Records which members have answered the leader.
    fn observe(&mut self, now: ClockTime, status: &GroupStatus) {
        for (node, trace) in &mut self.nodes {
            if !status.membership.contains(*node) {
                trace.member_since = None;
                trace.answered_at = None;
            }
        }
        for (node, _) in status.membership.members() {
            let trace = self.nodes.entry(node).or_default();
            trace.member_since.get_or_insert(now);
            let answered_at = status.answered_at.get(&node).copied();
            trace.answered_at = trace.answered_at.max(answered_at);
            if answered_at.is_some_and(|it| now.since(it) <= LIVE_WITHIN_MS) {
                trace.is_unresponsive = false;
            }
        }
        let silent_after_ms = self.config.silent_after_ms;
        for trace in self.nodes.values_mut() {
            trace.is_unresponsive |= is_silent(now, trace, silent_after_ms);
        }
    }

    /// Returns what is believed of a member of the group that `local` leads.
    fn belief(
        &self,
        now: ClockTime,
        local: NodeId,
        node: NodeId,
        record: &MemberRecord,
    ) -> MemberBelief {
        if node == local {
            return MemberBelief::Live;
        }
        if self.is_lost(now, node) || self.is_superseded(node, record) {
            return MemberBelief::Lost;
        }
        let answered_at = self.nodes.get(&node).and_then(|it| it.answered_at);
        match answered_at.is_some_and(|it| now.since(it) <= LIVE_WITHIN_MS) {
            true => MemberBelief::Live,
            false => MemberBelief::Unheard,
        }
    }

    /// Returns whether a node has shown no sign of life for too long, or has not answered as a member.
    fn is_lost(&self, now: ClockTime, node: NodeId) -> bool {
        let Some(trace) = self.nodes.get(&node) else {
            return now.since(self.started_at) > self.config.lost_after_ms;
        };
        let seen_at = trace.seen.as_ref().map(|(time, _)| *time);
        let last_at = seen_at.max(trace.answered_at).unwrap_or(self.started_at);
        let is_silent = is_silent(now, trace, self.config.silent_after_ms);
        now.since(last_at) > self.config.lost_after_ms || is_silent
    }

    /// Returns whether the instance of a node has come back with another data folder.
    fn is_superseded(&self, node: NodeId, record: &MemberRecord) -> bool {
        let seen_at = |trace: &NodeTrace| trace.seen.as_ref().map(|(time, _)| *time);
        let last_seen = self.nodes.get(&node).and_then(seen_at);
        let mut others = self.nodes.iter().filter(|(other, _)| **other != node);
        others.any(|(_, trace)| match &trace.seen {
            Some((time, other)) => {
                other.name == record.name && last_seen.is_none_or(|at| at < *time)
            }
            None => false,
        })
    }

    /// Returns a learner that is lost or retires, if there is one.
    fn find_unwanted_learner(
        &self,
        now: ClockTime,
        membership: &GroupMembership,
    ) -> Option<NodeId> {
        let mut learners = membership.learners.iter();
        let unwanted = learners.find(|(node, record)| {
            let is_lost = self.is_lost(now, **node) || self.is_superseded(**node, record);
            is_lost || self.retiring.contains(&record.name)
        });
        unwanted.map(|(node, _)| *node)
    }

    fn group_voters(&self, now: ClockTime, status: &GroupStatus) -> VoterGroups {
        let mut groups = VoterGroups::default();
        for (node, record) in &status.membership.voters {
            let node = *node;
            let belief = self.belief(now, status.leader, node, record);
            let retires = self.retiring.contains(&record.name);
            groups.live += usize::from(belief == MemberBelief::Live);
            match belief {
                MemberBelief::Lost => groups.lost.push(node),
                _ if retires && node == status.leader => groups.leaving_leader = Some(node),
                _ if retires => groups.leaving.push(node),
                MemberBelief::Unheard => groups.staying.push(node),
                MemberBelief::Live => {
                    groups.staying.push(node);
                    groups.successors.insert(node);
                }
            }
        }
        groups
    }

    /// Returns the nodes that could be added, each with its record and whether it was a member that
    /// didn't answer.
    fn spares(
        &self,
        now: ClockTime,
        membership: &GroupMembership,
    ) -> impl Iterator<Item = (NodeId, &MemberRecord, bool)> {
        self.nodes.iter().filter_map(move |(node, trace)| {
            let (_, record) = trace.seen.as_ref()?;
            let is_known = membership.contains(*node) || membership.barred.contains(node);
            let is_usable = !is_known && !self.is_lost(now, *node);
            let is_current = is_usable && !self.is_superseded(*node, record);
            is_current.then_some((*node, record, trace.is_unresponsive))
        })
    }

    /// Picks a spare node in the zone of a voter to be replaced, or else in the zone with the fewest
    /// voters that stay.
    fn best_spare(
        &self,
        now: ClockTime,
        membership: &GroupMembership,
        groups: &VoterGroups,
    ) -> Option<(NodeId, MemberRecord)> {
        let leaving = groups.leaving.first().or(groups.leaving_leader.as_ref());
        let replaced = groups.lost.first().or(leaving);
        let zone_of = |node: &NodeId| membership.record(*node).map(|it| it.zone.as_str());
        let replaced_zone = replaced.and_then(zone_of);
        let voters_in = |zone: &str| {
            let staying = groups.staying.iter();
            staying.filter(|it| zone_of(it) == Some(zone)).count()
        };
        let spares = self.spares(now, membership);
        let spares = spares.filter(|(_, record, _)| !self.retiring.contains(&record.name));
        let best = spares.min_by_key(|(node, record, is_unresponsive)| {
            let elsewhere = replaced_zone != Some(record.zone.as_str());
            (*is_unresponsive, elsewhere, voters_in(&record.zone), *node)
        });
        best.map(|(node, record, _)| (node, record.clone()))
    }
}

/// Returns whether a member has not answered the leader for `silent_after_ms`.
fn is_silent(now: ClockTime, trace: &NodeTrace, silent_after_ms: u64) -> bool {
    let answered_at = trace.answered_at.max(trace.member_since);
    answered_at.is_some_and(|it| now.since(it) > silent_after_ms)
}

/// Picks a voter to be removed from a group that has too many: one in the zone with the most voters,
/// but not the leader.
fn extra_voter(status: &GroupStatus, voters: &BTreeSet<NodeId>) -> Option<NodeId> {
    let zone_of = |node: &NodeId| status.membership.record(*node).map(|it| it.zone.as_str());
    let others = voters.iter().filter(|it| **it != status.leader);
    let crowded = others.max_by_key(|node| {
        let zone = zone_of(node);
        let in_zone = voters.iter().filter(|it| zone_of(it) == zone).count();
        (in_zone, **node)
    });
    crowded.copied()
}
