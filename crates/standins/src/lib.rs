//! Stand-ins of the systems that bergamotlane serves, for demonstrations and measurements.
//!
//! Each is a small HTTP server that follows the published shape of the real one and
//! misbehaves on request by `/faults`. The programs are the package's examples.

pub mod announce;
pub mod arguments;
pub mod engine;
pub mod faults;
pub mod plain;
pub mod platform;
pub mod reply;
pub mod weights;
