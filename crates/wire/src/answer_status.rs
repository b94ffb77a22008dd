//! Status of a final answer, checked where the head of an answer is read.

use thiserror::Error;

/// Smallest status of a final answer.
const MIN_FINAL_STATUS: u16 = 200;

/// Largest status of a final answer.
const MAX_FINAL_STATUS: u16 = 599;

/// Status line that ends no request: an interim one, a switch of protocols that nobody asked for, or one
/// outside the classes of HTTP. The request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("status {0} is not that of a final answer")]
pub struct StatusFault(pub u16);

/// Status of a final answer, from 200 to 599.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalStatus(u16);

impl FinalStatus {
    /// Returns the status code.
    pub fn as_u16(self) -> u16 {
        self.0
    }
}

impl TryFrom<u16> for FinalStatus {
    type Error = StatusFault;

    fn try_from(status: u16) -> Result<Self, StatusFault> {
        match status {
            MIN_FINAL_STATUS..=MAX_FINAL_STATUS => Ok(Self(status)),
            _ => Err(StatusFault(status)),
        }
    }
}
