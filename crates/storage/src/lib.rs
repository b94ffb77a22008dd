//! Durable state of a consensus node.
//!
//! A data folder holds the node's identity, its latest snapshot, and the log that follows the
//! snapshot. The crate also provides the clock that leases are measured with.

pub mod clock;
mod file;
mod folder;
mod journal;
mod record;
mod recovery;
mod voter;

#[cfg(test)]
mod tests;

pub use file::load_record;
pub use file::save_record;
pub use folder::DataFolder;
pub use folder::FolderContent;
pub use folder::FolderIdentity;
pub use folder::StorageError;
pub use journal::JournalRecords;
pub use journal::RecordJournal;
pub use voter::DiskVoter;
pub use voter::SnapshotThresholds;
