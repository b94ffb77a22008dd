//! Snapshots of the state, which a thread of their own encodes and writes, and the release of the log
//! that they replace.

#[cfg(test)]
mod tests;

use std::thread;

use super::KeeperEvent;
use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::payload::PayloadRef;
use crate::state::ServiceState;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::consensus::LogSnapshot;
use bergamotlane_coordination::consensus::SnapshotData;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_storage::SnapshotThresholds;
use bergamotlane_storage::SnapshotWriter;
use bergamotlane_storage::StorageError;
use bergamotlane_storage::WrittenSnapshot;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::codec;

/// Size of the log, in bytes or entries, above which a snapshot is taken, for the node that is first.
const SNAPSHOT_THRESHOLDS: SnapshotThresholds = SnapshotThresholds {
    log_bytes: 32 * 1024 * 1024,
    entries: 100_000,
};

/// Number of steps that the thresholds of nodes are spread over.
const SPREAD_STEPS: u64 = 64;

/// Part of a threshold by which that of the last step is higher.
const SPREAD_DIVISOR: u64 = 2;

/// Divisor of the disk's share that yields the size of the log above which a snapshot is taken at the
/// latest: the log is released in portions of that size.
const DISK_DIVISOR: u64 = 8;

/// Pause after a snapshot that could not be written or has to wait, in milliseconds.
const SNAPSHOT_RETRY_MS: u64 = 10_000;

/// Size of the payloads held in full, in bytes, above which a snapshot waits until the jobs that came
/// with them from an earlier build are forgotten: each copy of the state that is made on the way to
/// the disk would hold them once more.
const MAX_INLINE_BYTES: u64 = 8 * 1024 * 1024;

/// Snapshots that this keeper takes.
#[derive(Debug, Default)]
pub(super) struct SnapshotTurn {
    /// Number of times that the data folder was opened, to tell what an earlier voter has written.
    folder: u64,
    /// Earliest time of the next snapshot, after one that could not be written or has to wait.
    retry_at: ClockTime,
    /// Whether part of the log may be free to be released.
    has_release: bool,
}

