//! Places of the log's entries in its segments.

/// Place of an entry's command in a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EntryPlace {
    /// Number of the segment that holds the entry.
    pub(super) segment: u64,
    /// Byte offset of the command in the segment, or zero if the entry has none.
    pub(super) offset: u64,
    /// Length of the command in bytes, or zero if the entry has none.
    pub(super) length: u32,
}

/// Places and terms of the entries that follow the base of the log.
#[derive(Debug, Default)]
pub(super) struct PlaceTable {
    base: u64,
    places: Vec<EntryPlace>,
    /// First index of each term, in ascending order. The first one may lie before the base.
    terms: Vec<(u64, u64)>,
}

impl PlaceTable {
    /// Creates a table without entries that begins after the index `base`.
    pub(super) fn new(base: u64) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Returns the index after which the entries begin.
    pub(super) fn base(&self) -> u64 {
        self.base
    }

    /// Returns the index of the last entry, or that of the base if no entry follows it.
    pub(super) fn last_index(&self) -> u64 {
        self.base + self.places.len() as u64
    }

    /// Returns the place of an entry, or `None` if the table doesn't have it.
    pub(super) fn place(&self, index: u64) -> Option<EntryPlace> {
        let offset = index.checked_sub(self.base + 1)?;
        self.places.get(offset as usize).copied()
    }

    /// Returns the term of an entry, or `None` if the table doesn't have it.
    pub(super) fn term(&self, index: u64) -> Option<u64> {
        self.place(index)?;
        let (_, term) = self.terms.iter().rev().find(|(first, _)| *first <= index)?;
        Some(*term)
    }

    /// Returns the segment of the first entry, or `None` if there is no entry.
    pub(super) fn first_segment(&self) -> Option<u64> {
        self.places.first().map(|place| place.segment)
    }

    /// Adds an entry, after dropping all existing ones from its index on.
    ///
    /// The index must be after the base and at most one after the last entry.
    pub(super) fn push(&mut self, index: u64, term: u64, place: EntryPlace) {
        self.places.truncate((index - self.base - 1) as usize);
        self.terms.retain(|(first, _)| *first < index);
        if self.terms.last().is_none_or(|(_, last)| *last != term) {
            self.terms.push((index, term));
        }
        self.places.push(place);
    }

    /// Drops the entries up to `base`, which becomes the new base.
    pub(super) fn drop_until(&mut self, base: u64) {
        let count = base.saturating_sub(self.base) as usize;
        self.places.drain(..count.min(self.places.len()));
        self.places.shrink_to(self.places.len() * 2);
        let old = self.terms.partition_point(|(first, _)| *first <= base + 1);
        self.terms.drain(..old.saturating_sub(1));
        self.base = base;
    }
}
