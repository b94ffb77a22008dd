//! The control thread, which owns all control state and receives its input as messages.
//!
//! Other threads send it a [`ControlInput`] through a [`ControlHandle`]. Traffic threads read
//! the view that it publishes.

mod asks;
mod bootstrap;
mod dispatch;
mod follower;
mod leader;
mod leader_tasks;
mod outputs;
mod publish;
mod report;
mod thread;

use std::sync::Arc;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::peers::PeerEvent;
use crate::peers::PeerObserver;
use bergamotlane_policy::control::ControlCommand;
use bergamotlane_policy::control::ControlOutcome;
use bergamotlane_policy::control::OrderKey;
use bergamotlane_policy::control::OrderResult;
use bergamotlane_policy::targets::TargetAnnouncement;
use bergamotlane_wire::http::StatusBody;
use bergamotlane_wire::http::TargetBody;
use bergamotlane_wire::http::UsageWindowBody;
use bergamotlane_wire::peer::MembershipChange;
use bergamotlane_wire::peer::SubmitFailure;

pub use bergamotlane_storage::DiskVoter;
pub use dispatch::RolloutJob;
pub use report::class_label;
pub use thread::ControlHub;
pub use thread::ControlStart;
pub use thread::run_control;

/// A query about state; the control thread sends the answer through the channel.
#[derive(Debug)]
pub enum ControlQuery {
    /// Status of this instance and of the group as it knows it.
    Status(oneshot::Sender<StatusBody>),
    /// State of the whole process for diagnosis, without keys, prompts or sample contents.
    Dump(oneshot::Sender<serde_json::Value>),
    /// The latest closed usage windows and the open one, oldest first.
    Usage(oneshot::Sender<Vec<UsageWindowBody>>),
    /// Targets that the instance knows from the leader.
    Targets(oneshot::Sender<Vec<TargetBody>>),
    /// The plan in force, exported as CSV.
    Sheet(oneshot::Sender<Vec<u8>>),
    /// Whether the leader has merged all usage and no rollout job is running.
    Settled(oneshot::Sender<bool>),
}

/// Input of the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// A connection to another daemon changed, or a frame arrived on it.
    Peer(PeerEvent),
    /// Submits a command to the replicated log.
    Submit {
        /// Command to submit.
        command: ControlCommand,
        /// Receives the outcome once the command is applied.
        reply: oneshot::Sender<Result<ControlOutcome, SubmitFailure>>,
    },
    /// A target announced itself; the number is its uptime in milliseconds.
    Announce(TargetAnnouncement, u64),
    /// Asks whether a log entry is in force: applied on every instance that may act on its
    /// view.
    IsInForce {
        /// Log index of the entry.
        index: u64,
        /// Receives the answer, or `None` if no leader answered.
        reply: oneshot::Sender<Option<bool>>,
    },
    /// Changes the membership of the consensus group for an operator.
    ChangeMembership {
        /// Member to add or to remove.
        change: MembershipChange,
        /// Receives the result; an error is a message in lower case.
        reply: oneshot::Sender<Result<(), String>>,
    },
    /// Answers a query about state.
    Query(ControlQuery),
    /// An order to the platform ended, with or without a known result.
    OrderEnded {
        /// Service, zone and price class of the order.
        key: OrderKey,
        /// Order ID, which is the log index of the intent.
        id: u64,
        /// The platform's answer, or `None` if it is unknown.
        result: Option<OrderResult>,
    },
    /// A usage report to the platform ended.
    ReportEnded {
        /// Number of the usage window.
        window: u64,
        /// Whether the platform acknowledged the report.
        taken: bool,
    },
    /// A rollout job ended, whether its sample was recorded or not.
    JobEnded(RolloutJob),
    /// Transfers leadership to another voter, if this instance leads.
    TransferLeadership,
}

/// Sends `value` to a requester; the value is dropped if the requester no longer waits.
pub fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    reply.send(value).ok();
}

/// Sends inputs to the control thread; clones share the same thread.
#[derive(Debug, Clone)]
pub struct ControlHandle {
    inputs: mpsc::UnboundedSender<ControlInput>,
    wakeup: Arc<Notify>,
}

impl PeerObserver for ControlHandle {
    fn observe(&self, event: PeerEvent) {
        self.send(ControlInput::Peer(event));
    }
}

impl ControlHandle {
    /// Creates a handle, and the receiver that [`run_control`] reads from.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ControlInput>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let wakeup = Arc::new(Notify::new());
        (Self { inputs, wakeup }, receiver)
    }

    /// Returns the notification that wakes the control thread when requests wait for slots.
    pub fn wakeup(&self) -> Arc<Notify> {
        Arc::clone(&self.wakeup)
    }

    /// Sends an input; it is dropped if the control thread has ended.
    pub fn send(&self, input: ControlInput) {
        // The control thread ends last, so nothing depends on an input that it never reads.
        self.inputs.send(input).ok();
    }

    /// Submits a command to the replicated log and waits until it is applied.
    ///
    /// # Errors
    ///
    /// Returns [`SubmitFailure::NotTaken`] if the command is not and will not be committed, and
    /// [`SubmitFailure::Unknown`] if it may have been committed nevertheless.
    pub async fn submit(&self, command: ControlCommand) -> Result<ControlOutcome, SubmitFailure> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlInput::Submit { command, reply });
        answer.await.unwrap_or(Err(SubmitFailure::Unknown))
    }

    /// Sends a query and returns the answer, or `None` if the control thread has ended.
    pub async fn query<T>(
        &self,
        query: impl FnOnce(oneshot::Sender<T>) -> ControlQuery,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlInput::Query(query(reply)));
        answer.await.ok()
    }

    /// Returns whether the entry at `index` is applied on every instance that may act on its
    /// view, or `None` if no leader answers.
    pub async fn is_in_force(&self, index: u64) -> Option<bool> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlInput::IsInForce { index, reply });
        answer.await.ok().flatten()
    }

    /// Changes the membership of the consensus group.
    ///
    /// # Errors
    ///
    /// Returns a message in lower case that says why the membership was not changed.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), String> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlInput::ChangeMembership { change, reply });
        let stopped = Err("the instance is shutting down".to_owned());
        answer.await.unwrap_or(stopped)
    }
}
