//! Client for calls to the leader. A call is retried, also at a new leader, until it is answered
//! or its deadline passes. A read of listed results goes to a replica in the own zone first.

use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::frames::LeaderCall;
use crate::frames::LeaderReply;
use crate::frames::LinkFrame;
use crate::link::LinkHub;
use crate::link::LinkId;
use crate::metrics::METRICS;
use crate::state::StateCommand;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_storage::clock::now;
use bergamotlane_wire::codec;

/// Pause before a call is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(30);

/// Time limit for the answer to one try, in milliseconds, in addition to the time that the call
/// itself may wait at the leader.
const ANSWER_LIMIT_MS: u64 = 1_200;

/// Time limit for the answer of a replica other than the leader, in milliseconds. It answers from
/// what it has applied, so that a longer silence means that it is overloaded or cut off.
const REPLICA_LIMIT_MS: u64 = 150;

/// Largest number of calls that wait for the owner of the links.
const MAX_QUEUED_CALLS: usize = 1_024;

/// Outcome of one try of a call.
#[derive(Debug)]
pub enum CallResult {
    /// The leader answered.
    Answered(LeaderReply),
    /// No leader is known, or no replica in the own zone, so nothing was sent.
    NoLeader,
    /// The link broke after the call was sent.
    Broken,
}

/// Keepers that a call may go to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallScope {
    /// A replica in the own zone that isn't the leader. It answers at once; one that can't answer for
    /// sure says that it doesn't lead.
    Replica,
    /// The leader alone.
    Leader,
}

impl CallScope {
    /// Returns the scope of a call's first try. Results that a replica has applied never change, so
    /// that it can serve them as well as the leader.
    fn of(call: &LeaderCall) -> Self {
        match call {
            LeaderCall::ReadJob { .. } => Self::Replica,
            _ => Self::Leader,
        }
    }
}

/// Call that is passed to the event loop that owns the links.
#[derive(Debug)]
pub struct CallRequest {
    /// Call to send.
    pub call: LeaderCall,
    /// Keepers that it may go to.
    pub scope: CallScope,
    /// Channel for the outcome of the call.
    pub reply: oneshot::Sender<CallResult>,
}

/// Reason for which a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFailure {
    /// The call was never sent.
    NotSent,
    /// The call may have been carried out.
    Unclear,
}

/// Calls that were sent and wait for their answers.
#[derive(Debug, Default)]
pub struct PendingCalls {
    next: u64,
    waiting: HashMap<u64, (LinkId, oneshot::Sender<CallResult>)>,
}

impl PendingCalls {
    /// Sends a call over the link to the leader. If no leader is known, or its link is down, the
    /// call ends with [`CallResult::NoLeader`]. A call whose caller no longer waits is not sent,
    /// and one that is longer than the leader receives is refused.
    pub fn send(&mut self, hub: &LinkHub, link: Option<LinkId>, request: CallRequest) {
        if request.reply.is_closed() {
            return;
        }
        self.next += 1;
        let id = self.next;
        let call = request.call;
        let frame = codec::encode(&LinkFrame::Call { id, call });
        if link.is_some_and(|it| !hub.takes(it, frame.len())) {
            send_result(request.reply, CallResult::Answered(LeaderReply::Conflict));
            return;
        }
        match link.filter(|it| hub.send_encoded(*it, frame)) {
            Some(link) => {
                self.waiting.insert(id, (link, request.reply));
            }
            None => send_result(request.reply, CallResult::NoLeader),
        }
    }

    /// Ends the call with an ID by passing the leader's reply to its caller.
    pub fn answer(&mut self, id: u64, reply: LeaderReply) {
        if let Some((_, sender)) = self.waiting.remove(&id) {
            send_result(sender, CallResult::Answered(reply));
        }
    }

    /// Ends all calls that were sent over a link that went down, with [`CallResult::Broken`].
    pub fn fail_link(&mut self, link: LinkId) {
        let lost = self.waiting.extract_if(|_, (it, _)| *it == link);
        for (_, (_, sender)) in lost {
            send_result(sender, CallResult::Broken);
        }
    }

