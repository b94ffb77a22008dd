//! Orders to the platform for a number of targets.
//!
//! An order's intent is committed before the order is sent, so that a new leader knows of
//! every order that may have reached the platform.

use std::collections::BTreeMap;

/// Price class of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PriceClass {
    /// Runs until it is released by a later order.
    Steady,
    /// Cheaper, but the platform may reclaim it at a few seconds' notice.
    Reclaimable,
}

/// Set of targets that an order sizes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// ID of the service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Price class of the targets.
    pub class: PriceClass,
}

/// The platform's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The platform accepted the order.
    Taken,
    /// The platform rejected the order.
    Refused,
}

/// The latest order for a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// Order ID: the log index of the intent.
    pub id: u64,
    /// Term of the leader that placed the order.
    pub term: u64,
    /// Desired number of targets.
    pub count: u32,
    /// The platform's answer, or `None` while it isn't known.
    pub result: Option<OrderResult>,
}

/// A command to the [`OrderTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderCommand {
    /// Records the intent to send an order, which replaces the previous one for the key.
    Intend {
        /// Set of targets to be sized.
        key: OrderKey,
        /// Term of the leader that places the order.
        term: u64,
        /// Desired number of targets.
        count: u32,
    },
    /// Records the platform's answer; ignored if a later order has replaced this one.
    Settle {
        /// Set of targets that was ordered.
        key: OrderKey,
        /// Order ID.
        id: u64,
        /// The platform's answer.
        result: OrderResult,
    },
}

/// Latest order for each service, availability zone and price class.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OrderTable {
    /// The latest order for each key.
    pub orders: BTreeMap<OrderKey, OrderRecord>,
}

impl OrderTable {
    /// Returns the orders that the platform isn't known to have answered.
    pub fn pending(&self) -> impl Iterator<Item = (&OrderKey, &OrderRecord)> {
        self.orders
            .iter()
            .filter(|(_, order)| order.result.is_none())
    }

    pub(super) fn apply(&mut self, index: u64, command: OrderCommand) {
        match command {
            OrderCommand::Intend { key, term, count } => {
                let order = OrderRecord {
                    id: index,
                    term,
                    count,
                    result: None,
                };
                self.orders.insert(key, order);
            }
            OrderCommand::Settle { key, id, result } => {
                if let Some(order) = self.orders.get_mut(&key)
                    && order.id == id
                {
                    order.result = Some(result);
                }
            }
        }
    }
}
