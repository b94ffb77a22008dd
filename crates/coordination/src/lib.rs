//! Coordination primitives for services that need agreement without an external store.
//!
//! Every module is a state machine without I/O: the caller passes in the current time
//! and the incoming messages, and carries out the returned actions. The crate opens no
//! sockets or files and reads no clock, so a test can replay any failure.
//!
//! - [`consensus`]: a Raft log with pre-vote, check-quorum, snapshots, single-step
//!   membership changes and a leader lease.
//! - [`ledger`]: a budget of slots that many holders share under leases.
//! - [`freshness`]: how long a follower may act on its view of the state, and when a
//!   change has taken effect on every follower.
//! - [`repair`]: the membership changes that replace lost voters.
//! - [`ident`]: IDs of data folders and of process runs.
//! - [`clock`]: timestamps and clocks that the caller supplies.
//! - [`chart`]: state machines defined in text files.
//!
//! `examples/embed.rs` runs a group of three nodes in one process.

pub mod chart;
pub mod clock;
pub mod consensus;
pub mod freshness;
pub mod ident;
pub mod ledger;
pub mod repair;
