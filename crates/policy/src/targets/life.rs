//! Life cycle of a target, by `charts/target.chart`.

use bergamotlane_coordination::chart::ChartLabel;
use bergamotlane_coordination::chart::StateChart;

/// State of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetLife {
    /// Fresh, or turned cold: bears a little only.
    Cold,
    /// Bears its full load.
    Warm,
    /// Gets no new work.
    Leaving,
    /// Not heard of any more.
    Gone,
}

impl ChartLabel for TargetLife {
    const ALL: &'static [Self] = &[Self::Cold, Self::Warm, Self::Leaving, Self::Gone];

    fn label(self) -> &'static str {
        match self {
            Self::Cold => "cold",
            Self::Warm => "warm",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        }
    }
}

/// Event in the life of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LifeEvent {
    AnnouncedCold,
    AnnouncedWarm,
    AnnouncedLeaving,
    Silent,
    Restarted,
}

impl ChartLabel for LifeEvent {
    const ALL: &'static [Self] = &[
        Self::AnnouncedCold,
        Self::AnnouncedWarm,
        Self::AnnouncedLeaving,
        Self::Silent,
        Self::Restarted,
    ];

    fn label(self) -> &'static str {
        match self {
            Self::AnnouncedCold => "announced-cold",
            Self::AnnouncedWarm => "announced-warm",
            Self::AnnouncedLeaving => "announced-leaving",
            Self::Silent => "silent",
            Self::Restarted => "restarted",
        }
    }
}

/// Returns the chart of target states.
///
/// # Panics
///
/// Panics if the chart compiled into the crate is faulty, which a test rules out.
pub(super) fn life_chart() -> StateChart<TargetLife, LifeEvent> {
    StateChart::parse(include_str!("../../charts/target.chart")).expect("target chart is valid")
}
