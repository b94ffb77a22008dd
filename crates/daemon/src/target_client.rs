//! HTTP client for targets and engines, which checks the heads of their responses.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use reqwest::Client;
use reqwest::ClientBuilder;
use reqwest::Response;

use crate::clock::now;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_wire::answer_status::FinalStatus;
use bergamotlane_wire::answer_status::StatusFault;

/// Time within which a connection to a target must be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time for which sent data may stay unacknowledged before a connection fails.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which an idle connection to a target stays in the pool.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which no kept connection to a target is used after it sent no answer, in milliseconds: those
/// that were idle by then have left the pool.
const DISTRUST_MS: u64 = POOL_IDLE_TIMEOUT.as_millis() as u64 + 1_000;

/// Cloneable client; all clones share their connections.
#[derive(Debug, Clone)]
pub struct TargetClient {
    pooled: Client,
    /// Client that keeps no connection.
    unpooled: Client,
    /// Targets that sent no answer, by address, each with the end of the time for which their kept
    /// connections are not used.
    distrusted: Arc<Mutex<HashMap<String, ClockTime>>>,
}

fn builder() -> ClientBuilder {
    Client::builder()
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .tcp_user_timeout(TCP_USER_TIMEOUT)
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
}

impl TargetClient {
    /// Creates a client without connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be built.
    pub fn new() -> reqwest::Result<Self> {
        Ok(Self {
            pooled: builder().build()?,
            unpooled: builder().pool_max_idle_per_host(0).build()?,
            distrusted: Arc::default(),
        })
    }

    fn distrusted(&self) -> MutexGuard<'_, HashMap<String, ClockTime>> {
        self.distrusted
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the HTTP client for the next request to the target at an address.
    pub fn of(&self, address: &str) -> &Client {
        let until = self.distrusted().get(address).copied();
        match until.is_some_and(|it| now() < it) {
            true => &self.unpooled,
            false => &self.pooled,
        }
    }

    /// Returns a response of the target at an address if its status ends its request. Otherwise the
    /// connections to the target that are kept aren't used again.
    ///
    /// # Errors
    ///
    /// Returns an error if the status is that of no final answer; the request may have run.
    pub fn check_head(&self, address: &str, response: Response) -> Result<Response, StatusFault> {
        let Err(fault) = FinalStatus::try_from(response.status().as_u16()) else {
            return Ok(response);
        };
        spdlog::warn!("target: no answer in the protocol", kv: { address, status = fault.0 });
        let time = now();
        let mut distrusted = self.distrusted();
        distrusted.retain(|_, until| time < *until);
        distrusted.insert(address.to_owned(), time + DISTRUST_MS);
        Err(fault)
    }
}
