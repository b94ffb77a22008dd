//! Replies with the results of jobs, and the readers that wait for them.

use bytes::Bytes;

use super::calls::JobAccess;
use super::core::CallOrigin;
use super::core::KeeperCore;
use super::lead::ResultWaiter;
use crate::dialect::TargetDialect;
use crate::frames::LeaderReply;
use crate::frames::ListedResult;
use crate::jobs::ItemResult;
use crate::jobs::JobRecord;
use crate::metrics::METRICS;
use crate::payload::PayloadRef;
use bergamotlane_storage::clock::now;

/// Limit for the text bytes of one reply; a single larger result is still returned.
const MAX_RESULTS_BYTES: usize = 700 * 1024;

/// Room that a reader has whatever waits for others, such as the log for a voter, in bytes.
const MIN_RESULTS_BYTES: usize = 32 * 1024;

/// Limit for what waits on a link together with the results that are added, in bytes.
const MAX_LINK_BYTES: usize = 2 * MAX_RESULTS_BYTES;

/// Longest time for which a reader waits until there is room for its results, in milliseconds.
const ROOM_WAIT_MS: u64 = 1_000;

/// Time since a replica last had all that was committed from which on it answers no reads, in
/// milliseconds. Its jobs may have been forgotten by then, and their IDs used again.
const MAX_REPLICA_AGE_MS: u64 = 30_000;

/// Largest number of readers that wait.
const MAX_WAITERS: usize = 20_000;

impl<D: TargetDialect> KeeperCore<D> {
    /// Returns the results of a job from a position on; without any, the reply waits for the first.
    /// It also waits while there is no room for results on the way to the reader.
    pub(super) fn read_job(
        &mut self,
        job: String,
        customer: Option<String>,
        after: u64,
        wait_ms: u64,
        origin: CallOrigin,
    ) {
        let record = match self.customer_job(&job, customer.as_deref()) {
            JobAccess::Granted(record) => record,
            JobAccess::Unsure => {
                self.reply(origin, LeaderReply::NotLeader);
                return;
            }
            JobAccess::Denied => {
                self.reply(origin, LeaderReply::Missing);
                return;
            }
        };
        let has_no_result = record.results.len() as u64 <= after && !record.is_settled();
        let count = match has_no_result && wait_ms > 0 {
            true => None,
            false => page_length(record, after, self.result_room(&origin)),
        };
        let empty = page_with(record, after, Vec::new());
        if let Some(count) = count {
            let page = self.read_page(&job, after, count);
            self.reply(origin, page);
            return;
        }
        let waiters = self.lead.as_mut().map(|it| &mut it.waiters);
        let Some(waiters) = waiters.filter(|it| it.len() < MAX_WAITERS) else {
            let reply = match has_no_result {
                true => empty,
                false => LeaderReply::NotLeader,
            };
            self.reply(origin, reply);
            return;
        };
        let limit_ms = match has_no_result {
            true => wait_ms,
            false => wait_ms.max(ROOM_WAIT_MS),
        };
        waiters.push(ResultWaiter {
            job,
            after,
            deadline: now() + limit_ms,
            lacks_room: !has_no_result,
            origin,
        });
    }

    /// Returns the results of a job from a position on that this replica has applied. They are
    /// committed, so that they never change. Without any, the reader must ask the leader, since only
    /// the leader knows whether there are others. The same holds of a replica that replays its log,
    /// was cut off for long, or whose storage has failed.
    pub(super) fn read_applied(
        &mut self,
        job: &str,
        customer: Option<&str>,
        after: u64,
        origin: &CallOrigin,
    ) -> Option<LeaderReply> {
        let caught_up_at = self.voter.as_ref()?.node.caught_up_at()?;
        if now().since(caught_up_at) >= MAX_REPLICA_AGE_MS {
            return None;
        }
        let JobAccess::Granted(record) = self.customer_job(job, customer) else {
            return None;
        };
        if record.results.len() as u64 <= after {
            return None;
        }
        let count = page_length(record, after, self.result_room(origin))?;
        let page = self.read_page(job, after, count);
        if page != LeaderReply::NotLeader {
            METRICS.replica_reads.inc();
        }
        Some(page)
    }

