//! Policy of the rollout service: routing, limits, usage and rollouts, without I/O.
//!
//! An *entry* is a process that accepts requests and forwards them to targets. A *target*
//! is a server of one service, such as a model engine. A *process run* is one start of a
//! process, identified by a `RunId`.
//!
//! - [`plan`]: the operators' plan, and its CSV form, the plan sheet.
//! - [`control`]: the replicated control state: configuration, usage, orders, claims and
//!   rollouts.
//! - [`targets`]: target registry, target selection, weight updates and target counts.
//! - [`route`]: the routing table of an entry: keys, customers and services.
//! - [`fair`]: the fair request queue of an entry.
//! - [`rate`]: limits that targets name for the rate of their requests.
//! - [`cold`]: what a cold target may get from all senders together.
//! - [`retry`]: retry budget and backoff.
//! - [`suspect`]: requests under which targets crashed.
//! - [`meter`]: usage counted at an entry and sent in numbered increments.
//! - [`admission`]: whether a batch job fits into disk and memory.
//! - [`arrival`]: arrival rates.
//! - [`finding`]: validation errors with their position in the input.

pub mod admission;
pub mod arrival;
pub mod cold;
pub mod control;
pub mod fair;
pub mod finding;
pub mod meter;
pub mod plan;
pub mod rate;
pub mod retry;
pub mod route;
pub mod suspect;
pub mod targets;
