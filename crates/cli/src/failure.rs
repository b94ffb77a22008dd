//! Errors of commands and their exit statuses.

use thiserror::Error;

use bergamotlane_wire::http::RefusalBody;

/// Error of a command.
#[derive(Debug, Error)]
pub enum CommandFailure {
    /// The daemon refused the request. Exit status 1.
    #[error("{}: {}", .0.code, .0.message)]
    Refused(RefusalBody),
    /// `sheet check` found the sheet invalid; holds a message for each finding. Exit
    /// status 1.
    #[error("invalid sheet: {} findings", .0.len())]
    InvalidSheet(Vec<String>),
    /// The command line or a setting is missing or invalid. Exit status 2.
    #[error("{0}")]
    Usage(String),
    /// The daemon can't be reached or its answer can't be decoded. Exit status 3.
    #[error("could not reach {server}: {message}")]
    Unreachable {
        /// Address of the daemon, `IP:PORT`.
        server: String,
        /// Text of the underlying error.
        message: String,
    },
    /// The change was accepted, but was not in force everywhere within the daemon's time
    /// limit. Exit status 4.
    #[error("accepted, but not in force everywhere yet")]
    NotInForce,
    /// A file or standard output can't be read or written. Exit status 2.
    #[error("could not {action} {path}: {source}")]
    File {
        /// Failed operation, `read` or `write`.
        action: &'static str,
        /// Path of the file.
        path: String,
        /// Underlying I/O error.
        source: std::io::Error,
    },
}

impl CommandFailure {
    /// Returns the exit status of the process.
    pub fn exit_status(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::InvalidSheet(_) => 1,
            Self::Usage(_) | Self::File { .. } => 2,
            Self::Unreachable { .. } => 3,
            Self::NotInForce => 4,
        }
    }

    /// Prints every finding and then the error itself to standard error.
    pub fn print(&self) {
        let findings = match self {
            Self::Refused(body) => body.findings.as_slice(),
            Self::InvalidSheet(findings) => findings.as_slice(),
            _ => &[],
        };
        for finding in findings {
            eprintln!("bergamotlane: {finding}");
        }
        eprintln!("bergamotlane: {self}");
    }
}
