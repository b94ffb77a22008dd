//! HTTP listeners: one for callers and trainers, one for targets and one for operators.

mod answer;
mod attempts;
mod callers;
mod claims;
mod ended_body;
mod generate;
mod keys;
mod lookup;
mod operators;
mod refusal;
mod targets;
mod trainers;

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::conn::tcp::TcpAcceptor;
use salvo::fuse::FuseConfig;
use salvo::server::ServerHandle;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::control::ControlHandle;
use crate::samples::SampleStore;
use crate::settings::SecretKey;
use crate::shared::TrafficShared;
use crate::target_client::TargetClient;
use bergamotlane_coordination::ident::RunId;

pub use refusal::Refusal;

/// Largest request body that is accepted, in bytes; plan sheets have their own limit.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of open connections of one listener.
const MAX_CONNECTIONS: usize = 20_000;

/// Time within which a client must have sent the whole head of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Time after which a connection is closed whose client doesn't read the response.
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// State that the handlers of all listeners share.
pub struct ServeContext {
    /// ID of this process run; claims and sample holders are recorded under it.
    pub run: RunId,
    /// Current view of the configuration and targets, and this instance's counters.
    pub shared: Arc<TrafficShared>,
    /// Handle to the control thread, which submits commands to the leader.
    pub handle: ControlHandle,
    /// Samples that this instance holds, and access to those of other instances.
    pub samples: Arc<SampleStore>,
    /// HTTP client for requests to targets; it neither retries nor follows redirects.
    pub client: TargetClient,
    /// Key that operators must send with each request except metrics and health.
    pub operator_key: SecretKey,
}

/// A listener that accepts connections until [`RunningServer::finish`] is called.
pub struct RunningServer {
    server: ServerHandle,
    task: JoinHandle<()>,
}

impl RunningServer {
    /// Stops accepting connections and waits up to `limit` until the open ones are closed.
    pub async fn finish(self, limit: Duration) {
        self.server.stop_graceful(limit);
        if let Err(error) = self.task.await {
            spdlog::warn!("daemon: listener failed: {error}");
        }
    }
}

/// Starts to serve `listener`, with one handler for all paths.
///
/// # Errors
///
/// Returns an error if the listener can't be registered with the runtime.
pub fn start_server<H>(listener: TcpListener, handler: H) -> std::io::Result<RunningServer>
where
    H: salvo::Handler,
{
    let acceptor = TcpAcceptor::try_from(listener)?;
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(HEADER_TIMEOUT)
        .with_connection_idle_timeout(IDLE_TIMEOUT)
        .with_write_stall_timeout(WRITE_STALL_TIMEOUT);
    let server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(MAX_CONNECTIONS);
    let handle = server.handle();
    let router = Router::with_path("{**path}").goal(handler);
    let task = tokio::spawn(server.serve(router));
    Ok(RunningServer {
        server: handle,
        task,
    })
}

pub use callers::CallerHandler;
pub use operators::OperatorHandler;
pub use targets::TargetHandler;

/// Reads the body of a request, of at most [`MAX_BODY_BYTES`].
async fn read_body(req: &mut Request) -> Result<Bytes, Refusal> {
    match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(bytes) => Ok(bytes.clone()),
        Err(salvo::http::ParseError::PayloadTooLarge) => Err(Refusal::too_large(MAX_BODY_BYTES)),
        Err(_) => Err(Refusal::bad_request("the body could not be read")),
    }
}

/// Reads the body of a request as JSON.
async fn read_json<T: serde::de::DeserializeOwned>(req: &mut Request) -> Result<T, Refusal> {
    let body = read_body(req).await?;
    serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not the expected JSON: {error}");
        Refusal::bad_request(message)
    })
}

/// Writes `body` as the JSON body of a response.
fn write_json<T: serde::Serialize>(res: &mut Response, body: &T) -> Result<(), Refusal> {
    let bytes = serde_json::to_vec(body).map_err(|_| Refusal::internal("could not encode"))?;
    answer::set_header(res, "content-type", "application/json");
    res.body(bytes);
    Ok(())
}
