//! Claims: a call that may not be repeated runs at most once.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::plan::KeyHash;
use bergamotlane_coordination::ident::RunId;

/// Claims kept at most; the oldest go first.
pub const MAX_CLAIMS: usize = 100_000;

/// Windows that a claim is kept for.
const CLAIM_KEPT_WINDOWS: u64 = 60;

/// Largest answer kept for a resend, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 16 * 1024;

/// A call of a customer, by its request ID.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimId {
    /// Customer.
    pub customer: String,
    /// Service.
    pub service: String,
    /// Hash of the request ID.
    pub request: KeyHash,
}

/// How far a claimed call has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// The claiming process may send it or has sent it.
    Running {},
    /// The answer is known.
    Answered {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Body, or `None` if it was too large to keep.
        body: Option<Bytes>,
    },
}

/// A claim as kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Process run that holds the claim.
    pub run: RunId,
    /// Number of the claim within that run.
    pub attempt: u64,
    /// Hash of the request, so that an ID used for another request is found.
    pub digest: KeyHash,
    /// Usage window in which it was claimed.
    pub window: u64,
    /// How far it has come.
    pub state: ClaimState,
}

/// A command to the claim table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimCommand {
    /// Claims a call before its first byte is sent.
    Take {
        /// The call.
        id: ClaimId,
        /// Process run that claims.
        run: RunId,
        /// Number of the claim within that run; a repeated command has the same.
        attempt: u64,
        /// Hash of method, path and body.
        digest: KeyHash,
    },
    /// Records the answer.
    Finish {
        /// The call.
        id: ClaimId,
        /// Process run that claimed.
        run: RunId,
        /// The answer.
        state: ClaimState,
    },
    /// Gives a claim back, since no byte was sent.
    Release {
        /// The call.
        id: ClaimId,
        /// Process run that claimed.
        run: RunId,
    },
}

/// Result of a claim command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim is the caller's.
    Granted {},
    /// Another attempt may have run; its answer isn't known.
    MayHaveRun {},
    /// The answer that the first attempt got.
    Kept {
        /// The answer.
        state: ClaimState,
    },
    /// The request ID was used for another request.
    OtherRequest {},
    /// Recorded.
    Recorded {},
}

/// Claims by call.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClaimTable {
    /// The claims.
    pub claims: BTreeMap<ClaimId, ClaimRecord>,
}

impl ClaimTable {
    pub(super) fn apply(&mut self, window: u64, command: ClaimCommand) -> ClaimOutcome {
        match command {
            ClaimCommand::Take {
                id,
                run,
                attempt,
                digest,
            } => {
                let record = ClaimRecord {
                    run,
                    attempt,
                    digest,
                    window,
                    state: ClaimState::Running {},
                };
                self.take(id, record)
            }
            ClaimCommand::Finish { id, run, state } => {
                if let Some(record) = self.claims.get_mut(&id)
                    && record.run == run
                {
                    record.state = state;
                }
                ClaimOutcome::Recorded {}
            }
            ClaimCommand::Release { id, run } => {
                if let Some(record) = self.claims.get(&id)
                    && record.run == run
                    && record.state == (ClaimState::Running {})
                {
                    self.claims.remove(&id);
                }
                ClaimOutcome::Recorded {}
            }
        }
    }

    fn take(&mut self, id: ClaimId, claim: ClaimRecord) -> ClaimOutcome {
        let Some(known) = self.claims.get(&id) else {
            self.claims.insert(id, claim);
            return ClaimOutcome::Granted {};
        };
        if known.digest != claim.digest {
            return ClaimOutcome::OtherRequest {};
        }
        match &known.state {
            ClaimState::Answered { body: Some(_), .. } => ClaimOutcome::Kept {
                state: known.state.clone(),
            },
            // The same command again, after its answer was lost.
            ClaimState::Running {} if (known.run, known.attempt) == (claim.run, claim.attempt) => {
                ClaimOutcome::Granted {}
            }
            _ => ClaimOutcome::MayHaveRun {},
        }
    }

    /// Drops claims of long ago; called when a window closes.
    pub(super) fn expire(&mut self, open_window: u64) {
        self.claims
            .retain(|_, record| record.window + CLAIM_KEPT_WINDOWS > open_window);
        let surplus = self.claims.len().saturating_sub(MAX_CLAIMS);
        if surplus == 0 {
            return;
        }
        let mut by_age: Vec<(u64, ClaimId)> = self
            .claims
            .iter()
            .map(|(id, record)| (record.window, id.clone()))
            .collect();
        by_age.sort();
        for (_, id) in by_age.into_iter().take(surplus) {
            self.claims.remove(&id);
        }
    }
}
