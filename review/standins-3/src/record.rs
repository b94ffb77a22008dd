//! What was sent, answered and run, with the time since the start of the case in milliseconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            start: Instant::now(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn say(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", self.now_ms(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        // A record that can't be written shows in its length.
        file.write_all(line.as_bytes()).ok();
        print!("{line}");
    }
}
