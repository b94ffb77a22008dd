//! Errors of a data folder.

use std::io;
use std::path::Path;
use std::path::PathBuf;

use thiserror::Error;

use bergamotlane_wire::codec::WireError;

/// Reason why a data folder can't be opened, read or written.
#[derive(Debug, Error)]
pub enum StorageError {
    /// A file operation failed.
    #[error("could not {action} {path}: {source}")]
    Io {
        /// Verb that completes "could not ... {path}", for example `open`.
        action: &'static str,
        /// File or folder on which the operation failed.
        path: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A file is damaged in a way that a crash during a write can't cause.
    #[error("{path} is damaged at byte {offset}; restore the folder or start with an empty one")]
    Damaged {
        /// Damaged file.
        path: PathBuf,
        /// Byte offset at which the first damaged record starts.
        offset: usize,
    },
    /// A record has a valid checksum, but its payload isn't of the expected type.
    #[error("could not decode {path}: {source}")]
    Decode {
        /// File that holds the record.
        path: PathBuf,
        /// Why the payload was rejected.
        source: WireError,
    },
    /// Entries are missing between the snapshot and the log, or within the log.
    #[error(
        "entries are missing from the log in {path}: indexes after the snapshot are not consecutive"
    )]
    Gap {
        /// Data folder.
        path: PathBuf,
    },
    /// A committed entry is not in the folder's log.
    #[error("entry {index} is missing from the log in {path}")]
    NoEntry {
        /// Data folder.
        path: PathBuf,
        /// Index of the entry.
        index: u64,
    },
    /// Another process holds the lock of the folder.
    #[error("{path} is in use by another process")]
    InUse {
        /// Data folder.
        path: PathBuf,
    },
}

/// Returns a function that converts an I/O error of `action` on `path`.
pub(super) fn io_error(
    action: &'static str,
    path: &Path,
) -> impl FnOnce(io::Error) -> StorageError {
    let path = path.to_owned();
    move |source| StorageError::Io {
        action,
        path,
        source,
    }
}

/// Returns a function that converts a decoding error in `path`.
pub(super) fn decode_error(path: &Path) -> impl Fn(WireError) -> StorageError {
    let path = path.to_owned();
    move |source| StorageError::Decode {
        path: path.clone(),
        source,
    }
}
