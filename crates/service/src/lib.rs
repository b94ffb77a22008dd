//! A rollout service over a replicated store of batch jobs.
//!
//! Entries take callers' requests. Keepers hold the state by consensus; their leader knows the
//! targets, runs the items of batch jobs, gives orders and reports usage. What an entry needs
//! to know it gets from the leader's view. An adapter brings a deployment's protocols.

pub mod choice;
pub mod dialect;
mod engine_load;
pub mod entry;
pub mod events;
pub mod forward;
pub mod frames;
pub mod jobs;
pub mod keeper;
pub mod leader_client;
pub mod link;
pub mod load_order;
pub mod logs;
pub mod metrics;
pub mod order;
mod parts;
pub mod payload;
pub mod plan;
pub mod pool;
pub mod registry;
pub mod run;
pub mod schedule;
pub mod state;
pub mod texts;
pub mod usage;
pub mod weights;
pub mod work;
