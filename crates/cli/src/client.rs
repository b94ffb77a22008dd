//! HTTP client for the operators' listener of a daemon.

use std::time::Duration;

use reqwest::Method;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::failure::CommandFailure;
use bergamotlane_wire::http::AcceptedBody;
use bergamotlane_wire::http::RefusalBody;
use bergamotlane_wire::http::StatusBody;

/// Time limit of a request, from connecting to the end of the answer's body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Blocking HTTP client that sends the operators' key with each request.
pub struct OperatorClient {
    server: String,
    key: String,
    runtime: Runtime,
    client: reqwest::Client,
}

/// Options of a command that changes the configuration.
#[derive(Debug, Clone, Copy)]
pub struct ChangeOptions {
    /// Number of the change (`--number`); the daemon's current number plus one if `None`.
    pub number: Option<u64>,
    /// Whether to wait until the change is in force everywhere (`--wait in-force`).
    pub wait: bool,
}

impl OperatorClient {
    /// Creates a client for the daemon at `server` (`IP:PORT`).
    ///
    /// # Errors
    ///
    /// Returns [`CommandFailure::Unreachable`] if the runtime or the HTTP client can't be
    /// created.
    pub fn new(server: String, key: String) -> Result<Self, CommandFailure> {
        let unreachable = |message: String| CommandFailure::Unreachable {
            server: server.clone(),
            message,
        };
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(|error| unreachable(error.to_string()))?;
        let client = reqwest::Client::builder()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .map_err(|error| unreachable(error.to_string()))?;
        Ok(Self {
            server,
            key,
            runtime,
            client,
        })
    }

    /// Sends a request and returns the body of a successful answer.
    ///
    /// # Errors
    ///
    /// Returns [`CommandFailure::Refused`] if the daemon answers with a refusal, otherwise
    /// [`CommandFailure::Unreachable`].
    pub fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<Vec<u8>, CommandFailure> {
        let unreachable = |error: reqwest::Error| CommandFailure::Unreachable {
            server: self.server.clone(),
            message: error.to_string(),
        };
        self.runtime.block_on(async {
            let response = self
                .client
                .request(method, format!("http://{}{path}", self.server))
                .bearer_auth(&self.key)
                .body(body)
                .send()
                .await
                .map_err(unreachable)?;
            let status = response.status();
            let bytes = response.bytes().await.map_err(unreachable)?;
            if status.is_success() {
                return Ok(bytes.to_vec());
            }
            let refusal = serde_json::from_slice::<RefusalBody>(&bytes);
            Err(match refusal {
                Ok(refusal) => CommandFailure::Refused(refusal),
                Err(_) => CommandFailure::Unreachable {
                    server: self.server.clone(),
                    message: format!("unexpected answer with status {status}"),
                },
            })
        })
    }

    /// Sends a `GET` request and decodes the JSON answer.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::send`], or with [`CommandFailure::Unreachable`] if the answer
    /// isn't the expected JSON.
    pub fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, CommandFailure> {
        let bytes = self.send(Method::GET, path, Vec::new())?;
        self.decode(&bytes)
    }

    fn decode<T: serde::de::DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, CommandFailure> {
        serde_json::from_slice(bytes).map_err(|error| CommandFailure::Unreachable {
            server: self.server.clone(),
            message: format!("could not decode the answer: {error}"),
        })
    }

    /// Sends a configuration change, with the number and the wait that `options` ask for.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::get`], or with [`CommandFailure::NotInForce`] if the change was
    /// accepted but the daemon reports that it isn't in force everywhere.
    pub fn change(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        options: ChangeOptions,
    ) -> Result<AcceptedBody, CommandFailure> {
        let number = match options.number {
            Some(number) => number,
            None => self.get::<StatusBody>("/v1/status")?.number + 1,
        };
        let wait = if options.wait { "&wait=in-force" } else { "" };
        let path = format!("{path}?number={number}{wait}");
        let bytes = self.send(method, &path, body)?;
        let accepted: AcceptedBody = self.decode(&bytes)?;
        match accepted.in_force {
            Some(false) => Err(CommandFailure::NotInForce),
            _ => Ok(accepted),
        }
    }
}
