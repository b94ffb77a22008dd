//! Configuration: the plan, and what operators did since the sheet was exported.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::finding::Finding;
use crate::plan::KeyHash;
use crate::plan::KeyRole;
use crate::plan::KeyRow;
use crate::plan::PlanSheet;

/// Changes remembered so that a resent one gets its first answer.
const HISTORY_KEPT: u64 = 10_000;

/// A numbered change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigChange {
    /// Number that the configuration has after the change.
    pub number: u64,
    /// BLAKE3 hash of the body as the wire carries it.
    pub digest: KeyHash,
    /// What changes.
    pub body: ChangeBody,
}

/// What a change does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeBody {
    /// Replaces the plan, but revives no withdrawn key and no pulled zone.
    ReplacePlan {
        /// The new plan.
        sheet: PlanSheet,
    },
    /// Grants a key.
    GrantKey {
        /// Hash of the key.
        hash: KeyHash,
        /// What it is for.
        row: KeyRow,
    },
    /// Withdraws a key for good.
    WithdrawKey {
        /// Name of the key.
        id: String,
    },
    /// Takes a zone out.
    PullZone {
        /// The zone.
        zone: String,
    },
    /// Brings a pulled zone back.
    RestoreZone {
        /// The zone.
        zone: String,
    },
}

impl ChangeBody {
    /// Returns one line that tells the change to an operator.
    pub fn summary(&self) -> String {
        match self {
            Self::ReplacePlan { sheet } => format!("sheet based on {}", sheet.based_on),
            Self::GrantKey { row, .. } => format!("grant key {}", row.id),
            Self::WithdrawKey { id } => format!("withdraw key {id}"),
            Self::PullZone { zone } => format!("pull zone {zone}"),
            Self::RestoreZone { zone } => format!("restore zone {zone}"),
        }
    }
}

/// Answer to a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// Accepted; in force everywhere within seconds.
    Accepted {
        /// Number of the configuration after the change.
        number: u64,
        /// Log index of the change.
        index: u64,
    },
    /// Another change has the number.
    Conflict {
        /// The number.
        number: u64,
        /// The change that has it.
        theirs: String,
        /// The change refused.
        yours: String,
    },
    /// The number is too far ahead.
    Gap {
        /// The next number.
        next: u64,
    },
    /// The number is older than what is remembered.
    Forgotten {
        /// The oldest number remembered.
        oldest: u64,
    },
    /// The change doesn't fit the configuration; nothing was changed.
    Refused {
        /// Every fault found.
        findings: Vec<Finding>,
    },
    /// The group has not reached its size yet.
    Forming {},
}

/// A change as remembered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRecord {
    /// BLAKE3 hash of the body.
    pub digest: KeyHash,
    /// Log index.
    pub index: u64,
    /// One line for operators.
    pub summary: String,
}

/// A key granted since the sheet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyGrant {
    /// What the key is for.
    pub row: KeyRow,
    /// Number of the change that granted it.
    pub number: u64,
}

/// Configuration in force.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConfigState {
    /// Number of the last change.
    pub number: u64,
    /// Number of the change that brought the plan.
    pub plan_number: u64,
    /// The plan.
    pub plan: PlanSheet,
    /// Keys granted beside the sheet.
    pub granted: BTreeMap<KeyHash, KeyGrant>,
    /// Keys withdrawn, for good.
    pub withdrawn: BTreeSet<KeyHash>,
    /// Zones taken out.
    pub pulled: BTreeSet<String>,
    /// Changes by number.
    pub history: BTreeMap<u64, ChangeRecord>,
}

impl ConfigState {
    /// Returns the keys that work, with what they are for.
    pub fn live_keys(&self) -> impl Iterator<Item = (&KeyHash, &KeyRow)> {
        let granted = self.granted.iter().map(|(hash, grant)| (hash, &grant.row));
        let all = self.plan.keys.iter().chain(granted);
        all.filter(|(hash, _)| !self.withdrawn.contains(*hash))
    }

    /// Returns the plan as a sheet that names the present number.
    pub fn export(&self) -> PlanSheet {
        let mut sheet = self.plan.clone();
        sheet.based_on = self.number;
        sheet.keys = self
            .live_keys()
            .map(|(hash, row)| (*hash, row.clone()))
            .collect();
        sheet
    }

