//! Atomic replacement of files.
//!
//! The new content is written to a temporary file in the same folder, synced, and renamed over the
//! old file. After a crash, the file has either its old or its new content.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;

use bytes::Bytes;

use crate::record;

/// Atomically and durably replaces the file at `path` with one checksummed record that holds
/// `payload`.
///
/// # Errors
///
/// Returns an error if the file can't be written, synced or renamed. The file then has either its
/// old or its new content.
pub fn save_record(path: &Path, payload: &[u8]) -> io::Result<()> {
    replace_file(path, &record::frame(payload))
}

/// Returns the payload of a file written by [`save_record`].
///
/// Returns `None` if the file is missing, can't be read, or fails its checksum.
pub fn load_record(path: &Path) -> Option<Bytes> {
    let bytes = Bytes::from(fs::read(path).ok()?);
    record::first_payload(&bytes)
}

/// Atomically and durably replaces the file at `path` with `content`.
pub(super) fn replace_file(path: &Path, content: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("tmp");
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    sync_parent(path)
}

/// Syncs the parent folder of `path`.
///
/// Syncing a file doesn't make its directory entry durable, so the folder is synced after a file is
/// created, renamed or removed.
pub(super) fn sync_parent(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}
