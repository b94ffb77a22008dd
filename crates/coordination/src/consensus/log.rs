//! In-memory log of a node: the snapshot that it begins after, and the entries that follow.
//!
//! Commands of synced entries can be evicted, so that the log holds only their lengths.

use std::collections::VecDeque;

use bytes::Bytes;

use super::membership::GroupMembership;
use super::message::EntryBody;
use super::stored::StoredBody;
use super::stored::StoredRange;

/// Memory of an entry that is held with its command, beside the command's bytes: its place in a list
/// that may have twice the room it needs, and the command's own allocation.
pub(super) const HELD_ENTRY_BYTES: usize = 2 * size_of::<LogEntry>() + 64;

/// Entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Position in the log, starting at one.
    pub index: u64,
    /// Term of the leader that appended the entry.
    pub term: u64,
    /// Content of the entry.
    pub body: EntryBody,
}

/// Serialised state of the state machine in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SnapshotData {
    /// The bytes themselves; empty in the first snapshot of a group.
    Inline(Bytes),
    /// The bytes are only in storage.
    Stored,
}

impl SnapshotData {
    /// Returns the bytes, or `None` if they are only in storage.
    pub fn inline(&self) -> Option<&Bytes> {
        match self {
            Self::Inline(bytes) => Some(bytes),
            Self::Stored => None,
        }
    }
}

impl Default for SnapshotData {
    fn default() -> Self {
        Self::Inline(Bytes::new())
    }
}

/// State at an index, which replaces the log entries up to that index.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogSnapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership in effect at that index.
    pub membership: GroupMembership,
    /// State of the state machine at that index.
    pub data: SnapshotData,
}

/// Log of a node: a snapshot and the entries that follow it.
///
/// The log keeps index, term and membership of the snapshot, but not its data.
#[derive(Debug, Clone, Default)]
pub struct ReplicatedLog {
    snapshot: LogSnapshot,
    /// Entries after the snapshot that hold no command.
    stored: StoredRange,
    /// Entries after `stored`.
    entries: VecDeque<LogEntry>,
    /// Memberships of all entries, each with the index of its entry, in ascending order.
    memberships: Vec<(u64, GroupMembership)>,
    /// Total size of the commands that the entries hold, in bytes.
    held_bytes: usize,
}

/// Returns the size of the command that an entry holds in memory, in bytes.
fn held_bytes(entry: &LogEntry) -> usize {
    match &entry.body {
        EntryBody::Command(command) => command.len(),
        EntryBody::Noop | EntryBody::Membership(_) | EntryBody::Stored(_) => 0,
    }
}

/// Returns what is kept of an entry whose command is in storage.
fn stored_body(entry: &LogEntry) -> StoredBody {
    match &entry.body {
        EntryBody::Noop => StoredBody::Noop,
        EntryBody::Command(command) => StoredBody::Command(command.len() as u32),
        EntryBody::Stored(length) => StoredBody::Command(*length),
        EntryBody::Membership(_) => StoredBody::Membership,
    }
}

impl ReplicatedLog {
    /// Creates a log from stored state.
    ///
    /// The `entries` must start at the index after `snapshot` and have no gaps. The data of the
    /// snapshot must be in storage; the log drops it.
    pub fn new(snapshot: LogSnapshot, entries: Vec<LogEntry>) -> Self {
        let mut log = Self {
            stored: StoredRange::new(snapshot.index),
            snapshot: LogSnapshot {
                data: SnapshotData::Stored,
                ..snapshot
            },
            entries: VecDeque::new(),
            memberships: Vec::new(),
            held_bytes: 0,
        };
        log.append(entries);
        log
    }

    /// Returns the snapshot that the log starts from.
    pub fn snapshot(&self) -> &LogSnapshot {
        &self.snapshot
    }

    /// Returns the index of the last entry, or that of the snapshot if no entry follows it.
    pub fn last_index(&self) -> u64 {
        self.stored.last_index() + self.entries.len() as u64
    }

    /// Returns the term of the last entry, or that of the snapshot if no entry follows it.
    pub fn last_term(&self) -> u64 {
        self.term_at(self.last_index())
            .unwrap_or(self.snapshot.term)
    }

