//! Entries of a log whose commands are only in storage, in a few bytes each.

/// Length that stands for an entry without data.
const NOOP_LENGTH: u32 = u32::MAX;

/// Length that stands for an entry with a membership.
const MEMBERSHIP_LENGTH: u32 = u32::MAX - 1;

/// Content of a stored entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StoredBody {
    /// Carries no data.
    Noop,
    /// A command of this length, in bytes.
    Command(u32),
    /// A membership, which is kept elsewhere.
    Membership,
}

/// Consecutive entries from the one after an index on.
#[derive(Debug, Clone, Default)]
pub(super) struct StoredRange {
    base: u64,
    lengths: Vec<u32>,
    /// Term of the entries from each index on, in ascending order.
    terms: Vec<(u64, u64)>,
}

impl StoredRange {
    /// Creates an empty range that begins after the index `base`.
    pub(super) fn new(base: u64) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Returns the index of the last entry, or that before the first if there is none.
    pub(super) fn last_index(&self) -> u64 {
        self.base + self.lengths.len() as u64
    }

    /// Returns term and body of an entry, or `None` if the range doesn't have it.
    pub(super) fn get(&self, index: u64) -> Option<(u64, StoredBody)> {
        let offset = index.checked_sub(self.base + 1)?;
        let body = match *self.lengths.get(offset as usize)? {
            NOOP_LENGTH => StoredBody::Noop,
            MEMBERSHIP_LENGTH => StoredBody::Membership,
            length => StoredBody::Command(length),
        };
        let run = self.terms.partition_point(|(first, _)| *first <= index);
        Some((self.terms[run - 1].1, body))
    }

    /// Adds an entry after the last one.
    pub(super) fn push(&mut self, term: u64, body: StoredBody) {
        let index = self.last_index() + 1;
        if self.terms.last().is_none_or(|(_, last)| *last != term) {
            self.terms.push((index, term));
        }
        self.lengths.push(match body {
            StoredBody::Noop => NOOP_LENGTH,
            StoredBody::Command(length) => length,
            StoredBody::Membership => MEMBERSHIP_LENGTH,
        });
    }

    /// Drops the entries after `index`.
    pub(super) fn truncate(&mut self, index: u64) {
        self.lengths
            .truncate(index.saturating_sub(self.base) as usize);
        let last = self.last_index();
        self.terms.retain(|(first, _)| *first <= last);
    }

    /// Drops the entries up to `index`, after which the range begins then.
    pub(super) fn drop_until(&mut self, index: u64) {
        let count = index.saturating_sub(self.base) as usize;
        self.lengths.drain(..count.min(self.lengths.len()));
        self.lengths.shrink_to(self.lengths.len() * 2);
        let past = self.terms.partition_point(|(first, _)| *first <= index + 1);
        self.terms.drain(..past.saturating_sub(1));
        self.base = index;
        if self.lengths.is_empty() {
            self.terms.clear();
        }
    }
}
