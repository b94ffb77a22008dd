//! Reads of payloads from the log.

use std::ops::Range;

use bytes::Bytes;

use crate::payload::PayloadRef;

/// Largest distance of two payloads in a log entry that are read at once, in bytes.
const MAX_READ_GAP_BYTES: u32 = 16 * 1024;

/// Range of a log entry that covers one payload or several.
#[derive(Debug, Clone, PartialEq, Eq)]
struct EntryRange {
    index: u64,
    range: Range<u32>,
}

impl EntryRange {
    /// Returns the range of a payload, or `None` if it is held in full.
    fn new(payload: &PayloadRef) -> Option<Self> {
        match *payload {
            PayloadRef::Inline(_) => None,
            PayloadRef::Entry {
                index,
                start,
                length,
            } => Some(Self {
                index,
                range: start..start.saturating_add(length),
            }),
        }
    }

    /// Extends this range to a payload that follows it closely. Returns whether it does.
    fn extend(&mut self, payload: &PayloadRef) -> bool {
        let Some(next) = Self::new(payload) else {
            return false;
        };
        let gap = next.range.start.checked_sub(self.range.end);
        let follows = next.index == self.index && gap.is_some_and(|it| it <= MAX_READ_GAP_BYTES);
        if follows {
            self.range.end = next.range.end;
        }
        follows
    }

    /// Returns the part of this range's bytes that is the payload.
    fn part(&self, bytes: &Bytes, payload: &PayloadRef) -> Option<Bytes> {
        let Self { range, .. } = Self::new(payload)?;
        let start = range.start.checked_sub(self.range.start)? as usize;
        let end = start + range.len();
        (end <= bytes.len()).then(|| bytes.slice(start..end))
    }
}

/// Returns the payloads in their order, `None` for those that are missing. Payloads that are close
/// together in a log entry are read at once. `read` returns a range of an entry's command, or `None`
/// if the log doesn't have the entry.
///
/// # Errors
///
/// Returns the first error of `read`.
pub fn read_payloads<E>(
    payloads: &[PayloadRef],
    read: impl Fn(u64, Range<u32>) -> Result<Option<Bytes>, E>,
) -> Result<Vec<Option<Bytes>>, E> {
    let mut found = Vec::with_capacity(payloads.len());
    let mut rest = payloads;
    while let Some((first, after)) = rest.split_first() {
        if let PayloadRef::Inline(bytes) = first {
            found.push(Some(bytes.clone()));
        }
        let Some(mut covered) = EntryRange::new(first) else {
            rest = after;
            continue;
        };
        let count = after.iter().take_while(|it| covered.extend(it)).count() + 1;
        let bytes = read(covered.index, covered.range.clone())?;
        let parts = rest[..count].iter();
        found.extend(parts.map(|it| covered.part(bytes.as_ref()?, it)));
        rest = &rest[count..];
    }
    Ok(found)
}