    /// Returns the term of the entry at `index`.
    ///
    /// Returns `None` if the entry was compacted or not yet appended. The last index of the
    /// snapshot still has a term.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        match self.stored.get(index) {
            Some((term, _)) => Some(term),
            None => self.held(index).map(|entry| entry.term),
        }
    }

    /// Returns the entry at `index`, or `None` if it was compacted or not yet appended.
    pub fn entry(&self, index: u64) -> Option<LogEntry> {
        let Some((term, body)) = self.stored.get(index) else {
            return self.held(index).cloned();
        };
        let body = match body {
            StoredBody::Noop => EntryBody::Noop,
            StoredBody::Command(length) => EntryBody::Stored(length),
            StoredBody::Membership => {
                let memberships = &self.memberships;
                let found = memberships.binary_search_by_key(&index, |(at, _)| *at);
                EntryBody::Membership(memberships[found.ok()?].1.clone())
            }
        };
        Some(LogEntry { index, term, body })
    }

    /// Returns the entries from `index` on, or from the first one after the snapshot if `index`
    /// was compacted.
    pub fn entries_from(&self, index: u64) -> impl Iterator<Item = LogEntry> {
        let first = index.max(self.snapshot.index + 1);
        (first..).map_while(|index| self.entry(index))
    }

    /// Returns the size of the command at `index`, in bytes; zero if there is none.
    pub(super) fn command_bytes(&self, index: u64) -> usize {
        match self.stored.get(index) {
            Some((_, StoredBody::Command(length))) => length as usize,
            Some(_) => 0,
            None => self.held(index).map_or(0, held_bytes),
        }
    }

    /// Returns the entry at `index` if it isn't among the stored ones.
    fn held(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.stored.last_index() + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the latest membership of the log and the index of the entry that set it.
    ///
    /// A membership takes effect when it is appended, before it is committed.
    pub fn membership(&self) -> (u64, &GroupMembership) {
        self.memberships.last().map_or(
            (self.snapshot.index, &self.snapshot.membership),
            |(index, membership)| (*index, membership),
        )
    }

    /// Returns the membership in effect at `index`, which must not be compacted.
    pub(super) fn membership_at(&self, index: u64) -> &GroupMembership {
        let mut memberships = self.memberships.iter().rev();
        let found = memberships.find(|(at, _)| *at <= index);
        found.map_or(&self.snapshot.membership, |(_, membership)| membership)
    }

    /// Appends entries, after dropping all existing ones from the first new index on.
    pub fn append(&mut self, entries: Vec<LogEntry>) {
        let Some(first) = entries.first() else {
            return;
        };
        self.truncate(first.index.saturating_sub(1));
        for entry in entries {
            if let EntryBody::Membership(membership) = &entry.body {
                self.memberships.push((entry.index, membership.clone()));
            }
            let bytes = held_bytes(&entry);
            self.held_bytes += bytes;
            if bytes == 0 && self.entries.is_empty() {
                self.stored.push(entry.term, stored_body(&entry));
            } else {
                self.entries.push_back(entry);
            }
        }
    }

    /// Drops the entries after `index`.
    pub fn truncate(&mut self, index: u64) {
        let keep = index.saturating_sub(self.stored.last_index()) as usize;
        let dropped = self.entries.iter().skip(keep);
        self.held_bytes -= dropped.map(held_bytes).sum::<usize>();
        self.entries.truncate(keep);
        self.stored.truncate(index);
        self.memberships.retain(|(at, _)| *at <= index);
    }

    /// Returns the total size of the commands that the log holds in memory, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Replaces the oldest commands by [`EntryBody::Stored`] until the rest and their entries take
    /// at most `keep_bytes`, but none after the index `synced`.
    pub(super) fn evict_commands(&mut self, synced: u64, keep_bytes: usize) {
        while self.held_bytes + self.entries.len() * HELD_ENTRY_BYTES > keep_bytes
            && self.stored.last_index() < synced
        {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.held_bytes -= held_bytes(&entry);
            self.stored.push(entry.term, stored_body(&entry));
        }
    }

    /// Returns index, term and membership of a snapshot at `index`, whose data is in storage.
    ///
    /// Returns `None` if the log has no entry at `index`, or has compacted it already.
    pub fn snapshot_at(&self, index: u64) -> Option<LogSnapshot> {
        if index <= self.snapshot.index {
            return None;
        }
        let term = self.term_at(index)?;
        Some(LogSnapshot {
            index,
            term,
            membership: self.membership_at(index).clone(),
            data: SnapshotData::Stored,
        })
    }

    /// Drops the entries up to `index`, at which a snapshot is in storage.
    ///
    /// Returns whether there were any; the log has no entry at `index` otherwise, or has compacted
    /// it already.
    pub fn compact(&mut self, index: u64) -> bool {
        let Some(snapshot) = self.snapshot_at(index) else {
            return false;
        };
        let held = index.saturating_sub(self.stored.last_index()) as usize;
        let dropped = self.entries.drain(..held);
        self.held_bytes -= dropped.map(|entry| held_bytes(&entry)).sum::<usize>();
        self.stored.drop_until(index);
        self.memberships.retain(|(at, _)| *at > index);
        self.snapshot = snapshot;
        true
    }

    /// Replaces the log by a snapshot.
    ///
    /// Entries after the snapshot are kept if the log has the last entry that it covers;
    /// otherwise they may belong to a diverged log and are dropped.
    pub fn install(&mut self, snapshot: LogSnapshot) {
        if self.term_at(snapshot.index) != Some(snapshot.term) {
            *self = Self::new(snapshot, Vec::new());
            return;
        }
        self.compact(snapshot.index);
        self.snapshot = LogSnapshot {
            data: SnapshotData::Stored,
            ..snapshot
        };
    }
}
