//! In-memory log of a node: the snapshot that it begins after, and the entries that follow.
//!
//! Commands of synced entries can be evicted, so that the log holds only their lengths.

use bytes::Bytes;

use super::membership::GroupMembership;
use super::message::EntryBody;

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
    entries: Vec<LogEntry>,
    /// Memberships in `entries`, each with the index of its entry, in ascending order.
    memberships: Vec<(u64, GroupMembership)>,
    /// Index up to which no entry holds a command.
    evicted: u64,
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

impl ReplicatedLog {
    /// Creates a log from stored state.
    ///
    /// The `entries` must start at the index after `snapshot` and have no gaps. The data of the
    /// snapshot must be in storage; the log drops it.
    pub fn new(snapshot: LogSnapshot, entries: Vec<LogEntry>) -> Self {
        let mut log = Self {
            evicted: snapshot.index,
            snapshot: LogSnapshot {
                data: SnapshotData::Stored,
                ..snapshot
            },
            entries: Vec::new(),
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
        self.snapshot.index + self.entries.len() as u64
    }

    /// Returns the term of the last entry, or that of the snapshot if no entry follows it.
    pub fn last_term(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term of the entry at `index`.
    ///
    /// Returns `None` if the entry was compacted or not yet appended. The last index of the
    /// snapshot still has a term.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, or `None` if it was compacted or not yet appended.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        let offset = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns up to `count` entries from `index` on.
    ///
    /// Starts at the first entry after the snapshot if `index` was compacted.
    pub fn slice(&self, index: u64, count: usize) -> &[LogEntry] {
        let first = self.snapshot.index + 1;
        let start = (index.max(first) - first) as usize;
        let start = start.min(self.entries.len());
        let end = (start + count).min(self.entries.len());
        &self.entries[start..end]
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

    /// Appends entries, after dropping all existing ones from the first new index on.
    pub fn append(&mut self, entries: Vec<LogEntry>) {
        let Some(first) = entries.first() else {
            return;
        };
        let keep = first.index.saturating_sub(self.snapshot.index + 1) as usize;
        let dropped = self.entries.get(keep..).unwrap_or_default();
        self.held_bytes -= dropped.iter().map(held_bytes).sum::<usize>();
        self.evicted = self.evicted.min(first.index.saturating_sub(1));
        self.entries.truncate(keep);
        self.memberships.retain(|(index, _)| *index < first.index);
        self.entries.reserve(entries.len());
        for entry in entries {
            self.held_bytes += held_bytes(&entry);
            if let EntryBody::Membership(membership) = &entry.body {
                self.memberships.push((entry.index, membership.clone()));
            }
            self.entries.push(entry);
        }
    }

    /// Returns the total size of the commands that the log holds in memory, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Replaces the oldest commands by [`EntryBody::Stored`] until at most `keep_bytes` of
    /// commands remain, but none after the index `synced`.
    pub(super) fn evict_commands(&mut self, synced: u64, keep_bytes: usize) {
        let end = synced.min(self.last_index());
        while self.held_bytes > keep_bytes && self.evicted < end {
            self.evicted += 1;
            let offset = (self.evicted - self.snapshot.index - 1) as usize;
            let entry = &mut self.entries[offset];
            if let EntryBody::Command(command) = &entry.body {
                let length = command.len();
                self.held_bytes -= length;
                entry.body = EntryBody::Stored(length as u32);
            }
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
        let mut memberships = self.memberships.iter().rev();
        let membership = memberships
            .find(|(at, _)| *at <= index)
            .map_or(&self.snapshot.membership, |(_, membership)| membership);
        Some(LogSnapshot {
            index,
            term,
            membership: membership.clone(),
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
        let dropped = self.entries.drain(..(index - self.snapshot.index) as usize);
        self.held_bytes -= dropped.map(|entry| held_bytes(&entry)).sum::<usize>();
        self.entries.shrink_to(self.entries.len() * 2);
        self.memberships.retain(|(at, _)| *at > index);
        self.evicted = self.evicted.max(index);
        self.snapshot = snapshot;
        true
    }

    /// Replaces the log by a snapshot.
    ///
    /// Entries after the snapshot are kept if the log has the last entry that it covers;
    /// otherwise they may belong to a diverged log and are dropped.
    pub fn install(&mut self, snapshot: LogSnapshot) {
        let tail = match self.term_at(snapshot.index) {
            Some(term) if term == snapshot.term => {
                self.slice(snapshot.index + 1, usize::MAX >> 1).to_vec()
            }
            _ => Vec::new(),
        };
        *self = Self::new(snapshot, tail);
    }
}