    /// Answers the readers that wait for results of `job`, and for `None` those whose deadline has
    /// passed or for whose results there is room now.
    pub(super) fn answer_waiters(&mut self, job: Option<&str>) {
        let time = now();
        let Some(lead) = &mut self.lead else {
            return;
        };
        let is_due = |it: &mut ResultWaiter| match job {
            Some(job) => job == it.job,
            None => it.lacks_room || time >= it.deadline,
        };
        let waiters: Vec<ResultWaiter> = lead.waiters.extract_if(.., is_due).collect();
        for waiter in waiters {
            self.answer_waiter(waiter);
        }
    }

    /// Answers a reader, or lets it wait on if there is no room for its results.
    fn answer_waiter(&mut self, mut waiter: ResultWaiter) {
        if !self.is_confirmed_leader() {
            self.reply(waiter.origin, LeaderReply::NotLeader);
            return;
        }
        let Some(record) = self.state.jobs.get(&waiter.job) else {
            self.reply(waiter.origin, LeaderReply::Missing);
            return;
        };
        let room_bytes = self.result_room(&waiter.origin);
        let count = page_length(record, waiter.after, room_bytes);
        if let Some(count) = count {
            let page = self.read_page(&waiter.job, waiter.after, count);
            self.reply(waiter.origin, page);
        } else if now() >= waiter.deadline {
            // A page without results would say that there are none.
            self.reply(waiter.origin, LeaderReply::NotLeader);
        } else {
            waiter.lacks_room = true;
            if let Some(lead) = &mut self.lead {
                lead.waiters.push(waiter);
            }
        }
    }

    /// Returns the reply with `count` results of a job from position `after` on.
    fn read_page(&mut self, job: &str, after: u64, count: usize) -> LeaderReply {
        let Some(record) = self.state.jobs.get(job) else {
            return LeaderReply::Missing;
        };
        let listed = record.results.iter().skip(after as usize);
        let texts: Vec<PayloadRef> = listed.take(count).map(|it| it.text.clone()).collect();
        let texts = self.read_payloads(&texts);
        let texts: Option<Vec<Bytes>> = texts.and_then(|it| it.into_iter().collect());
        let (Some(texts), Some(record)) = (texts, self.state.jobs.get(job)) else {
            return LeaderReply::NotLeader;
        };
        page_with(record, after, texts)
    }

    /// Returns how much text a reader may be sent now, in bytes.
    fn result_room(&self, origin: &CallOrigin) -> usize {
        let CallOrigin::Link(link, _) = origin else {
            return MAX_RESULTS_BYTES;
        };
        let (_, all_bytes) = self.hub.load();
        let share = self.budget.replies_bytes as usize;
        let link_bytes = self.hub.queued_bytes(*link);
        let room_bytes = MAX_LINK_BYTES.saturating_sub(link_bytes);
        let left_bytes = share.saturating_sub(all_bytes).max(MIN_RESULTS_BYTES);
        room_bytes.min(left_bytes).min(MAX_RESULTS_BYTES)
    }
}

/// Returns the number of results from position `after` on that fit into `room_bytes` of text, or
/// `None` if there are results but no room for the first. With all the room that a reply may take,
/// there is always some.
fn page_length(record: &JobRecord, after: u64, room_bytes: usize) -> Option<usize> {
    let results = record.results.iter().skip(after as usize);
    let mut bytes = 0;
    let fits = |(position, result): (usize, &ItemResult)| {
        bytes += result.text.len();
        bytes <= room_bytes || (position == 0 && room_bytes >= MAX_RESULTS_BYTES)
    };
    let count = results.clone().enumerate().map(fits).take_while(|it| *it);
    let count = count.count();
    (count > 0 || results.len() == 0).then_some(count)
}

/// Returns the reply with the results of these texts, the first one at position `after`.
fn page_with(record: &JobRecord, after: u64, texts: Vec<Bytes>) -> LeaderReply {
    let after = after.min(record.results.len() as u64);
    let next = after + texts.len() as u64;
    let results = record.results.iter().skip(after as usize).zip(texts);
    let results = results.map(|(result, text)| ListedResult {
        id: record.submission.items[result.item as usize].id.clone(),
        end: result.end,
        text,
        versions: result.versions.clone(),
        score: result.score.clone(),
    });
    LeaderReply::Results {
        total: record.listed.len() as u64,
        next,
        results: results.collect(),
    }
}