    /// Removes calls whose callers no longer wait.
    pub fn prune(&mut self) {
        self.waiting.retain(|_, (_, sender)| !sender.is_closed());
    }
}

/// Returns the link of the replica in `zone` that reads go to. There is none if the leader is in the
/// zone: it answers a read that waits only later, so that it is asked as the leader. `links` are the
/// keepers' links with their zones; entries with different `process_run` spread over them.
pub fn replica_link<'a>(
    zone: &str,
    leader: Option<LinkId>,
    links: impl Iterator<Item = (LinkId, &'a str)>,
    process_run: u64,
) -> Option<LinkId> {
    let near = links.filter(|(_, it)| *it == zone);
    let near: Vec<LinkId> = near.map(|(link, _)| link).collect();
    if leader.is_some_and(|it| near.contains(&it)) {
        return None;
    }
    let index = process_run.checked_rem(near.len() as u64)?;
    near.get(index as usize).copied()
}

fn send_result(sender: oneshot::Sender<CallResult>, result: CallResult) {
    // The caller may have stopped waiting.
    sender.send(result).ok();
}

/// Cloneable handle that makes calls to the leader.
#[derive(Debug, Clone)]
pub struct LeaderClient {
    requests: mpsc::Sender<CallRequest>,
}

impl LeaderClient {
    /// Returns a client and the queue of its calls, which the owner of the links serves.
    pub fn new() -> (Self, mpsc::Receiver<CallRequest>) {
        let (requests, queue) = mpsc::channel(MAX_QUEUED_CALLS);
        (Self { requests }, queue)
    }

    /// Makes a call and retries it until it is answered or the deadline `limit` passes. What a replica
    /// did not answer goes to the leader at once.
    ///
    /// # Errors
    ///
    /// Returns [`CallFailure::NotSent`] if the call certainly had no effect, and
    /// [`CallFailure::Unclear`] if it may have had one.
    pub async fn call(
        &self,
        call: LeaderCall,
        limit: ClockTime,
    ) -> Result<LeaderReply, CallFailure> {
        let call_wait_ms = match &call {
            LeaderCall::ReadJob { wait_ms, .. } => *wait_ms,
            _ => 0,
        };
        let is_submission = matches!(&call, LeaderCall::Change(StateCommand::Submit(_)));
        let mut failure = CallFailure::NotSent;
        let mut scope = CallScope::of(&call);
        loop {
            let left_ms = limit.since(now());
            if left_ms == 0 {
                return Err(failure);
            }
            let (reply, answer) = oneshot::channel();
            let request = CallRequest {
                call: call.clone(),
                scope,
                reply,
            };
            match self.requests.try_send(request) {
                Ok(()) => {}
                // The owner of the links is behind; the call is tried again later.
                Err(TrySendError::Full(_)) => {
                    METRICS.calls_delayed.inc();
                    sleep(RETRY_PAUSE).await;
                    continue;
                }
                Err(TrySendError::Closed(_)) => return Err(failure),
            }
            let limit_ms = match scope {
                CallScope::Replica => REPLICA_LIMIT_MS,
                CallScope::Leader => ANSWER_LIMIT_MS + call_wait_ms,
            };
            let wait_ms = left_ms.min(limit_ms);
            match timeout(Duration::from_millis(wait_ms), answer).await {
                Ok(Ok(CallResult::Answered(LeaderReply::NotLeader) | CallResult::NoLeader)) => {}
                Ok(Ok(CallResult::Answered(LeaderReply::Unclear))) => {
                    failure = CallFailure::Unclear;
                }
                // A try that was not answered may still be carried out after the refusal.
                Ok(Ok(CallResult::Answered(LeaderReply::NoPermit(_) | LeaderReply::Conflict)))
                    if is_submission && failure == CallFailure::Unclear =>
                {
                    return Err(failure);
                }
                Ok(Ok(CallResult::Answered(reply))) => return Ok(reply),
                Ok(Ok(CallResult::Broken) | Err(_)) | Err(_) => failure = CallFailure::Unclear,
            }
            if scope == CallScope::Replica {
                scope = CallScope::Leader;
                continue;
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}
