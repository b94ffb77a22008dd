//! HTTP server of a stand-in, with JSON bodies.

use std::net::SocketAddr;

use salvo::Handler;
use salvo::Listener;
use salvo::Request;
use salvo::Response;
use salvo::Router;
use salvo::Server;
use salvo::conn::TcpListener;
use salvo::http::StatusCode;
use salvo::http::header::CONTENT_TYPE;
use salvo::http::header::HeaderValue;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest accepted size of a request body.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Serves all paths with one handler until the process ends.
///
/// # Panics
///
/// Panics if the address can't be bound.
pub async fn serve<H: Handler>(address: SocketAddr, handler: H) {
    let acceptor = TcpListener::new(address).bind().await;
    let router = Router::with_path("{**path}").goal(handler);
    Server::new(acceptor).serve(router).await;
}

/// Writes an answer with a JSON body.
pub fn write<T: Serialize>(res: &mut Response, status: StatusCode, body: &T) {
    res.status_code(status);
    let json = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, json);
    res.body(serde_json::to_vec(body).unwrap_or_default());
}

/// Reads a JSON request body; returns `None` if it is too large or invalid.
pub async fn read<T: DeserializeOwned>(req: &mut Request) -> Option<T> {
    let bytes = req.payload_with_max_size(MAX_BODY_BYTES).await.ok()?;
    serde_json::from_slice(bytes).ok()
}
