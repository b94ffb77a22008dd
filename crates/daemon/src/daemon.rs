//! Startup of the daemon's threads and listeners, and a graceful shutdown that interrupts no
//! request.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::clock::now;
use crate::control::ControlHandle;
use crate::control::ControlHub;
use crate::control::ControlInput;
use crate::control::ControlQuery;
use crate::control::ControlStart;
use crate::control::DiskVoter;
use crate::control::run_control;
use crate::logging::start_logging;
use crate::metrics::DaemonMetrics;
use crate::peers::LocalHello;
use crate::peers::PeerHub;
use crate::rollout::RolloutRunner;
use crate::samples::SampleStore;
use crate::serve::CallerHandler;
use crate::serve::OperatorHandler;
use crate::serve::ServeContext;
use crate::serve::TargetHandler;
use crate::serve::start_server;
use crate::settings::DaemonConfig;
use crate::shared::TrafficShared;
use crate::storage::DataFolder;
use crate::storage::SnapshotThresholds;
use crate::storage::StorageError;
use crate::target_client::TargetClient;
use bergamotlane_coordination::consensus::ConsensusConfig;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::NodeStart;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_wire::peer::HelloFrame;
use bergamotlane_wire::peer::PROTOCOL_VERSION;

/// Size of the youngest commands of the log that are kept in memory, in bytes.
const LOG_TAIL_BYTES: usize = 8 * 1024 * 1024;

/// Longest time that a shutdown waits for requests in progress.
const FINISH_TIMEOUT: Duration = Duration::from_secs(120);

/// Longest time that a shutdown waits until usage is merged and no rollout is running.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a shutdown checks the condition that it waits for.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time that a shutdown leaves for the leader to learn that this instance is draining and for a
/// transfer of leadership, and for open connections of targets and operators to close.
const LEAVE_DELAY: Duration = Duration::from_millis(500);

