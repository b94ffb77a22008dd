//! Load that a target reports about itself in its answers.

/// Speed of a target whose machine does nothing else, as a percentage of the usual time for work.
const USUAL_TIME_PERCENT: u32 = 100;

/// Largest time for work that is believed, as a percentage of the usual one.
const MAX_TIME_PERCENT: u32 = 10_000;

/// Largest number of requests or slots that is believed.
const MAX_COUNT: u32 = 1_000_000;

/// Load of a target at the moment of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub waiting: u32,
    /// Number of requests that can run at the same time.
    pub slots: u32,
    /// Time that work takes at the moment, as a percentage of the usual time.
    pub time_percent: u32,
}

impl LoadReport {
    /// Parses the counts of running and waiting requests and of slots, separated by commas, and the
    /// percentage, which may be missing. Returns `None` if a figure is malformed or out of range.
    pub fn parse(text: &str) -> Option<Self> {
        let mut figures = text.split(',').map(|it| it.trim().parse::<u32>().ok());
        let running = figures.next()??;
        let waiting = figures.next()??;
        let slots = figures.next()??;
        let time_percent = match figures.next() {
            Some(figure) => figure?,
            None => USUAL_TIME_PERCENT,
        };
        let counts = [running, waiting, slots];
        let is_valid = counts.iter().all(|it| *it <= MAX_COUNT)
            && slots > 0
            && (1..=MAX_TIME_PERCENT).contains(&time_percent);
        is_valid.then_some(Self {
            running,
            waiting,
            slots,
            time_percent,
        })
    }
}
