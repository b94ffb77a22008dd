//! Settings of the command line. A flag takes precedence over the environment variable,
//! and the variable over the default.

use std::env;
use std::fs;

use crate::failure::CommandFailure;

/// Returns the address of a daemon's operators' listener: the flag, `BERGAMOTLANE_SERVER`
/// or `127.0.0.1:7403`.
pub fn server_address(flag: Option<String>) -> String {
    flag.or_else(|| env::var("BERGAMOTLANE_SERVER").ok())
        .unwrap_or_else(|| "127.0.0.1:7403".to_owned())
}

/// Reads the operators' key from the file that the flag or
/// `BERGAMOTLANE_OPERATOR_KEY_FILE` names, without surrounding white space.
///
/// # Errors
///
/// Returns [`CommandFailure::Usage`] if neither names a file, and [`CommandFailure::File`]
/// if the file can't be read.
pub fn read_operator_key(flag: Option<String>) -> Result<String, CommandFailure> {
    let path = flag
        .or_else(|| env::var("BERGAMOTLANE_OPERATOR_KEY_FILE").ok())
        .ok_or_else(|| {
            let message = "the operators' key is required: set --operator-key-file or \
                BERGAMOTLANE_OPERATOR_KEY_FILE";
            CommandFailure::Usage(message.to_owned())
        })?;
    read_text(&path).map(|text| text.trim().to_owned())
}

/// Reads a file as bytes.
///
/// # Errors
///
/// Returns [`CommandFailure::File`] if the file can't be read.
pub fn read_bytes(path: &str) -> Result<Vec<u8>, CommandFailure> {
    fs::read(path).map_err(|source| CommandFailure::File {
        action: "read",
        path: path.to_owned(),
        source,
    })
}

/// Reads a file as UTF-8 text.
///
/// # Errors
///
/// Returns [`CommandFailure::File`] if the file can't be read or isn't UTF-8.
pub fn read_text(path: &str) -> Result<String, CommandFailure> {
    fs::read_to_string(path).map_err(|source| CommandFailure::File {
        action: "read",
        path: path.to_owned(),
        source,
    })
}
