//! Durable state of a consensus node.
//!
//! A data folder holds the node's identity, snapshots, and the log that follows the oldest of them.
//! Memory holds the youngest commands of the log, and where the others lie. The crate also provides
//! the clock that leases are measured with.

pub mod clock;
mod error;
mod file;
mod folder;
mod journal;
mod places;
mod record;
mod recovery;
mod segments;
mod snapshots;
mod voter;

#[cfg(test)]
mod tests;

pub use error::StorageError;
pub use file::load_record;
pub use file::save_record;
pub use folder::DataFolder;
pub use folder::FolderContent;
pub use folder::FolderIdentity;
pub use journal::JournalRecords;
pub use journal::RecordJournal;
pub use snapshots::SnapshotWriter;
pub use snapshots::WrittenSnapshot;
pub use voter::DiskVoter;
pub use voter::SnapshotThresholds;
