//! Roles of a node and the events that move it between them.

use crate::chart::ChartLabel;
use crate::chart::StateChart;

/// Role of a consensus node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeRole {
    /// Follows a leader, or waits for one.
    Follower,
    /// Asks whether an election could be won, without raising the term.
    PreCandidate,
    /// Asks for votes in a new term.
    Candidate,
    /// Leads the current term.
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

/// Event that may change the role of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RoleEvent {
    ElectionDue,
    LeaderAsked,
    PreVotesWon,
    PreVotesLost,
    VotesWon,
    LeaderSeen,
    HigherTerm,
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

/// Returns the chart of roles.
///
/// # Panics
///
/// Panics if the chart compiled into the crate is faulty, which a test rules out.
pub(super) fn role_chart() -> StateChart<NodeRole, RoleEvent> {
    StateChart::parse(include_str!("../../charts/role.chart")).expect("role chart is valid")
}
