//! Checked settings.

use std::net::SocketAddr;
use std::path::PathBuf;

use bytes::Bytes;

/// Form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text.
    Text,
    /// One JSON object.
    Json,
}

/// Least severe log lines written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that need a person.
    Error,
    /// Failures that were handled.
    Warn,
    /// Changes of state.
    Info,
    /// Everything.
    Debug,
}

/// Checked settings.
#[derive(Debug, Clone)]
pub struct DaemonConfig {
    /// Name of this instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Data folder.
    pub data: Option<PathBuf>,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Peer addresses to start from.
    pub seeds: Vec<SocketAddr>,
    /// Address for callers and trainers.
    pub callers: SocketAddr,
    /// Address for targets.
    pub targets: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Key that all daemons share.
    pub cluster_key: SecretKey,
    /// Key that operators show.
    pub operator_key: SecretKey,
    /// Instance that forms the group at the very first start.
    pub founder: String,
    /// Voters that the group keeps.
    pub voters: usize,
    /// Silence after which a voter is replaced, in milliseconds.
    pub voter_lost_ms: u64,
    /// Address of the platform.
    pub platform: Option<SocketAddr>,
    /// Length of a usage window, in milliseconds.
    pub window_ms: u64,
    /// How long less must do before targets are given up, in milliseconds.
    pub shrink_ms: u64,
    /// Time for the balancer to see that readiness is off, in milliseconds.
    pub drain_ms: u64,
    /// Form of log lines.
    pub log_format: LogFormat,
    /// Least severe log lines written.
    pub log_level: LogLevel,
    /// Threads for traffic.
    pub threads: usize,
}

/// A key read from a file; never printed.
#[derive(Clone)]
pub struct SecretKey(Bytes);

impl SecretKey {
    /// Creates a key from the content of its file; white space around it doesn't count.
    pub fn new(content: &[u8]) -> Self {
        Self(Bytes::copy_from_slice(content.trim_ascii()))
    }

    /// Returns the key's bytes.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }
}

impl std::fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SecretKey(…)")
    }
}
