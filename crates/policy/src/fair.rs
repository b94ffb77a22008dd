//! The fair queue of an entry: deficit round robin by customer, lookups before rollouts.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use bergamotlane_coordination::clock::ClockTime;

/// Priority of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestRank {
    /// A caller waits.
    Lookup,
    /// A trainer waits.
    Rollout,
}

/// Why a request wasn't queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QueueRefusal {
    /// The customer's queue is full.
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

/// Queues of one rank.
#[derive(Debug)]
struct RankQueue<T> {
    customers: BTreeMap<u32, CustomerQueue<T>>,
    turn: VecDeque<u32>,
}

impl<T> Default for RankQueue<T> {
    fn default() -> Self {
        Self {
            customers: BTreeMap::new(),
            turn: VecDeque::new(),
        }
    }
}

impl<T> RankQueue<T> {
    /// Returns a customer's queue; `enqueue` gives a new one its place in the turn.
    fn customer(
        &mut self,
        customer: u32,
        weight: u32,
        enqueue: fn(&mut VecDeque<u32>, u32),
    ) -> &mut CustomerQueue<T> {
        self.customers.entry(customer).or_insert_with(|| {
            enqueue(&mut self.turn, customer);
            CustomerQueue {
                weight: weight.max(1),
                deficit: 0,
                entries: VecDeque::new(),
            }
        })
    }

    fn pop(&mut self) -> Option<T> {
        loop {
            let customer = *self.turn.front()?;
            let queue = self.customers.get_mut(&customer)?;
            if queue.deficit == 0 {
                queue.deficit = queue.weight;
            }
            let entry = queue.entries.pop_front();
            queue.deficit -= 1;
            if queue.entries.is_empty() {
                self.turn.pop_front();
                self.customers.remove(&customer);
            } else if queue.deficit == 0 {
                self.turn.rotate_left(1);
            }
            if let Some(entry) = entry {
                return Some(entry.item);
            }
        }
    }

    fn expired(&mut self, now: ClockTime, out: &mut Vec<T>) {
        for queue in self.customers.values_mut() {
            let entries = std::mem::take(&mut queue.entries);
            for entry in entries {
                match entry.deadline <= now {
                    true => out.push(entry.item),
                    false => queue.entries.push_back(entry),
                }
            }
        }
        self.customers.retain(|_, queue| !queue.entries.is_empty());
        self.turn.retain(|it| self.customers.contains_key(it));
    }
}

/// Requests that wait for a slot.
#[derive(Debug)]
pub struct FairQueue<T> {
    per_customer: usize,
    lookups: RankQueue<T>,
    rollouts: RankQueue<T>,
    len: usize,
}

impl<T> FairQueue<T> {
    /// Creates a queue that holds up to `per_customer` requests of a customer and rank.
    pub fn new(per_customer: usize) -> Self {
        Self {
            per_customer,
            lookups: RankQueue::default(),
            rollouts: RankQueue::default(),
            len: 0,
        }
    }

    fn ranked(&mut self, rank: RequestRank) -> &mut RankQueue<T> {
        match rank {
            RequestRank::Lookup => &mut self.lookups,
            RequestRank::Rollout => &mut self.rollouts,
        }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Queues a request of `customer`, which must start before `deadline`.
    ///
    /// # Errors
    ///
    /// Returns the item if the customer's queue is full.
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
            .ranked(rank)
            .customer(customer, weight, VecDeque::push_back);
        if queue.entries.len() >= per_customer {
            return Err((QueueRefusal::Full, item));
        }
        queue.entries.push_back(QueueEntry { deadline, item });
        self.len += 1;
        Ok(())
    }

    /// Puts back a request that was popped, in front of its customer's others.
    pub fn restore(
        &mut self,
        rank: RequestRank,
        customer: u32,
        weight: u32,
        deadline: ClockTime,
        item: T,
    ) {
        let queue = self
            .ranked(rank)
            .customer(customer, weight, VecDeque::push_front);
        queue.deficit += 1;
        queue.entries.push_front(QueueEntry { deadline, item });
        self.len += 1;
    }

    /// Returns the request whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let item = self.lookups.pop().or_else(|| self.rollouts.pop())?;
        self.len -= 1;
        Some(item)
    }

    /// Takes out the requests whose deadline has passed.
    pub fn expire(&mut self, now: ClockTime) -> Vec<T> {
        let mut out = Vec::new();
        self.lookups.expired(now, &mut out);
        self.rollouts.expired(now, &mut out);
        self.len -= out.len();
        out
    }
}
