//! Listing of results: the leader proposes them in batches.

use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::jobs::ItemResult;
use crate::metrics::METRICS;
use crate::payload::PayloadRef;
use crate::state::StateCommand;

/// Most results that one replicated change lists.
const MAX_RESULTS_PER_CHANGE: usize = 64;

/// Size of the texts that one replicated change lists, in bytes, from which on it lists no further
/// one.
const MAX_TEXT_BYTES_PER_CHANGE: usize = 1024 * 1024;

impl<D: TargetDialect> KeeperCore<D> {
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

/// Removes the first results, as many as one change lists, and returns them.
fn take_batch(results: &mut Vec<(String, ItemResult)>) -> Vec<(String, ItemResult)> {
    let mut bytes = 0;
    let fits = |(_, result): &&(String, ItemResult)| {
        let before = bytes;
        bytes += result.text.len();
        before < MAX_TEXT_BYTES_PER_CHANGE
    };
    let batch = results.iter().take(MAX_RESULTS_PER_CHANGE);
    let count = batch.take_while(fits).count();
    results.drain(..count).collect()
}
