//! Listeners for callers and trainers, targets, and operators.

mod answer;
mod callers;
mod claims;
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
use bergamotlane_coordination::ident::RunId;

pub use refusal::Refusal;

/// Largest body taken from a caller, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Connections of one listener at a time.
const MAX_CONNECTIONS: usize = 20_000;

/// Time for a caller to send a request's header.
const HEADER_LIMIT: Duration = Duration::from_secs(5);

/// Time for which a connection may be idle.
const IDLE_LIMIT: Duration = Duration::from_secs(75);

/// Time for which a caller may stop taking bytes.
const STALL_LIMIT: Duration = Duration::from_secs(20);

/// What handlers need.
pub struct ServeContext {
    /// Process run.
    pub run: RunId,
    /// What traffic reads.
    pub shared: Arc<TrafficShared>,
    /// Way to the control thread.
    pub handle: ControlHandle,
    /// Samples held.
    pub samples: Arc<SampleStore>,
    /// Client towards targets.
    pub client: reqwest::Client,
    /// Key that operators show.
    pub operator_key: SecretKey,
}

/// A listener with its handler.
pub struct RunningServer {
    stop: ServerHandle,
    ended: JoinHandle<()>,
}

impl RunningServer {
    /// Takes no more connections, and waits until those there are have ended.
    pub async fn finish(self, limit: Duration) {
        self.stop.stop_graceful(limit);
        if let Err(error) = self.ended.await {
            spdlog::warn!("daemon: A listener failed: {error}.");
        }
    }
}

/// Starts a listener with one handler for all paths.
///
/// # Errors
///
/// Returns an error if the listener can't be used.
pub fn start_server<H>(listener: TcpListener, handler: H) -> std::io::Result<RunningServer>
where
    H: salvo::Handler,
{
    let acceptor = TcpAcceptor::try_from(listener)?;
    let fuse = FuseConfig::default()
        .with_http1_header_timeout(HEADER_LIMIT)
        .with_connection_idle_timeout(IDLE_LIMIT)
        .with_write_stall_timeout(STALL_LIMIT);
    let server = Server::new(acceptor)
        .fuse_config(fuse)
        .max_connections(MAX_CONNECTIONS);
    let stop = server.handle();
    let router = Router::with_path("{**path}").goal(handler);
    let ended = tokio::spawn(server.serve(router));
    Ok(RunningServer { stop, ended })
}

pub use callers::CallerHandler;
pub use operators::OperatorHandler;
pub use targets::TargetHandler;

/// Reads a body up to the limit.
async fn read_body(req: &mut Request) -> Result<Bytes, Refusal> {
    match req.payload_with_max_size(MAX_BODY_BYTES).await {
        Ok(bytes) => Ok(bytes.clone()),
        Err(salvo::http::ParseError::PayloadTooLarge) => Err(Refusal::too_large(MAX_BODY_BYTES)),
        Err(_) => Err(Refusal::bad_request("the body could not be read")),
    }
}

/// Reads a JSON body.
async fn read_json<T: serde::de::DeserializeOwned>(req: &mut Request) -> Result<T, Refusal> {
    let body = read_body(req).await?;
    serde_json::from_slice(&body).map_err(|error| {
        let message = format!("the body is not the expected JSON: {error}");
        Refusal::bad_request(message)
    })
}

/// Writes a JSON answer.
fn write_json<T: serde::Serialize>(res: &mut Response, body: &T) -> Result<(), Refusal> {
    let bytes = serde_json::to_vec(body).map_err(|_| Refusal::internal("could not encode"))?;
    answer::set_header(res, "content-type", "application/json");
    res.body(bytes);
    Ok(())
}
