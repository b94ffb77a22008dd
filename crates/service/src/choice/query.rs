//! Queries and results of the choice of a target.

use crate::registry::TargetEntry;
use crate::request_cost::RequestClass;
use crate::request_cost::RequestCosts;
use crate::software::SoftwareBuild;
use crate::target_load::LoadView;
use crate::target_load::RoomQuery;
use bergamotlane_coordination::clock::ClockTime;

/// What a request needs of its target, as far as targets report their load.
#[derive(Debug, Clone, Copy)]
pub struct RequestDemand {
    /// Class that tells what the request is likely to cost.
    pub class: RequestClass,
    /// Deadline for the answer.
    pub limit: ClockTime,
    /// Whether another try of the request runs, so that it needs a free slot of a target that reports
    /// its load.
    pub is_hedge: bool,
    /// Number of slots of each target that reports its load which the request leaves free.
    pub spared_slots: u32,
}

/// Constraints of a request on the choice of its target.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceQuery<'a> {
    /// Name of the service whose targets are eligible.
    pub service: &'a str,
    /// IDs of targets that the request has tried already; they are excluded.
    pub tried: &'a [String],
    /// Whether cold targets are eligible.
    pub takes_cold: bool,
    /// Number of slots of each target that this request leaves free, or `None` if the target's own
    /// queue limits the requests.
    pub reserved_slots: Option<u32>,
    /// Whether targets are eligible that need a permit: those that name a limit, and cold ones.
    pub with_limited: bool,
    /// Build that a target must run, or `None` if any may take the request.
    pub build: Option<&'a SoftwareBuild>,
    /// Demand of the request, or `None` if what targets report and requests cost doesn't count.
    pub demand: Option<RequestDemand>,
}

impl ChoiceQuery<'_> {
    /// Returns whether this is a caller's request that leaves no slot to others.
    pub(super) fn is_most_urgent(&self) -> bool {
        self.reserved_slots.is_none() && self.demand.is_some_and(|it| it.spared_slots == 0)
    }

    /// Returns the constraints on the load of a target, with the expected costs of the request if they
    /// are known. `is_contested` tells that more urgent requests arrive at present.
    pub(super) fn room<'c>(
        &self,
        now: ClockTime,
        costs: Option<&'c RequestCosts>,
        is_contested: bool,
        report_life_ms: u64,
    ) -> RoomQuery<'c> {
        // Without learned costs, nobody knows when another slot becomes free.
        let spares = is_contested && costs.is_some();
        let spared = |it: RequestDemand| if spares { it.spared_slots } else { 0 };
        let free_slots = self.demand.map_or(0, |it| match (it.is_hedge, spared(it)) {
            (false, 0) => 0,
            (_, spared) => 1 + spared,
        });
        RoomQuery {
            costs,
            left_ms: self.demand.map(|it| it.limit.since(now)),
            free_slots,
            report_life_ms,
        }
    }
}

/// Work of a request at its target, as expected when it was sent.
#[derive(Debug, Clone, Copy)]
pub struct WorkEstimate {
    pub(super) class: RequestClass,
    pub(super) view: Option<LoadView>,
}

impl WorkEstimate {
    /// Returns whether a report of the target decided the choice.
    pub fn is_reported(&self) -> bool {
        self.view.is_some()
    }
}

/// Target that was chosen for a request.
#[derive(Debug)]
pub struct TargetChoice {
    /// The target.
    pub entry: TargetEntry,
    /// What the request was expected to meet there, if it has a demand.
    pub work: Option<WorkEstimate>,
}
