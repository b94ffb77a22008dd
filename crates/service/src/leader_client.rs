//! Calls to the leader, wherever it is: repeated until they are answered or out of time.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::frames::LeaderCall;
use crate::frames::LeaderReply;
use crate::frames::LinkFrame;
use crate::link::LinkHub;
use crate::link::LinkId;
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

/// Calls that have been sent and wait for their answers.
#[derive(Debug, Default)]
pub struct PendingCalls {
    next: u64,
    waiting: HashMap<u64, (LinkId, oneshot::Sender<CallResult>)>,
}

impl PendingCalls {
    /// Sends a call over a link to the leader, if one is known.
    pub fn send(&mut self, hub: &LinkHub, link: Option<LinkId>, request: CallRequest) {
        self.next += 1;
        let id = self.next;
        let call = request.call;
        let sent = link.filter(|it| hub.send(*it, &LinkFrame::Call { id, call }));
        match sent {
            Some(link) => {
                self.waiting.insert(id, (link, request.reply));
            }
            None => tell(request.reply, CallResult::NoLeader),
        }
    }

    /// Passes an answer on.
    pub fn answer(&mut self, id: u64, reply: LeaderReply) {
        if let Some((_, sender)) = self.waiting.remove(&id) {
            tell(sender, CallResult::Answered(reply));
        }
    }

    /// Ends the calls that went over a link that is gone.
    pub fn lose_link(&mut self, link: LinkId) {
        let lost = self.waiting.extract_if(|_, (it, _)| *it == link);
        for (_, (_, sender)) in lost {
            tell(sender, CallResult::Broken);
        }
    }

    /// Forgets calls whose callers have left.
    pub fn prune(&mut self) {
        self.waiting.retain(|_, (_, sender)| !sender.is_closed());
    }
}

fn tell(sender: oneshot::Sender<CallResult>, result: CallResult) {
    // The caller may have left.
    sender.send(result).ok();
}

/// Handle for calls to the leader.
#[derive(Debug, Clone)]
pub struct LeaderClient {
    requests: mpsc::UnboundedSender<CallRequest>,
}

impl LeaderClient {
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
