//! Report of the keeper's memory, and of what takes it.

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::metrics::METRICS;
use crate::process_memory::memory_use;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::DiskVoter;

/// Interval at which the memory is read, in milliseconds.
const MEMORY_INTERVAL_MS: u64 = 500;

/// Growth of the resident memory above its last report that is reported, in KB.
const REPORTED_GROWTH_KB: u64 = 16 * 1024;

/// When the memory is read next, and what was reported last.
#[derive(Debug, Default)]
pub(super) struct MemoryReport {
    due: ClockTime,
    reported_kb: u64,
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Updates the gauges of what is held in memory, and logs them whenever the resident memory has
    /// grown by [`REPORTED_GROWTH_KB`].
    pub(super) fn report_memory(&mut self, time: ClockTime) {
        if time < self.memory.due {
            return;
        }
        self.memory.due = time + MEMORY_INTERVAL_MS;
        let (links, queued_bytes) = self.hub.load();
        let voter = self.voter.as_ref();
        let log_bytes = voter.map_or(0, |it| it.folder.log_bytes());
        let disk_bytes = voter.map_or(0, DiskVoter::disk_bytes);
        let command_bytes = voter.map_or(0, DiskVoter::command_bytes_in_memory);
        let table = self.state.jobs.size();
        METRICS.links.set(links as i64);
        METRICS.queued_bytes.set(queued_bytes as i64);
        let received_bytes = self.hub.received_bytes();
        METRICS.received_bytes.set(received_bytes as i64);
        METRICS.partial_texts.set(self.texts.len() as i64);
        METRICS.text_bytes.set(self.texts.bytes() as i64);
        METRICS.log_bytes.set(log_bytes as i64);
        METRICS.disk_bytes.set(disk_bytes as i64);
        METRICS.command_bytes.set(command_bytes as i64);
        METRICS.state_items.set(table.items as i64);
        METRICS.stored_bytes.set(table.stored_bytes as i64);
        METRICS.inline_bytes.set(table.inline_bytes as i64);
        let Some(resident_kb) = memory_use().map(|it| it.resident_kb) else {
            return;
        };
        METRICS.resident_kb.set(resident_kb as i64);
        if resident_kb < self.memory.reported_kb + REPORTED_GROWTH_KB {
            return;
        }
        self.memory.reported_kb = resident_kb;
        let runs = self.lead.as_ref().map_or(0, |it| it.runs.len());
        spdlog::info!("memory: grown", kv: {
            resident_kb,
            links,
            queued_bytes,
            received_bytes,
            log_bytes,
            disk_bytes,
            command_bytes,
            index_bytes = voter.map_or(0, DiskVoter::index_bytes),
            stored_bytes = table.stored_bytes,
            inline_bytes = table.inline_bytes,
            texts = self.texts.len(),
            jobs = table.jobs,
            items = table.items,
            text_bytes = self.texts.bytes(),
            runs,
        });
    }
}
