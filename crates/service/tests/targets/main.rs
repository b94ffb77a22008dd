//! Integration tests of forwarded requests and item runs against faulty stub targets.

#[path = "../common/mod.rs"]
mod common;
mod forward;
mod group;
mod readers;
mod relay;
mod run;
mod stored;
mod support;
