//! State machines defined in text files.
//!
//! Each line `state event -> state` of a chart defines one transition. Blank lines and
//! lines that start with `#` are skipped. The first transition starts from the initial
//! state. A line `state * -> state` applies to every event that has no line of its own for
//! that state.

use std::collections::BTreeSet;

use thiserror::Error;

/// Enum whose variants are the states or the events of a chart.
pub trait ChartLabel: Copy + Eq + 'static {
    /// All variants, each of them once.
    const ALL: &'static [Self];

    /// Returns the word that chart files use for this variant.
    fn label(self) -> &'static str;

    /// Returns the index of this variant in [`Self::ALL`].
    fn position(self) -> usize {
        Self::ALL
            .iter()
            .position(|variant| *variant == self)
            .unwrap_or_default()
    }

    /// Returns the variant whose label is `label`.
    fn from_label(label: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|variant| variant.label() == label)
    }
}

/// Fault in the text of a chart.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ChartError {
    /// A line isn't of the form `state event -> state`, or the chart has no transition.
    #[error("line {line}: expected `state event -> state`")]
    Syntax {
        /// One-based line number, or zero if the chart has no transition.
        line: usize,
    },
    /// A word is neither the label of a state nor, in second place, that of an event.
    #[error("line {line}: no state or event has the label {label:?}")]
    UnknownLabel {
        /// One-based line number.
        line: usize,
        /// Word as it stands in the chart.
        label: String,
    },
    /// A state has no transition for an event, and no `*` line.
    #[error("state {state}: no transition for event {event}")]
    Unhandled {
        /// Label of the state.
        state: &'static str,
        /// Label of the event.
        event: &'static str,
    },
    /// No sequence of events leads from the initial state to a state.
    #[error("state {state}: not reachable from the initial state")]
    Unreachable {
        /// Label of the state.
        state: &'static str,
    },
}

/// Transition table with an entry for every state in `S` and every event in `E`.
#[derive(Debug, Clone)]
pub struct StateChart<S, E> {
    start: S,
    table: Vec<Vec<S>>,
    events: std::marker::PhantomData<E>,
}

impl<S: ChartLabel, E: ChartLabel> StateChart<S, E> {
    /// Parses a chart, and checks that it handles every event and reaches every state.
    ///
    /// # Errors
    ///
    /// Returns all faults found: malformed lines, unknown labels, unhandled events and
    /// unreachable states. Reachability is checked only if there is no other fault.
    pub fn parse(text: &str) -> Result<Self, Vec<ChartError>> {
        let mut errors = Vec::new();
        let mut table = vec![vec![None; E::ALL.len()]; S::ALL.len()];
        let mut defaults = vec![None; S::ALL.len()];
        let mut start = None;
        for (number, line) in text.lines().enumerate() {
            let line_number = number + 1;
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            let [from, event, "->", to] = words.as_slice() else {
                errors.push(ChartError::Syntax { line: line_number });
                continue;
            };
            let Some((from, to)) = parse_states::<S>(from, to, line_number, &mut errors) else {
                continue;
            };
            start.get_or_insert(from);
            if *event == "*" {
                defaults[from.position()] = Some(to);
                continue;
            }
            match E::from_label(event) {
                Some(event) => table[from.position()][event.position()] = Some(to),
                None => errors.push(ChartError::UnknownLabel {
                    line: line_number,
                    label: (*event).to_owned(),
                }),
            }
        }
        let Some(start) = start else {
            errors.push(ChartError::Syntax { line: 0 });
            return Err(errors);
        };
        let table = complete_table::<S, E>(&table, &defaults, &mut errors);
        if errors.is_empty() {
            check_reachable(start, &table, &mut errors);
        }
        if !errors.is_empty() {
            return Err(errors);
        }
        Ok(Self {
            start,
            table,
            events: std::marker::PhantomData,
        })
    }

    /// Returns the initial state.
    pub fn start(&self) -> S {
        self.start
    }

    /// Returns the state that follows `state` on `event`.
    pub fn next(&self, state: S, event: E) -> S {
        self.table[state.position()][event.position()]
    }
}

/// Parses the two states of a transition, and reports each unknown label.
fn parse_states<S: ChartLabel>(
    from: &str,
    to: &str,
    line: usize,
    errors: &mut Vec<ChartError>,
) -> Option<(S, S)> {
    let mut parse = |label: &str| {
        let state = S::from_label(label);
        if state.is_none() {
            errors.push(ChartError::UnknownLabel {
                line,
                label: label.to_owned(),
            });
        }
        state
    };
    let from = parse(from);
    let to = parse(to);
    Some((from?, to?))
}

/// Fills events without a transition of their own from the `*` line of their state.
fn complete_table<S: ChartLabel, E: ChartLabel>(
    table: &[Vec<Option<S>>],
    defaults: &[Option<S>],
    errors: &mut Vec<ChartError>,
) -> Vec<Vec<S>> {
    let mut full = Vec::with_capacity(S::ALL.len());
    for state in S::ALL {
        let mut row = Vec::with_capacity(E::ALL.len());
        for event in E::ALL {
            let next = table[state.position()][event.position()].or(defaults[state.position()]);
            if next.is_none() {
                errors.push(ChartError::Unhandled {
                    state: state.label(),
                    event: event.label(),
                });
            }
            row.push(next.unwrap_or(*state));
        }
        full.push(row);
    }
    full
}

/// Reports every state that can't be reached from `start`.
fn check_reachable<S: ChartLabel>(start: S, table: &[Vec<S>], errors: &mut Vec<ChartError>) {
    let mut seen = BTreeSet::from([start.position()]);
    let mut unvisited = vec![start.position()];
    while let Some(position) = unvisited.pop() {
        for next in &table[position] {
            if seen.insert(next.position()) {
                unvisited.push(next.position());
            }
        }
    }
    for state in S::ALL {
        if !seen.contains(&state.position()) {
            errors.push(ChartError::Unreachable {
                state: state.label(),
            });
        }
    }
}
