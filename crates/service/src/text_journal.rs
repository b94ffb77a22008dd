//! Journal of partial texts on disk, so that items resume after all keepers have restarted.
//!
//! A thread of its own writes it, since a disk may stall. If the thread falls behind, or a write
//! fails, the journal begins anew with all texts; meanwhile the texts are in memory alone.

use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use bytes::Bytes;

use crate::texts::TextDelta;
use crate::texts::TextStore;
use bergamotlane_storage::RecordJournal;
use bergamotlane_wire::codec;

/// Size from which on the journal begins a new file, in bytes.
const MAX_FILE_BYTES: usize = 6 * 1024 * 1024;

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

/// Handle on the thread that writes the journal.
#[derive(Debug)]
pub struct TextJournal {
    writes: SyncSender<JournalWrite>,
    /// Size of the current file, in bytes; `None` if the next write must begin a new one.
    file_bytes: Option<usize>,
    /// Set by the thread after a failed write.
    has_failed: Arc<AtomicBool>,
}

impl TextJournal {
    /// Opens the journal in a data folder. Returns it with the additions to texts that it holds,
    /// oldest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn open(data: &Path) -> io::Result<(Self, Vec<TextDelta>)> {
        let (journal, payloads) = RecordJournal::open(&data.join(JOURNAL_NAME));
        let mut deltas = Vec::new();
        for payload in payloads {
            match codec::decode::<Vec<TextDelta>>(&payload) {
                Ok(decoded) => deltas.extend(decoded),
                Err(error) => {
                    spdlog::warn!("texts: undecodable record skipped", kv: { error = error.to_string() });
                }
            }
        }
        let (writes, queue) = sync_channel(MAX_QUEUED_WRITES);
        let has_failed = Arc::new(AtomicBool::new(false));
        let failed = Arc::clone(&has_failed);
        thread::Builder::new()
            .name("texts".to_owned())
            .spawn(move || write_all(journal, &queue, &failed))?;
        let journal = Self {
            writes,
            file_bytes: None,
            has_failed,
        };
        Ok((journal, deltas))
    }

    /// Queues additions that `texts` contains already. Never blocks; what does not fit into the
    /// queue is written with a later call.
    pub fn append(&mut self, deltas: &[TextDelta], texts: &TextStore) {
        if self.has_failed.swap(false, Ordering::Relaxed) {
            self.file_bytes = None;
        }
        let file_bytes = self.file_bytes.filter(|it| *it < MAX_FILE_BYTES);
        let (write, length) = match file_bytes {
            Some(file_bytes) => {
                let payload = codec::encode(&deltas);
                let length = file_bytes + payload.len();
                (JournalWrite::Append(payload), length)
            }
            None => {
                let payload = codec::encode(&texts.all_deltas());
                let length = payload.len();
                (JournalWrite::Begin(payload), length)
            }
        };
        self.file_bytes = self.writes.try_send(write).is_ok().then_some(length);
    }
}

/// Carries out writes until the journal's handle is dropped.
fn write_all(mut journal: RecordJournal, queue: &Receiver<JournalWrite>, failed: &AtomicBool) {
    while let Ok(write) = queue.recv() {
        let written = match write {
            JournalWrite::Begin(payload) => journal.begin(&payload),
            JournalWrite::Append(payload) => journal.append(&payload),
        };
        if let Err(error) = written {
            spdlog::warn!("texts: journal could not be written", kv: { error = error.to_string() });
            failed.store(true, Ordering::Relaxed);
        }
    }
}
