//! What ended the body of an answer, as its framing says (RFC 9112, section 6.3).
//!
//! A body that has a length or comes in chunks says by itself where it ends, and one that is cut
//! before is an error of the HTTP library. A body without either ends with its connection, which a
//! process that dies closes as well as one that has sent everything.

use serde::Deserialize;
use serde::Serialize;

/// What ended the body of an answer that was read without an error.
///
/// Readers match on it, so that each decides what it makes of a body that a close ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BodyEnd {
    /// The length that the head states was reached, or the answer can't have a body.
    Length,
    /// The last chunk came.
    LastChunk,
    /// The connection was closed; the body may be cut.
    Close,
}

impl BodyEnd {
    /// Returns what will end a body if nothing goes wrong.
    ///
    /// `length` is the body's length if it is known from the head: zero for an answer to a `HEAD`
    /// request or with status 204 or 304, otherwise that of the `content-length` header. `encodings`
    /// are the values of the `transfer-encoding` headers, in order.
    pub fn expected<'a>(
        length: Option<u64>,
        encodings: impl IntoIterator<Item = &'a [u8], IntoIter: DoubleEndedIterator>,
    ) -> Self {
        if length.is_some() {
            return Self::Length;
        }
        let last = encodings.into_iter().next_back().unwrap_or_default();
        let last_coding = last.rsplit(|it| *it == b',').next().unwrap_or_default();
        match last_coding.trim_ascii().eq_ignore_ascii_case(b"chunked") {
            true => Self::LastChunk,
            false => Self::Close,
        }
    }
}
