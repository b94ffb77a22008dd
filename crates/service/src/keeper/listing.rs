//! Listing of results: the leader holds them until their groups are complete, see
//! [`crate::group_listing`], and proposes them in batches.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use super::core::CallOrigin;
use super::core::KeeperCore;
use super::texts::FinishedText;
use crate::dialect::TargetDialect;
use crate::group_listing::CompleteText;
use crate::group_listing::EndedItem;
use crate::group_listing::ForceCause;
use crate::group_listing::ListingUnit;
use crate::jobs::ItemResult;
use crate::metrics::METRICS;
use crate::payload::PayloadRef;
use crate::state::StateCommand;
use crate::texts::TextKey;
use crate::work::PartialText;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;

/// Most results that one replicated change lists: 16 groups of 16 items.
const MAX_RESULTS_PER_CHANGE: usize = 256;

/// Size of the texts that one replicated change lists, in bytes, from which on it lists no further
/// one.
const MAX_TEXT_BYTES_PER_CHANGE: usize = 1024 * 1024;

/// Part of the share of the texts that texts of held results may take, as a divisor. The store of
/// partial texts takes half of the share.
const HELD_DIVISOR: u64 = 4;

impl<D: TargetDialect> KeeperCore<D> {
    /// Continues with an item whose text is complete: it is scored if its caller wants that, and
    /// otherwise waits to be listed.
    pub(super) fn finish_text(&mut self, time: ClockTime, finished: FinishedText) {
        if self.needs_score(&finished.job, finished.item) {
            self.queue_score(time, finished);
            return;
        }
        let (Some(lead), Some(record)) = (&mut self.lead, self.state.jobs.get(&finished.job))
        else {
            return;
        };
        let submission = &record.submission;
        let item = &submission.items[finished.item as usize];
        let complete = CompleteText {
            key: TextKey::of(submission, item),
            run: finished.run,
            text: finished.text,
            replicated_events: finished.replicated_events,
        };
        let item = EndedItem::completed(finished.item, complete, None);
        lead.listing.add(time, &finished.job, item);
    }

    /// Returns the complete texts of items whose results are held.
    pub(super) fn held_texts(&self) -> BTreeMap<&TextKey, &PartialText> {
        let held = self.lead.iter().flat_map(|it| it.listing.texts(None));
        held.map(|it| (&it.key, &it.text)).collect()
    }

    /// Collects the results that have to be listed now.
    pub(super) fn collect_due_results(&mut self, time: ClockTime) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let scheduler = &lead.scheduler;
        let limit_bytes = (self.budget.texts_bytes / HELD_DIVISOR) as usize;
        let due = lead
            .listing
            .take_due(time, |it| scheduler.constraints(it), limit_bytes);
        METRICS.groups_listed.inc_by(due.complete_groups);
        for forced in &due.forced {
            let cause = forced.cause.label();
            let count = METRICS.results_forced.with_label_values(&[cause]);
            count.inc_by(forced.results as u64);
            if forced.is_first || forced.cause == ForceCause::Memory {
                spdlog::info!("job: incomplete groups listed", kv: {
                    job = forced.job.as_str(),
                    cause,
                    results = forced.results,
                });
            }
        }
        lead.results.extend(due.units);
    }

    /// Proposes all results that are held, and holds no further ones.
    pub(super) fn list_held_results(&mut self) {
        if !self.is_confirmed_leader() {
            return;
        }
        if let Some(lead) = &mut self.lead {
            lead.listing.close();
        }
        self.collect_due_results(now());
        while self.lead.as_ref().is_some_and(|it| !it.results.is_empty()) {
            self.flush_results();
        }
        self.process_outputs();
    }

    /// Proposes the next batch of collected results.
    pub(super) fn flush_results(&mut self) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        if lead.results.is_empty() {
            return;
        }
        let mut results = take_batch(&mut lead.results);
        let texts: Vec<PayloadRef> = results.iter().map(|(_, it)| it.text.clone()).collect();
        let Some(texts) = self.read_payloads(&texts) else {
            return;
        };
        for ((_, result), text) in results.iter_mut().zip(texts) {
            match text {
                Some(text) => result.text = PayloadRef::Inline(text),
                // The item has left the scheduler, so that nothing else would end it.
                None => *result = ItemResult::terminated(result.item),
            }
        }
        METRICS.items_listed.inc_by(results.len() as u64);
        self.propose(&StateCommand::List(results), CallOrigin::Leader);
    }
}

/// Removes the first results, as many as one change lists, and returns them, each with its job.
/// Results that belong into one change stay together unless they are more than one change lists.
fn take_batch(units: &mut Vec<ListingUnit>) -> Vec<(String, ItemResult)> {
    let mut batch = Vec::new();
    let mut bytes = 0;
    while let Some(unit) = units.first_mut() {
        let unit_bytes: usize = unit.results.iter().map(|it| it.text.len()).sum();
        let fits = batch.len() + unit.results.len() <= MAX_RESULTS_PER_CHANGE
            && bytes + unit_bytes <= MAX_TEXT_BYTES_PER_CHANGE;
        if !fits && !batch.is_empty() {
            break;
        }
        let count = match fits {
            true => unit.results.len(),
            false => batch_length(&unit.results),
        };
        bytes += unit_bytes;
        let results = unit.results.drain(..count);
        batch.extend(results.map(|it| (unit.job.clone(), it)));
        if !unit.results.is_empty() {
            break;
        }
        units.remove(0);
    }
    batch
}

/// Returns the number of results that one change lists of a unit that is too large for it.
fn batch_length(results: &[ItemResult]) -> usize {
    let mut bytes = 0;
    let has_room = |result: &&ItemResult| {
        let before = bytes;
        bytes += result.text.len();
        before < MAX_TEXT_BYTES_PER_CHANGE
    };
    let results = results.iter().take(MAX_RESULTS_PER_CHANGE);
    results.take_while(has_room).count()
}
