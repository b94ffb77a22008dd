//! Roles of a node, and the events that change them.

use crate::chart::ChartLabel;
use crate::chart::StateChart;

/// Role of a consensus node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// Replicates the log of a leader, or waits for one to appear.
    Follower,
    /// Asks the voters whether it could win an election, without raising the term.
    PreCandidate,
    /// Requests votes in a new term.
    Candidate,
    /// Was elected in the current term, and replicates its log to the other members.
    Leader,
}

impl ChartLabel for NodeRole {
    const ALL: &'static [Self] = &[
        Self::Follower,
        Self::PreCandidate,
        Self::Candidate,
        Self::Leader,
    ];

    fn label(self) -> &'static str {
        match self {
            Self::Follower => "follower",
            Self::PreCandidate => "pre-candidate",
            Self::Candidate => "candidate",
            Self::Leader => "leader",
        }
    }
}

/// Event that can change the role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RoleEvent {
    /// The election timeout has passed.
    ElectionDue,
    /// The leader has released its lease and asked this node to start an election.
    LeaderAsked,
    /// A quorum would grant its vote.
    PreVotesWon,
    /// A quorum would refuse its vote.
    PreVotesLost,
    /// A quorum has granted its vote.
    VotesWon,
    /// A leader of the current term has sent a message.
    LeaderSeen,
    /// A message had a higher term than this node.
    HigherTerm,
    /// The leader has got no answers from a quorum for too long, or was removed.
    QuorumLost,
}

impl ChartLabel for RoleEvent {
    const ALL: &'static [Self] = &[
        Self::ElectionDue,
        Self::LeaderAsked,
        Self::PreVotesWon,
        Self::PreVotesLost,
        Self::VotesWon,
        Self::LeaderSeen,
        Self::HigherTerm,
        Self::QuorumLost,
    ];

    fn label(self) -> &'static str {
        match self {
            Self::ElectionDue => "election-due",
            Self::LeaderAsked => "leader-asked",
            Self::PreVotesWon => "pre-votes-won",
            Self::PreVotesLost => "pre-votes-lost",
            Self::VotesWon => "votes-won",
            Self::LeaderSeen => "leader-seen",
            Self::HigherTerm => "higher-term",
            Self::QuorumLost => "quorum-lost",
        }
    }
}

/// Parses the role chart that is compiled into the crate.
///
/// # Panics
///
/// Panics if the chart is invalid, which `the_role_chart_is_complete` checks.
pub(super) fn role_chart() -> StateChart<NodeRole, RoleEvent> {
    StateChart::parse(include_str!("../../charts/role.chart")).expect("role chart is valid")
}
