//! Journal of partial texts on disk, so that items resume after all keepers have restarted.
//!
//! A thread of its own writes it, since a disk may stall. If the thread falls behind, or a write
//! fails, the journal begins anew with all texts; meanwhile the texts are in memory alone.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;

use bytes::Bytes;

use crate::texts::TextDelta;
use crate::texts::TextStore;
use bergamotlane_storage::RecordJournal;
use bergamotlane_wire::codec;

/// Size from which on the journal begins a new file, in bytes, unless all texts are longer.
const MAX_FILE_BYTES: usize = 6 * 1024 * 1024;

/// Largest size of the additions that wait for the disk, in bytes. A single larger one may wait alone.
const MAX_QUEUED_BYTES: usize = 2 * 1024 * 1024;

/// Largest number of writes that wait for the disk.
const MAX_QUEUED_WRITES: usize = 4;

/// Name of the journal in the data folder, without the extension.
const JOURNAL_NAME: &str = "texts";

/// Write that the thread carries out.
#[derive(Debug)]
enum JournalWrite {
    /// Begin a new file with these texts.
    Begin(Bytes),
    /// Append additions to the texts.
    Append(Bytes),
}

/// What waits for the disk.
#[derive(Debug, Default)]
struct QueuedWrites {
    /// Number of files to begin.
    begins: AtomicUsize,
    /// Size of the additions, in bytes.
    added_bytes: AtomicUsize,
}

impl QueuedWrites {
    /// Counts a write. Returns false if too much waits already.
    fn add(&self, write: &JournalWrite) -> bool {
        match write {
            JournalWrite::Begin(_) => self.begins.fetch_add(1, Ordering::Relaxed) == 0,
            JournalWrite::Append(payload) => {
                let before = self.added_bytes.fetch_add(payload.len(), Ordering::Relaxed);
                before == 0 || before + payload.len() <= MAX_QUEUED_BYTES
            }
        }
    }

    /// Removes a write that was carried out or not queued.
    fn remove(&self, write: &JournalWrite) {
        match write {
            JournalWrite::Begin(_) => self.begins.fetch_sub(1, Ordering::Relaxed),
            JournalWrite::Append(payload) => {
                self.added_bytes.fetch_sub(payload.len(), Ordering::Relaxed)
            }
        };
    }
}

impl JournalWrite {
    /// Returns the size of the record, in bytes.
    fn len(&self) -> usize {
        match self {
            Self::Begin(payload) | Self::Append(payload) => payload.len(),
        }
    }
}

/// What was read of a journal when it was opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct JournalReadSize {
    /// Number of records.
    pub records: u64,
    /// Size of the records, in bytes.
    pub bytes: u64,
    /// Number of records that were passed over, since they are too long.
    pub skipped: u64,
}

/// Handle on the thread that writes the journal.
#[derive(Debug)]
pub struct TextJournal {
    writes: SyncSender<JournalWrite>,
    queued: Arc<QueuedWrites>,
    /// Size of the current file, in bytes; `None` if the next write must begin a new one.
    file_bytes: Option<usize>,
    /// Size from which on a new file begins, in bytes.
    begin_bytes: usize,
    /// Set by the thread after a failed write.
    has_failed: Arc<AtomicBool>,
    read: JournalReadSize,
}

impl TextJournal {
    /// Opens the journal in a data folder. Passes the additions to texts that it holds to `apply`,
    /// oldest first; only one record at a time is held in memory, and none of more than
    /// `max_record_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn open(
        data: &Path,
        max_record_bytes: usize,
        mut apply: impl FnMut(TextDelta),
    ) -> io::Result<Self> {
        let base = data.join(JOURNAL_NAME);
        let (journal, mut payloads) = RecordJournal::open(&base, max_record_bytes);
        let mut read = JournalReadSize::default();
        for payload in payloads.by_ref() {
            read.records += 1;
            read.bytes += payload.len() as u64;
            match codec::decode::<Vec<TextDelta>>(&payload) {
                Ok(deltas) => deltas.into_iter().for_each(&mut apply),
                Err(error) => {
                    spdlog::warn!("texts: undecodable record skipped", kv: { error = error.to_string() });
                }
            }
        }
        read.skipped = payloads.skipped();
        let (writes, queue) = sync_channel(MAX_QUEUED_WRITES);
        let has_failed = Arc::new(AtomicBool::new(false));
        let queued = Arc::<QueuedWrites>::default();
        let failed = Arc::clone(&has_failed);
        let waiting = Arc::clone(&queued);
        thread::Builder::new()
            .name("texts".to_owned())
            .spawn(move || write_all(journal, &queue, &waiting, &failed))?;
        Ok(Self {
            writes,
            queued,
            file_bytes: None,
            begin_bytes: MAX_FILE_BYTES,
            has_failed,
            read,
        })
    }

    /// Returns what was read of the journal when it was opened.
    pub fn read_size(&self) -> JournalReadSize {
        self.read
    }

    /// Queues additions that `texts` contains already. Never blocks; what does not fit into the
    /// queue is written with a later call.
    pub fn append(&mut self, deltas: &[TextDelta], texts: &TextStore) {
        if self.has_failed.swap(false, Ordering::Relaxed) {
            self.file_bytes = None;
        }
        let file_bytes = self.file_bytes.filter(|it| *it < self.begin_bytes);
        let write = match file_bytes {
            Some(_) => JournalWrite::Append(codec::encode(&deltas)),
            // There must only be one copy of all texts.
            None if self.queued.begins.load(Ordering::Relaxed) > 0 => {
                self.file_bytes = None;
                return;
            }
            None => JournalWrite::Begin(codec::encode(&texts.all_deltas())),
        };
        if file_bytes.is_none() {
            self.begin_bytes = MAX_FILE_BYTES.max(2 * write.len());
        }
        let length = write.len();
        let fits = self.queued.add(&write);
        let refused = match fits {
            true => refused_write(self.writes.try_send(write)),
            false => Some(write),
        };
        if let Some(write) = &refused {
            self.queued.remove(write);
        }
        let file_length = file_bytes.unwrap_or(0) + length;
        self.file_bytes = refused.is_none().then_some(file_length);
    }
}

/// Returns the write that did not fit into the queue, if any.
fn refused_write(result: Result<(), TrySendError<JournalWrite>>) -> Option<JournalWrite> {
    match result {
        Ok(()) => None,
        Err(TrySendError::Full(write) | TrySendError::Disconnected(write)) => Some(write),
    }
}

/// Carries out writes until the journal's handle is dropped.
fn write_all(
    mut journal: RecordJournal,
    queue: &Receiver<JournalWrite>,
    queued: &QueuedWrites,
    failed: &AtomicBool,
) {
    while let Ok(write) = queue.recv() {
        let written = match &write {
            JournalWrite::Begin(payload) => journal.begin(payload),
            JournalWrite::Append(payload) => journal.append(payload),
        };
        queued.remove(&write);
        if let Err(error) = written {
            spdlog::warn!("texts: journal could not be written", kv: { error = error.to_string() });
            failed.store(true, Ordering::Relaxed);
        }
    }
}
