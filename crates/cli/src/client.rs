//! Requests to the operators' listener.

use std::time::Duration;

use reqwest::Method;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::failure::CommandFailure;
use bergamotlane_wire::http::AcceptedBody;
use bergamotlane_wire::http::RefusalBody;
use bergamotlane_wire::http::StatusBody;

/// Longest time for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(20);

/// Way to a daemon.
pub struct OperatorClient {
    server: String,
    key: String,
    runtime: Runtime,
    client: reqwest::Client,
}

/// How a change is numbered and waited for.
#[derive(Debug, Clone, Copy)]
pub struct ChangeOptions {
    /// Number, or the next one if `None`.
    pub number: Option<u64>,
    /// Whether to wait until the change is in force everywhere.
    pub wait: bool,
}

impl OperatorClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Returns a failure if the runtime can't be started.
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
            .timeout(ANSWER_LIMIT)
            .build()
            .map_err(|error| unreachable(error.to_string()))?;
        Ok(Self {
            server,
            key,
            runtime,
            client,
        })
    }

    /// Sends a request and returns the body of the answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or that the daemon can't be reached.
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
                    message: format!("answered {status}"),
                },
            })
        })
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or that the answer can't be had or read.
    pub fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, CommandFailure> {
        let bytes = self.send(Method::GET, path, Vec::new())?;
        self.read(&bytes)
    }

    fn read<T: serde::de::DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, CommandFailure> {
        serde_json::from_slice(bytes).map_err(|error| CommandFailure::Unreachable {
            server: self.server.clone(),
            message: format!("answer can't be read: {error}"),
        })
    }

    /// Carries out a change of configuration.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or that the change isn't in force everywhere in time.
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
        let accepted: AcceptedBody = self.read(&bytes)?;
        match accepted.in_force {
            Some(false) => Err(CommandFailure::NotInForce),
            _ => Ok(accepted),
        }
    }
}