/// Why the daemon could not start, or stopped with an error.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The data folder could not be opened or read.
    #[error("could not open the data folder: {0}")]
    Storage(#[from] StorageError),
    /// A listening socket could not be opened.
    #[error("could not listen on {address}: {source}")]
    Listen {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// The runtime, a thread, a listener or the signal handling could not be started.
    #[error("could not start the runtime, a thread, a listener or the signal handling: {0}")]
    Start(#[from] io::Error),
    /// The HTTP client for requests to targets could not be built.
    #[error("could not build the HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The logger could not be built.
    #[error("could not set up logging: {0}")]
    Logs(#[from] spdlog::Error),
}

/// Runs the daemon until it gets SIGTERM or SIGINT and has shut down.
///
/// # Errors
///
/// Returns why the daemon could not start.
pub fn run_daemon(config: DaemonConfig) -> Result<(), DaemonError> {
    start_logging(config.log_format, config.log_level)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(config.threads)
        .enable_all()
        .build()?;
    runtime.block_on(serve(config, runtime.handle().clone()))
}

/// Opens the data folder and restores the consensus state from it; returns `None` for an
/// instance without a data folder, which never votes.
fn open_voter(config: &DaemonConfig) -> Result<Option<DiskVoter>, DaemonError> {
    let Some(path) = &config.data else {
        return Ok(None);
    };
    let (folder, content) = DataFolder::open(path, NodeId(rand::random()))?;
    let start = NodeStart {
        node: NodeId(folder.identity().node),
        vote: content.vote,
        log: content.log,
        applied: content.applied,
        seed: rand::random(),
    };
    spdlog::info!(
        "storage: opened {} with log entries up to index {}",
        path.display(),
        start.log.last_index()
    );
    let node = ConsensusNode::new(now(), ConsensusConfig::default(), start);
    Ok(Some(DiskVoter {
        node,
        folder,
        snapshots: SnapshotThresholds::default(),
        log_tail_bytes: LOG_TAIL_BYTES,
    }))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| DaemonError::Listen { address, source })
}

/// Starts all parts of the daemon, waits for a signal and shuts down.
///
/// The shutdown first reports that the instance isn't ready, then stops accepting requests, waits
/// for those in progress, merges usage and transfers leadership if the instance leads.
async fn serve(config: DaemonConfig, runtime: tokio::runtime::Handle) -> Result<(), DaemonError> {
    let run = RunId(rand::random());
    let voter = open_voter(&config)?;
    let hello = HelloFrame {
        version: PROTOCOL_VERSION,
        nonce: 0,
        cluster: voter
            .as_ref()
            .and_then(|voter| voter.folder.identity().cluster),
        run: run.0,
        node: voter.as_ref().map(|voter| voter.node.id().0),
        name: config.name.clone(),
        address: config.peers.to_string(),
        zone: config.zone.clone(),
    };
    let local = LocalHello::new(hello.clone(), config.cluster_key.clone());
    let shared = TrafficShared::new(DaemonMetrics::new());
    let (handle, inputs) = ControlHandle::new();
    let hub: Arc<ControlHub> = PeerHub::new(
        local.clone(),
        config.peers,
        shared.metrics.control_bytes.clone(),
        handle.clone(),
    );
    let samples = SampleStore::new(Arc::clone(&hub));
    let client = TargetClient::new()?;
    let peers = listen(config.peers).await?;
    let callers = listen(config.callers).await?;
    let targets = listen(config.targets).await?;
    let operators = listen(config.operators).await?;
    let (jobs, queue) = mpsc::unbounded_channel();
    let start = ControlStart {
        config: config.clone(),
        run,
        hello,
        local,
        hub: Arc::clone(&hub),
        shared: Arc::clone(&shared),
        samples: Arc::clone(&samples),
        voter,
        handle: handle.clone(),
        runtime,
        jobs,
    };
    start_control_thread(start, inputs)?;
    tokio::spawn(hub.listen(peers));
    let runner = RolloutRunner::new(
        run,
        Arc::clone(&shared),
        handle.clone(),
        Arc::clone(&samples),
        client.clone(),
    );
    tokio::spawn(runner.run(queue));
    let context = Arc::new(ServeContext {
        run,
        shared: Arc::clone(&shared),
        handle: handle.clone(),
        samples,
        client,
        operator_key: config.operator_key.clone(),
    });
    let operators = start_server(
        operators,
        OperatorHandler {
            context: Arc::clone(&context),
        },
    )?;
    let targets = start_server(
        targets,
        TargetHandler {
            context: Arc::clone(&context),
        },
    )?;
    let callers = start_server(callers, CallerHandler { context })?;
    spdlog::info!("daemon: {} started in zone {}", config.name, config.zone);
    wait_for_signal().await?;
    spdlog::info!("daemon: shutdown started");
    shared.drain();
    sleep(Duration::from_millis(config.drain_ms)).await;
    callers.finish(FINISH_TIMEOUT).await;
    finish_requests(&shared).await;
    targets.finish(LEAVE_DELAY).await;
    wait_until_settled(&handle).await;
    handle.send(ControlInput::TransferLeadership);
    sleep(LEAVE_DELAY).await;
    operators.finish(LEAVE_DELAY).await;
    spdlog::info!("daemon: shutdown finished");
    Ok(())
}

/// Starts the control thread, which has a single-threaded runtime of its own.
fn start_control_thread(
    start: ControlStart,
    inputs: mpsc::UnboundedReceiver<ControlInput>,
) -> io::Result<()> {
    let control = Builder::new_current_thread().enable_all().build()?;
    thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || control.block_on(run_control(start, inputs)))?;
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits up to [`FINISH_TIMEOUT`] until no request is in progress.
async fn finish_requests(shared: &TrafficShared) {
    let wait = async {
        while shared.busy() > 0 {
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(FINISH_TIMEOUT, wait).await.is_err() {
        spdlog::warn!(
            "daemon: {} requests did not finish before the shutdown",
            shared.busy()
        );
    }
}

/// Waits up to [`SETTLE_TIMEOUT`] until all usage is merged and no rollout is running.
async fn wait_until_settled(handle: &ControlHandle) {
    let wait = async {
        while handle.query(ControlQuery::Settled).await == Some(false) {
            sleep(SHUTDOWN_POLL_INTERVAL).await;
        }
    };
    if tokio::time::timeout(SETTLE_TIMEOUT, wait).await.is_err() {
        spdlog::warn!("daemon: shutting down before all usage was merged and all rollouts ended");
    }
}
