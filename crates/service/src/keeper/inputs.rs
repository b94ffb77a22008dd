//! Inputs of the control thread, and the turns in which it handles them.

use tokio::sync::mpsc;

use super::KeeperEvent;
use super::core::CallOrigin;
use super::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::LeaderCall;
use crate::frames::LeaderReply;
use crate::frames::LinkFrame;
use crate::input_order::InputClass;
use crate::input_order::InputQueue;
use crate::leader_client::CallRequest;
use crate::link::LinkEvent;
use crate::metrics::METRICS;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;

/// Inputs of each kind that are put in order before some of them are handled.
const MAX_INPUT_BATCH: usize = 4_096;

/// Calls of this process that may wait in order. Those beyond it wait in their channel, which refuses
/// calls when it is full.
const MAX_WAITING_REQUESTS: usize = 4_096;

/// Time after which a target whose heartbeat was refused may try again, in milliseconds.
const REFUSED_RETRY_MS: u64 = 300;

/// Input to the control thread.
#[derive(Debug)]
pub(super) enum KeeperInput {
    /// Event of a link.
    Link(LinkEvent),
    /// Call of this process to the leader.
    Request(CallRequest),
    /// Event of a task.
    Event(KeeperEvent),
}

impl KeeperInput {
    /// Returns the class of the input. Only calls leave the order of their link.
    fn class(&self) -> InputClass {
        match self {
            Self::Link(LinkEvent::Frame(_, LinkFrame::Call { call, .. }, _)) => {
                InputClass::of_call(call)
            }
            Self::Link(_) => InputClass::Consensus,
            Self::Request(request) => InputClass::of_call(&request.call),
            Self::Event(
                KeeperEvent::TargetLeaving(_)
                | KeeperEvent::SeedsChanged(_)
                | KeeperEvent::TransferLeadership(_),
            ) => InputClass::Control,
            Self::Event(_) => InputClass::Work,
        }
    }

    /// Returns the call to the leader that the input is, if it is one.
    fn call(&self) -> Option<&LeaderCall> {
        match self {
            Self::Link(LinkEvent::Frame(_, LinkFrame::Call { call, .. }, _)) => Some(call),
            Self::Request(request) => Some(&request.call),
            Self::Link(_) | Self::Event(_) => None,
        }
    }
}

/// Channels that inputs come over.
#[derive(Debug)]
pub(super) struct KeeperInputs {
    pub(super) links: mpsc::UnboundedReceiver<LinkEvent>,
    pub(super) requests: mpsc::Receiver<CallRequest>,
    pub(super) events: mpsc::UnboundedReceiver<KeeperEvent>,
    /// Number of calls of this process that have been put in order and not handled.
    pub(super) waiting_requests: usize,
}

impl KeeperInputs {
    /// Waits for the next input. A wait that is dropped loses none.
    pub(super) async fn next(&mut self) -> KeeperInput {
        tokio::select! {
            Some(event) = self.links.recv() => KeeperInput::Link(event),
            Some(request) = self.requests.recv() => KeeperInput::Request(request),
            Some(event) = self.events.recv() => KeeperInput::Event(event),
            else => std::future::pending().await,
        }
    }

    /// Puts an input and those that have come meanwhile in order.
    pub(super) fn collect(
        &mut self,
        now: ClockTime,
        first: Option<KeeperInput>,
        queue: &mut InputQueue<KeeperInput>,
    ) {
        if let Some(input) = first {
            self.push(now, input, queue);
        }
        for _ in 0..MAX_INPUT_BATCH {
            let request = match self.waiting_requests < MAX_WAITING_REQUESTS {
                true => self.requests.try_recv().ok(),
                false => None,
            };
            let received = [
                self.links.try_recv().ok().map(KeeperInput::Link),
                request.map(KeeperInput::Request),
                self.events.try_recv().ok().map(KeeperInput::Event),
            ];
            if received.iter().all(Option::is_none) {
                return;
            }
            for input in received.into_iter().flatten() {
                self.push(now, input, queue);
            }
        }
    }

    fn push(&mut self, now: ClockTime, input: KeeperInput, queue: &mut InputQueue<KeeperInput>) {
        if matches!(input, KeeperInput::Request(_)) {
            self.waiting_requests += 1;
        }
        queue.push(now, input.class(), input);
    }

    /// Records that an input has been taken out of the order.
    fn release(&mut self, input: &KeeperInput) {
        if matches!(input, KeeperInput::Request(_)) {
            self.waiting_requests -= 1;
        }
    }
}

impl<D: TargetDialect> KeeperCore<D> {
    /// Handles what is due of the inputs that wait, the most urgent ones first.
    pub(super) fn handle_turn(
        &mut self,
        inputs: &mut KeeperInputs,
        queue: &mut InputQueue<KeeperInput>,
    ) {
        queue.begin_turn(now());
        while let Some(input) = queue.next(now()) {
            // A departure names no start: an announcement that it overtook would bring its target back.
            if let Some(LeaderCall::Depart(id)) = input.call() {
                let is_of_target = |it: &KeeperInput| matches!(it.call(), Some(LeaderCall::Announce(it)) if it.id == *id);
                for heartbeat in queue.take_heartbeats(is_of_target) {
                    inputs.release(&heartbeat);
                    self.handle_input(heartbeat);
                }
            }
            inputs.release(&input);
            self.handle_input(input);
        }
        while let Some(input) = queue.next_refused(now()) {
            inputs.release(&input);
            self.refuse_heartbeat(input);
        }
    }

    fn handle_input(&mut self, input: KeeperInput) {
        match input {
            KeeperInput::Link(event) => self.on_link(event),
            KeeperInput::Request(request) => self.on_request(request),
            KeeperInput::Event(event) => self.on_event(event),
        }
    }

    /// Refuses a heartbeat that has waited for too long; its target turns to another keeper.
    fn refuse_heartbeat(&self, input: KeeperInput) {
        METRICS.heartbeats.with_label_values(&["dropped"]).inc();
        let origin = match input {
            KeeperInput::Link(LinkEvent::Frame(link, LinkFrame::Call { id, .. }, _)) => {
                CallOrigin::Link(link, id)
            }
            KeeperInput::Request(request) => CallOrigin::Local(request.reply),
            KeeperInput::Link(_) | KeeperInput::Event(_) => return,
        };
        self.reply(origin, LeaderReply::NoPermit(REFUSED_RETRY_MS));
    }
}
