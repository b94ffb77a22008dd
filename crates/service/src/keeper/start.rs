//! Report of a keeper's start: what each of its stages read, and the memory of the process after it.

use std::path::Path;

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::process_memory::memory_use;
use crate::text_journal::TextJournal;
use crate::texts::TextStore;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_storage::DataFolder;
use bergamotlane_storage::FolderContent;
use bergamotlane_storage::StorageError;
use bergamotlane_storage::clock::now;

/// Entries of the folder that were not applied when it was opened, until they are.
#[derive(Debug)]
pub(super) struct LogReplay {
    started: ClockTime,
    /// Index of the snapshot that the state was restored from.
    first: u64,
    /// Index of the last entry that the folder held.
    last: u64,
    /// Size of the log in the folder, in bytes.
    log_bytes: u64,
}

/// Opens a data folder, and logs what was read of it.
pub(super) fn open_folder(path: &Path) -> Result<(DataFolder, FolderContent), StorageError> {
    let started = now();
    let (folder, content) = DataFolder::open(path, NodeId(rand::random()))?;
    let memory = memory_use().unwrap_or_default();
    let (base, last) = (content.log.snapshot().index, content.log.last_index());
    spdlog::info!("start: folder read", kv: {
        log_bytes = folder.log_bytes(),
        disk_bytes = folder.disk_bytes(),
        base,
        snapshot = content.applied,
        last,
        entries = last - base,
        took_ms = now().since(started),
        resident_kb = memory.resident_kb,
        peak_kb = memory.peak_kb,
    });
    Ok((folder, content))
}

/// Logs what was read of the journal of partial texts.
pub(super) fn log_texts(started: ClockTime, journal: Option<&TextJournal>, texts: &TextStore) {
    let memory = memory_use().unwrap_or_default();
    let read = journal.map(TextJournal::read_size).unwrap_or_default();
    spdlog::info!("start: texts read", kv: {
        records = read.records,
        bytes = read.bytes,
        skipped = read.skipped,
        texts = texts.len(),
        text_bytes = texts.bytes(),
        took_ms = now().since(started),
        resident_kb = memory.resident_kb,
        peak_kb = memory.peak_kb,
    });
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Logs what was restored from the snapshot of `snapshot_bytes`, and begins to watch the replay of
    /// the log up to the entry `last`.
    pub(super) fn log_restored(&mut self, started: ClockTime, snapshot_bytes: usize, last: u64) {
        let memory = memory_use().unwrap_or_default();
        let table = self.state.jobs.size();
        spdlog::info!("start: snapshot restored", kv: {
            snapshot = self.state.index,
            bytes = snapshot_bytes,
            jobs = table.jobs,
            items = table.items,
            stored_bytes = table.stored_bytes,
            inline_bytes = table.inline_bytes,
            took_ms = now().since(started),
            resident_kb = memory.resident_kb,
            peak_kb = memory.peak_kb,
        });
        self.replay = Some(LogReplay {
            started: now(),
            first: self.state.index,
            last,
            log_bytes: self.voter.as_ref().map_or(0, |it| it.folder.log_bytes()),
        });
    }

    /// Logs once that all entries which the folder held when it was opened are applied.
    pub(super) fn report_replay(&mut self) {
        let is_done = |it: &mut LogReplay| self.state.index >= it.last;
        let Some(replay) = self.replay.take_if(is_done) else {
            return;
        };
        let memory = memory_use().unwrap_or_default();
        let table = self.state.jobs.size();
        spdlog::info!("start: log replayed", kv: {
            entries = replay.last - replay.first,
            log_bytes = replay.log_bytes,
            index = self.state.index,
            jobs = table.jobs,
            items = table.items,
            took_ms = now().since(replay.started),
            resident_kb = memory.resident_kb,
            peak_kb = memory.peak_kb,
        });
    }
}
