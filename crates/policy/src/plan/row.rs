//! Columns of a plan sheet and typed access to the cells of a row.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use crate::finding::Finding;

/// Largest length of an ID, in bytes.
const MAX_ID_BYTES: usize = 64;

/// All columns, in the order that an export writes them.
pub(super) const COLUMNS: [&str; 28] = [
    "kind",
    "id",
    "role",
    "owner",
    "hash",
    "weight",
    "rate",
    "concurrency",
    "service_kind",
    "customers",
    "repeatable",
    "open",
    "deadline_ms",
    "target_slots",
    "cold_slots",
    "zones",
    "service",
    "zone",
    "steady_min",
    "steady_max",
    "reclaimable_max",
    "steady_price",
    "reclaimable_price",
    "scorer",
    "group_size",
    "step_samples",
    "max_age",
    "suffices_percent",
];

/// Separator between the items of a list within a cell.
pub(super) const LIST_SEPARATOR: char = '|';

/// Order of the columns in a plan sheet.
#[derive(Debug)]
pub(super) struct ColumnMap {
    names: Vec<String>,
}

impl ColumnMap {
    /// Reads the header, in which every known column must occur exactly once and no other.
    pub(super) fn read(header: &csv::StringRecord, findings: &mut Vec<Finding>) -> Self {
        let names: Vec<String> = header.iter().map(str::to_owned).collect();
        for column in COLUMNS {
            match names.iter().filter(|it| *it == column).count() {
                1 => {}
                0 => findings.push(Finding::cell(1, column, "column is missing")),
                _ => findings.push(Finding::cell(1, column, "column occurs more than once")),
            }
        }
        for name in &names {
            if !COLUMNS.contains(&name.as_str()) {
                findings.push(Finding::cell(1, name, "unknown column"));
            }
        }
        Self { names }
    }

    fn position(&self, column: &str) -> Option<usize> {
        self.names.iter().position(|it| it == column)
    }
}

/// One row of a plan sheet. Cells that fail to parse are added to `findings`.
pub(super) struct SheetRow<'a> {
    /// One-based row number; the header is row 1.
    pub(super) number: u64,
    pub(super) columns: &'a ColumnMap,
    pub(super) record: &'a csv::StringRecord,
    pub(super) findings: &'a mut Vec<Finding>,
}

impl SheetRow<'_> {
    /// Returns the trimmed text of a cell, or an empty one if the row is too short.
    pub(super) fn cell(&self, column: &str) -> &str {
        self.columns
            .position(column)
            .and_then(|place| self.record.get(place))
            .unwrap_or_default()
            .trim()
    }

    /// Adds a finding about a cell of this row.
    pub(super) fn find(&mut self, column: &str, message: impl Into<String>) {
        self.findings
            .push(Finding::cell(self.number, column, message));
    }

    /// Parses an ID of 1 to 64 ASCII letters, digits, `-`, `_` and `.`.
    pub(super) fn id(&mut self, column: &str) -> String {
        let text = self.cell(column).to_owned();
        let valid = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
        if text.is_empty() {
            self.find(column, "is empty");
        } else if text.len() > MAX_ID_BYTES || !text.chars().all(valid) {
            self.find(column, "must be 1 to 64 letters, digits, -, _ or .");
        }
        text
    }

    /// Parses a list of IDs. Returns an empty set, which means all, for `*` or an empty cell.
    pub(super) fn list(&self, column: &str) -> BTreeSet<String> {
        let text = self.cell(column);
        if text.is_empty() || text == "*" {
            return BTreeSet::new();
        }
        text.split(LIST_SEPARATOR)
            .map(|it| it.trim().to_owned())
            .collect()
    }

    /// Parses a whole number within `range`; an invalid one counts as the range's start.
    pub(super) fn number(&mut self, column: &str, range: RangeInclusive<u32>) -> u32 {
        let number = self.cell(column).parse().ok();
        match number.filter(|it| range.contains(it)) {
            Some(number) => number,
            None => {
                let (low, high) = (range.start(), range.end());
                self.find(column, format!("must be a number from {low} to {high}"));
                *range.start()
            }
        }
    }

    /// Parses `yes` or `no`; anything else counts as `no`.
    pub(super) fn flag(&mut self, column: &str) -> bool {
        match self.cell(column) {
            "yes" => true,
            "no" => false,
            _ => {
                self.find(column, "must be yes or no");
                false
            }
        }
    }

    /// Parses one of the given words and returns the value paired with it.
    pub(super) fn word<T: Copy>(&mut self, column: &str, words: &[(&str, T)]) -> Option<T> {
        let text = self.cell(column);
        let found = words.iter().find(|(word, _)| *word == text);
        if found.is_none() {
            let known: Vec<&str> = words.iter().map(|(word, _)| *word).collect();
            self.find(column, format!("must be one of {}", known.join(", ")));
        }
        found.map(|(_, value)| *value)
    }
}
