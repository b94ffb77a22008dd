//! Stand-ins for the systems around bergamotlane, for tests, demonstrations and
//! measurements.
//!
//! Each stand-in is a small HTTP server with the published interface of the real system.
//! A request to `/faults` makes a target inject faults. The executables are the package's
//! examples.

pub mod announce;
pub mod arguments;
pub mod engine;
pub mod faults;
pub mod folder;
pub mod plain;
pub mod platform;
pub mod reply;
pub mod weights;
