//! Decisions of the rollout service as state machines without I/O.
//!
//! - [`plan`]: the operators' plan and the sheet that carries it.
//! - [`control`]: the replicated control state: configuration, usage, orders, claims and
//!   rollouts.
//! - [`targets`]: the registry of targets, the choice among them, weight roll-out and
//!   target counts.
//! - [`route`]: the view that traffic reads: keys, customers, services.
//! - [`fair`]: the fair queue of an entry.
//! - [`retry`]: retry budgets and backoff.
//! - [`meter`]: an entry's usage increments.
//! - [`arrival`]: arrival rates.

pub mod arrival;
pub mod control;
pub mod fair;
pub mod finding;
pub mod meter;
pub mod plan;
pub mod retry;
pub mod route;
pub mod targets;
