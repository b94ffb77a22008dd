//! Keeper process: holds a replica of the state and does the leader's work while it is elected.
//!
//! One control thread owns all control state. Connections, runs of items and weight orders are
//! tasks on the runtime of the process; they send their events to that thread over channels.

mod admit;
mod bootstrap;
mod calls;
mod core;
mod dispatch;
mod duties;
mod effects;
mod heartbeats;
mod helpers;
mod inputs;
mod lead;
mod limits;
mod listing;
mod memory;
mod orders;
mod outputs;
mod paces;
mod payloads;
mod peers;
mod repair;
mod results;
mod retention;
mod scoring;
mod snapshots;
mod start;
mod submissions;
mod suspects;
mod targets;
mod texts;
mod view;
mod work;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread;

use tokio::runtime::Builder;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use self::core::KeeperChannels;
use self::core::KeeperCore;
use self::inputs::KeeperInputs;
use self::start::open_folder;
use crate::bodies::BodyBudget;
use crate::budget::BudgetError;
use crate::budget::ResourceBudget;
use crate::budget::ResourceLimits;
use crate::dialect::TargetDialect;
use crate::frames::HelloFrame;
use crate::frames::STATE_FORMAT;
use crate::leader_client::LeaderClient;
use crate::leaving::LeavingStart;
use crate::link::LinkBudget;
use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::scoring::ScoreEnd;
use crate::scoring::ScoreKey;
use crate::weights::OrderAnswer;
use crate::weights::OrderReport;
use crate::work::RunEnd;
use crate::work::RunKey;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::rate::RequestRate;
use bergamotlane_storage::StorageError;
use bergamotlane_storage::WrittenSnapshot;

/// Settings of a keeper, set by the process that starts it.
#[derive(Debug, Clone)]
pub struct KeeperSettings {
    /// Name of the instance, unique in the cluster.
    pub name: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address on which this keeper accepts links from keepers and entries.
    pub link: SocketAddr,
    /// Address of the control interface for targets and operators.
    pub control: SocketAddr,
    /// Link addresses of the keepers to contact first; at bootstrap, the initial voters.
    pub seeds: BTreeSet<SocketAddr>,
    /// Folder for the log, snapshots and the list of known targets.
    pub data: PathBuf,
    /// Whether the seeds may bootstrap a new group; set only if the group has never existed.
    pub may_bootstrap: bool,
    /// Number of voters that repair aims for.
    pub voters: usize,
    /// Length of a usage window, in milliseconds; 0 counts as 1.
    pub usage_window_ms: u64,
    /// Time for which callers can read a job after its submission, in milliseconds.
    pub job_retention_ms: u64,
    /// Time within which holders of a duty must not act in turns, in milliseconds.
    pub duty_turn_ms: u64,
    /// Address of the platform's interface, which usage reports go to; if `None`, none are sent.
    pub platform: Option<SocketAddr>,
    /// Limits on the resources of this keeper.
    pub limits: ResourceLimits,
}

/// Input to the control thread other than link events and calls to the leader.
#[derive(Debug)]
pub(crate) enum KeeperEvent {
    /// A run of an item ended.
    RunEnded(RunKey, RunEnd),
    /// An engine named another limit in its answer to a run than was known when the run started.
    LimitNamed {
        /// ID of the engine.
        target: String,
        /// Limit, or `None` if the engine names none.
        rate: Option<RequestRate>,
        /// Time at which the run started.
        sent_at: ClockTime,
    },
    /// A target said in an answer to a run, an order or a query that it leaves.
    TargetLeaving(LeavingStart),
    /// A reward call of an item was answered or failed.
    RewardEnded(ScoreKey, ScoreEnd),
    /// A weight order to an engine was answered or failed.
    WeightsOrdered {
        /// ID of the engine.
        id: String,
        /// Start time of the engine that the order was sent to, in milliseconds since 1970.
        born: u64,
        /// Model to load.
        model: String,
        /// Weight version to load.
        version: u64,
        /// Answer of the engine, or the kind of failure.
        answer: OrderAnswer,
    },
    /// A query for an engine's order state was answered or failed.
    EngineInspected {
        /// ID of the engine.
        id: String,
        /// Start time of the engine that was queried, in milliseconds since 1970.
        born: u64,
        /// Reported order state; `None` if the query failed.
        report: Option<OrderReport>,
    },
    /// The attempt to send a usage report completed.
    UsageReported {
        /// Number of the usage window.
        window: u64,
        /// Whether the platform accepted the report.
        accepted: bool,
    },
    /// The thread that writes a snapshot is done.
    SnapshotWritten {
        /// Number of the data folder's opening for which it was started.
        folder: u64,
        /// Written snapshot, or why it could not be written.
        written: Result<WrittenSnapshot, StorageError>,
    },
    /// The seeds in the settings changed.
    SeedsChanged(BTreeSet<SocketAddr>),
    /// Transfer leadership, as the process is about to exit; the sender confirms that the
    /// request was handled.
    TransferLeadership(oneshot::Sender<()>),
}

