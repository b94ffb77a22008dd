//! One budget of slots per target, shared by many holders under leases.
//!
//! A slot is granted again only when its holder returned it, or when the lease and the
//! longest request that may run under it are over. A ledger that starts without memory
//! of earlier grants first honours what holders say they have.

use std::collections::BTreeMap;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::clock::ClockTime;
use crate::ident::RunId;

new_key_type! {
    /// Key of a budget in a [`SlotLedger`].
    pub struct BudgetKey;
}

/// Size of a budget, and how long its slots stay in use after a lease has run out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetConfig {
    /// Number of slots.
    pub budget: u32,
    /// Longest time that a request may go on after its holder's lease, in milliseconds.
    pub longest_request_ms: u64,
}

/// Slots that a holder may use until a point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotGrant {
    /// Number of slots.
    pub count: u32,
    /// End of the lease, by the ledger's clock.
    pub until: ClockTime,
}

/// What a holder asks for.
#[derive(Debug, Clone, Copy)]
pub struct SlotRequest {
    /// The holder.
    pub holder: RunId,
    /// Rises with each request of the holder; an older request is ignored.
    pub sequence: u64,
    /// Slots that the holder still counts as its own.
    pub held: u32,
    /// Slots wanted in all; less than `held` returns the difference.
    pub want: u32,
}

#[derive(Debug, Clone, Copy)]
struct HolderEntry {
    grant: SlotGrant,
    sequence: u64,
}

#[derive(Debug)]
struct SlotBudget {
    terms: BudgetConfig,
    /// Before this time grants of an earlier ledger may still be in use.
    unknown_until: ClockTime,
    holders: BTreeMap<RunId, HolderEntry>,
}

impl SlotBudget {
    fn used(&self) -> u32 {
        self.holders.values().map(|entry| entry.grant.count).sum()
    }
}

/// Budgets of all targets and who holds what of them.
#[derive(Debug)]
pub struct SlotLedger {
    lease_ms: u64,
    budgets: SlotMap<BudgetKey, SlotBudget>,
}

impl SlotLedger {
    /// Creates a ledger without budgets, whose grants last `lease_ms` without renewal.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            budgets: SlotMap::with_key(),
        }
    }

    /// Adds a budget.
    ///
    /// If `may_be_held`, grants of an earlier ledger may exist: until they have run out
    /// only slots that holders say they have are granted.
    pub fn open(&mut self, now: ClockTime, terms: BudgetConfig, may_be_held: bool) -> BudgetKey {
        let grace = self.lease_ms + terms.longest_request_ms;
        self.budgets.insert(SlotBudget {
            terms,
            unknown_until: if may_be_held { now + grace } else { now },
            holders: BTreeMap::new(),
        })
    }

    /// Removes a budget.
    pub fn close(&mut self, key: BudgetKey) {
        self.budgets.remove(key);
    }

    /// Sets the terms of a budget; grants above it shrink as their holders renew.
    pub fn resize(&mut self, key: BudgetKey, terms: BudgetConfig) {
        if let Some(slots) = self.budgets.get_mut(key) {
            slots.terms = terms;
        }
    }

    /// Returns the terms of a budget.
    pub fn config(&self, key: BudgetKey) -> Option<BudgetConfig> {
        self.budgets.get(key).map(|slots| slots.terms)
    }

    /// Returns the number of slots granted or not yet known to be free.
    pub fn used(&self, key: BudgetKey) -> u32 {
        self.budgets.get(key).map_or(0, SlotBudget::used)
    }

    /// Grants, renews or takes back slots of one holder.
    ///
    /// Returns `None` if the budget is unknown or the request is older than one handled.
    pub fn request(
        &mut self,
        now: ClockTime,
        key: BudgetKey,
        request: SlotRequest,
    ) -> Option<SlotGrant> {
        let until = now + self.lease_ms;
        let slots = self.budgets.get_mut(key)?;
        let known = slots.holders.get(&request.holder).copied();
        if known.is_some_and(|entry| entry.sequence >= request.sequence) {
            return None;
        }
        let own = known.map_or(0, |entry| entry.grant.count);
        // A holder never has more than it was granted, except from an earlier ledger.
        let held = match now < slots.unknown_until {
            true => own.max(request.held),
            false => own,
        };
        let others = slots.used() - own;
        let free = slots.terms.budget.saturating_sub(others);
        let kept = request.held.min(held).min(request.want);
        let count = match now < slots.unknown_until {
            true => kept,
            false => request.want.min(free),
        };
        let grant = SlotGrant { count, until };
        slots.holders.insert(
            request.holder,
            HolderEntry {
                grant: SlotGrant {
                    // Slots in use above the new count stay counted until returned.
                    count: count.max(kept),
                    until,
                },
                sequence: request.sequence,
            },
        );
        Some(grant)
    }

    /// Frees slots whose lease and longest request are over.
    pub fn expire(&mut self, now: ClockTime) {
        for slots in self.budgets.values_mut() {
            let longest = slots.terms.longest_request_ms;
            slots
                .holders
                .retain(|_, entry| now < entry.grant.until + longest);
        }
    }
}
