//! Journal of records of which the latest ones are worth keeping but none is indispensable.
//!
//! A journal alternates between two files. Each begins with its generation, so that the newer one
//! is known after a restart. What follows a torn or damaged record is ignored.

use std::collections::VecDeque;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use bytes::Bytes;

use crate::file::sync_parent;
use crate::record;
use crate::record::NextRecord;

/// Extensions of the two files.
const EXTENSIONS: [&str; 2] = ["0", "1"];

/// Journal that is open for appending.
#[derive(Debug)]
pub struct RecordJournal {
    base: PathBuf,
    generation: u64,
    /// File of the generation; `None` until the first record is written.
    file: Option<File>,
}

impl RecordJournal {
    /// Opens the journal whose files are `base` with an extension. Returns it with the payloads of
    /// all intact records, oldest first, which must be read before the journal is written. Records
    /// with more than `max_bytes` are passed over.
    pub fn open(base: &Path, max_bytes: usize) -> (Self, JournalRecords) {
        let mut files: Vec<(u64, BufReader<File>)> = EXTENSIONS
            .iter()
            .filter_map(|it| open_generation(&base.with_extension(it)))
            .collect();
        files.sort_by_key(|(generation, _)| *generation);
        let journal = Self {
            base: base.to_owned(),
            generation: files.last().map_or(0, |(generation, _)| *generation),
            file: None,
        };
        let files = files.into_iter().map(|(_, file)| file).collect();
        let records = JournalRecords {
            files,
            max_bytes,
            skipped: 0,
        };
        (journal, records)
    }

    /// Begins the next generation with a record, which replaces the generation before the last.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be written or synced; the next record must begin another
    /// generation.
    pub fn begin(&mut self, payload: &[u8]) -> io::Result<()> {
        self.file = None;
        self.generation += 1;
        let extension = EXTENSIONS[(self.generation % 2) as usize];
        let path = self.base.with_extension(extension);
        let mut file = File::create(&path)?;
        file.write_all(&record::frame(&self.generation.to_le_bytes()))?;
        file.write_all(&record::frame(payload))?;
        file.sync_all()?;
        sync_parent(&path)?;
        self.file = Some(file);
        Ok(())
    }

    /// Appends a record to the current generation and makes it durable.
    ///
    /// # Errors
    ///
    /// Returns an error if no generation has begun, or if the file can't be written or synced; the
    /// next record must begin another generation.
    pub fn append(&mut self, payload: &[u8]) -> io::Result<()> {
        let Some(mut file) = self.file.take() else {
            return Err(io::ErrorKind::NotFound.into());
        };
        file.write_all(&record::frame(payload))?;
        file.sync_data()?;
        self.file = Some(file);
        Ok(())
    }
}

/// Opens a file of a journal and reads its generation; the payloads follow.
fn open_generation(path: &Path) -> Option<(u64, BufReader<File>)> {
    let mut reader = BufReader::new(File::open(path).ok()?);
    let first = record::read_within(&mut reader, size_of::<u64>()).ok()?;
    let NextRecord::Payload(generation) = first else {
        return None;
    };
    let generation = u64::from_le_bytes(generation.try_into().ok()?);
    Some((generation, reader))
}

/// Payloads of a journal's records, read from its files one by one.
#[derive(Debug)]
pub struct JournalRecords {
    /// Files that were not read to their ends, oldest generation first.
    files: VecDeque<BufReader<File>>,
    /// Size of the longest payload that is read, in bytes.
    max_bytes: usize,
    /// Number of records that were too long.
    skipped: u64,
}

impl JournalRecords {
    /// Returns the number of records that were passed over so far, since they were too long.
    pub fn skipped(&self) -> u64 {
        self.skipped
    }
}

impl Iterator for JournalRecords {
    type Item = Bytes;

    fn next(&mut self) -> Option<Bytes> {
        while let Some(file) = self.files.front_mut() {
            match record::read_within(file, self.max_bytes) {
                Ok(NextRecord::Payload(payload)) => return Some(Bytes::from(payload)),
                Ok(NextRecord::TooLong) => self.skipped += 1,
                Ok(NextRecord::End) | Err(_) => {
                    self.files.pop_front();
                }
            }
        }
        None
    }
}
