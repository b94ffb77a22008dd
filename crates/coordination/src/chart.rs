//! Interpreter for state charts kept in text files.
//!
//! A chart is a list of lines `state event -> state`. Blank lines and lines that start
//! with `#` are skipped. The first line's state is the initial one. A line
//! `state * -> state` covers every event that the state doesn't name.

use std::collections::BTreeSet;

use thiserror::Error;

/// A closed set of labels, used for the states or the events of a chart.
pub trait ChartLabel: Copy + Eq + 'static {
    /// All labels, in a fixed order.
    const ALL: &'static [Self];

    /// Returns the word that stands for this label in the chart file.
    fn label(self) -> &'static str;

    /// Returns the place of this label in [`Self::ALL`].
    fn position(self) -> usize {
        Self::ALL
            .iter()
            .position(|label| *label == self)
            .unwrap_or_default()
    }

    /// Returns the label that `word` stands for.
    fn from_word(word: &str) -> Option<Self> {
        Self::ALL.iter().copied().find(|it| it.label() == word)
    }
}

/// Why a chart can't be used.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum ChartError {
    /// A line doesn't have the form `state event -> state`.
    #[error("line {line}: expected `state event -> state`")]
    Syntax {
        /// One-based line.
        line: usize,
    },
    /// A word names no state or event.
    #[error("line {line}: unknown word {word:?}")]
    UnknownWord {
        /// One-based line.
        line: usize,
        /// The word.
        word: String,
    },
    /// A state has no line for an event.
    #[error("state {state}: event {event} is not handled")]
    Unhandled {
        /// The state.
        state: &'static str,
        /// The event.
        event: &'static str,
    },
    /// No sequence of events leads to a state.
    #[error("state {state} can't be reached")]
    Unreachable {
        /// The state.
        state: &'static str,
    },
}

/// A complete transition table over states `S` and events `E`.
#[derive(Debug, Clone)]
pub struct StateChart<S, E> {
    start: S,
    table: Vec<Vec<S>>,
    events: std::marker::PhantomData<E>,
}

impl<S: ChartLabel, E: ChartLabel> StateChart<S, E> {
    /// Parses a chart and checks it whole.
    ///
    /// # Errors
    ///
    /// Returns every fault found: bad lines, unknown words, unhandled events and states
    /// that can't be reached.
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
            let Some((from, to)) = read_states::<S>(from, to, line_number, &mut errors) else {
                continue;
            };
            start.get_or_insert(from);
            if *event == "*" {
                defaults[from.position()] = Some(to);
                continue;
            }
            match E::from_word(event) {
                Some(event) => table[from.position()][event.position()] = Some(to),
                None => errors.push(ChartError::UnknownWord {
                    line: line_number,
                    word: (*event).to_owned(),
                }),
            }
        }
        let Some(start) = start else {
            errors.push(ChartError::Syntax { line: 0 });
            return Err(errors);
        };
        let table = fill_table::<S, E>(&table, &defaults, &mut errors);
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

fn read_states<S: ChartLabel>(
    from: &str,
    to: &str,
    line: usize,
    errors: &mut Vec<ChartError>,
) -> Option<(S, S)> {
    let mut read = |word: &str| {
        let state = S::from_word(word);
        if state.is_none() {
            errors.push(ChartError::UnknownWord {
                line,
                word: word.to_owned(),
            });
        }
        state
    };
    let from = read(from);
    let to = read(to);
    Some((from?, to?))
}

fn fill_table<S: ChartLabel, E: ChartLabel>(
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

fn check_reachable<S: ChartLabel>(start: S, table: &[Vec<S>], errors: &mut Vec<ChartError>) {
    let mut seen = BTreeSet::from([start.position()]);
    let mut open = vec![start.position()];
    while let Some(place) = open.pop() {
        for next in &table[place] {
            if seen.insert(next.position()) {
                open.push(next.position());
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
