//! Usage windows: increments merged once, figures closed before they are reported.

use std::collections::BTreeMap;

use bergamotlane_coordination::ident::RunId;

/// Windows after which a silent process run is forgotten.
const RUN_KEPT_WINDOWS: u64 = 1_440;

/// Reported windows remembered.
const REPORTED_KEPT: usize = 1_440;

/// Who is charged for what.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageKey {
    /// Customer.
    pub customer: String,
    /// Service.
    pub service: String,
}

/// What was delivered, and beside it what it took.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UsageFigure {
    /// Answers delivered.
    pub requests: u64,
    /// Tokens delivered.
    pub tokens: u64,
    /// Samples delivered.
    pub samples: u64,
    /// Second attempts, hedges and runs given up; not charged.
    pub uncharged: u64,
}

impl UsageFigure {
    /// Adds `other`.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.samples += other.samples;
        self.uncharged += other.uncharged;
    }
}

/// Increment for one customer and service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageDelta {
    /// Who and what.
    pub key: UsageKey,
    /// How much.
    pub figure: UsageFigure,
}

/// A command to the usage book.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageCommand {
    /// Merges the increments of one process run.
    Merge {
        /// The run.
        run: RunId,
        /// Sequence number of these increments; each number counts once, in order.
        sequence: u64,
        /// The increments.
        deltas: Vec<UsageDelta>,
    },
    /// Closes the open window; its figures never change again.
    Close {
        /// The window that is open.
        window: u64,
        /// Start of the next window, in milliseconds since the Unix epoch.
        next_start_ms: u64,
    },
    /// Takes note that the platform has a window's report.
    Reported {
        /// The window.
        window: u64,
    },
}

/// Last increments merged of a process run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunMark {
    /// Sequence number.
    pub sequence: u64,
    /// Window that was open then.
    pub window: u64,
}

/// A closed window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClosedWindow {
    /// Start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End, in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// Figures.
    pub figures: BTreeMap<UsageKey, UsageFigure>,
    /// Whether the platform has the report.
    pub reported: bool,
}

/// Usage of all windows.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsageTable {
    /// Number of the open window.
    pub open_window: u64,
    /// Start of the open window, in milliseconds since the Unix epoch; zero before the
    /// first close.
    pub open_start_ms: u64,
    /// Figures of the open window.
    pub open: BTreeMap<UsageKey, UsageFigure>,
    /// Closed windows by number.
    pub closed: BTreeMap<u64, ClosedWindow>,
    /// Last increments by process run.
    pub marks: BTreeMap<RunId, RunMark>,
}

impl UsageTable {
    /// Returns the last sequence number merged of a run.
    pub fn merged(&self, run: RunId) -> u64 {
        self.marks.get(&run).map_or(0, |mark| mark.sequence)
    }

    /// Returns the oldest closed window that the platform doesn't have.
    pub fn next_unreported(&self) -> Option<(u64, &ClosedWindow)> {
        let mut closed = self.closed.iter();
        closed
            .find(|(_, window)| !window.reported)
            .map(|(number, window)| (*number, window))
    }

    /// Charges `figure` to the open window.
    pub(super) fn charge(&mut self, key: UsageKey, figure: &UsageFigure) {
        if *figure != UsageFigure::default() {
            self.open.entry(key).or_default().add(figure);
        }
    }

    /// Applies a command; returns whether it closed a window.
    pub(super) fn apply(&mut self, command: UsageCommand) -> bool {
        match command {
            UsageCommand::Merge {
                run,
                sequence,
                deltas,
            } => {
                self.merge(run, sequence, &deltas);
                false
            }
            UsageCommand::Close {
                window,
                next_start_ms,
            } => self.close(window, next_start_ms),
            UsageCommand::Reported { window } => {
                if let Some(closed) = self.closed.get_mut(&window) {
                    closed.reported = true;
                }
                self.forget_reported();
                false
            }
        }
    }

    fn merge(&mut self, run: RunId, sequence: u64, deltas: &[UsageDelta]) {
        // A forgotten run can't be told from a new one, so only the first number of a
        // run or the one after the last counts.
        if sequence != self.merged(run) + 1 {
            return;
        }
        for delta in deltas {
            let figure = self.open.entry(delta.key.clone()).or_default();
            figure.add(&delta.figure);
        }
        let window = self.open_window;
        self.marks.insert(run, RunMark { sequence, window });
    }

    fn close(&mut self, window: u64, next_start_ms: u64) -> bool {
        if window != self.open_window {
            return false;
        }
        let closed = ClosedWindow {
            start_ms: self.open_start_ms,
            end_ms: next_start_ms,
            figures: std::mem::take(&mut self.open),
            // Nothing was measured before the first start time is known.
            reported: self.open_start_ms == 0,
        };
        if self.open_start_ms == 0 {
            self.open = closed.figures;
        } else {
            self.closed.insert(window, closed);
        }
        self.open_window += 1;
        self.open_start_ms = next_start_ms;
        let open = self.open_window;
        self.marks
            .retain(|_, mark| mark.window + RUN_KEPT_WINDOWS > open);
        true
    }

    fn forget_reported(&mut self) {
        while self.closed.len() > REPORTED_KEPT {
            match self.closed.first_key_value() {
                Some((_, window)) if window.reported => self.closed.pop_first(),
                _ => return,
            };
        }
    }
}
