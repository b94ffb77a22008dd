//! Budgets of slots that many holders share under leases.
//!
//! A slot is granted to another holder only after its holder has returned it, or after both
//! the lease and the longest request that may run under it have ended. The ledger isn't
//! stored: a new leader starts with an empty one. Until the leases of the previous ledger
//! have ended, it grants holders only the slots that they report as held.

use std::collections::BTreeMap;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::ClockTime;
use crate::ident::RunId;

new_key_type! {
    /// Identifies a budget of a [`SlotLedger`].
    pub struct BudgetKey;
}

/// Size of a budget, and how long its slots stay reserved after a lease has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetConfig {
    /// Number of slots that may be granted in total.
    pub budget: u32,
    /// Longest time that a request may run on after the lease of its holder, in
    /// milliseconds.
    pub longest_request_ms: u64,
}

/// Slots that a holder may use until its lease expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotGrant {
    /// Number of slots that the holder may use in total, not in addition to earlier grants.
    pub count: u32,
    /// Expiry of the lease by the ledger's clock.
    pub until: ClockTime,
}

/// Request of a holder for slots of one budget.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// Process run that uses the slots.
    pub holder: RunId,
    /// Number that the holder raises with each request, so that a request which arrives
    /// late or twice is ignored.
    pub sequence: u64,
    /// Slots that the holder still treats as granted to it.
    pub held: u32,
    /// Slots that the holder wants in total; with less than `held` it returns the
    /// difference.
    pub want: u32,
}

#[derive(Debug, Clone, Copy)]
struct HolderEntry {
    grant: SlotGrant,
    sequence: u64,
}

#[derive(Debug)]
struct SlotBudget {
    config: BudgetConfig,
    /// Before this time, grants of an earlier ledger may still be in use.
    unknown_until: ClockTime,
    holders: BTreeMap<RunId, HolderEntry>,
}

impl SlotBudget {
    fn used(&self) -> u32 {
        self.holders.values().map(|entry| entry.grant.count).sum()
    }
}

/// Budgets, with the slots that each holder has of them.
#[derive(Debug)]
pub struct SlotLedger {
    lease_ms: u64,
    budgets: SlotMap<BudgetKey, SlotBudget>,
}

impl SlotLedger {
    /// Creates a ledger without budgets.
    ///
    /// A grant expires `lease_ms` milliseconds after the request that made or renewed it.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            budgets: SlotMap::with_key(),
        }
    }

    /// Adds a budget.
    ///
    /// Set `may_be_held` if grants of an earlier ledger may still be in use. Until those
    /// have ended, holders are granted only slots that they report as held.
    pub fn open(&mut self, now: ClockTime, config: BudgetConfig, may_be_held: bool) -> BudgetKey {
        let grace = self.lease_ms + config.longest_request_ms;
        self.budgets.insert(SlotBudget {
            config,
            unknown_until: if may_be_held { now + grace } else { now },
            holders: BTreeMap::new(),
        })
    }

    /// Removes a budget and its grants; later requests for it return `None`.
    pub fn close(&mut self, key: BudgetKey) {
        self.budgets.remove(key);
    }

    /// Changes the size of a budget and how long its slots stay reserved.
    ///
    /// If the grants exceed the new size, they shrink as their holders renew them.
    pub fn resize(&mut self, key: BudgetKey, config: BudgetConfig) {
        if let Some(budget) = self.budgets.get_mut(key) {
            budget.config = config;
        }
    }

    /// Returns the configuration of a budget, or `None` if the budget is unknown.
    pub fn config(&self, key: BudgetKey) -> Option<BudgetConfig> {
        self.budgets.get(key).map(|budget| budget.config)
    }

    /// Returns the number of slots that can't be granted to another holder, because they
    /// are granted, in use or possibly in use.
    pub fn used(&self, key: BudgetKey) -> u32 {
        self.budgets.get(key).map_or(0, SlotBudget::used)
    }

    /// Grants, renews or takes back the slots of one holder.
    ///
    /// Returns `None` if the budget is unknown, or if a request of the holder with the same
    /// or a higher sequence number was handled before.
    pub fn request(
        &mut self,
        now: ClockTime,
        key: BudgetKey,
        request: SlotRequest,
    ) -> Option<SlotGrant> {
        let until = now + self.lease_ms;
        let budget = self.budgets.get_mut(key)?;
        let known = budget.holders.get(&request.holder).copied();
        if known.is_some_and(|entry| entry.sequence >= request.sequence) {
            return None;
        }
        let granted = known.map_or(0, |entry| entry.grant.count);
        // A holder can have more slots than this ledger granted only while grants of an
        // earlier ledger may be in use.
        let held = match now < budget.unknown_until {
            true => granted.max(request.held),
            false => granted,
        };
        let granted_to_others = budget.used() - granted;
        let free = budget.config.budget.saturating_sub(granted_to_others);
        let kept = request.held.min(held).min(request.want);
        let count = match now < budget.unknown_until {
            true => kept,
            false => request.want.min(free),
        };
        let grant = SlotGrant { count, until };
        budget.holders.insert(
            request.holder,
            HolderEntry {
                grant: SlotGrant {
                    // Slots that the holder has above the new count stay reserved until a
                    // later request reports them as returned.
                    count: count.max(kept),
                    until,
                },
                sequence: request.sequence,
            },
        );
        Some(grant)
    }

    /// Frees the slots whose lease has expired and whose longest request must have ended.
    pub fn expire(&mut self, now: ClockTime) {
        for budget in self.budgets.values_mut() {
            let longest = budget.config.longest_request_ms;
            budget
                .holders
                .retain(|_, entry| now < entry.grant.until + longest);
        }
    }
}
