//! What the links of a process hold, and what ends when that is too much.

use super::HubState;
use super::LinkHub;
use super::LinkId;
use crate::metrics::METRICS;

impl LinkHub {
    /// Returns the number of links, and the size of all frames that wait on them, in bytes.
    pub fn load(&self) -> (usize, usize) {
        (self.state().links.len(), self.outbox.held_bytes())
    }

    /// Returns the size of the frames that wait on a link, in bytes.
    pub fn queued_bytes(&self, link: LinkId) -> usize {
        let state = self.state();
        let peer = state.links.get(&link);
        peer.map_or(0, |it| it.sender.held_bytes())
    }

    /// Returns whether the peer of a link receives a frame of this size, in bytes. Keepers receive
    /// longer frames from one another.
    pub fn takes(&self, link: LinkId, frame_bytes: usize) -> bool {
        let state = self.state();
        let limit = state.links.get(&link).and_then(|it| it.max_frame_bytes);
        let limit = limit.filter(|_| state.hello.node.is_none());
        limit.is_none_or(|it| frame_bytes as u64 <= it)
    }

    /// Returns the size of the frames that were received and not handled yet, in bytes.
    pub fn received_bytes(&self) -> usize {
        self.inbox.held_bytes()
    }

    /// Ends the links for which most waits until no more waits than is allowed.
    ///
    /// One frame above that may wait, on the oldest link that has such a frame: a snapshot that is
    /// larger than the share must arrive some time.
    pub(super) fn shed(&self, state: &mut HubState) {
        let limit_bytes = self.outbox.limit_bytes();
        while self.outbox.held_bytes() > limit_bytes {
            let links = state.links.iter();
            let sizes = links.map(|(link, peer)| (*link, peer.sender.largest_bytes()));
            let large = sizes.filter(|(_, bytes)| *bytes > limit_bytes / 2);
            let spared = large.min_by_key(|(link, _)| *link);
            let spared_bytes = spared.map_or(0, |(_, bytes)| bytes);
            if self.outbox.held_bytes() <= limit_bytes + spared_bytes {
                return;
            }
            let links = state.links.iter();
            let sizes = links.map(|(link, peer)| {
                let is_spared = spared.is_some_and(|(it, _)| it == *link);
                (!is_spared, peer.sender.held_bytes(), *link)
            });
            let Some((_, held_bytes, link)) = sizes.filter(|it| it.1 > 0).max() else {
                return;
            };
            spdlog::warn!("link: too much waits for all links, the fullest ends", kv: { link = link.0, queued_bytes = held_bytes, all_bytes = self.outbox.held_bytes() });
            METRICS.links_cut.inc();
            if let Some(peer) = state.links.remove(&link) {
                peer.sender.cut();
            }
        }
    }
}
