//! Bound on the frames that were received, wholly or in part, and have not been handled yet.
//!
//! A reader takes permits for the bytes of a frame before it reads on, and the frame's handler gives
//! them back. Keepers have a pool of their own, so that what others send can't hold up consensus
//! messages and heartbeats.
//!
//! A frame in several parts takes one of a pool's places for such frames, and permits for a stated size,
//! before its first part. Only one frame at a time may grow beyond that size, and the permits of the
//! other places are never part of what it may take: readers never wait for one another.

use std::sync::Arc;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Memory that a frame takes in addition to its bytes until it is handled, in bytes. It also bounds the
/// number of frames that are handled before the next one of a keeper.
const FRAME_OVERHEAD_BYTES: usize = 2 * 1024;

/// Number of frames in several parts that a pool receives at the same time.
const LONG_FRAMES: usize = 4;

/// Part of a pool that is set aside for each of them.
const PLACE_DIVISOR: usize = 2 * LONG_FRAMES;

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
    /// Places for frames in several parts.
    long_frames: Arc<Semaphore>,
    /// The place for a frame that outgrows the permits of its place.
    longest_frame: Arc<Semaphore>,
}

/// Permits of a frame that is being received.
#[derive(Debug)]
pub(crate) struct FrameIntake<'a> {
    pool: &'a FramePool,
    /// Size of the frame as far as it was received, with its overhead, in bytes.
    used_bytes: usize,
    /// Size of the permits that it holds, in bytes.
    held_bytes: usize,
    permit: Option<OwnedSemaphorePermit>,
    long_frame: Option<OwnedSemaphorePermit>,
    longest_frame: Option<OwnedSemaphorePermit>,
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
            long_frames: Arc::new(Semaphore::new(LONG_FRAMES)),
            longest_frame: Arc::new(Semaphore::new(1)),
        }
    }

    /// Returns the size that is set aside for a frame in several parts, in bytes.
    fn place_bytes(&self) -> usize {
        self.limit_bytes / PLACE_DIVISOR
    }

    /// Returns the largest size of the permits that one frame holds, in bytes.
    fn max_held_bytes(&self) -> usize {
        self.limit_bytes - (LONG_FRAMES - 1) * self.place_bytes()
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
            used_bytes: 0,
            held_bytes: 0,
            permit: None,
            long_frame: None,
            longest_frame: None,
        }
    }
}

impl FrameIntake<'_> {
    /// Waits for a place for a frame in several parts. Must be called before the first permits are
    /// taken.
    pub(crate) async fn begin_parts(&mut self) {
        if self.long_frame.is_some() {
            return;
        }
        // The semaphores are never closed.
        let place = Arc::clone(&self.pool.long_frames);
        self.long_frame = place.acquire_owned().await.ok();
        self.hold(self.pool.place_bytes()).await;
    }

    /// Waits for permits for the next bytes of the frame. Returns false if the frame is longer than
    /// the pool allows; its permits are returned then.
    pub(crate) async fn take(&mut self, bytes: usize) -> bool {
        if self.used_bytes == 0 {
            self.used_bytes = FRAME_OVERHEAD_BYTES;
        }
        self.used_bytes += bytes;
        let max_held_bytes = self.pool.max_held_bytes();
        if self.used_bytes > max_held_bytes && !self.pool.takes_longer {
            *self = self.pool.begin();
            return false;
        }
        let wanted = self.used_bytes.min(max_held_bytes);
        if wanted <= self.held_bytes {
            return true;
        }
        if self.long_frame.is_some() && self.longest_frame.is_none() {
            let place = Arc::clone(&self.pool.longest_frame);
            self.longest_frame = place.acquire_owned().await.ok();
        }
        self.hold(wanted).await;
        true
    }

    /// Waits until the frame holds permits for this many bytes.
    async fn hold(&mut self, wanted: usize) {
        let added = wanted.saturating_sub(self.held_bytes);
        let source = Arc::clone(&self.pool.bytes);
        // The semaphore is never closed, and the limit fits into 32 bits.
        let Ok(permit) = source.acquire_many_owned(added as u32).await else {
            return;
        };
        self.held_bytes += added;
        match &mut self.permit {
            Some(held) => held.merge(permit),
            None => self.permit = Some(permit),
        }
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
        let held_bytes = self.others.max_held_bytes();
        held_bytes.saturating_sub(FRAME_OVERHEAD_BYTES)
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
