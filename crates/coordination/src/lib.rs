//! Coordination parts for services that must agree without an outside store.
//!
//! Every part is a state machine without I/O: the caller passes the time and the
//! messages in, and carries out what comes back. The crate opens no socket or file
//! and reads no clock, so any failure can be replayed in a test.
//!
//! - [`consensus`]: a replicated log with pre-vote, check-quorum, snapshots,
//!   single-step membership changes and a leader lease.
//! - [`ledger`]: one budget of slots shared by many holders under leases.
//! - [`freshness`]: how long a follower may trust its view, and from when a change
//!   holds on every follower.
//! - [`repair`]: the next membership change that brings a group back to strength.
//! - [`ident`]: identities of data folders and of process runs.
//! - [`chart`]: an interpreter for state charts kept in text files.
//!
//! `examples/embed.rs` runs a group of three nodes and asks the leader for its lease.

pub mod chart;
pub mod clock;
pub mod consensus;
pub mod freshness;
pub mod ident;
pub mod ledger;
pub mod repair;