/// Returns the thresholds of a node whose log and snapshots may take `disk_bytes`. They differ, so
/// that the nodes of a group, whose logs grow alike, take their snapshots at different times.
pub(super) fn thresholds_of(node: NodeId, disk_bytes: u64) -> SnapshotThresholds {
    let step = node.0 % SPREAD_STEPS;
    let spread = |least: u64| least + least / SPREAD_DIVISOR * step / SPREAD_STEPS;
    let log_bytes = SNAPSHOT_THRESHOLDS.log_bytes;
    SnapshotThresholds {
        log_bytes: spread(log_bytes.min(disk_bytes / DISK_DIVISOR)),
        entries: spread(SNAPSHOT_THRESHOLDS.entries),
    }
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Starts a snapshot if one is due, and releases the part of the log that nobody needs.
    pub(super) fn maintain_log(&mut self) {
        self.take_snapshot();
        self.release_log();
    }

    fn take_snapshot(&mut self) {
        let time = now();
        let Some(voter) = &mut self.voter else {
            return;
        };
        if time < self.snapshot.retry_at || !voter.needs_snapshot() {
            return;
        }
        if self.state.jobs.size().inline_bytes > MAX_INLINE_BYTES {
            self.snapshot.retry_at = time + SNAPSHOT_RETRY_MS;
            return;
        }
        let Some(writer) = voter.start_snapshot(self.state.index) else {
            return;
        };
        let state = ServiceState {
            ages_ms: self.ages.all(time),
            ..self.state.clone()
        };
        let (events, folder) = (self.events.clone(), self.snapshot.folder);
        let spawned = thread::Builder::new()
            .name("snapshot".to_owned())
            .spawn(move || {
                let written = write_snapshot(state, writer);
                // The control thread runs until the process exits.
                let event = KeeperEvent::SnapshotWritten { folder, written };
                events.send(event).ok();
            });
        if let Err(error) = spawned {
            self.abandon_snapshot(&error.to_string());
        }
    }

    pub(super) fn on_snapshot_written(
        &mut self,
        folder: u64,
        written: Result<WrittenSnapshot, StorageError>,
    ) {
        let Some(voter) = self
            .voter
            .as_mut()
            .filter(|_| folder == self.snapshot.folder)
        else {
            return;
        };
        match written {
            Ok(written) => {
                voter.finish_snapshot(written);
                self.snapshot.has_release = true;
                self.release_log();
            }
            Err(error) => self.abandon_snapshot(&error.to_string()),
        }
    }

    fn abandon_snapshot(&mut self, error: &str) {
        spdlog::warn!("storage: snapshot could not be written", kv: { error });
        self.snapshot.retry_at = now() + SNAPSHOT_RETRY_MS;
        if let Some(voter) = &mut self.voter {
            voter.abandon_snapshot();
        }
    }

    /// Makes the next call of [`Self::maintain_log`] release the log, after jobs were forgotten.
    pub(super) fn request_release(&mut self) {
        self.snapshot.has_release = true;
    }

    /// Forgets the snapshot that was written to an earlier opening of the data folder.
    pub(super) fn reset_snapshots(&mut self) {
        self.snapshot = SnapshotTurn {
            folder: self.snapshot.folder + 1,
            retry_at: ClockTime::default(),
            has_release: true,
        };
    }

    /// Releases the part of the log that the state does not refer to, unless results that wait to be
    /// listed refer to a job that is gone.
    fn release_log(&mut self) {
        if !self.snapshot.has_release {
            return;
        }
        let first_needed = self.state.first_needed_entry();
        let first_unread = self.first_unread_entry();
        if first_unread.is_some_and(|it| it < first_needed) {
            return;
        }
        self.snapshot.has_release = false;
        let Some(voter) = &mut self.voter else {
            return;
        };
        let before = voter.disk_bytes();
        match voter.release_log(first_needed) {
            Ok(()) if voter.disk_bytes() < before => {
                spdlog::info!("storage: log released", kv: {
                    first_needed,
                    before,
                    after = voter.disk_bytes(),
                });
            }
            Ok(()) => {}
            Err(error) => self.handle_storage_failure(&error),
        }
    }

    /// Returns the smallest index of a log entry that a result refers to which is not listed yet.
    fn first_unread_entry(&self) -> Option<u64> {
        let lead = self.lead.as_ref()?;
        let due = lead.results.iter().flat_map(|it| &it.results);
        let results = due.chain(lead.listing.results());
        let entries = results.filter_map(|it| match it.text {
            PayloadRef::Entry { index, .. } => Some(index),
            PayloadRef::Inline(_) => None,
        });
        entries.min()
    }

    /// Returns a snapshot with all payloads in full, for a keeper of an earlier build. Those whose
    /// entries were released are empty: they belong to jobs that later entries forget. Returns
    /// `None` if the snapshot can't be decoded or the log can't be read.
    pub(super) fn inline_snapshot(&mut self, snapshot: &LogSnapshot) -> Option<LogSnapshot> {
        let data = snapshot.data.inline()?;
        if data.is_empty() {
            return Some(snapshot.clone());
        }
        let mut state = match codec::decode::<ServiceState>(data) {
            Ok(state) => state,
            Err(error) => {
                spdlog::error!("storage: snapshot could not be decoded", kv: { error = error.to_string() });
                return None;
            }
        };
        let voter = self.voter.as_ref()?;
        let resolved = state
            .jobs
            .resolve(|index, range| voter.read_command(index, range));
        if let Err(error) = resolved {
            self.handle_storage_failure(&error);
            return None;
        }
        Some(LogSnapshot {
            data: SnapshotData::Inline(codec::encode(&state)),
            ..snapshot.clone()
        })
    }
}

/// Encodes the state and writes it as a snapshot.
fn write_snapshot(
    state: ServiceState,
    writer: SnapshotWriter,
) -> Result<WrittenSnapshot, StorageError> {
    let started = now();
    let (index, data) = (writer.index(), codec::encode(&state));
    // A job that changes while this copy lives is copied, and a disk may take long.
    drop(state);
    let written = writer.write(&data)?;
    spdlog::info!("storage: snapshot written", kv: {
        index,
        bytes = data.len(),
        took_ms = now().since(started),
    });
    Ok(written)
}
