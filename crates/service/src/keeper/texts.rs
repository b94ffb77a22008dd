//! Texts so far: the leader tells the other voters, and whoever leads next goes on from them.

use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::LinkFrame;
use crate::jobs::ItemResult;
use crate::link::LinkId;
use crate::texts::TextDelta;
use crate::texts::TextKey;
use crate::work::RunKey;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::codec;

/// Time between two shares of texts, in milliseconds.
const SHARE_INTERVAL_MS: u64 = 800;

/// Age below which a run is not worth its bytes: starting it anew costs little, in milliseconds.
const SHARE_AGE_MS: u64 = 800;

/// Returns a number of a run that no other leader gives.
pub(super) fn run_number(term: u64, run: RunKey) -> u64 {
    (term << 32) | (run.0 & u64::from(u32::MAX))
}

impl<D: TargetDialect> KeeperCore<D> {
    pub(super) fn take_texts(&mut self, shares: Vec<TextDelta>) {
        let time = now();
        for share in shares {
            self.texts.take(time, share);
        }
    }

    /// Keeps the texts of the runs of a job, or of all.
    pub(super) fn keep_texts(&mut self, job: Option<&str>) {
        let time = now();
        let Some(lead) = &self.lead else {
            return;
        };
        for (run, handle) in &lead.runs {
            if job.is_none_or(|it| it == handle.job) {
                let number = run_number(lead.term, *run);
                let text = handle.progress.text().clone();
                self.texts.keep(time, handle.key.clone(), number, text);
            }
        }
    }

    /// Forgets the texts of items that are listed.
    pub(super) fn drop_texts(&mut self, results: &[(String, ItemResult)]) {
        for (job, result) in results {
            let Some(record) = self.state.jobs.get(job) else {
                continue;
            };
            let submission = &record.submission;
            let Some(item) = submission.items.get(result.item as usize) else {
                continue;
            };
            self.texts.remove(&TextKey {
                customer: submission.customer.clone(),
                item: item.id.clone(),
            });
        }
    }

    pub(super) fn tend_texts(&mut self, time: ClockTime) {
        if time < self.texts_due {
            return;
        }
        self.texts_due = time + SHARE_INTERVAL_MS;
        self.texts.expire(time);
        self.share_texts(time);
    }

    /// Tells all texts from their start again, as to a voter that has just come.
    pub(super) fn share_texts_anew(&mut self) {
        let runs = self.lead.iter_mut().flat_map(|it| it.runs.values_mut());
        for handle in runs {
            handle.told = 0;
        }
    }

    fn share_texts(&mut self, time: ClockTime) {
        let voters = self.voter_links();
        let Some(lead) = self.lead.as_mut().filter(|it| it.active) else {
            return;
        };
        let mut shares = Vec::new();
        for (run, handle) in &mut lead.runs {
            if time.since(handle.started) < SHARE_AGE_MS {
                continue;
            }
            let number = run_number(lead.term, *run);
            let text = handle.progress.text();
            shares.extend(TextDelta::since(&handle.key, number, handle.told, &text));
            handle.told = text.events.len() as u32;
        }
        if shares.is_empty() {
            return;
        }
        let frame = codec::encode(&LinkFrame::Texts(shares));
        for link in voters {
            self.hub.send_encoded(link, frame.clone());
        }
    }

    fn voter_links(&self) -> Vec<LinkId> {
        let Some(voter) = &self.voter else {
            return Vec::new();
        };
        let own = voter.node.id();
        let voters = voter.node.membership().voters.keys();
        let others = voters.filter(|it| **it != own);
        others.filter_map(|it| self.link_of(*it)).collect()
    }
}
