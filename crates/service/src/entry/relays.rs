//! An entry's part in requests that are sent through other entries.

use std::sync::Arc;

use super::EntryLoop;
use crate::dialect::TargetDialect;
use crate::frames::LinkFrame;
use crate::link::LinkId;
use crate::relay::RelayCall;
use crate::relay::RelayRequest;
use bergamotlane_storage::clock::now;

impl<D: TargetDialect> EntryLoop<D> {
    /// Serves a request of another entry in a task of its own.
    pub(super) fn serve_relayed(&mut self, link: LinkId, id: u64, request: RelayRequest) {
        let (shared, hub) = (Arc::clone(&self.shared), Arc::clone(&self.hub));
        let task = tokio::spawn(async move {
            let reply = shared.serve_relayed(request).await;
            hub.send(link, &LinkFrame::RelayReply { id, reply });
        });
        self.relays.begin_serving(link, id, task.abort_handle());
    }

    /// Sends a request of this entry through another one.
    pub(super) fn relay(&mut self, call: RelayCall) {
        self.activate_relays();
        self.relays.send(now(), &self.hub, call);
    }

    pub(super) fn activate_relays(&mut self) {
        if self.relays.activate(now()) {
            self.update_peers();
        }
    }

    /// Cancels abandoned requests, probes targets while the path to them is lost, and closes the links
    /// to helpers once they are no longer needed.
    pub(super) fn maintain_relays(&mut self) {
        self.relays.cancel_abandoned(&self.hub);
        if self.shared.forwarder.reach().is_lost() {
            let shared = Arc::clone(&self.shared);
            tokio::spawn(async move { shared.forwarder.probe_targets().await });
            return;
        }
        if let Some(links) = self.relays.deactivate(now()) {
            self.update_peers();
            for link in links {
                self.hub.close(link);
            }
        }
    }
}
