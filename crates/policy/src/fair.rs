//! Request queue of an entry: deficit round robin over customers, with lookups before
//! rollouts.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bergamotlane_coordination::clock::ClockTime;

/// Priority class of a request; lookups are always dispatched first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestRank {
    /// A caller waits for the answer.
    Lookup,
    /// A trainer collects the answer later as part of a batch.
    Rollout,
}

/// Reason for which a request wasn't queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The queue of the request's customer and rank is full.
    Full,
}

#[derive(Debug)]
struct QueueEntry<T> {
    deadline: ClockTime,
    item: T,
}

#[derive(Debug)]
struct CustomerQueue<T> {
    weight: u32,
    deficit: u32,
    entries: VecDeque<QueueEntry<T>>,
}

/// Customer queues of one rank. Only customers with waiting requests are listed.
#[derive(Debug)]
struct RankQueue<T> {
    customers: BTreeMap<u32, CustomerQueue<T>>,
    /// Round-robin order; the customer at the front is served next.
    rotation: VecDeque<u32>,
}

impl<T> Default for RankQueue<T> {
    fn default() -> Self {
        Self {
            customers: BTreeMap::new(),
            rotation: VecDeque::new(),
        }
    }
}

impl<T> RankQueue<T> {
    /// Returns a customer's queue; `enqueue` inserts a new one into the rotation.
    fn customer(
        &mut self,
        customer: u32,
        weight: u32,
        enqueue: fn(&mut VecDeque<u32>, u32),
    ) -> &mut CustomerQueue<T> {
        self.customers.entry(customer).or_insert_with(|| {
            enqueue(&mut self.rotation, customer);
            CustomerQueue {
                weight: weight.max(1),
                deficit: 0,
                entries: VecDeque::new(),
            }
        })
    }

    fn pop(&mut self) -> Option<T> {
        loop {
            let customer = *self.rotation.front()?;
            let queue = self.customers.get_mut(&customer)?;
            if queue.deficit == 0 {
                queue.deficit = queue.weight;
            }
            let entry = queue.entries.pop_front();
            queue.deficit -= 1;
            if queue.entries.is_empty() {
                self.rotation.pop_front();
                self.customers.remove(&customer);
            } else if queue.deficit == 0 {
                self.rotation.rotate_left(1);
            }
            if let Some(entry) = entry {
                return Some(entry.item);
            }
        }
    }

    /// Moves the items whose deadline has passed to `expired`.
    fn drain_expired(&mut self, now: ClockTime, expired: &mut Vec<T>) {
        for queue in self.customers.values_mut() {
            let entries = std::mem::take(&mut queue.entries);
            for entry in entries {
                match entry.deadline <= now {
                    true => expired.push(entry.item),
                    false => queue.entries.push_back(entry),
                }
            }
        }
        self.customers.retain(|_, queue| !queue.entries.is_empty());
        self.rotation
            .retain(|customer| self.customers.contains_key(customer));
    }
}

/// Queue of requests that wait for a free slot of a target.
#[derive(Debug)]
pub struct FairQueue<T> {
    per_customer: usize,
    lookups: RankQueue<T>,
    rollouts: RankQueue<T>,
    len: usize,
}

impl<T> FairQueue<T> {
    /// Creates a queue that holds up to `per_customer` requests per customer and rank.
    pub fn new(per_customer: usize) -> Self {
        Self {
            per_customer,
            lookups: RankQueue::default(),
            rollouts: RankQueue::default(),
            len: 0,
        }
    }

    fn rank_queue(&mut self, rank: RequestRank) -> &mut RankQueue<T> {
        match rank {
            RequestRank::Lookup => &mut self.lookups,
            RequestRank::Rollout => &mut self.rollouts,
        }
    }

    /// Returns the number of waiting requests of all customers and ranks.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a request of `customer` that must be dispatched before `deadline`.
    ///
    /// `weight` is the number of requests that the customer may dispatch per round; zero
    /// counts as one.
    ///
    /// # Errors
    ///
    /// Returns the item if the customer's queue of this rank is full.
    pub fn push(
        &mut self,
        rank: RequestRank,
        customer: u32,
        weight: u32,
        deadline: ClockTime,
        item: T,
    ) -> Result<(), (QueueRefusal, T)> {
        let per_customer = self.per_customer;
        let queue = self
            .rank_queue(rank)
            .customer(customer, weight, VecDeque::push_back);
        if queue.entries.len() >= per_customer {
            return Err((QueueRefusal::Full, item));
        }
        queue.entries.push_back(QueueEntry { deadline, item });
        self.len += 1;
        Ok(())
    }

    /// Puts a popped request back at the head of its customer's queue and refunds the
    /// deficit that the pop used.
    ///
    /// The queue limit doesn't apply.
    pub fn restore(
        &mut self,
        rank: RequestRank,
        customer: u32,
        weight: u32,
        deadline: ClockTime,
        item: T,
    ) {
        let queue = self
            .rank_queue(rank)
            .customer(customer, weight, VecDeque::push_front);
        queue.deficit += 1;
        queue.entries.push_front(QueueEntry { deadline, item });
        self.len += 1;
    }

    /// Removes and returns the next request to dispatch.
    pub fn pop(&mut self) -> Option<T> {
        let item = self.lookups.pop().or_else(|| self.rollouts.pop())?;
        self.len -= 1;
        Some(item)
    }

    /// Removes and returns the requests whose deadline is at or before `now`.
    pub fn expire(&mut self, now: ClockTime) -> Vec<T> {
        let mut expired = Vec::new();
        self.lookups.drain_expired(now, &mut expired);
        self.rollouts.drain_expired(now, &mut expired);
        self.len -= expired.len();
        expired
    }
}
