//! Validation errors with their position in the input, collected and reported together.

use std::fmt;

/// One validation error. Sorts by position, then by message.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Position of the error, for example `row 4, column rate` or `--zone`.
    pub place: FindingPlace,
    /// Description of the error, starting in lower case, to be printed after the position.
    pub message: String,
}

/// Position of a validation error.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum FindingPlace {
    /// The input as a whole.
    Whole,
    /// A cell of a plan sheet.
    Cell {
        /// One-based row number; the header is row 1.
        row: u64,
        /// Name of the column, or `*` if the column isn't known.
        column: String,
    },
    /// A setting, flag or message field, by its name.
    Field(String),
}

impl Finding {
    /// Creates a finding about the cell of a plan sheet.
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

    /// Creates a finding about a named setting, flag or field.
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
