//! Budget of the bodies that requests and answers hold, over all connections of a process.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

/// Largest body that may use the part of the budget that is kept for small ones, in bytes.
pub const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Divisor of the budget that yields the part for small bodies.
const SMALL_DIVISOR: usize = 4;

/// Number of copies of a request body while it is in use: as it was read, and decoded or encoded.
const BODY_COPIES: usize = 2;

/// Largest answer that is read without waiting for room, in bytes.
const SMALL_ANSWER_BYTES: usize = 16 * 1024;

/// Permit for the copies of a body, returned when it is dropped.
#[derive(Debug)]
pub struct BodyPermit {
    permits: OwnedSemaphorePermit,
    /// Whether the permits are not from the part for small bodies.
    is_large: bool,
    bytes: usize,
}

/// Budget of request bodies that are read or in use.
#[derive(Debug)]
pub struct BodyBudget {
    small: Arc<Semaphore>,
    large: Arc<Semaphore>,
    large_bytes: usize,
}

impl BodyBudget {
    /// Returns a budget of this many bytes, a part of which is kept for small bodies.
    pub fn new(bytes: u64) -> Self {
        let bytes = bytes.min(u64::from(u32::MAX)) as usize;
        let small_bytes = bytes / SMALL_DIVISOR;
        Self {
            small: Arc::new(Semaphore::new(small_bytes)),
            large: Arc::new(Semaphore::new(bytes - small_bytes)),
            large_bytes: bytes - small_bytes,
        }
    }

    /// Returns the size of the largest body that may be held, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.large_bytes / BODY_COPIES
    }

    /// Returns a permit for a body of this size, or `None` if there is no room for it now.
    pub fn reserve(&self, bytes: usize) -> Option<BodyPermit> {
        if bytes <= SMALL_BODY_BYTES
            && let Some(permits) = take_copies(&self.small, bytes)
        {
            return Some(BodyPermit {
                permits,
                is_large: false,
                bytes,
            });
        }
        let permits = take_copies(&self.large, bytes)?;
        Some(BodyPermit {
            permits,
            is_large: true,
            bytes,
        })
    }

    /// Returns the size of the most that can be decoded at a time, in bytes.
    pub fn max_decoded_bytes(&self) -> usize {
        self.large_bytes
    }

    /// Returns a permit for memory that a request takes beyond the copies of its body, or `None` if
    /// there is no room for it now.
    pub fn reserve_decoded(&self, bytes: usize) -> Option<BodyPermit> {
        self.reserve(bytes.div_ceil(BODY_COPIES))
    }

    /// Extends a permit to a body of this size. Returns false, and leaves it as it is, if there is no
    /// room.
    pub fn extend(&self, permit: &mut BodyPermit, bytes: usize) -> bool {
        if bytes <= permit.bytes {
            return true;
        }
        // Permits of different pools can't be merged.
        if !permit.is_large {
            let Some(larger) = self.reserve(bytes) else {
                return false;
            };
            *permit = larger;
            return true;
        }
        let Some(added) = take_copies(&self.large, bytes - permit.bytes) else {
            return false;
        };
        permit.permits.merge(added);
        permit.bytes = bytes;
        true
    }
}

/// Takes permits for the copies of so many bytes.
fn take_copies(pool: &Arc<Semaphore>, bytes: usize) -> Option<OwnedSemaphorePermit> {
    let wanted = u32::try_from(bytes.saturating_mul(BODY_COPIES)).ok()?;
    Arc::clone(pool).try_acquire_many_owned(wanted).ok()
}

/// Budget of answers that wait until their callers have read them.
#[derive(Debug)]
pub struct AnswerBudget {
    max_bytes: usize,
    bytes: Arc<Semaphore>,
    /// Permit of the one answer that may exceed the budget.
    excess: Arc<Semaphore>,
}

/// Part of the budget of answers that is taken by an answer while it is read from a target.
#[derive(Debug)]
pub struct AnswerRoom<'a> {
    budget: &'a AnswerBudget,
    permit: Option<OwnedSemaphorePermit>,
    excess: Option<OwnedSemaphorePermit>,
}

impl AnswerRoom<'_> {
    /// Waits until there is room for an answer of this size. A small one needs none, and one that is
    /// larger than the budget takes all of it.
    ///
    /// If answers of unknown length have used up the budget and all have to wait for more, one at a time
    /// continues beyond it, since none would ever return its part otherwise.
    pub async fn extend(&mut self, bytes: usize) {
        let held = self.permit.as_ref().map_or(0, |it| it.num_permits());
        let wanted = bytes.min(self.budget.max_bytes).saturating_sub(held);
        if bytes <= SMALL_ANSWER_BYTES || wanted == 0 || self.excess.is_some() {
            return;
        }
        let semaphore = Arc::clone(&self.budget.bytes);
        let excess = Arc::clone(&self.budget.excess);
        let added = tokio::select! {
            biased;
            added = semaphore.acquire_many_owned(wanted as u32) => added,
            excess = excess.acquire_owned(), if held > 0 => {
                self.excess = excess.ok();
                return;
            }
        };
        // The semaphore is never closed.
        let Ok(added) = added else {
            return;
        };
        match &mut self.permit {
            Some(permit) => permit.merge(added),
            permit => *permit = Some(added),
        }
    }

    /// Returns the complete answer, which is in the budget until the last copy of it is dropped.
    pub fn hold(self, body: Bytes) -> Bytes {
        match self.permit {
            Some(permit) => Bytes::from_owner(HeldAnswer {
                body,
                _permit: Some(permit),
                _excess: self.excess,
            }),
            None => self.budget.hold(body),
        }
    }
}

/// Answer with its permits.
struct HeldAnswer {
    body: Bytes,
    _permit: Option<OwnedSemaphorePermit>,
    _excess: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for HeldAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl AnswerBudget {
    /// Returns a budget of this many bytes.
    pub fn new(bytes: u64) -> Self {
        let bytes = bytes.min(u64::from(u32::MAX)) as usize;
        Self {
            max_bytes: bytes,
            bytes: Arc::new(Semaphore::new(bytes)),
            excess: Arc::new(Semaphore::new(1)),
        }
    }

    /// Returns whether all of the budget is in use, so that no request should be begun.
    pub fn is_exhausted(&self) -> bool {
        self.bytes.available_permits() == 0
    }

    /// Returns the room of an answer that is about to be read.
    pub fn room(&self) -> AnswerRoom<'_> {
        AnswerRoom {
            budget: self,
            permit: None,
            excess: None,
        }
    }

    /// Returns the answer's bytes, which are in the budget until the last copy of them is dropped. An
    /// answer that exceeds what is left takes all of it, since its request has been carried out.
    pub fn hold(&self, body: Bytes) -> Bytes {
        let left = self.bytes.available_permits();
        let wanted = body.len().min(left) as u32;
        let permit = Arc::clone(&self.bytes).try_acquire_many_owned(wanted).ok();
        Bytes::from_owner(HeldAnswer {
            body,
            _permit: permit,
            _excess: None,
        })
    }
}
