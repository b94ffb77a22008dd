//! A rollout service over a replicated store of batch jobs.
//!
//! Entries accept callers' requests. Keepers replicate the state by consensus; their leader
//! tracks the targets, runs the items of batch jobs, orders weight versions and target counts,
//! and reports usage. The leader pushes to each entry a view with the plan and the targets that
//! the entry routes by. A [`dialect::TargetDialect`] adapts the service to the protocols of one
//! deployment.

pub mod agenda;
pub mod ages;
pub mod answer_body;
pub mod bodies;
pub mod budget;
pub mod carried;
pub mod choice;
mod closed_texts;
pub mod cold;
pub mod dialect;
pub mod directory;
mod engine_load;
mod engine_speed;
pub mod entry;
pub mod entry_shared;
pub mod events;
pub mod fleet;
pub mod forward;
pub mod frames;
pub mod group_listing;
pub mod heartbeats;
pub mod inbox;
pub mod input_order;
mod item_queue;
pub mod job_listing;
pub mod jobs;
pub mod keeper;
pub mod leader_client;
pub mod lease_watch;
pub mod leaving;
pub mod length_model;
pub mod link;
pub mod load_order;
pub mod load_report;
pub mod logs;
pub mod metrics;
pub mod migration;
pub mod order;
mod outbox;
mod parts;
pub mod payload;
pub mod payload_reads;
pub mod permits;
mod placement;
pub mod plain;
pub mod plan;
pub mod pool;
mod process_memory;
pub mod reach;
pub mod registry;
pub mod relay;
mod relay_links;
pub mod replicated_texts;
pub mod request_cost;
pub mod retention;
pub mod run;
pub mod schedule;
pub mod scoring;
mod silence;
pub mod software;
pub mod starts;
pub mod state;
pub mod streams;
pub mod suspects;
mod target_load;
pub mod text_journal;
pub mod texts;
pub mod turns;
pub mod usage;
pub mod weights;
pub mod work;
