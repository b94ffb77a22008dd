//! The data folder: identity, snapshot and log, durable once synced.

mod file;
mod folder;
mod record;
mod recovery;

#[cfg(test)]
mod tests;

pub use folder::DataFolder;
pub use folder::StorageError;
