//! A keeper: holds a replica of the state, and leads when it is elected.
//!
//! All control state is owned by one thread. Connections, runs and orders live on the runtime
//! of the process and reach that thread by messages.

mod admit;
mod calls;
mod core;
mod duties;
mod founding;
mod lead;
mod outputs;
mod peers;
mod repair;
mod targets;
mod texts;
mod view;
mod work;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;

use tokio::runtime::Builder;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use self::core::KeeperCore;
use crate::dialect::TargetDialect;
use crate::frames::HelloFrame;
use crate::leader_client::LeaderClient;
use crate::link::LinkEvent;
use crate::link::LinkHub;
use crate::weights::OrderAnswer;
use crate::weights::OrderReport;
use crate::work::RunEnd;
use crate::work::RunKey;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_storage::DataFolder;
use bergamotlane_storage::StorageError;
use bergamotlane_storage::clock::now;

/// Settings of a keeper.
#[derive(Debug, Clone)]
pub struct KeeperSettings {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for links.
    pub link: SocketAddr,
    /// Address that targets and operators call.
    pub control: SocketAddr,
    /// Link addresses of keepers to start from.
    pub seeds: BTreeSet<SocketAddr>,
    /// Data folder.
    pub data: PathBuf,
    /// Whether the group has never existed, and the seeds may found it.
    pub may_bootstrap: bool,
    /// Voters that the group should have.
    pub voters: usize,
    /// Length of a usage window, in milliseconds.
    pub usage_window_ms: u64,
    /// Time for which a job can be read after its submission, in milliseconds.
    pub job_retention_ms: u64,
    /// Address of the platform's interface for orders and usage.
    pub platform: Option<SocketAddr>,
}

/// What reaches the control thread besides links and calls.
#[derive(Debug)]
pub(crate) enum KeeperEvent {
    /// A run has ended.
    RunEnded(RunKey, RunEnd),
    /// An engine answered an order.
    Ordered {
        /// Engine.
        id: String,
        /// Its start.
        born: u64,
        /// Model.
        model: String,
        /// Version ordered.
        version: u64,
        /// Answer.
        answer: OrderAnswer,
    },
    /// An engine reported its order state, or did not.
    Inspected {
        /// Engine.
        id: String,
        /// Its start.
        born: u64,
        /// Report.
        report: Option<OrderReport>,
    },
    /// A usage report has ended.
    Reported {
        /// Window.
        window: u64,
        /// Whether the platform has taken it.
        taken: bool,
    },
    /// The seeds in the settings have changed.
    Seeds(BTreeSet<SocketAddr>),
    /// The process is about to end.
    TransferLeadership(oneshot::Sender<()>),
}

/// End of the leader's lease, as others may check it right before they act.
#[derive(Debug, Clone, Default)]
pub(crate) struct LeaseWatch(Arc<AtomicU64>);

impl LeaseWatch {
    pub(crate) fn set(&self, until: ClockTime) {
        self.0.store(until.0, Ordering::Relaxed);
    }

    /// Returns whether the lease covers the next `millis`.
    pub(crate) fn covers(&self, millis: u64) -> bool {
        now().0 + millis < self.0.load(Ordering::Relaxed)
    }
}

/// Handle of a running keeper.
#[derive(Debug, Clone)]
pub struct KeeperHandle {
    /// Calls to the leader, which may be this keeper.
    pub leader: LeaderClient,
    events: mpsc::UnboundedSender<KeeperEvent>,
}

impl KeeperHandle {
    /// Takes changed seeds.
    pub fn set_seeds(&self, seeds: BTreeSet<SocketAddr>) {
        // The control thread ends with the process.
        self.events.send(KeeperEvent::Seeds(seeds)).ok();
    }

    /// Passes the lead on, if this keeper has it.
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

/// Starts a keeper within the runtime.
///
/// # Errors
///
/// Returns an error if the data folder can't be opened or the thread can't be started.
pub fn start_keeper<D: TargetDialect>(
    settings: KeeperSettings,
    dialect: D,
) -> Result<(KeeperHandle, Arc<LinkHub>), KeeperError> {
    let (folder, content) = DataFolder::open(&settings.data, NodeId(rand::random()))?;
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
        founds: settings.may_bootstrap && settings.seeds.contains(&settings.link),
        keepers: settings.seeds.clone(),
    };
    let hub = LinkHub::new(hello.clone(), link_sender);
    let runtime = Handle::current();
    let core = KeeperCore::new(
        settings,
        dialect,
        hello,
        (folder, content),
        Arc::clone(&hub),
        runtime,
        events.clone(),
    );
    let control = Builder::new_current_thread().enable_time().build()?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.block_on(core.run(links, requests, inputs)))?;
    Ok((KeeperHandle { leader, events }, hub))
}

/// Why a keeper could not start.
#[derive(Debug, thiserror::Error)]
pub enum KeeperError {
    /// The data folder can't be used.
    #[error("could not open the data folder: {0}")]
    Storage(#[from] StorageError),
    /// The control thread can't be started.
    #[error("could not start the control thread: {0}")]
    Thread(#[from] io::Error),
}
