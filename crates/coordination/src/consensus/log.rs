//! The log of a node, as far as it is held in memory.

use bytes::Bytes;

use super::membership::GroupMembership;
use super::message::EntryBody;

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// One-based index.
    pub index: u64,
    /// Term in which a leader appended it.
    pub term: u64,
    /// Content.
    pub body: EntryBody,
}

/// State of the state machine up to an index, which stands for the entries before.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LogSnapshot {
    /// Last index contained.
    pub index: u64,
    /// Term of that index.
    pub term: u64,
    /// Membership in effect at that index.
    pub membership: GroupMembership,
    /// State of the state machine.
    pub data: Bytes,
}

/// A snapshot and the entries that follow it.
#[derive(Debug, Clone, Default)]
pub struct ReplicatedLog {
    snapshot: LogSnapshot,
    entries: Vec<LogEntry>,
    /// Memberships in the entries, by index, oldest first.
    memberships: Vec<(u64, GroupMembership)>,
}

impl ReplicatedLog {
    /// Creates a log from what storage holds; `entries` must follow `snapshot` without gaps.
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

    /// Returns the index of the last entry.
    pub fn last_index(&self) -> u64 {
        self.snapshot.index + self.entries.len() as u64
    }

    /// Returns the term of the last entry.
    pub fn last_term(&self) -> u64 {
        self.entries
            .last()
            .map_or(self.snapshot.term, |entry| entry.term)
    }

    /// Returns the term at `index`, or `None` if the log doesn't hold it.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.snapshot.index {
            return Some(self.snapshot.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`.
    pub fn entry(&self, index: u64) -> Option<&LogEntry> {
        let place = index.checked_sub(self.snapshot.index + 1)?;
        self.entries.get(place as usize)
    }

    /// Returns up to `count` entries from `index` on.
    pub fn slice(&self, index: u64, count: usize) -> &[LogEntry] {
        let first = self.snapshot.index + 1;
        let start = (index.max(first) - first) as usize;
        let start = start.min(self.entries.len());
        let end = (start + count).min(self.entries.len());
        &self.entries[start..end]
    }

    /// Returns the membership in effect and the index that set it.
    pub fn membership(&self) -> (u64, &GroupMembership) {
        self.memberships
            .last()
            .map_or((self.snapshot.index, &self.snapshot.membership), |it| {
                (it.0, &it.1)
            })
    }

    /// Appends entries, replacing what stands from the first one's index on.
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

    /// Replaces the entries up to `index` by a snapshot, and returns it.
    ///
    /// Returns `None` if the log doesn't hold `index` or already starts after it.
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
            .map_or_else(|| self.snapshot.membership.clone(), |it| it.1.clone());
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

    /// Replaces the whole log by a snapshot, keeping entries that follow it.
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
