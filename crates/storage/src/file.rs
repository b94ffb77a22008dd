//! Whole files: written to a temporary neighbour, synced and renamed.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;

use bytes::Bytes;

use crate::record;

/// Replaces `path` by one checked record, durably.
///
/// # Errors
///
/// Returns the system's error.
pub fn save_record(path: &Path, payload: &[u8]) -> io::Result<()> {
    write_whole(path, &record::frame(payload))
}

/// Returns the record of a file that [`save_record`] wrote, or `None` if there is none that is
/// whole.
pub fn load_record(path: &Path) -> Option<Bytes> {
    let bytes = Bytes::from(fs::read(path).ok()?);
    record::scan(&bytes).payloads.into_iter().next()
}

/// Replaces `path` by `content`, durably.
pub(super) fn write_whole(path: &Path, content: &[u8]) -> io::Result<()> {
    let temporary = path.with_extension("tmp");
    let mut file = File::create(&temporary)?;
    file.write_all(content)?;
    file.sync_all()?;
    fs::rename(&temporary, path)?;
    sync_parent(path)
}

/// Makes the names in the folder of `path` durable.
pub(super) fn sync_parent(path: &Path) -> io::Result<()> {
    match path.parent() {
        Some(parent) => File::open(parent)?.sync_all(),
        None => Ok(()),
    }
}
