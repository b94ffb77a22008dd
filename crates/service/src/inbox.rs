//! Bound on the frames that were received, wholly or in part, and have not been handled yet.
//!
//! A reader takes permits for the bytes of a frame before it reads on, and the frame's handler gives
//! them back. Keepers have a pool of their own, so that what others send can't hold up consensus
//! messages and heartbeats. A frame in several parts takes a pool's only place for such frames before
//! its first permit: it can then only wait for frames that are whole, so readers never wait for one
//! another.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Memory that a frame takes in addition to its bytes until it is handled, in bytes. It also bounds the
/// number of frames that are handled before the next one of a keeper.
const FRAME_OVERHEAD_BYTES: usize = 2 * 1024;

/// Permits for the bytes of a frame, returned when it is dropped.
#[derive(Debug)]
pub struct FrameReceipt {
    /// `None` for a frame that was not charged.
    _permit: Option<OwnedSemaphorePermit>,
}

/// Permits for the frames from one kind of peer.
#[derive(Debug)]
pub(crate) struct FramePool {
    limit_bytes: usize,
    /// Whether a frame above the limit is received once it has all permits; otherwise it is skipped.
    takes_longer: bool,
    bytes: Arc<Semaphore>,
    /// The place for a frame in several parts.
    long_frame: Arc<Semaphore>,
}

/// Permits of a frame that is being received.
#[derive(Debug)]
pub(crate) struct FrameIntake<'a> {
    pool: &'a FramePool,
    held_bytes: usize,
    permit: Option<OwnedSemaphorePermit>,
    long_frame: Option<OwnedSemaphorePermit>,
}

impl FramePool {
    pub(crate) fn new(limit_bytes: usize, takes_longer: bool) -> Self {
        let limit_bytes = limit_bytes
            .min(Semaphore::MAX_PERMITS)
            .min(u32::MAX as usize);
        Self {
            limit_bytes,
            takes_longer,
            bytes: Arc::new(Semaphore::new(limit_bytes)),
            long_frame: Arc::new(Semaphore::new(1)),
        }
    }

    /// Returns whether a frame above the limit is received all the same.
    pub(crate) fn takes_longer(&self) -> bool {
        self.takes_longer
    }

    /// Returns the size of what was received and is not handled yet, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.limit_bytes - self.bytes.available_permits()
    }

    /// Begins a frame.
    pub(crate) fn begin(&self) -> FrameIntake<'_> {
        FrameIntake {
            pool: self,
            held_bytes: 0,
            permit: None,
            long_frame: None,
        }
    }
}

impl FrameIntake<'_> {
    /// Waits for the place of a frame in several parts. Must be called before the first permits are
    /// taken.
    pub(crate) async fn begin_parts(&mut self) {
        if self.long_frame.is_none() {
            // The semaphore is never closed.
            let place = Arc::clone(&self.pool.long_frame);
            self.long_frame = place.acquire_owned().await.ok();
        }
    }

    /// Waits for permits for the next bytes of the frame. Returns false if the frame is longer than
    /// the pool allows; its permits are returned then.
    pub(crate) async fn take(&mut self, bytes: usize) -> bool {
        let overhead = match self.permit {
            Some(_) => 0,
            None => FRAME_OVERHEAD_BYTES,
        };
        let wanted = self.held_bytes + bytes + overhead;
        if wanted > self.pool.limit_bytes && !self.pool.takes_longer {
            self.permit = None;
            self.long_frame = None;
            self.held_bytes = 0;
            return false;
        }
        let added = wanted.min(self.pool.limit_bytes) - self.held_bytes;
        let source = Arc::clone(&self.pool.bytes);
        // The semaphore is never closed, and the limit fits into 32 bits.
        let Ok(permit) = source.acquire_many_owned(added as u32).await else {
            return false;
        };
        self.held_bytes += added;
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
        true
    }

    /// Ends the frame and returns its permits, which its handler gives back.
    pub(crate) fn finish(self) -> FrameReceipt {
        FrameReceipt {
            _permit: self.permit,
        }
    }
}

/// Bound on what all links of a process have received and not handled yet.
#[derive(Debug)]
pub(crate) struct InboxBudget {
    keepers: FramePool,
    others: FramePool,
}

impl InboxBudget {
    /// Returns a bound of `limit_bytes`, half of it for keepers.
    ///
    /// Frames of keepers above that are received one at a time, since replication must not stop at a
    /// large entry or at the snapshot of an older build.
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            keepers: FramePool::new(limit_bytes / 2, true),
            others: FramePool::new(limit_bytes / 2, false),
        }
    }

    /// Returns the size of the longest frame that others than keepers may send, in bytes.
    pub(crate) fn max_frame_bytes(&self) -> usize {
        self.others.limit_bytes.saturating_sub(FRAME_OVERHEAD_BYTES)
    }

    /// Returns the pool of a peer.
    pub(crate) fn pool(&self, is_keeper: bool) -> &FramePool {
        match is_keeper {
            true => &self.keepers,
            false => &self.others,
        }
    }

    /// Returns the size of what was received and is not handled yet, in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        self.keepers.held_bytes() + self.others.held_bytes()
    }
}
