//! Queue of the frames that wait to be sent on a link, bounded in bytes.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use tokio::sync::mpsc;

/// Largest size of the frames that wait on a link, in bytes. A single larger frame may wait alone.
const MAX_QUEUED_BYTES: usize = 4 * 1024 * 1024;

/// Sending half of a queue of frames.
#[derive(Debug)]
pub(crate) struct FrameSender {
    frames: mpsc::UnboundedSender<Bytes>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Receiving half of a queue of frames.
#[derive(Debug)]
pub(crate) struct FrameQueue {
    frames: mpsc::UnboundedReceiver<Bytes>,
    queued_bytes: Arc<AtomicUsize>,
}

/// Returns the two halves of an empty queue.
pub(crate) fn frame_queue() -> (FrameSender, FrameQueue) {
    let (sender, receiver) = mpsc::unbounded_channel();
    let queued_bytes = Arc::new(AtomicUsize::new(0));
    let sender = FrameSender {
        frames: sender,
        queued_bytes: Arc::clone(&queued_bytes),
    };
    let queue = FrameQueue {
        frames: receiver,
        queued_bytes,
    };
    (sender, queue)
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
        let before = self.queued_bytes.fetch_add(length, Ordering::Relaxed);
        if before > 0 && before + length > MAX_QUEUED_BYTES {
            self.queued_bytes.fetch_sub(length, Ordering::Relaxed);
            return Err(QueueFailure::Full);
        }
        self.frames.send(frame).map_err(|_| QueueFailure::Closed)
    }

    /// Returns the size of the frames that wait, in bytes.
    pub(crate) fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }
}

impl FrameQueue {
    fn dequeue(&self, frame: Bytes) -> Bytes {
        self.queued_bytes.fetch_sub(frame.len(), Ordering::Relaxed);
        frame
    }

    /// Waits for the next frame; returns `None` once the sending half is gone and all were taken.
    pub(crate) async fn recv(&mut self) -> Option<Bytes> {
        let frame = self.frames.recv().await?;
        Some(self.dequeue(frame))
    }

    /// Returns the next frame if one waits.
    pub(crate) fn try_recv(&mut self) -> Option<Bytes> {
        let frame = self.frames.try_recv().ok()?;
        Some(self.dequeue(frame))
    }
}
