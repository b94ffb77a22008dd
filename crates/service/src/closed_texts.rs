//! Confirms texts whose streams a close ended, where no engine states an end in another way.

use std::collections::HashMap;

use crate::work::RunEnd;

/// Number of runs of an item in a row whose streams a close ended after the same event, as of which
/// the text counts as complete: the run that came to that event, and two that found nothing after it.
/// An engine whose streams never state their end can't say more.
const CONFIRMING_CLOSES: u32 = 3;

/// How often a close ended an item's stream after the same event.
#[derive(Debug, Default)]
struct CloseCount {
    last_id: Option<u64>,
    count: u32,
}

/// Ends of streams by a close alone, by the index of the item.
#[derive(Debug, Default)]
pub(crate) struct ClosedTexts(HashMap<u32, CloseCount>);

impl ClosedTexts {
    /// Counts a run whose stream a close ended, and returns it as completed if enough have ended after
    /// the same event; returns any other end as it is.
    pub(crate) fn confirm(&mut self, item: u32, end: RunEnd) -> RunEnd {
        let RunEnd::Closed(mut text) = end else {
            return end;
        };
        if text.events.is_empty() {
            return RunEnd::Closed(text);
        }
        let closes = self.0.entry(item).or_default();
        if closes.last_id != text.last_id {
            *closes = CloseCount {
                last_id: text.last_id,
                count: 0,
            };
        }
        closes.count += 1;
        if closes.count < CONFIRMING_CLOSES {
            return RunEnd::Closed(text);
        }
        text.is_complete = true;
        RunEnd::Completed(text)
    }
}
