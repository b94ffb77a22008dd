//! Configuration: the plan, and the operators' changes on top of it.
//!
//! Changes are numbered without gaps. Each names the number that it expects to get, so of
//! two operators who race for a number one gets a conflict.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::finding::Finding;
use crate::plan::KeyHash;
use crate::plan::KeyRole;
use crate::plan::KeyRow;
use crate::plan::PlanSheet;

/// Number of changes remembered, so that a resent change gets its original answer.
const MAX_HISTORY: u64 = 10_000;

/// A numbered configuration change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigChange {
    /// Number of the configuration after the change.
    pub number: u64,
    /// BLAKE3 hash of the body in its wire encoding, by which a resent change is told from
    /// another one with the same number.
    pub digest: KeyHash,
    /// The change itself.
    pub body: ChangeBody,
}

/// Content of a configuration change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeBody {
    /// Replaces the plan. Withdrawn keys stay withdrawn and pulled zones stay pulled.
    ReplacePlan {
        /// The new plan.
        sheet: PlanSheet,
    },
    /// Grants a key beside those of the plan.
    GrantKey {
        /// Hash of the key; must be neither in use nor withdrawn.
        hash: KeyHash,
        /// ID, role and owner of the key.
        row: KeyRow,
    },
    /// Withdraws a key permanently.
    WithdrawKey {
        /// ID of the key.
        id: String,
    },
    /// Stops routing to an availability zone.
    PullZone {
        /// Availability zone of the plan.
        zone: String,
    },
    /// Resumes routing to an availability zone that was pulled.
    RestoreZone {
        /// Availability zone of the plan.
        zone: String,
    },
}

impl ChangeBody {
    /// Returns a one-line description of the change for operators.
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

/// Result of a [`ConfigChange`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is committed, and in force at all entries within seconds.
    Accepted {
        /// Number of the configuration after the change.
        number: u64,
        /// Log index of the change.
        index: u64,
    },
    /// Another change already has the number.
    Conflict {
        /// The number that both changes claim.
        number: u64,
        /// Summary of the change that has the number.
        theirs: String,
        /// Summary of the change that was rejected.
        yours: String,
    },
    /// The number is greater than the next one.
    Gap {
        /// The next number.
        next: u64,
    },
    /// The number is so old that its change is no longer remembered.
    Forgotten {
        /// The oldest number remembered.
        oldest: u64,
    },
    /// The change contradicts the configuration; nothing was changed.
    Refused {
        /// All contradictions found.
        findings: Vec<Finding>,
    },
    /// The consensus group hasn't reached its full size yet.
    Forming {},
}

/// An accepted change, as kept in the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRecord {
    /// BLAKE3 hash of the body in its wire encoding.
    pub digest: KeyHash,
    /// Log index of the change.
    pub index: u64,
    /// One-line description from [`ChangeBody::summary`].
    pub summary: String,
}

/// A key that was granted after the plan was exported.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyGrant {
    /// ID, role and owner of the key.
    pub row: KeyRow,
    /// Number of the change that granted the key.
    pub number: u64,
}

/// Current configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ConfigState {
    /// Number of the last change.
    pub number: u64,
    /// Number of the change that last replaced the plan.
    pub plan_number: u64,
    /// The current plan.
    pub plan: PlanSheet,
    /// Keys granted beside those of the plan.
    pub granted: BTreeMap<KeyHash, KeyGrant>,
    /// Hashes of withdrawn keys, which can never be granted again.
    pub withdrawn: BTreeSet<KeyHash>,
    /// Availability zones that get no requests.
    pub pulled: BTreeSet<String>,
    /// The last accepted changes by number.
    pub history: BTreeMap<u64, ChangeRecord>,
}

impl ConfigState {
    /// Returns the keys in force: those of the plan and the granted ones, without the
    /// withdrawn ones.
    pub fn live_keys(&self) -> impl Iterator<Item = (&KeyHash, &KeyRow)> {
        let granted = self.granted.iter().map(|(hash, grant)| (hash, &grant.row));
        let all = self.plan.keys.iter().chain(granted);
        all.filter(|(hash, _)| !self.withdrawn.contains(*hash))
    }

    /// Returns the plan with all keys in force, marked as exported from the current number.
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
            return self.repeat_outcome(&change);
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
        self.history.retain(|number, _| number + MAX_HISTORY > next);
        self.apply_body(change.body);
        ChangeOutcome::Accepted {
            number: next,
            index,
        }
    }

    /// Returns the outcome of a change whose number is already taken: the original one if
    /// it is the same change, otherwise a conflict.
    fn repeat_outcome(&self, change: &ConfigChange) -> ChangeOutcome {
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

    /// Returns the contradictions between a change and the current configuration.
    fn check(&self, body: &ChangeBody) -> Vec<Finding> {
        let mut findings = Vec::new();
        match body {
            ChangeBody::ReplacePlan { sheet } => {
                if sheet.based_on < self.plan_number || sheet.based_on > self.number {
                    let message = format!(
                        "sheet was exported from number {}, expected {} to {}",
                        sheet.based_on, self.plan_number, self.number
                    );
                    findings.push(Finding::field("plan", message));
                }
            }
            ChangeBody::GrantKey { hash, row } => self.check_grant(hash, row, &mut findings),
            ChangeBody::WithdrawKey { id } => {
                if !self.all_keys().any(|(_, row)| row.id == *id) {
                    findings.push(Finding::field("key", format!("there is no key {id:?}")));
                }
            }
            ChangeBody::PullZone { zone } | ChangeBody::RestoreZone { zone } => {
                if !self.plan.zones.contains(zone) {
                    findings.push(Finding::field(
                        "zone",
                        format!("the plan has no zone {zone:?}"),
                    ));
                }
            }
        }
        findings
    }

    fn check_grant(&self, hash: &KeyHash, row: &KeyRow, findings: &mut Vec<Finding>) {
        if self.withdrawn.contains(hash) {
            let message = "this key was withdrawn and can't be granted again";
            findings.push(Finding::field("hash", message));
        }
        if self
            .all_keys()
            .any(|(known, it)| known == hash || it.id == row.id)
        {
            findings.push(Finding::field(
                "key",
                "the ID or the hash is already in use",
            ));
        }
        let known = match row.role {
            KeyRole::Caller => self.plan.customers.contains_key(&row.owner),
            KeyRole::Target => self.plan.services.contains_key(&row.owner),
            KeyRole::Trainer => self.plan.trainers.contains_key(&row.owner),
        };
        if !known {
            let message = format!("the plan has no owner {:?} for this role", row.owner);
            findings.push(Finding::field("owner", message));
        }
    }

    /// Returns the keys of the plan and the granted ones, including withdrawn ones.
    fn all_keys(&self) -> impl Iterator<Item = (&KeyHash, &KeyRow)> {
        let granted = self.granted.iter().map(|(hash, grant)| (hash, &grant.row));
        self.plan.keys.iter().chain(granted)
    }

    fn apply_body(&mut self, body: ChangeBody) {
        match body {
            ChangeBody::ReplacePlan { sheet } => {
                // The export contained every key granted up to its number, so one that is
                // missing from the sheet was deleted by an operator.
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
