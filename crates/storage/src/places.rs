//! Places of the log's entries in its segments, in a few bytes each.

/// Place of an entry's command in a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct EntryPlace {
    /// Number of the segment that holds the entry.
    pub(super) segment: u64,
    /// Byte offset in the segment of the command, or of the record if the entry has none.
    pub(super) offset: u64,
    /// Length of the command in bytes, or zero if the entry has none.
    pub(super) length: u32,
}

/// Entries of the same term in the same segment.
#[derive(Debug, Clone, Copy)]
struct PlaceRun {
    /// Index of the first entry.
    first: u64,
    term: u64,
    segment: u64,
    /// Offset that those of the entries are relative to.
    offset: u64,
}

/// Places and terms of the entries that follow the base of the log.
#[derive(Debug, Default)]
pub(super) struct PlaceTable {
    base: u64,
    /// Relative offset and length of each entry.
    places: Vec<(u32, u32)>,
    /// Runs of entries, in ascending order. The first one may begin before the base.
    runs: Vec<PlaceRun>,
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
        let position = index.checked_sub(self.base + 1)?;
        let (offset, length) = *self.places.get(position as usize)?;
        let run = self.run(index)?;
        Some(EntryPlace {
            segment: run.segment,
            offset: run.offset + u64::from(offset),
            length,
        })
    }

    /// Returns the term of an entry, or `None` if the table doesn't have it.
    pub(super) fn term(&self, index: u64) -> Option<u64> {
        self.place(index)?;
        self.run(index).map(|run| run.term)
    }

    /// Returns the segment of the first entry, or `None` if there is no entry.
    pub(super) fn first_segment(&self) -> Option<u64> {
        self.place(self.base + 1).map(|place| place.segment)
    }

    /// Returns the size of the commands of the entries after `start`, up to `end`, in bytes.
    pub(super) fn command_bytes(&self, start: u64, end: u64) -> u64 {
        let count = end.saturating_sub(self.base) as usize;
        let places = self.places.iter().take(count);
        let places = places.skip(start.saturating_sub(self.base) as usize);
        places.map(|(_, length)| u64::from(*length)).sum()
    }

    /// Adds an entry, after dropping all existing ones from its index on.
    ///
    /// The index must be after the base and at most one after the last entry.
    pub(super) fn push(&mut self, index: u64, term: u64, place: EntryPlace) {
        self.truncate(index - 1);
        let EntryPlace {
            segment,
            offset,
            length,
        } = place;
        let relative = |run: &PlaceRun| {
            let is_same = run.term == term && run.segment == segment;
            let offset = offset.checked_sub(run.offset).filter(|_| is_same)?;
            u32::try_from(offset).ok()
        };
        let relative = self.runs.last().and_then(relative).unwrap_or_else(|| {
            self.runs.push(PlaceRun {
                first: index,
                term,
                segment,
                offset,
            });
            0
        });
        self.places.push((relative, length));
    }

    /// Drops the entries after `index`.
    pub(super) fn truncate(&mut self, index: u64) {
        let count = index.saturating_sub(self.base) as usize;
        if count < self.places.len() {
            self.places.truncate(count);
            let kept = self.runs.partition_point(|run| run.first <= index);
            self.runs.truncate(kept);
        }
    }

    /// Drops the entries up to `base`, which becomes the new base.
    pub(super) fn drop_until(&mut self, base: u64) {
        let count = base.saturating_sub(self.base) as usize;
        self.places.drain(..count.min(self.places.len()));
        self.places.shrink_to(self.places.len() * 2);
        let begun = self.runs.partition_point(|run| run.first <= base + 1);
        self.runs.drain(..begun.saturating_sub(1));
        self.base = base;
    }

    fn run(&self, index: u64) -> Option<&PlaceRun> {
        let begun = self.runs.partition_point(|run| run.first <= index);
        self.runs.get(begun.checked_sub(1)?)
    }
}
