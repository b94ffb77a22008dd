//! Why a command failed, and the exit status that says so.

use thiserror::Error;

use bergamotlane_wire::http::RefusalBody;

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandFailure {
    /// The service refused it. Exit status 1.
    #[error("{}: {}", .0.code, .0.message)]
    Refused(RefusalBody),
    /// A check found faults. Exit status 1.
    #[error("{} faults", .0.len())]
    Faults(Vec<String>),
    /// The command line or the settings are wrong. Exit status 2.
    #[error("{0}")]
    Usage(String),
    /// The service can't be reached, or its answer can't be read. Exit status 3.
    #[error("could not reach {server}: {message}")]
    Unreachable {
        /// Address.
        server: String,
        /// The cause.
        message: String,
    },
    /// The change was accepted, but isn't in force everywhere yet. Exit status 4.
    #[error("accepted, but not in force everywhere yet")]
    NotInForce,
    /// A file can't be used. Exit status 2.
    #[error("could not {action} {path}: {source}")]
    File {
        /// What was tried.
        action: &'static str,
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
}

impl CommandFailure {
    /// Returns the exit status.
    pub fn status(&self) -> u8 {
        match self {
            Self::Refused(_) | Self::Faults(_) => 1,
            Self::Usage(_) | Self::File { .. } => 2,
            Self::Unreachable { .. } => 3,
            Self::NotInForce => 4,
        }
    }

    /// Prints the failure with every finding.
    pub fn print(&self) {
        let findings = match self {
            Self::Refused(body) => body.findings.as_slice(),
            Self::Faults(findings) => findings.as_slice(),
            _ => &[],
        };
        for finding in findings {
            eprintln!("bergamotlane: {finding}");
        }
        eprintln!("bergamotlane: {self}");
    }
}
