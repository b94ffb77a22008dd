//! Settings of the daemon, after validation.

use std::net::SocketAddr;
use std::path::PathBuf;

use bytes::Bytes;

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// A line of text with date, level and message.
    Text,
    /// A JSON object per line.
    Json,
}

/// Severity of a log line; a setting names the least severe level that is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the daemon handled.
    Warn,
    /// Changes of state.
    Info,
    /// Details for debugging.
    Debug,
}

/// Settings of the daemon; all of them were checked when they were read.
#[derive(Debug, Clone)]
pub struct DaemonConfig {
    /// Name of this instance, unique in the cluster.
    pub name: String,
    /// Availability zone of this instance.
    pub zone: String,
    /// Folder for the log and snapshots; without one the instance never votes.
    pub data: Option<PathBuf>,
    /// Address at which other daemons reach this one.
    pub peers: SocketAddr,
    /// Peer addresses of some daemons, from which the others are discovered.
    pub seeds: Vec<SocketAddr>,
    /// Listening address for callers and trainers.
    pub callers: SocketAddr,
    /// Listening address for the announcements of targets.
    pub targets: SocketAddr,
    /// Listening address for operators, metrics and health checks.
    pub operators: SocketAddr,
    /// Key by which daemons authenticate each other; the same on all of them.
    pub cluster_key: SecretKey,
    /// Key that operators must send with their requests.
    pub operator_key: SecretKey,
    /// Name of the instance that bootstraps the consensus group on the first start of the
    /// cluster; empty if none does.
    pub founder: String,
    /// Number of voters that the group maintains: 1, 3 or 5.
    pub voters: usize,
    /// Time without contact after which a voter is replaced, in milliseconds.
    pub voter_lost_ms: u64,
    /// Address of the platform that gets orders and usage reports; without one none are sent.
    pub platform: Option<SocketAddr>,
    /// Length of a usage window, in milliseconds.
    pub window_ms: u64,
    /// Time for which the demand must have been lower before targets are released, in
    /// milliseconds.
    pub shrink_ms: u64,
    /// Time between the end of readiness and the close of the listener for callers, in
    /// milliseconds, in which load balancers notice that the instance isn't ready.
    pub drain_ms: u64,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Least severe level of log lines that is written.
    pub log_level: LogLevel,
    /// Number of threads that handle traffic; the control thread is an additional one.
    pub threads: usize,
}

/// A secret key read from a file; its debug output doesn't show it.
#[derive(Clone)]
pub struct SecretKey(Bytes);

impl SecretKey {
    /// Creates a key from the content of its file, without leading and trailing white space.
    pub fn new(content: &[u8]) -> Self {
        Self(Bytes::copy_from_slice(content.trim_ascii()))
    }

    /// Returns the secret itself, for hashing and authentication.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }
}

impl std::fmt::Debug for SecretKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SecretKey(…)")
    }
}
