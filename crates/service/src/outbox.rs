//! Queues of the frames that wait to be sent, bounded in bytes for each link and for all together.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use tokio::sync::Notify;

/// Largest size of the frames that wait on a link, in bytes. A single larger frame may wait behind
/// small ones.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// Largest size of the frames behind which a larger frame may wait, in bytes.
const MAX_AHEAD_BYTES: usize = 512 * 1024;

/// Account of the frames that wait on all links of a process. A frame that waits on several links
/// counts once, since they share its memory.
#[derive(Debug)]
pub(crate) struct OutboxBudget {
    limit_bytes: usize,
    held_bytes: Arc<AtomicUsize>,
    /// The frame that was charged last, by its address, with its charge.
    last: Mutex<Option<(usize, Weak<FrameCharge>)>>,
}

/// Part of the account that a frame takes until it is sent or dropped everywhere.
#[derive(Debug)]
struct FrameCharge {
    bytes: usize,
    held_bytes: Arc<AtomicUsize>,
}

impl Drop for FrameCharge {
    fn drop(&mut self) {
        self.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl OutboxBudget {
    /// Returns an account of which `limit_bytes` may be held.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            held_bytes: Arc::default(),
            last: Mutex::default(),
        }
    }

    /// Returns the size of all frames that wait, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns the size that may be held, in bytes.
    pub(crate) fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// Returns the charge of a frame, which is that of the last frame if both share their memory: as
    /// long as a charge exists, so does its frame.
    fn charge(&self, frame: &Bytes) -> Arc<FrameCharge> {
        let address = frame.as_ptr() as usize;
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let known = last.as_ref().filter(|(it, _)| *it == address);
        let known = known.and_then(|(_, charge)| charge.upgrade());
        if let Some(charge) = known.filter(|it| it.bytes == frame.len()) {
            return charge;
        }
        self.held_bytes.fetch_add(frame.len(), Ordering::Relaxed);
        let charge = Arc::new(FrameCharge {
            bytes: frame.len(),
            held_bytes: Arc::clone(&self.held_bytes),
        });
        *last = Some((address, Arc::downgrade(&charge)));
        charge
    }
}

/// Frame with its charge.
#[derive(Debug)]
struct ChargedFrame {
    bytes: Bytes,
    charge: Arc<FrameCharge>,
}

#[derive(Debug, Default)]
struct QueueState {
    frames: VecDeque<ChargedFrame>,
    /// Size of the frames that wait, in bytes.
    waiting_bytes: usize,
    /// Charge of the frame that is being sent.
    sending: Option<Arc<FrameCharge>>,
    /// Whether one of the halves is gone.
    is_closed: bool,
}

#[derive(Debug, Default)]
struct QueueShared {
    state: Mutex<QueueState>,
    /// Notified when a frame is queued or the queue is closed.
    changed: Notify,
    /// Notified when the link must end at once.
    cut: Notify,
}

impl QueueShared {
    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn close(&self, drops_frames: bool) {
        let mut state = self.state();
        state.is_closed = true;
        if drops_frames {
            state.frames.clear();
            state.waiting_bytes = 0;
            state.sending = None;
        }
        drop(state);
        self.changed.notify_one();
    }
}

/// Sending half of a queue of frames.
#[derive(Debug)]
pub(crate) struct FrameSender {
    shared: Arc<QueueShared>,
    budget: Arc<OutboxBudget>,
}

/// Receiving half of a queue of frames.
#[derive(Debug)]
pub(crate) struct FrameQueue {
    shared: Arc<QueueShared>,
}

/// Handle that tells when the link of a queue must end at once.
#[derive(Debug)]
pub(crate) struct CutSignal {
    shared: Arc<QueueShared>,
}

/// Returns the two halves of an empty queue whose frames are charged to `budget`.
pub(crate) fn frame_queue(budget: &Arc<OutboxBudget>) -> (FrameSender, FrameQueue) {
    let shared = Arc::<QueueShared>::default();
    let sender = FrameSender {
        shared: Arc::clone(&shared),
        budget: Arc::clone(budget),
    };
    (sender, FrameQueue { shared })
}

/// Reason why a frame was not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueFailure {
    /// The peer doesn't read what was sent before.
    Full,
    /// The link has ended.
    Closed,
}

impl FrameSender {
    /// Queues a frame.
    pub(crate) fn send(&self, frame: Bytes) -> Result<(), QueueFailure> {
        let length = frame.len();
        let mut state = self.shared.state();
        if state.is_closed {
            return Err(QueueFailure::Closed);
        }
        let is_full = state.waiting_bytes + length > MAX_QUEUED_BYTES;
        if is_full && state.waiting_bytes > MAX_AHEAD_BYTES {
            return Err(QueueFailure::Full);
        }
        let charge = self.budget.charge(&frame);
        state.waiting_bytes += length;
        state.frames.push_back(ChargedFrame {
            bytes: frame,
            charge,
        });
        drop(state);
        self.shared.changed.notify_one();
        Ok(())
    }

    /// Returns the size of the frames that wait or are being sent, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        let state = self.shared.state();
        state.waiting_bytes + state.sending.as_ref().map_or(0, |it| it.bytes)
    }

    /// Returns the size of the largest frame that waits or is being sent, in bytes.
    pub(crate) fn largest_bytes(&self) -> usize {
        let state = self.shared.state();
        let waiting = state.frames.iter().map(|it| it.bytes.len());
        let sending = state.sending.iter().map(|it| it.bytes);
        waiting.chain(sending).max().unwrap_or(0)
    }

    /// Drops all frames and ends the link at once.
    pub(crate) fn cut(self) {
        self.shared.close(true);
        self.shared.cut.notify_one();
    }
}

impl Drop for FrameSender {
    fn drop(&mut self) {
        self.shared.close(false);
    }
}

impl FrameQueue {
    /// Returns the handle that tells when the link must end at once.
    pub(crate) fn cut_signal(&self) -> CutSignal {
        CutSignal {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Waits for the next frame; returns `None` once the sending half is gone and all were taken. The
    /// frame taken before counts as sent.
    pub(crate) async fn recv(&mut self) -> Option<Bytes> {
        loop {
            if let Some(frame) = self.try_recv() {
                return Some(frame);
            }
            if self.shared.state().is_closed {
                return self.try_recv();
            }
            self.shared.changed.notified().await;
        }
    }

    /// Returns the next frame if one waits. The frame taken before counts as sent.
    pub(crate) fn try_recv(&mut self) -> Option<Bytes> {
        let mut state = self.shared.state();
        state.sending = None;
        let frame = state.frames.pop_front()?;
        state.waiting_bytes -= frame.bytes.len();
        state.sending = Some(frame.charge);
        Some(frame.bytes)
    }
}

impl Drop for FrameQueue {
    fn drop(&mut self) {
        self.shared.close(true);
    }
}

impl CutSignal {
    /// Waits until the link must end at once.
    pub(crate) async fn wait(&self) {
        self.shared.cut.notified().await;
    }
}
