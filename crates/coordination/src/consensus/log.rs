//! In-memory log of a node: the latest snapshot and the entries that follow it.

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

/// State at an index, which replaces the log entries up to that index.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogSnapshot {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership in effect at that index.
    pub membership: GroupMembership,
    /// Serialised state of the state machine; empty in the first snapshot of a group.
    pub data: Bytes,
}

/// Log of a node: a snapshot and the entries that follow it.
#[derive(Debug, Clone, Default)]
pub struct ReplicatedLog {
    snapshot: LogSnapshot,
    entries: Vec<LogEntry>,
    /// Memberships in `entries`, each with the index of its entry, in ascending order.
    memberships: Vec<(u64, GroupMembership)>,
}

impl ReplicatedLog {
    /// Creates a log from stored state.
    ///
    /// The `entries` must start at the index after `snapshot` and have no gaps.
    pub fn new(snapshot: LogSnapshot, entries: Vec<LogEntry>) -> Self {
        let mut log = Self {
            snapshot,
            entries: Vec::new(),
            memberships: Vec::new(),
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
        self.entries.truncate(keep);
        self.memberships.retain(|(index, _)| *index < first.index);
        for entry in entries {
            if let EntryBody::Membership(membership) = &entry.body {
                self.memberships.push((entry.index, membership.clone()));
            }
            self.entries.push(entry);
        }
    }

    /// Replaces the entries up to `index` by a snapshot of `data`, and returns the snapshot.
    ///
    /// Returns `None` if the log has no entry at `index`, or has compacted it already.
    pub fn compact(&mut self, index: u64, data: Bytes) -> Option<LogSnapshot> {
        if index <= self.snapshot.index {
            return None;
        }
        let term = self.term_at(index)?;
        let membership = self
            .memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map_or_else(
                || self.snapshot.membership.clone(),
                |(_, membership)| membership.clone(),
            );
        self.entries.drain(..(index - self.snapshot.index) as usize);
        self.memberships.retain(|(at, _)| *at > index);
        self.snapshot = LogSnapshot {
            index,
            term,
            membership,
            data,
        };
        Some(self.snapshot.clone())
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
