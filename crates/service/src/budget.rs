//! Shares of a process's memory and disk that its stores, queues and buffers may take.

use thiserror::Error;

/// Memory limit that is assumed if none is given, in bytes.
const DEFAULT_MEMORY_BYTES: u64 = 512_000_000;

/// Disk limit that is assumed if none is given, in bytes.
const DEFAULT_DISK_BYTES: u64 = 8_000_000_000;

/// Memory that a process takes before it holds anything for others, in bytes.
const BASE_MEMORY_BYTES: u64 = 16_000_000;

/// Least memory in which a process can do its work, in bytes.
const MIN_MEMORY_BYTES: u64 = 32_000_000;

/// Least disk in which a keeper can do its work, in bytes.
const MIN_DISK_BYTES: u64 = 32_000_000;

/// Shares are given in this fraction of the whole.
const WHOLE: u64 = 1_000;

/// Limits on the resources of a process; `None` if a limit is not known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ResourceLimits {
    /// Memory that the process may use, in bytes.
    pub memory_bytes: Option<u64>,
    /// Space that the process may use in its data folder, in bytes.
    pub disk_bytes: Option<u64>,
}

impl ResourceLimits {
    /// Returns the limits of one of two roles that share a process.
    pub fn halve(self) -> Self {
        Self {
            memory_bytes: self.memory_bytes.map(|it| it / 2),
            ..self
        }
    }
}

/// Reason for which a process can't work within its limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BudgetError {
    /// The memory limit is too low.
    #[error("the memory limit of {given} bytes is too low; at least {least} are needed")]
    Memory {
        /// Limit of the process or of its role, in bytes.
        given: u64,
        /// Least usable limit, in bytes.
        least: u64,
    },
    /// The disk limit is too low.
    #[error("the disk limit of {given} bytes is too low; at least {least} are needed")]
    Disk {
        /// Limit of the process, in bytes.
        given: u64,
        /// Least usable limit, in bytes.
        least: u64,
    },
}

/// Shares of a role in thousandths of the memory above the base.
#[derive(Debug, Clone, Copy)]
struct ShareTable {
    state: u64,
    log_tail: u64,
    outbound: u64,
    inbound: u64,
    replies: u64,
    texts: u64,
    bodies: u64,
    connections: u64,
    /// Left free for what is encoded or decoded at the moment, and for fragmentation.
    headroom: u64,
}

impl ShareTable {
    const fn sum(&self) -> u64 {
        self.state
            + self.log_tail
            + self.outbound
            + self.inbound
            + self.replies
            + self.texts
            + self.bodies
            + self.connections
            + self.headroom
    }
}

/// Shares of a keeper.
const KEEPER_SHARES: ShareTable = ShareTable {
    state: 260,
    log_tail: 140,
    outbound: 120,
    inbound: 130,
    replies: 50,
    texts: 100,
    bodies: 60,
    connections: 40,
    headroom: 100,
};

/// Shares of an entry.
const ENTRY_SHARES: ShareTable = ShareTable {
    state: 0,
    log_tail: 0,
    outbound: 130,
    inbound: 130,
    replies: 200,
    texts: 0,
    bodies: 350,
    connections: 90,
    headroom: 100,
};

/// Divisor of a keeper's headroom and share for connections together that yields the memory for committed
/// entries that are being applied.
const APPLY_DIVISOR: u64 = 2;

/// Share of the disk that log and snapshots may take, in thousandths. The rest is for a snapshot that
/// is being written and for the journal of partial texts.
const DISK_SHARE: u64 = 750;

const _: () = assert!(KEEPER_SHARES.sum() == WHOLE && ENTRY_SHARES.sum() == WHOLE);

/// Largest sizes of what a process holds, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResourceBudget {
    /// What is live of the replicated state.
    pub state_bytes: u64,
    /// Youngest part of the log.
    pub log_tail_bytes: u64,
    /// Frames that wait to be sent, over all links.
    pub outbound_bytes: u64,
    /// Frames that were received, wholly or in part, and not handled yet, over all links.
    pub inbound_bytes: u64,
    /// Replies that wait for their readers: results of jobs at a keeper, answers at an entry.
    pub replies_bytes: u64,
    /// Partial texts, with the copy that is written to their journal.
    pub texts_bytes: u64,
    /// Request bodies that are read or in use.
    pub bodies_bytes: u64,
    /// Buffers of clients' connections.
    pub connections_bytes: u64,
    /// Committed entries that are being applied, a part of the headroom and of the share for connections.
    pub apply_bytes: u64,
    /// Log and snapshots on disk.
    pub disk_bytes: u64,
}

impl ResourceBudget {
    /// Returns the budget of a keeper.
    ///
    /// # Errors
    ///
    /// Returns an error if a limit is too low.
    pub fn for_keeper(limits: ResourceLimits) -> Result<Self, BudgetError> {
        let given = limits.disk_bytes.unwrap_or(DEFAULT_DISK_BYTES);
        if given < MIN_DISK_BYTES {
            let least = MIN_DISK_BYTES;
            return Err(BudgetError::Disk { given, least });
        }
        Ok(Self {
            disk_bytes: given / WHOLE * DISK_SHARE,
            ..Self::divide(limits, KEEPER_SHARES)?
        })
    }

    /// Returns the budget of an entry, which has no disk.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory limit is too low.
    pub fn for_entry(limits: ResourceLimits) -> Result<Self, BudgetError> {
        Self::divide(limits, ENTRY_SHARES)
    }

    fn divide(limits: ResourceLimits, table: ShareTable) -> Result<Self, BudgetError> {
        let given = limits.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        if given < MIN_MEMORY_BYTES {
            let least = MIN_MEMORY_BYTES;
            return Err(BudgetError::Memory { given, least });
        }
        let free_bytes = given - BASE_MEMORY_BYTES;
        let share = |thousandths: u64| free_bytes / WHOLE * thousandths;
        Ok(Self {
            state_bytes: share(table.state),
            log_tail_bytes: share(table.log_tail),
            outbound_bytes: share(table.outbound),
            inbound_bytes: share(table.inbound),
            replies_bytes: share(table.replies),
            texts_bytes: share(table.texts),
            bodies_bytes: share(table.bodies),
            connections_bytes: share(table.connections),
            apply_bytes: share(table.headroom + table.connections) / APPLY_DIVISOR,
            disk_bytes: 0,
        })
    }

    /// Returns the sum of the shares of the memory, in bytes.
    pub fn memory_bytes(&self) -> u64 {
        self.state_bytes
            + self.log_tail_bytes
            + self.outbound_bytes
            + self.inbound_bytes
            + self.replies_bytes
            + self.texts_bytes
            + self.bodies_bytes
            + self.connections_bytes
    }

    /// Logs the shares of a role together with the limits that they come from; an unknown limit is 0.
    pub fn log(&self, role: &str, limits: ResourceLimits) {
        spdlog::info!("budget: shares", kv: {
            role,
            memory_bytes = limits.memory_bytes.unwrap_or(0),
            disk_bytes = limits.disk_bytes.unwrap_or(0),
            state = self.state_bytes,
            log_tail = self.log_tail_bytes,
            outbound = self.outbound_bytes,
            inbound = self.inbound_bytes,
            replies = self.replies_bytes,
            texts = self.texts_bytes,
            bodies = self.bodies_bytes,
            connections = self.connections_bytes,
            apply = self.apply_bytes,
            disk = self.disk_bytes,
        });
    }
}
