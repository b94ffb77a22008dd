//! Folder of a test with processes, whose logs outlive a failure.

use std::path::Path;
use std::thread;

use tempfile::TempDir;

/// Temporary folder that is removed when it is dropped, unless the test has failed.
#[derive(Debug)]
pub struct TestFolder {
    folder: TempDir,
}

impl TestFolder {
    /// Creates a folder.
    ///
    /// # Panics
    ///
    /// Panics if the folder can't be created.
    pub fn create() -> Self {
        let folder = tempfile::tempdir().expect("temporary folder can be created");
        Self { folder }
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        self.folder.path()
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        if thread::panicking() {
            self.folder.disable_cleanup(true);
            eprintln!("the processes' logs are kept in {}", self.path().display());
        }
    }
}
