//! Wire types: CBOR between the daemon's processes and in its log, JSON towards clients.
//!
//! Domain types never serialize themselves. [`mirror`] gives each its wire form with
//! `From` and `TryFrom`; [`peer`] holds what daemons send each other, [`http`] the bodies
//! that clients see.

pub mod codec;
pub mod http;
pub mod mirror;
pub mod peer;

mod consensus;
mod control;
mod plan;
mod targets;

#[cfg(test)]
mod tests;

pub use consensus::ConsensusMessageWire;
pub use consensus::GroupMembershipWire;
pub use consensus::LogEntryWire;
pub use consensus::LogSnapshotWire;
pub use consensus::MemberRecordWire;
pub use consensus::VoteRecordWire;
pub use control::AttemptIdWire;
pub use control::BatchRecordWire;
pub use control::ChangeBodyWire;
pub use control::ControlCommandWire;
pub use control::ControlOutcomeWire;
pub use control::ControlStateWire;
pub use control::FindingWire;
pub use control::SampleKeyWire;
pub use control::UsageDeltaWire;
pub use plan::PlanSheetWire;
pub use targets::TargetAnnouncementWire;
pub use targets::TargetLifeWire;
pub use targets::TargetNameWire;
