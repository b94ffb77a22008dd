//! Usage by window: each increment is merged once, and a window is closed before it is
//! reported.

use std::collections::BTreeMap;

use bergamotlane_coordination::ident::RunId;

/// Number of windows without an increment after which a process run is forgotten.
const RUN_KEPT_WINDOWS: u64 = 1_440;

/// Number of closed windows kept; only reported ones are removed.
const MAX_CLOSED_WINDOWS: usize = 1_440;

/// Customer and service to which usage is charged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UsageKey {
    /// ID of the customer.
    pub customer: String,
    /// ID of the service.
    pub service: String,
}

/// Amount of usage: what was delivered, and the attempts that aren't charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct UsageFigure {
    /// Answers delivered.
    pub requests: u64,
    /// Tokens in the answers and samples delivered.
    pub tokens: u64,
    /// Samples delivered.
    pub samples: u64,
    /// Retries, hedged attempts and abandoned attempts; not charged.
    pub uncharged: u64,
}

impl UsageFigure {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.samples += other.samples;
        self.uncharged += other.uncharged;
    }
}

/// Usage to be added for one customer and service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageDelta {
    /// Customer and service.
    pub key: UsageKey,
    /// Amount to be added.
    pub figure: UsageFigure,
}

/// A command to the [`UsageTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UsageCommand {
    /// Merges an increment of one process run into the open window.
    Merge {
        /// Process run that counted the usage.
        run: RunId,
        /// Sequence number of the increment within the process run, from 1. An increment
        /// out of sequence is ignored, so that each counts once.
        sequence: u64,
        /// Content of the increment.
        deltas: Vec<UsageDelta>,
    },
    /// Closes the open window, whose figures never change afterwards.
    Close {
        /// Number of the window; the command is ignored if another window is open.
        window: u64,
        /// Start of the next window, in milliseconds since the Unix epoch.
        next_start_ms: u64,
    },
    /// Records that the platform has received the report of a window.
    Reported {
        /// Number of the window.
        window: u64,
    },
}

/// Last increment that was merged from a process run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunMark {
    /// Sequence number of the increment.
    pub sequence: u64,
    /// Number of the window into which it was merged.
    pub window: u64,
}

/// A closed usage window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClosedWindow {
    /// Start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End, in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// Final usage by customer and service.
    pub figures: BTreeMap<UsageKey, UsageFigure>,
    /// Whether the platform has received the report.
    pub reported: bool,
}

/// Usage of the open window and the closed windows.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct UsageTable {
    /// Number of the open window.
    pub open_window: u64,
    /// Start of the open window, in milliseconds since the Unix epoch; zero before the
    /// first [`UsageCommand::Close`].
    pub open_start_ms: u64,
    /// Usage so far in the open window.
    pub open: BTreeMap<UsageKey, UsageFigure>,
    /// Closed windows by number.
    pub closed: BTreeMap<u64, ClosedWindow>,
    /// Last increment merged from each process run.
    pub marks: BTreeMap<RunId, RunMark>,
}

impl UsageTable {
    /// Returns the sequence number last merged from a process run, or zero if none was.
    pub fn merged(&self, run: RunId) -> u64 {
        self.marks.get(&run).map_or(0, |mark| mark.sequence)
    }

    /// Returns the oldest closed window that isn't reported yet, with its number.
    pub fn next_unreported(&self) -> Option<(u64, &ClosedWindow)> {
        let mut closed = self.closed.iter();
        closed
            .find(|(_, window)| !window.reported)
            .map(|(number, window)| (*number, window))
    }

    /// Adds `figure` to the open window.
    pub(super) fn charge(&mut self, key: UsageKey, figure: &UsageFigure) {
        if *figure != UsageFigure::default() {
            self.open.entry(key).or_default().add(figure);
        }
    }

    /// Applies a command and returns whether it closed a window.
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
                self.remove_reported();
                false
            }
        }
    }

    fn merge(&mut self, run: RunId, sequence: u64, deltas: &[UsageDelta]) {
        // A forgotten process run can't be told from a new one, so an increment counts
        // only if it is the first of its run or directly follows the last one merged.
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
            // The first window has no known start time, so it isn't reported; its usage is
            // carried over to the next one.
            reported: self.open_start_ms == 0,
        };
        if self.open_start_ms == 0 {
            self.open = closed.figures;
        } else {
            self.closed.insert(window, closed);
        }
        self.open_window += 1;
        self.open_start_ms = next_start_ms;
        let open_window = self.open_window;
        self.marks
            .retain(|_, mark| mark.window + RUN_KEPT_WINDOWS > open_window);
        true
    }

    fn remove_reported(&mut self) {
        while self.closed.len() > MAX_CLOSED_WINDOWS {
            match self.closed.first_key_value() {
                Some((_, window)) if window.reported => self.closed.pop_first(),
                _ => return,
            };
        }
    }
}
