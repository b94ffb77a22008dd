//! Admission gate of a service: hands out slots of its targets, and queues requests fairly
//! while none is free.

use std::sync::Arc;
use std::sync::Weak;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::interval;

use crate::clock::now;
use crate::shared::TrafficShared;
use bergamotlane_coordination::clock::ClockTime;
use bergamotlane_policy::fair::FairQueue;
use bergamotlane_policy::fair::RequestRank;
use bergamotlane_policy::targets::ChoiceRequest;
use bergamotlane_policy::targets::ChoiceTarget;
use bergamotlane_policy::targets::SlotPermit;

/// Maximum number of requests of one customer and rank that wait at a gate.
const MAX_QUEUED_PER_CUSTOMER: usize = 1_024;

/// Interval at which requests whose deadline passed are removed from the queue.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Why a request got no slot; it was not sent to any target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateRefusal {
    /// The queue of the customer is full.
    QueueFull,
    /// No slot became free before the request's deadline.
    Late,
    /// The service has no target that may get requests.
    NoTarget,
}

/// A request for a slot.
#[derive(Debug, Clone)]
pub struct GateRequest {
    /// ID of the service.
    pub service: Arc<str>,
    /// Priority class; lookups are served before rollouts.
    pub rank: RequestRank,
    /// Hash of the customer's ID, by which the queue tells customers apart.
    pub customer: u32,
    /// The customer's weight in fair queueing.
    pub weight: u32,
    /// Time at which the request is refused if it still waits.
    pub deadline: ClockTime,
    /// Requirements and preferences for the target.
    pub choice: ChoiceRequest,
}

/// A slot of a target; dropping it frees the slot and wakes the queue.
#[derive(Debug)]
pub struct SlotGuard {
    permit: Option<SlotPermit>,
    gate: Arc<ServiceGate>,
    /// Target to send the request to.
    pub target: ChoiceTarget,
}

impl SlotGuard {
    /// Records whether the target served the request, for its circuit breaker.
    pub fn report(&self, ok: bool) {
        self.target.counters.report(now(), ok);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        drop(self.permit.take());
        if self.gate.waiting() > 0 {
            self.gate.slot_freed.notify_one();
        }
    }
}

type WaitingReply = oneshot::Sender<Result<SlotGuard, GateRefusal>>;

#[derive(Debug)]
struct WaitingRequest {
    request: GateRequest,
    reply: WaitingReply,
}

/// Counters and queue of the requests for one service; the requests are dispatched by a task of
/// the gate.
#[derive(Debug)]
pub struct ServiceGate {
    /// Requests in the queue.
    waiting: AtomicU32,
    /// Requests since the control thread last read the count.
    arrived: AtomicU32,
    /// Rollouts that wait or run.
    rollouts: AtomicU32,
    /// Wakes the task of the gate when slots may be free.
    slot_freed: Notify,
    /// Passes requests to the task of the gate.
    queue: mpsc::UnboundedSender<WaitingRequest>,
    /// Wakes the control thread to ask for more slots.
    control_wakeup: Arc<Notify>,
}

impl ServiceGate {
    /// Creates the gate of `service` and spawns its task, which ends once the gate is dropped.
    ///
    /// `control_wakeup` is notified when a request has to wait for a slot.
    ///
    /// # Panics
    ///
    /// Panics outside the context of a Tokio runtime.
    pub fn start(
        service: &str,
        shared: &Arc<TrafficShared>,
        control_wakeup: Arc<Notify>,
    ) -> Arc<Self> {
        let (queue, requests) = mpsc::unbounded_channel();
        let gate = Arc::new(Self {
            waiting: AtomicU32::new(0),
            arrived: AtomicU32::new(0),
            rollouts: AtomicU32::new(0),
            slot_freed: Notify::new(),
            queue,
            control_wakeup,
        });
        let worker = GateWorker {
            service: service.into(),
            shared: Arc::clone(shared),
            queue: FairQueue::new(MAX_QUEUED_PER_CUSTOMER),
        };
        tokio::spawn(worker.run(requests, Arc::downgrade(&gate)));
        gate
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns the number of requests since the last call, and resets it.
    pub fn take_arrived(&self) -> u32 {
        self.arrived.swap(0, Ordering::Relaxed)
    }

    /// Returns the number of rollouts that wait or run.
    pub fn rollouts(&self) -> u32 {
        self.rollouts.load(Ordering::Relaxed)
    }

    /// Counts a rollout until the matching [`Self::end_rollout`].
    pub fn begin_rollout(&self) {
        self.rollouts.fetch_add(1, Ordering::Relaxed);
    }

    /// Ends the count of a rollout that [`Self::begin_rollout`] started.
    pub fn end_rollout(&self) {
        self.rollouts.fetch_sub(1, Ordering::Relaxed);
    }

    /// Wakes the task of the gate to dispatch requests, as slots may have become free.
    pub fn wake(&self) {
        if self.waiting() > 0 {
            self.slot_freed.notify_one();
        }
    }

    /// Returns a slot of a target, at once or after a wait in the queue.
    ///
    /// # Errors
    ///
    /// Returns why the request got no slot.
    pub async fn enter(
        self: &Arc<Self>,
        shared: &TrafficShared,
        request: GateRequest,
    ) -> Result<SlotGuard, GateRefusal> {
        self.arrived.fetch_add(1, Ordering::Relaxed);
        // While requests wait, a new one queues up too: only the queue puts lookups before
        // rollouts and is fair among customers.
        if self.waiting() == 0
            && let Some(slot) = try_slot(shared, self, &request)
        {
            return Ok(slot);
        }
        if !has_software(shared, &request) {
            return Err(GateRefusal::NoTarget);
        }
        let (reply, result) = oneshot::channel();
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let sent = self.queue.send(WaitingRequest { request, reply });
        if sent.is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return Err(GateRefusal::NoTarget);
        }
        self.control_wakeup.notify_one();
        let result = result.await;
        result.unwrap_or(Err(GateRefusal::NoTarget))
    }
}

