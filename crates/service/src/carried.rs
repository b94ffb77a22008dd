//! What a connection to a target has carried.
//!
//! A target may send a second copy of an answer, which arrives where the next answer on the connection is
//! expected. The request ID in it tells the copy from that answer, unless a request with the same ID is
//! sent there again. So a connection that has carried an ID doesn't carry it again, and one that has
//! carried a request without an ID carries no other one without.

use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Largest number of requests on one connection, which bounds the memory for their marks.
const MAX_CARRIED: usize = 512;

/// What tells a request on a connection from others: a hash of its ID. Requests whose marks agree by
/// chance use different connections, and nothing else follows from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestMark(u64);

impl RequestMark {
    /// Mark of all requests without an ID.
    pub const WITHOUT_ID: Self = Self(0);

    /// Returns the mark of requests with this ID.
    pub fn of(id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }
}

/// Marks of the requests that a connection has carried.
#[derive(Debug, Default)]
pub(crate) struct CarriedRequests(HashSet<RequestMark>);

impl CarriedRequests {
    /// Records that the connection carries a request.
    pub(crate) fn record(&mut self, mark: RequestMark) {
        self.0.insert(mark);
    }

    /// Returns whether the connection may carry a request.
    pub(crate) fn may_carry(&self, mark: RequestMark) -> bool {
        !self.0.contains(&mark)
    }

    /// Returns whether the connection has carried as many requests as it may.
    pub(crate) fn is_full(&self) -> bool {
        self.0.len() >= MAX_CARRIED
    }
}
