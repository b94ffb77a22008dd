//! Serialised types.
//!
//! Daemons exchange CBOR with one another and store it in their logs; HTTP clients see JSON.
//! Domain types don't implement `Serialize` themselves. Each has a wire type, with a `From`
//! conversion to it and a `TryFrom` conversion back, which rejects values that the domain type
//! doesn't allow.
//!
//! - [`answer_status`] tells which status ends a request.
//! - [`body_end`] tells what ended the body of an answer.
//! - [`codec`] encodes and decodes CBOR.
//! - [`mirror`] defines wire types and their conversions.
//! - [`peer`] has the messages that daemons exchange.
//! - [`http`] has the JSON bodies of the HTTP interfaces.

pub mod answer_status;
pub mod body_end;
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