    pub(super) fn apply(&mut self, index: u64, change: ConfigChange) -> ChangeOutcome {
        if change.number <= self.number {
            return self.answer_again(&change);
        }
        let next = self.number + 1;
        if change.number > next {
            return ChangeOutcome::Gap { next };
        }
        let findings = self.check(&change.body);
        if !findings.is_empty() {
            return ChangeOutcome::Refused { findings };
        }
        let record = ChangeRecord {
            digest: change.digest,
            index,
            summary: change.body.summary(),
        };
        self.number = next;
        self.history.insert(next, record);
        self.history
            .retain(|number, _| number + HISTORY_KEPT > next);
        self.change(change.body);
        ChangeOutcome::Accepted {
            number: next,
            index,
        }
    }

    fn answer_again(&self, change: &ConfigChange) -> ChangeOutcome {
        let Some(record) = self.history.get(&change.number) else {
            let oldest = self.history.keys().next().copied().unwrap_or_default();
            return ChangeOutcome::Forgotten { oldest };
        };
        if record.digest == change.digest {
            return ChangeOutcome::Accepted {
                number: change.number,
                index: record.index,
            };
        }
        ChangeOutcome::Conflict {
            number: change.number,
            theirs: record.summary.clone(),
            yours: change.body.summary(),
        }
    }

    fn check(&self, body: &ChangeBody) -> Vec<Finding> {
        let mut findings = Vec::new();
        match body {
            ChangeBody::ReplacePlan { sheet } => {
                if sheet.based_on < self.plan_number || sheet.based_on > self.number {
                    let message = format!(
                        "sheet was exported from number {}, but the plan is of number {}",
                        sheet.based_on, self.plan_number
                    );
                    findings.push(Finding::field("plan", message));
                }
            }
            ChangeBody::GrantKey { hash, row } => self.check_grant(hash, row, &mut findings),
            ChangeBody::WithdrawKey { id } => {
                if !self.all_keys().any(|(_, row)| row.id == *id) {
                    findings.push(Finding::field("key", format!("no key {id:?}")));
                }
            }
            ChangeBody::PullZone { zone } | ChangeBody::RestoreZone { zone } => {
                if !self.plan.zones.contains(zone) {
                    findings.push(Finding::field("zone", format!("no zone {zone:?}")));
                }
            }
        }
        findings
    }

    fn check_grant(&self, hash: &KeyHash, row: &KeyRow, findings: &mut Vec<Finding>) {
        if self.withdrawn.contains(hash) {
            findings.push(Finding::field("hash", "this key was withdrawn"));
        }
        if self
            .all_keys()
            .any(|(known, it)| known == hash || it.id == row.id)
        {
            findings.push(Finding::field("key", "the ID or the hash is in use"));
        }
        let known = match row.role {
            KeyRole::Caller => self.plan.customers.contains_key(&row.owner),
            KeyRole::Target => self.plan.services.contains_key(&row.owner),
            KeyRole::Trainer => self.plan.trainers.contains_key(&row.owner),
        };
        if !known {
            findings.push(Finding::field("owner", format!("no owner {:?}", row.owner)));
        }
    }

    fn all_keys(&self) -> impl Iterator<Item = (&KeyHash, &KeyRow)> {
        let granted = self.granted.iter().map(|(hash, grant)| (hash, &grant.row));
        self.plan.keys.iter().chain(granted)
    }

    fn change(&mut self, body: ChangeBody) {
        match body {
            ChangeBody::ReplacePlan { sheet } => {
                // The export held every key granted up to its number, so a missing one
                // was taken out by the planner.
                let based_on = sheet.based_on;
                self.granted.retain(|_, grant| grant.number > based_on);
                self.plan = sheet;
                self.plan_number = self.number;
            }
            ChangeBody::GrantKey { hash, row } => {
                let number = self.number;
                self.granted.insert(hash, KeyGrant { row, number });
            }
            ChangeBody::WithdrawKey { id } => {
                let hashes: Vec<KeyHash> = self
                    .all_keys()
                    .filter(|(_, row)| row.id == id)
                    .map(|(hash, _)| *hash)
                    .collect();
                self.withdrawn.extend(hashes);
            }
            ChangeBody::PullZone { zone } => {
                self.pulled.insert(zone);
            }
            ChangeBody::RestoreZone { zone } => {
                self.pulled.remove(&zone);
            }
        }
    }
}
