//! The control thread: owns all control state, and is reached by messages.

mod answers;
mod duties;
mod follow;
mod founding;
mod lead;
mod outputs;
mod publish;
mod report;
mod thread;
mod work;

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
pub use report::class_label;
pub use thread::ControlHub;
pub use thread::ControlStart;
pub use thread::run_control;
pub use work::RolloutJob;

/// A question about state, answered on the control thread.
#[derive(Debug)]
pub enum ControlQuery {
    /// State of the group.
    Status(oneshot::Sender<StatusBody>),
    /// Whole state of the process, without secrets.
    Dump(oneshot::Sender<serde_json::Value>),
    /// Usage windows.
    Usage(oneshot::Sender<Vec<UsageWindowBody>>),
    /// Targets.
    Targets(oneshot::Sender<Vec<TargetBody>>),
    /// The plan as a sheet.
    Sheet(oneshot::Sender<Vec<u8>>),
    /// Whether all usage is merged and no job is out.
    Settled(oneshot::Sender<bool>),
}

/// Input of the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// Something about another daemon.
    Peer(PeerEvent),
    /// Carry out a command.
    Submit {
        /// The command.
        command: ControlCommand,
        /// Receives the result.
        reply: oneshot::Sender<Result<ControlOutcome, SubmitFailure>>,
    },
    /// A target announced itself, and started so many milliseconds ago.
    Announce(TargetAnnouncement, u64),
    /// Is an entry in force everywhere?
    IsInForce {
        /// Log index.
        index: u64,
        /// Receives the answer; `None` if no leader answered.
        reply: oneshot::Sender<Option<bool>>,
    },
    /// Change the membership.
    ChangeMembership {
        /// The change.
        change: MembershipChange,
        /// Receives the result.
        reply: oneshot::Sender<Result<(), String>>,
    },
    /// A question about state.
    Query(ControlQuery),
    /// An order to the platform ended, or nobody knows how.
    OrderEnded {
        /// What it was about.
        key: OrderKey,
        /// Order ID.
        id: u64,
        /// How it ended.
        result: Option<OrderResult>,
    },
    /// A report to the platform ended.
    ReportEnded {
        /// The window.
        window: u64,
        /// Whether the platform has it.
        taken: bool,
    },
    /// A rollout job ended.
    JobEnded(RolloutJob),
    /// Pass the lead on, if this instance leads.
    TransferLeadership,
}

/// Answers a question; one who no longer waits needs no answer.
pub fn answer<T>(reply: oneshot::Sender<T>, value: T) {
    reply.send(value).ok();
}

/// Way to the control thread.
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
    /// Creates a handle and the receiving end for the control thread.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<ControlInput>) {
        let (inputs, receiver) = mpsc::unbounded_channel();
        let wakeup = Arc::new(Notify::new());
        (Self { inputs, wakeup }, receiver)
    }

    /// Returns what tells the control thread that requests wait for slots.
    pub fn wakeup(&self) -> Arc<Notify> {
        Arc::clone(&self.wakeup)
    }

    /// Sends an input.
    pub fn send(&self, input: ControlInput) {
        // The control thread ends last; an input after that has no one to heed it.
        self.inputs.send(input).ok();
    }

    /// Carries out a command.
    ///
    /// # Errors
    ///
    /// Returns whether the command may have been taken all the same.
    pub async fn submit(&self, command: ControlCommand) -> Result<ControlOutcome, SubmitFailure> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlInput::Submit { command, reply });
        answer.await.unwrap_or(Err(SubmitFailure::Unknown))
    }

    /// Asks a question about state; returns `None` if the control thread has ended.
    pub async fn query<T>(
        &self,
        query: impl FnOnce(oneshot::Sender<T>) -> ControlQuery,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlInput::Query(query(reply)));
        answer.await.ok()
    }

    /// Returns whether the entry at `index` is in force everywhere, if a leader answers.
    pub async fn is_in_force(&self, index: u64) -> Option<bool> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlInput::IsInForce { index, reply });
        answer.await.ok().flatten()
    }

    /// Changes the membership.
    ///
    /// # Errors
    ///
    /// Returns why it was not changed, in lower case.
    pub async fn change_membership(&self, change: MembershipChange) -> Result<(), String> {
        let (reply, answer) = oneshot::channel();
        self.send(ControlInput::ChangeMembership { change, reply });
        let lost = Err("the instance is shutting down".to_owned());
        answer.await.unwrap_or(lost)
    }
}
