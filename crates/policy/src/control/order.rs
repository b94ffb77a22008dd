//! Orders to the platform: the intent is committed before anything is sent.

use std::collections::BTreeMap;

/// Price class of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PriceClass {
    /// Stays until ordered away.
    Steady,
    /// Cheaper, and may vanish at a few seconds' notice.
    Reclaimable,
}

/// What an order is about.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct OrderKey {
    /// Service.
    pub service: String,
    /// Availability zone.
    pub zone: String,
    /// Price class.
    pub class: PriceClass,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderResult {
    /// The platform took it.
    Taken,
    /// The platform refused it.
    Refused,
}

/// The latest order about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRecord {
    /// Order ID: the log index of the intent.
    pub id: u64,
    /// Term of the leader that intended it.
    pub term: u64,
    /// Targets wanted.
    pub count: u32,
    /// How it ended, if it did.
    pub result: Option<OrderResult>,
}

/// A command to the order book.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderCommand {
    /// Intends an order, in place of an earlier one about the same key.
    Intend {
        /// What it is about.
        key: OrderKey,
        /// Term of the leader.
        term: u64,
        /// Targets wanted.
        count: u32,
    },
    /// Records how an order ended.
    Settle {
        /// What it is about.
        key: OrderKey,
        /// Order ID.
        id: u64,
        /// How it ended.
        result: OrderResult,
    },
}

/// Latest orders by what they are about.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OrderTable {
    /// The orders.
    pub orders: BTreeMap<OrderKey, OrderRecord>,
}

impl OrderTable {
    /// Returns the orders that no outcome is known of.
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
