//! The gate of a service: hands out slots, and queues fairly when none is free.

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

/// Requests of one customer and rank that may wait at a gate.
const QUEUE_PER_CUSTOMER: usize = 1_024;

/// Time between two looks for expired requests.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Why a request got no slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateRefusal {
    /// Too many of the customer's requests wait.
    QueueFull,
    /// No slot became free in time.
    Late,
    /// The service has no target that may get work.
    NoTarget,
}

/// What a request brings to the gate.
#[derive(Debug, Clone)]
pub struct GateRequest {
    /// Service.
    pub service: Arc<str>,
    /// Lookup or rollout.
    pub rank: RequestRank,
    /// Number that stands for the customer in the queue.
    pub customer: u32,
    /// The customer's weight.
    pub weight: u32,
    /// Latest start.
    pub deadline: ClockTime,
    /// What is asked of the target.
    pub choice: ChoiceRequest,
}

/// A slot of a target; dropping it gives it back and wakes the queue.
#[derive(Debug)]
pub struct SlotGuard {
    guard: Option<SlotPermit>,
    gate: Arc<ServiceGate>,
    /// The target.
    pub target: ChoiceTarget,
}

impl SlotGuard {
    /// Takes note of how the request ended.
    pub fn report(&self, ok: bool) {
        self.target.counters.report(now(), ok);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        drop(self.guard.take());
        if self.gate.waiting() > 0 {
            self.gate.wake.notify_one();
        }
    }
}

type WaitingReply = oneshot::Sender<Result<SlotGuard, GateRefusal>>;

#[derive(Debug)]
struct WaitingRequest {
    request: GateRequest,
    reply: WaitingReply,
}

/// The queue in front of a service's targets.
#[derive(Debug)]
pub struct ServiceGate {
    waiting: AtomicU32,
    /// Requests that came since the control thread last looked.
    recent: AtomicU32,
    rollouts: AtomicU32,
    wake: Notify,
    queue: mpsc::UnboundedSender<WaitingRequest>,
    wakeup: Arc<Notify>,
}

impl ServiceGate {
    /// Starts a gate for `service`; must be called within the runtime.
    ///
    /// `wakeup` tells the control thread that requests wait for slots.
    pub fn start(service: &str, shared: &Arc<TrafficShared>, wakeup: Arc<Notify>) -> Arc<Self> {
        let (queue, requests) = mpsc::unbounded_channel();
        let gate = Arc::new(Self {
            waiting: AtomicU32::new(0),
            recent: AtomicU32::new(0),
            rollouts: AtomicU32::new(0),
            wake: Notify::new(),
            queue,
            wakeup,
        });
        let worker = GateWorker {
            service: service.into(),
            shared: Arc::clone(shared),
            queue: FairQueue::new(QUEUE_PER_CUSTOMER),
        };
        tokio::spawn(worker.run(requests, Arc::downgrade(&gate)));
        gate
    }

    /// Returns the requests that wait.
    pub fn waiting(&self) -> u32 {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns how many requests came since the last call.
    pub fn take_arrived(&self) -> u32 {
        self.recent.swap(0, Ordering::Relaxed)
    }

    /// Returns the rollouts that wait or run.
    pub fn rollouts(&self) -> u32 {
        self.rollouts.load(Ordering::Relaxed)
    }

    /// Adds to the rollouts that wait or run; `end_rollout` takes it back.
    pub fn begin_rollout(&self) {
        self.rollouts.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes back one [`Self::begin_rollout`].
    pub fn end_rollout(&self) {
        self.rollouts.fetch_sub(1, Ordering::Relaxed);
    }

    /// Wakes the queue, since slots may have become free.
    pub fn wake(&self) {
        if self.waiting() > 0 {
            self.wake.notify_one();
        }
    }

    /// Waits for a slot of a target.
    ///
    /// # Errors
    ///
    /// Returns why there was none. No byte has been sent then.
    pub async fn enter(
        self: &Arc<Self>,
        shared: &TrafficShared,
        request: GateRequest,
    ) -> Result<SlotGuard, GateRefusal> {
        self.recent.fetch_add(1, Ordering::Relaxed);
        // Nothing passes the queue; in it lookups go before rollouts.
        if self.waiting() == 0
            && let Some(slot) = try_slot(shared, self, &request)
        {
            return Ok(slot);
        }
        let (reply, answer) = oneshot::channel();
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let sent = self.queue.send(WaitingRequest { request, reply });
        if sent.is_err() {
            self.waiting.fetch_sub(1, Ordering::Relaxed);
            return Err(GateRefusal::NoTarget);
        }
        self.wakeup.notify_one();
        let answer = answer.await;
        answer.unwrap_or(Err(GateRefusal::NoTarget))
    }
}

fn try_slot(
    shared: &TrafficShared,
    gate: &Arc<ServiceGate>,
    request: &GateRequest,
) -> Option<SlotGuard> {
    let view = shared.view();
    let (key, _) = view.routes().service(&request.service)?;
    let chooser = &view.pools.get(key)?.chooser;
    let (target, guard) = chooser.choose(now(), &request.choice, &shared.affinity)?;
    let target = chooser.get(target)?.clone();
    shared.affinity.set(request.choice.prefix, target.identity);
    Some(SlotGuard {
        guard: Some(guard),
        gate: Arc::clone(gate),
        target,
    })
}

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
                () = strong.wake.notified() => {}
                _ = expiry.tick() => self.expire(&strong),
            }
            self.pump(&strong);
        }
    }

    fn push(&mut self, gate: &ServiceGate, waiting: WaitingRequest) {
        let request = &waiting.request;
        let (rank, customer, weight) = (request.rank, request.customer, request.weight);
        let deadline = request.deadline;
        let pushed = self.queue.push(rank, customer, weight, deadline, waiting);
        if let Err((_, waiting)) = pushed {
            answer(gate, waiting.reply, Err(GateRefusal::QueueFull));
        }
    }

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
            answer(gate, waiting.reply, Err(refusal));
        }
    }

    /// Gives free slots to those whose turn it is.
    fn pump(&mut self, gate: &Arc<ServiceGate>) {
        let mut unfit = Vec::new();
        while let Some(waiting) = self.queue.pop() {
            if waiting.reply.is_closed() {
                gate.waiting.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            match try_slot(&self.shared, gate, &waiting.request) {
                Some(slot) => answer(gate, waiting.reply, Ok(slot)),
                None => {
                    // One that wants what no free target has must not hold up the rest.
                    let picky = waiting.request.choice.least_version > 0
                        || waiting.request.choice.avoid.is_some();
                    unfit.push(waiting);
                    if !picky {
                        break;
                    }
                }
            }
        }
        for waiting in unfit.into_iter().rev() {
            let request = &waiting.request;
            let (rank, customer, weight) = (request.rank, request.customer, request.weight);
            let deadline = request.deadline;
            self.queue
                .restore(rank, customer, weight, deadline, waiting);
        }
    }
}

fn answer(gate: &ServiceGate, reply: WaitingReply, result: Result<SlotGuard, GateRefusal>) {
    gate.waiting.fetch_sub(1, Ordering::Relaxed);
    // A caller that left drops the slot, which wakes the queue again.
    reply.send(result).ok();
}
