//! Requests under which targets crashed: the leader counts the crashes for all processes.

use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::LeaderReply;
use crate::suspects::SuspectView;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::suspect::RequestDigest;
use bergamotlane_policy::suspect::TargetStart;
use bergamotlane_storage::clock::now;

impl<D: TargetDialect> KeeperCore<D> {
    /// Records that a target crashed while it ran a request, and tells all processes at once.
    pub(super) fn record_crash(
        &mut self,
        digest: RequestDigest,
        target: TargetStart,
        origin: CallOrigin,
    ) {
        let id = target.id.clone();
        let suspects = self.forwarder.suspects();
        let crashes = suspects.table().record_crash(now(), digest, target);
        spdlog::warn!("suspect: target crashed", kv: {
            digest = format!("{:?}", &digest.0[..4]),
            target = id.as_str(),
            crashes,
        });
        self.reply(origin, LeaderReply::Done);
        self.push_suspects();
    }

    /// Records that a target answered a request, and tells all processes at once.
    pub(super) fn clear_suspect(&mut self, digest: RequestDigest, origin: CallOrigin) {
        self.forwarder.suspects().table().clear(digest);
        self.reply(origin, LeaderReply::Done);
        self.push_suspects();
    }

    fn push_suspects(&mut self) {
        if let Some(lead) = &mut self.lead {
            lead.changes.suspects = true;
        }
        self.push_views();
    }

    /// Drops the suspects without news.
    pub(super) fn expire_suspects(&mut self, time: ClockTime) {
        let has_expired = self.forwarder.suspects().table().expire(time);
        if let Some(lead) = self.lead.as_mut().filter(|_| has_expired) {
            lead.changes.suspects = true;
        }
    }

    /// Returns the suspects to send to other processes.
    pub(super) fn suspect_views(&self, time: ClockTime) -> Vec<SuspectView> {
        let reports = self.forwarder.suspects().table().reports(time);
        reports.into_iter().map(SuspectView::from).collect()
    }
}
