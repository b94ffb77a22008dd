//! Faults in input, collected with their place and reported together.

use std::fmt;

/// One fault in input.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Where the fault is, for example `row 4, column rate` or `--zone`.
    pub place: FindingPlace,
    /// What is wrong, in lower case.
    pub message: String,
}

/// Place of a fault.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingPlace {
    /// The input as a whole.
    Whole,
    /// A cell of a sheet; the header is row 1.
    Cell {
        /// One-based row.
        row: u64,
        /// Name of the column.
        column: String,
    },
    /// A named setting or field.
    Field(String),
}

impl Finding {
    /// Creates a finding about a cell.
    pub fn cell(row: u64, column: &str, message: impl Into<String>) -> Self {
        let place = FindingPlace::Cell {
            row,
            column: column.to_owned(),
        };
        Self {
            place,
            message: message.into(),
        }
    }

    /// Creates a finding about a named field.
    pub fn field(name: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            place: FindingPlace::Field(name.into()),
            message: message.into(),
        }
    }

    /// Creates a finding about the input as a whole.
    pub fn whole(message: impl Into<String>) -> Self {
        Self {
            place: FindingPlace::Whole,
            message: message.into(),
        }
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.place {
            FindingPlace::Whole => write!(f, "{}", self.message),
            FindingPlace::Cell { row, column } => {
                write!(f, "row {row}, column {column}: {}", self.message)
            }
            FindingPlace::Field(name) => write!(f, "{name}: {}", self.message),
        }
    }
}
