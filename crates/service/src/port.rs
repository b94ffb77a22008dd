//! Calls to the leader, wherever it is: repeated until they are answered or out of time.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::frames::LeaderCall;
use crate::frames::LeaderReply;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;

/// Pause before a call is made again.
const AGAIN_PAUSE: Duration = Duration::from_millis(30);

/// Longest wait for one answer, in milliseconds, on top of what the call itself may wait.
const ANSWER_LIMIT_MS: u64 = 1_200;

/// What became of one try.
#[derive(Debug)]
pub enum CallResult {
    /// The leader answered.
    Answered(LeaderReply),
    /// No leader is known; nothing was sent.
    NoLeader,
    /// The link broke after the call was sent.
    Broken,
}

/// A call on its way to the loop that owns the links.
#[derive(Debug)]
pub struct CallRequest {
    /// Call.
    pub call: LeaderCall,
    /// Where the answer goes.
    pub reply: oneshot::Sender<CallResult>,
}

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// It was never sent.
    NotSent,
    /// It may have been carried out.
    Unclear,
}

/// Handle for calls to the leader.
#[derive(Debug, Clone)]
pub struct LeaderPort {
    requests: mpsc::UnboundedSender<CallRequest>,
}

impl LeaderPort {
    /// Makes a port and the queue of its requests.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<CallRequest>) {
        let (requests, queue) = mpsc::unbounded_channel();
        (Self { requests }, queue)
    }

    /// Makes a call, again and again until `limit`.
    ///
    /// # Errors
    ///
    /// Returns whether the call can have had an effect.
    pub async fn call(
        &self,
        call: LeaderCall,
        limit: ClockTime,
    ) -> Result<LeaderReply, CallFailure> {
        let wait_ms = match &call {
            LeaderCall::ReadJob { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        let mut failure = CallFailure::NotSent;
        loop {
            let left = limit.since(now());
            if left == 0 {
                return Err(failure);
            }
            let (reply, answer) = oneshot::channel();
            let request = CallRequest {
                call: call.clone(),
                reply,
            };
            if self.requests.send(request).is_err() {
                return Err(failure);
            }
            let wait = left.min(ANSWER_LIMIT_MS + wait_ms);
            match timeout(Duration::from_millis(wait), answer).await {
                Ok(Ok(CallResult::Answered(LeaderReply::NotLeader) | CallResult::NoLeader)) => {}
                Ok(Ok(CallResult::Answered(LeaderReply::Unclear))) => {
                    failure = CallFailure::Unclear;
                }
                Ok(Ok(CallResult::Answered(reply))) => return Ok(reply),
                Ok(Ok(CallResult::Broken) | Err(_)) | Err(_) => failure = CallFailure::Unclear,
            }
            sleep(AGAIN_PAUSE).await;
        }
    }
}
