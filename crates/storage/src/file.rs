//! Whole files: written to a temporary neighbour, synced and renamed.

use std::fs;
use std::fs::File;
use std::io;
use std::io::Write;
use std::path::Path;

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