/// Handle of a running keeper.
#[derive(Debug, Clone)]
pub struct KeeperHandle {
    /// Client for calls to the leader, which may be this keeper.
    pub leader: LeaderClient,
    /// Budget of the bodies of requests to the control interface.
    pub bodies: Arc<BodyBudget>,
    events: mpsc::UnboundedSender<KeeperEvent>,
}

impl KeeperHandle {
    /// Replaces the seeds after a change of the settings.
    pub fn set_seeds(&self, seeds: BTreeSet<SocketAddr>) {
        // The control thread runs until the process exits.
        self.events.send(KeeperEvent::SeedsChanged(seeds)).ok();
    }

    /// Starts a transfer of leadership to another voter, if this keeper leads, and returns before
    /// the transfer is complete.
    pub async fn transfer_leadership(&self) {
        let (done, wait) = oneshot::channel();
        if self
            .events
            .send(KeeperEvent::TransferLeadership(done))
            .is_ok()
        {
            wait.await.ok();
        }
    }
}

/// Starts a keeper's control thread. Must be called within a Tokio runtime.
///
/// Returns its handle, and the hub that accepts links for it.
///
/// # Errors
///
/// Returns an error if the limits are too low, the data folder can't be opened or the control thread
/// can't be started.
pub fn start_keeper<D: TargetDialect>(
    settings: KeeperSettings,
    dialect: D,
) -> Result<(KeeperHandle, Arc<LinkHub>), KeeperError> {
    let budget = ResourceBudget::for_keeper(settings.limits)?;
    budget.log("keeper", settings.limits);
    let (folder, content) = open_folder(&settings.data)?;
    let (leader, requests) = LeaderClient::new();
    let (link_sender, links) = mpsc::unbounded_channel::<LinkEvent>();
    let (events, inputs) = mpsc::unbounded_channel();
    let identity = folder.identity();
    let hello = HelloFrame {
        run: rand::random(),
        cluster: identity.cluster,
        node: Some(identity.node),
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: Some(settings.link),
        control: Some(settings.control),
        relay: None,
        max_frame_bytes: None,
        founds: settings.may_bootstrap && settings.seeds.contains(&settings.link),
        keepers: settings.seeds.clone(),
        state_format: STATE_FORMAT,
        asks_for_cold: true,
        batches_heartbeats: true,
    };
    let hub = LinkHub::with_budget(hello.clone(), link_sender, LinkBudget::from(&budget));
    let channels = KeeperChannels {
        leader: leader.clone(),
        hub: Arc::clone(&hub),
        events: events.clone(),
    };
    let core = KeeperCore::new(
        settings,
        dialect,
        channels,
        hello,
        (folder, content),
        budget,
    );
    let inputs = KeeperInputs {
        links,
        requests,
        events: inputs,
        waiting_requests: 0,
    };
    let control = Builder::new_current_thread().enable_time().build()?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.block_on(core.run(inputs)))?;
    let bodies = Arc::new(BodyBudget::new(budget.bodies_bytes));
    let handle = KeeperHandle {
        leader,
        bodies,
        events,
    };
    Ok((handle, hub))
}

/// Reason why a keeper could not start.
#[derive(Debug, thiserror::Error)]
pub enum KeeperError {
    /// The limits on the resources of the keeper are too low.
    #[error(transparent)]
    Budget(#[from] BudgetError),
    /// The data folder could not be opened.
    #[error("could not open the data folder: {0}")]
    Storage(#[from] StorageError),
    /// The control thread could not be started.
    #[error("could not start the control thread: {0}")]
    Thread(#[from] io::Error),
}
