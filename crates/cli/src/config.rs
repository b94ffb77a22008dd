//! Settings of the command line: flags first, then environment, then defaults.

use std::env;
use std::fs;

use crate::failure::CommandFailure;

/// Returns the operators' address of a daemon.
pub fn server(flag: Option<String>) -> String {
    flag.or_else(|| env::var("BERGAMOTLANE_SERVER").ok())
        .unwrap_or_else(|| "127.0.0.1:7403".to_owned())
}

/// Returns the operators' key.
///
/// # Errors
///
/// Returns a failure if no file is named or it can't be read.
pub fn operator_key(flag: Option<String>) -> Result<String, CommandFailure> {
    let path = flag
        .or_else(|| env::var("BERGAMOTLANE_OPERATOR_KEY_FILE").ok())
        .ok_or_else(|| {
            let message = "name the key file by --operator-key-file or \
                BERGAMOTLANE_OPERATOR_KEY_FILE";
            CommandFailure::Usage(message.to_owned())
        })?;
    read_text(&path).map(|text| text.trim().to_owned())
}

/// Reads a file.
///
/// # Errors
///
/// Returns a failure that names the file.
pub fn read_bytes(path: &str) -> Result<Vec<u8>, CommandFailure> {
    fs::read(path).map_err(|source| CommandFailure::File {
        action: "read",
        path: path.to_owned(),
        source,
    })
}

/// Reads a text file.
///
/// # Errors
///
/// Returns a failure that names the file.
pub fn read_text(path: &str) -> Result<String, CommandFailure> {
    fs::read_to_string(path).map_err(|source| CommandFailure::File {
        action: "read",
        path: path.to_owned(),
        source,
    })
}