/// Returns whether a target runs the software that the request needs, if it needs any.
fn has_software(shared: &TrafficShared, request: &GateRequest) -> bool {
    let Some(software) = request.choice.software else {
        return true;
    };
    let view = shared.view();
    let pool = view.routes().service(&request.service);
    let pool = pool.and_then(|(key, _)| view.pools.get(key));
    pool.is_some_and(|it| it.chooser.has_software(software))
}

/// Takes a free slot of a target that fits the request, if there is one.
fn try_slot(
    shared: &TrafficShared,
    gate: &Arc<ServiceGate>,
    request: &GateRequest,
) -> Option<SlotGuard> {
    let view = shared.view();
    let (key, _) = view.routes().service(&request.service)?;
    let chooser = &view.pools.get(key)?.chooser;
    let (target, permit) = chooser.choose(now(), &request.choice, &shared.affinity)?;
    let target = chooser.get(target)?.clone();
    shared.affinity.set(request.choice.prefix, target.identity);
    Some(SlotGuard {
        permit: Some(permit),
        gate: Arc::clone(gate),
        target,
    })
}

/// Task that queues the requests of a gate and dispatches them to free slots.
struct GateWorker {
    service: Arc<str>,
    shared: Arc<TrafficShared>,
    queue: FairQueue<WaitingRequest>,
}

impl GateWorker {
    async fn run(
        mut self,
        mut requests: mpsc::UnboundedReceiver<WaitingRequest>,
        gate: Weak<ServiceGate>,
    ) {
        let mut expiry = interval(EXPIRY_INTERVAL);
        loop {
            let Some(strong) = gate.upgrade() else {
                return;
            };
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => self.push(&strong, request),
                    None => return,
                },
                () = strong.slot_freed.notified() => {}
                _ = expiry.tick() => self.expire(&strong),
            }
            self.dispatch(&strong);
        }
    }

    fn push(&mut self, gate: &ServiceGate, waiting: WaitingRequest) {
        let request = &waiting.request;
        let (rank, customer, weight) = (request.rank, request.customer, request.weight);
        let deadline = request.deadline;
        let pushed = self.queue.push(rank, customer, weight, deadline, waiting);
        if let Err((_, waiting)) = pushed {
            reply_to(gate, waiting.reply, Err(GateRefusal::QueueFull));
        }
    }

    /// Refuses the requests whose deadline passed.
    fn expire(&mut self, gate: &ServiceGate) {
        if self.queue.is_empty() {
            return;
        }
        let view = self.shared.view();
        let pool = view.routes().service(&self.service);
        let pool = pool.and_then(|(key, _)| view.pools.get(key));
        let refusal = match pool.is_some_and(|pool| !pool.chooser.is_empty()) {
            true => GateRefusal::Late,
            false => GateRefusal::NoTarget,
        };
        for waiting in self.queue.expire(now()) {
            reply_to(gate, waiting.reply, Err(refusal));
        }
    }

    /// Gives free slots to waiting requests in the order of the queue.
    fn dispatch(&mut self, gate: &Arc<ServiceGate>) {
        let mut skipped = Vec::new();
        while let Some(waiting) = self.queue.pop() {
            if waiting.reply.is_closed() {
                gate.waiting.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            match try_slot(&self.shared, gate, &waiting.request) {
                Some(slot) => reply_to(gate, waiting.reply, Ok(slot)),
                None => {
                    // A request that only some targets can serve must not block the requests
                    // behind it; without such a requirement there is no free slot at all.
                    let is_constrained = waiting.request.choice.least_version > 0
                        || waiting.request.choice.software.is_some()
                        || waiting.request.choice.avoid.is_some();
                    skipped.push(waiting);
                    if !is_constrained {
                        break;
                    }
                }
            }
        }
        for waiting in skipped.into_iter().rev() {
            let request = &waiting.request;
            let (rank, customer, weight) = (request.rank, request.customer, request.weight);
            let deadline = request.deadline;
            self.queue
                .restore(rank, customer, weight, deadline, waiting);
        }
    }
}

/// Sends the result to a waiting request, which no longer counts as waiting.
fn reply_to(gate: &ServiceGate, reply: WaitingReply, result: Result<SlotGuard, GateRefusal>) {
    gate.waiting.fetch_sub(1, Ordering::Relaxed);
    // If the requester no longer waits, the slot is dropped here, which wakes the queue again.
    reply.send(result).ok();
}
