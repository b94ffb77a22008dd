//! Columns of the sheet and typed access to the cells of a row.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use crate::finding::Finding;

/// Longest ID, in bytes.
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

/// Separates the items of a list in a cell.
pub(super) const LIST_SEPARATOR: char = '|';

/// Where each column of a sheet stands.
#[derive(Debug)]
pub(super) struct ColumnMap {
    names: Vec<String>,
}

impl ColumnMap {
    /// Reads the header; every column must stand there once and no other.
    pub(super) fn read(header: &csv::StringRecord, findings: &mut Vec<Finding>) -> Self {
        let names: Vec<String> = header.iter().map(str::to_owned).collect();
        for column in COLUMNS {
            match names.iter().filter(|it| *it == column).count() {
                1 => {}
                0 => findings.push(Finding::cell(1, column, "column is missing")),
                _ => findings.push(Finding::cell(1, column, "column stands twice")),
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

/// One row of the sheet.
pub(super) struct SheetRow<'a> {
    pub(super) number: u64,
    pub(super) columns: &'a ColumnMap,
    pub(super) record: &'a csv::StringRecord,
    pub(super) findings: &'a mut Vec<Finding>,
}

impl SheetRow<'_> {
    /// Returns a cell, which is empty if the row lacks it.
    pub(super) fn cell(&self, column: &str) -> &str {
        self.columns
            .position(column)
            .and_then(|place| self.record.get(place))
            .unwrap_or_default()
            .trim()
    }

    /// Adds a finding about a cell.
    pub(super) fn find(&mut self, column: &str, message: impl Into<String>) {
        self.findings
            .push(Finding::cell(self.number, column, message));
    }

    /// Reads an ID: letters, digits, `-`, `_` and `.`.
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

    /// Reads a list of IDs; `*` or an empty cell stands for all.
    pub(super) fn list(&self, column: &str) -> BTreeSet<String> {
        let text = self.cell(column);
        if text.is_empty() || text == "*" {
            return BTreeSet::new();
        }
        text.split(LIST_SEPARATOR)
            .map(|it| it.trim().to_owned())
            .collect()
    }

    /// Reads a whole number within `range`.
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

    /// Reads `yes` or `no`.
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

    /// Reads one of a few words.
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
