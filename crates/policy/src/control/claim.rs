//! Claims, which make sure that a call that isn't idempotent runs at most once.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::plan::KeyHash;
use bergamotlane_coordination::ident::RunId;

/// Maximum number of claims kept when a usage window closes; the oldest are removed first.
pub const MAX_CLAIMS: usize = 100_000;

/// Number of usage windows for which a claim is kept.
const CLAIM_KEPT_WINDOWS: u64 = 60;

/// Largest answer body that is kept for repeated requests, in bytes.
pub const MAX_KEPT_ANSWER_BYTES: usize = 16 * 1024;

/// Identity of a customer's call, by its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClaimId {
    /// ID of the customer.
    pub customer: String,
    /// ID of the service.
    pub service: String,
    /// Hash of the request ID that the caller chose.
    pub request: KeyHash,
}

/// Progress of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimState {
    /// The process that holds the claim may have sent the call.
    Running {},
    /// The call was answered.
    Answered {
        /// HTTP status code.
        status: u16,
        /// Value of the `content-type` header.
        content_type: String,
        /// Body, or `None` if it is larger than [`MAX_KEPT_ANSWER_BYTES`].
        body: Option<Bytes>,
    },
}

/// A granted claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Process run that holds the claim.
    pub run: RunId,
    /// Number of the claim within that process run.
    pub attempt: u64,
    /// Hash of the request, by which reuse of a request ID for another request is detected.
    pub digest: KeyHash,
    /// Usage window in which the claim was granted.
    pub window: u64,
    /// Progress of the call.
    pub state: ClaimState,
}

/// A command to the [`ClaimTable`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimCommand {
    /// Claims a call; must be committed before the first byte of the call is sent.
    Take {
        /// The call.
        id: ClaimId,
        /// Process run that claims the call.
        run: RunId,
        /// Number of the claim within that process run; a resent command has the same.
        attempt: u64,
        /// Hash of method, path and body.
        digest: KeyHash,
    },
    /// Records the answer to a claimed call.
    Finish {
        /// The call.
        id: ClaimId,
        /// Process run that holds the claim; the command is ignored for any other.
        run: RunId,
        /// The answer.
        state: ClaimState,
    },
    /// Releases a claim of which no byte was sent, so that the call may be claimed again.
    Release {
        /// The call.
        id: ClaimId,
        /// Process run that holds the claim; the command is ignored for any other.
        run: RunId,
    },
}

/// Result of a [`ClaimCommand`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claim was granted; the call may be sent.
    Granted {},
    /// An earlier attempt may have run the call, and its answer isn't available.
    MayHaveRun {},
    /// An earlier attempt has run the call.
    Kept {
        /// The answer that it got.
        state: ClaimState,
    },
    /// The request ID was already used for another request.
    OtherRequest {},
    /// A `Finish` or `Release` command was applied.
    Recorded {},
}

/// Claims of calls that aren't idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ClaimTable {
    /// The claim of each call.
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
            // The same command was resent after its result was lost.
            ClaimState::Running {} if (known.run, known.attempt) == (claim.run, claim.attempt) => {
                ClaimOutcome::Granted {}
            }
            _ => ClaimOutcome::MayHaveRun {},
        }
    }

    /// Removes old and surplus claims; called whenever a usage window closes.
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
