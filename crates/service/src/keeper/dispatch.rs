//! Handling of what reaches the control thread: frames of links, calls and events of tasks.

use super::KeeperEvent;
use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::LeadHint;
use crate::frames::LeaderReply;
use crate::frames::LinkFrame;
use crate::leader_client::CallRequest;
use crate::leader_client::CallResult;
use crate::leader_client::CallScope;
use crate::link::LinkEvent;
use crate::link::LinkId;
use bergamotlane_coordination::consensus::ConsensusMessage;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::ConsensusMessageWire;

impl<D: TargetDialect> KeeperCore<D> {
    pub(super) fn on_link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up {
                link,
                hello,
                dialled,
            } => self.on_link_up(link, hello, dialled),
            LinkEvent::Down(link) => self.on_link_down(link),
            LinkEvent::Frame(link, frame, _receipt) => self.on_frame(link, frame),
        }
    }

    fn on_frame(&mut self, link: LinkId, frame: LinkFrame) {
        self.heartbeats.record_frame(now(), link);
        match frame {
            LinkFrame::Ping(hint) => self.on_hint(link, hint),
            LinkFrame::Consensus(message) => self.on_consensus(link, message),
            LinkFrame::Call { id, call } => self.handle_call(call, CallOrigin::Link(link, id)),
            LinkFrame::Reply { id, reply } => self.calls.answer(id, reply),
            LinkFrame::View(mut view) => {
                if view.term >= self.view_term {
                    self.view_term = view.term;
                    if view.targets.is_some() {
                        let hello = self.links.get(&link).map(|(hello, _)| hello);
                        let reads_batches = hello.is_some_and(|it| it.batches_heartbeats);
                        self.heartbeats
                            .begin_view(now(), view.term, link, reads_batches);
                    }
                    if let Some(keepers) = view.heartbeat_keepers.take() {
                        self.heartbeats.set_keepers(keepers);
                    }
                    self.receive_targets(&mut view);
                    if let Some(suspects) = view.suspects.take() {
                        self.forwarder.suspects().replace(now(), &suspects);
                    }
                }
                self.on_hint(
                    link,
                    LeadHint {
                        leads: true,
                        term: view.term,
                    },
                );
                if let Some(keepers) = view.keepers {
                    self.directory.learn(now(), keepers);
                }
                if let Some(members) = view.members {
                    self.directory.set_members(members);
                    self.update_peers();
                }
            }
            LinkFrame::Usage { process, sums } => self.tally.merge(process, sums),
            LinkFrame::Texts(deltas) => self.receive_texts(deltas),
            LinkFrame::Heartbeats(batch) => self.on_heartbeats(link, &batch),
            LinkFrame::HeartbeatsRefused(ids) => self.heartbeats.refuse(now(), ids),
            LinkFrame::Members(members) => {
                self.directory.hear_members(members);
                self.update_peers();
            }
            LinkFrame::Hello(_)
            | LinkFrame::Helpers(_)
            | LinkFrame::Relay { .. }
            | LinkFrame::RelayReply { .. }
            | LinkFrame::CancelRelay(_) => {}
        }
    }

    fn on_consensus(&mut self, link: LinkId, wire: ConsensusMessageWire) {
        let node = self.links.get(&link).and_then(|(hello, _)| hello.node);
        let (Some(node), Some(voter)) = (node, &mut self.voter) else {
            return;
        };
        match ConsensusMessage::try_from(wire) {
            Ok(message) => {
                voter
                    .node
                    .receive(now(), NodeId(node), message, &mut self.outputs);
            }
            Err(error) => {
                spdlog::warn!("consensus: undecodable message dropped", kv: { error = error.to_string() });
            }
        }
        self.process_outputs();
    }

    /// Handles a call from this process, or forwards it to the known leader, if its caller still waits.
    /// No call of a keeper goes to a replica: its read may wait, for which a replica's time limit is
    /// too short.
    pub(super) fn on_request(&mut self, request: CallRequest) {
        if request.reply.is_closed() {
            return;
        }
        if request.scope == CallScope::Leader && self.is_confirmed_leader() {
            self.handle_call(request.call, CallOrigin::Local(request.reply));
            return;
        }
        let Some(request) = self.take_heartbeat(request) else {
            return;
        };
        let link = match request.scope {
            CallScope::Replica => None,
            CallScope::Leader => self.leader.map(|(_, link)| link),
        };
        self.calls.send(&self.hub, link, request);
    }

    pub(super) fn on_event(&mut self, event: KeeperEvent) {
        match event {
            KeeperEvent::RunEnded(run, end) => self.on_run_ended(run, end),
            KeeperEvent::LimitNamed {
                target,
                rate,
                sent_at,
            } => self.name_limit(&target, rate, sent_at),
            KeeperEvent::TargetLeaving(start) => self.mark_leaving(start, CallOrigin::Leader),
            KeeperEvent::RewardEnded(key, end) => self.on_reward_ended(key, end),
            KeeperEvent::WeightsOrdered {
                id,
                born,
                model,
                version,
                answer,
            } => self.on_weights_ordered(&id, born, &model, version, answer),
            KeeperEvent::EngineInspected { id, born, report } => {
                self.on_engine_inspected(&id, born, report.as_ref());
            }
            KeeperEvent::UsageReported { window, accepted } => {
                self.on_usage_reported(window, accepted)
            }
            KeeperEvent::SnapshotWritten { folder, written } => {
                self.on_snapshot_written(folder, written);
            }
            KeeperEvent::SeedsChanged(seeds) => {
                self.settings.seeds = seeds.clone();
                self.directory.set_seeds(seeds);
                self.update_peers();
            }
            KeeperEvent::TransferLeadership(done) => {
                self.leave_leadership();
                done.send(()).ok();
            }
        }
    }

    pub(super) fn reply(&self, origin: CallOrigin, reply: LeaderReply) {
        match origin {
            CallOrigin::Local(sender) => {
                // The send fails if the caller no longer waits.
                sender.send(CallResult::Answered(reply)).ok();
            }
            CallOrigin::Link(link, id) => {
                self.hub.send(link, &LinkFrame::Reply { id, reply });
            }
            CallOrigin::Leader => {}
        }
    }
}
