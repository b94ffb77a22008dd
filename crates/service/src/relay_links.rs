//! An entry's links to other entries, over which requests are relayed in both directions.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;

use tokio::sync::oneshot;
use tokio::task::AbortHandle;

use crate::frames::LinkFrame;
use crate::link::LinkHub;
use crate::link::LinkId;
use crate::relay::RelayCall;
use crate::relay::RelayReply;
use crate::relay::RelayResult;
use bergamotlane_coordination::clock::ClockTime;

/// Time for which a helper that refused a request gets no other one, in milliseconds.
const REFUSAL_PAUSE_MS: u64 = 300;

/// Time in which links to helpers come up, in milliseconds.
const LINK_TIME_MS: u64 = 400;

/// Time without a call after which the links to the helpers are closed, in milliseconds.
const IDLE_MS: u64 = 5_000;

/// Link to a helper that this entry dialled.
#[derive(Debug, Default)]
struct HelperLink {
    /// Number of requests without a reply.
    pending: u32,
    refused_at: Option<ClockTime>,
}

/// Request that waits for its reply.
#[derive(Debug)]
struct PendingRelay {
    link: LinkId,
    reply: oneshot::Sender<RelayResult>,
}

/// Links to helpers, requests that wait for replies, and requests of other entries in progress.
#[derive(Debug, Default)]
pub(crate) struct RelayLinks {
    /// Addresses of the entries that the leader names as helpers.
    helpers: BTreeSet<SocketAddr>,
    links: HashMap<LinkId, HelperLink>,
    pending: HashMap<u64, PendingRelay>,
    /// Requests of other entries in progress, by the link that they came over and their ID there.
    served: HashMap<(LinkId, u64), AbortHandle>,
    next: u64,
    /// Time of the latest call, while links to helpers are kept.
    used_at: Option<ClockTime>,
    /// Time from which on helpers without a link count as unreachable.
    linked_by: ClockTime,
}

impl RelayLinks {
    /// Replaces the helpers.
    pub(crate) fn set_helpers(&mut self, helpers: BTreeSet<SocketAddr>) {
        self.helpers = helpers;
    }

    /// Returns the addresses of the helpers to link to, none while no request needs them.
    pub(crate) fn peers(&self) -> impl Iterator<Item = SocketAddr> {
        let helpers = self.used_at.is_some().then_some(&self.helpers);
        helpers.into_iter().flatten().copied()
    }

    /// Returns whether links to helpers are kept.
    pub(crate) fn is_active(&self) -> bool {
        self.used_at.is_some()
    }

    /// Records that requests need helpers. Returns whether links have to be made.
    pub(crate) fn activate(&mut self, now: ClockTime) -> bool {
        let is_new = self.used_at.replace(now).is_none();
        if is_new {
            self.linked_by = now + LINK_TIME_MS;
        }
        is_new
    }

    /// Ends the use of helpers after a time without calls. Returns the links to close, and `None` if the
    /// helpers are in use or were not used.
    pub(crate) fn deactivate(&mut self, now: ClockTime) -> Option<Vec<LinkId>> {
        let used_at = self.used_at?;
        if !self.pending.is_empty() || now.since(used_at) < IDLE_MS {
            return None;
        }
        self.used_at = None;
        Some(self.links.drain().map(|(link, _)| link).collect())
    }

    /// Adds a link to a helper that is up.
    pub(crate) fn add(&mut self, link: LinkId) {
        self.links.insert(link, HelperLink::default());
    }

    /// Removes a link. Its requests count as broken, and those of its peer are cancelled.
    pub(crate) fn remove(&mut self, link: LinkId) {
        self.links.remove(&link);
        let lost = self.pending.extract_if(|_, it| it.link == link);
        for (_, relay) in lost {
            // The caller may have stopped waiting.
            relay.reply.send(RelayResult::Broken).ok();
        }
        let served = self.served.extract_if(|(from, _), _| *from == link);
        for (_, task) in served {
            task.abort();
        }
    }

    /// Sends a request to the helper with the fewest requests that has not refused one lately.
    pub(crate) fn send(&mut self, now: ClockTime, hub: &LinkHub, call: RelayCall) {
        let willing = self.links.iter().filter(|(_, it)| {
            let refused_at = it.refused_at;
            refused_at.is_none_or(|at| now.since(at) >= REFUSAL_PAUSE_MS)
        });
        let best = willing.min_by_key(|(link, it)| (it.pending, **link));
        let Some(link) = best.map(|(link, _)| *link) else {
            let may_come = self.links.len() < self.helpers.len() && now < self.linked_by;
            let result = match may_come {
                true => RelayResult::NoHelper,
                false => RelayResult::Exhausted,
            };
            call.reply.send(result).ok();
            return;
        };
        self.next += 1;
        let id = self.next;
        let request = call.request;
        if !hub.send(link, &LinkFrame::Relay { id, request }) {
            self.links.remove(&link);
            call.reply.send(RelayResult::NoHelper).ok();
            return;
        }
        let reply = call.reply;
        self.pending.insert(id, PendingRelay { link, reply });
        if let Some(helper) = self.links.get_mut(&link) {
            helper.pending += 1;
        }
    }

    /// Passes a helper's reply to its caller.
    pub(crate) fn answer(&mut self, now: ClockTime, link: LinkId, id: u64, reply: RelayReply) {
        let Some(relay) = self.pending.remove(&id) else {
            return;
        };
        if let Some(helper) = self.links.get_mut(&link) {
            helper.pending = helper.pending.saturating_sub(1);
            helper.refused_at = (reply == RelayReply::Refused).then_some(now);
        }
        // The caller may have stopped waiting.
        relay.reply.send(RelayResult::Replied(reply)).ok();
    }

    /// Cancels the requests at helpers whose callers no longer wait.
    pub(crate) fn cancel_abandoned(&mut self, hub: &LinkHub) {
        let abandoned = self.pending.extract_if(|_, it| it.reply.is_closed());
        for (id, relay) in abandoned {
            if let Some(helper) = self.links.get_mut(&relay.link) {
                helper.pending = helper.pending.saturating_sub(1);
            }
            hub.send(relay.link, &LinkFrame::CancelRelay(id));
        }
    }

    /// Records the task that serves a request of another entry.
    pub(crate) fn begin_serving(&mut self, link: LinkId, id: u64, task: AbortHandle) {
        self.served.retain(|_, it| !it.is_finished());
        self.served.insert((link, id), task);
    }

    /// Cancels a request of another entry.
    pub(crate) fn cancel(&mut self, link: LinkId, id: u64) {
        if let Some(task) = self.served.remove(&(link, id)) {
            task.abort();
        }
    }
}
