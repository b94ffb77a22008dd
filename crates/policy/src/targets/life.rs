//! Life cycle of a target, as defined by `charts/target.chart`.

use bergamotlane_coordination::chart::ChartLabel;
use bergamotlane_coordination::chart::StateChart;

/// State of a target's life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetLife {
    /// Just started or no longer warm; gets the reduced number of slots for cold targets.
    Cold,
    /// Warmed up; gets its full number of slots.
    Warm,
    /// About to shut down; gets no new requests.
    Leaving,
    /// Hasn't announced itself for longer than [`super::REGISTRY_EXPIRY_MS`].
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

/// Event that may change a target's state.
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
/// Panics if the chart compiled into the crate is invalid, which a test rules out.
pub(super) fn life_chart() -> StateChart<TargetLife, LifeEvent> {
    StateChart::parse(include_str!("../../charts/target.chart")).expect("target chart is valid")
}
