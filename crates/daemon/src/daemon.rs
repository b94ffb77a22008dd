//! Start and end of the daemon: threads, listeners, and a shutdown that cuts no request.

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
use bergamotlane_coordination::consensus::ConsensusConfig;
use bergamotlane_coordination::consensus::ConsensusNode;
use bergamotlane_coordination::consensus::NodeStart;
use bergamotlane_coordination::ident::NodeId;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_wire::peer::HelloFrame;
use bergamotlane_wire::peer::PROTOCOL_VERSION;

/// Time for a connection to a target.
const CONNECT_LIMIT: Duration = Duration::from_millis(1_000);

/// Silence on a target's connection after which the system gives it up.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which an unused connection to a target is kept.
const POOL_IDLE: Duration = Duration::from_secs(30);

/// Longest time that a shutdown waits for requests in progress.
const FINISH_LIMIT: Duration = Duration::from_secs(120);

/// Longest time that a shutdown waits for usage to be merged.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);

/// Pause between two looks at what a shutdown waits for.
const SHUTDOWN_PAUSE: Duration = Duration::from_millis(20);

/// Time for the leader to hear that this instance finishes up, and for a lead to pass on.
const LEAVE_PAUSE: Duration = Duration::from_millis(500);

/// Why the daemon could not run.
#[derive(Debug, Error)]
pub enum DaemonError {
    /// The data folder can't be used.
    #[error("could not open the data folder: {0}")]
    Storage(#[from] StorageError),
    /// A listener can't be opened.
    #[error("could not listen on {address}: {source}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The runtime or a thread can't be started.
    #[error("could not start: {0}")]
    Start(#[from] io::Error),
    /// The client towards targets can't be built.
    #[error("could not build the client: {0}")]
    Client(#[from] reqwest::Error),
    /// The logger can't be set up.
    #[error("could not set up logs: {0}")]
    Logs(#[from] spdlog::Error),
}

/// Runs the daemon until it is told to end.
///
/// # Errors
///
/// Returns why it could not start.
pub fn run_daemon(config: DaemonConfig) -> Result<(), DaemonError> {
    start_logging(config.log_format, config.log_level)?;
    let runtime = Builder::new_multi_thread()
        .worker_threads(config.threads)
        .enable_all()
        .build()?;
    runtime.block_on(serve(config, runtime.handle().clone()))
}

fn open_voter(config: &DaemonConfig) -> Result<Option<DiskVoter>, DaemonError> {
    let Some(path) = &config.data else {
        return Ok(None);
    };
    let (folder, content) = DataFolder::open(path, NodeId(rand::random()))?;
    let start = NodeStart {
        node: NodeId(folder.identity().node),
        vote: content.vote,
        log: content.log,
        seed: rand::random(),
    };
    spdlog::info!(
        "storage: Opened {} with the log up to {}.",
        path.display(),
        start.log.last_index()
    );
    let node = ConsensusNode::new(now(), ConsensusConfig::default(), start);
    Ok(Some(DiskVoter {
        node,
        folder,
        snapshots: SnapshotThresholds::default(),
    }))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| DaemonError::Listen { address, source })
}

async fn serve(config: DaemonConfig, runtime: tokio::runtime::Handle) -> Result<(), DaemonError> {
    let run = RunId(rand::random());
    let voter = open_voter(&config)?;
    let hello = HelloFrame {
        version: PROTOCOL_VERSION,
        nonce: 0,
        cluster: voter.as_ref().and_then(|it| it.folder.identity().cluster),
        run: run.0,
        node: voter.as_ref().map(|it| it.node.id().0),
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
    let client = reqwest::Client::builder()
        .connect_timeout(CONNECT_LIMIT)
        .pool_idle_timeout(POOL_IDLE)
        .tcp_nodelay(true)
        .tcp_user_timeout(USER_TIMEOUT)
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .build()?;
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
    spdlog::info!("daemon: {} runs in {}.", config.name, config.zone);
    wait_for_signal().await?;
    spdlog::info!("daemon: Shuts down.");
    shared.drain();
    sleep(Duration::from_millis(config.drain_ms)).await;
    callers.finish(FINISH_LIMIT).await;
    finish_requests(&shared).await;
    targets.finish(LEAVE_PAUSE).await;
    settle(&handle).await;
    handle.send(ControlInput::TransferLeadership);
    sleep(LEAVE_PAUSE).await;
    operators.finish(LEAVE_PAUSE).await;
    spdlog::info!("daemon: Has shut down.");
    Ok(())
}

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

async fn wait_for_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Waits until no request is in progress.
async fn finish_requests(shared: &TrafficShared) {
    let wait = async {
        while shared.busy() > 0 {
            sleep(SHUTDOWN_PAUSE).await;
        }
    };
    if tokio::time::timeout(FINISH_LIMIT, wait).await.is_err() {
        spdlog::warn!("daemon: {} requests did not finish.", shared.busy());
    }
}

/// Waits until all usage is merged and no rollout is under way.
async fn settle(handle: &ControlHandle) {
    let wait = async {
        while handle.query(ControlQuery::Settled).await == Some(false) {
            sleep(SHUTDOWN_PAUSE).await;
        }
    };
    if tokio::time::timeout(SETTLE_LIMIT, wait).await.is_err() {
        spdlog::warn!("daemon: Ended before all usage was merged.");
    }
}
