//! The control state, replicated by consensus.
//!
//! [`ControlState::apply`] is deterministic: all nodes that apply the same commands reach
//! the same state. It never reads a clock; the number of the open usage window serves as a
//! coarse one.

mod claim;
mod config;
mod order;
mod rollout;
mod sample;
mod usage;

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

pub use claim::ClaimCommand;
pub use claim::ClaimId;
pub use claim::ClaimOutcome;
pub use claim::ClaimRecord;
pub use claim::ClaimState;
pub use claim::ClaimTable;
pub use claim::MAX_CLAIMS;
pub use claim::MAX_KEPT_ANSWER_BYTES;
pub use config::ChangeBody;
pub use config::ChangeOutcome;
pub use config::ChangeRecord;
pub use config::ConfigChange;
pub use config::ConfigState;
pub use config::KeyGrant;
pub use order::OrderCommand;
pub use order::OrderKey;
pub use order::OrderRecord;
pub use order::OrderResult;
pub use order::OrderTable;
pub use order::PriceClass;
pub use rollout::TrainerState;
pub use sample::AttemptId;
pub use sample::AttemptRecord;
pub use sample::BatchRecord;
pub use sample::FetchOutcome;
pub use sample::GroupRecord;
pub use sample::NewGroup;
pub use sample::RolloutCommand;
pub use sample::RolloutOutcome;
pub use sample::SampleKey;
pub use sample::SampleRecord;
pub use usage::ClosedWindow;
pub use usage::RunMark;
pub use usage::UsageCommand;
pub use usage::UsageDelta;
pub use usage::UsageFigure;
pub use usage::UsageKey;
pub use usage::UsageTable;

/// A command of the replicated log that changes the control state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCommand {
    /// Records that the consensus group has reached its full size for the first time.
    /// Configuration changes are rejected until then.
    MarkFormed {},
    /// Changes the configuration.
    Change {
        /// The numbered change.
        change: ConfigChange,
    },
    /// Merges usage, closes a usage window or marks one as reported.
    Usage {
        /// The command to the usage table.
        command: UsageCommand,
    },
    /// Records the intent or the result of an order to the platform.
    Order {
        /// The command to the order table.
        command: OrderCommand,
    },
    /// Claims a call that isn't idempotent, or ends a claim.
    Claim {
        /// The command to the claim table.
        command: ClaimCommand,
    },
    /// Submits, completes, fetches or acknowledges samples.
    Rollout {
        /// ID of the trainer in the plan.
        trainer: String,
        /// The command to the state of that trainer.
        command: RolloutCommand,
    },
}

/// Result of a [`ControlCommand`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlOutcome {
    /// The command was applied and has no result.
    Done {},
    /// Result of [`ControlCommand::Change`].
    Change {
        /// Whether the change was accepted, and if not, why.
        outcome: ChangeOutcome,
    },
    /// Result of [`ControlCommand::Claim`].
    Claim {
        /// Whether the claim was granted, and if not, why.
        outcome: ClaimOutcome,
    },
    /// Result of [`ControlCommand::Rollout`].
    Rollout {
        /// Result specific to the rollout command.
        outcome: RolloutOutcome,
    },
}

/// The replicated control state, which only [`ControlState::apply`] and
/// [`ControlState::skip`] change.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ControlState {
    /// Log index of the last entry applied.
    pub index: u64,
    /// Whether the consensus group has ever reached its full size.
    pub formed: bool,
    /// Configuration: the plan and the changes made since.
    pub config: ConfigState,
    /// Usage by window.
    pub usage: UsageTable,
    /// Orders to the platform.
    pub orders: OrderTable,
    /// Claims of calls that aren't idempotent.
    pub claims: ClaimTable,
    /// Rollouts by trainer ID.
    pub trainers: BTreeMap<String, TrainerState>,
}

impl ControlState {
    /// Applies the command committed at log index `index`.
    pub fn apply(&mut self, index: u64, command: ControlCommand) -> ControlOutcome {
        self.index = index;
        match command {
            ControlCommand::MarkFormed {} => {
                self.formed = true;
                ControlOutcome::Done {}
            }
            ControlCommand::Change { change } => {
                let outcome = match self.formed {
                    true => self.config.apply(index, change),
                    false => ChangeOutcome::Forming {},
                };
                ControlOutcome::Change { outcome }
            }
            ControlCommand::Usage { command } => {
                if self.usage.apply(command) {
                    self.claims.expire(self.usage.open_window);
                }
                ControlOutcome::Done {}
            }
            ControlCommand::Order { command } => {
                self.orders.apply(index, command);
                ControlOutcome::Done {}
            }
            ControlCommand::Claim { command } => ControlOutcome::Claim {
                outcome: self.claims.apply(self.usage.open_window, command),
            },
            ControlCommand::Rollout { trainer, command } => ControlOutcome::Rollout {
                outcome: self.apply_rollout(index, &trainer, command),
            },
        }
    }

    /// Advances the index past a log entry that holds no command.
    pub fn skip(&mut self, index: u64) {
        self.index = index;
    }

    fn apply_rollout(
        &mut self,
        index: u64,
        trainer: &str,
        command: RolloutCommand,
    ) -> RolloutOutcome {
        let Some(row) = self.config.plan.trainers.get(trainer) else {
            return RolloutOutcome::UnknownTrainer {};
        };
        let state = self.trainers.entry(trainer.to_owned()).or_default();
        let outcome = state.apply(index, row, command);
        if let RolloutOutcome::Acknowledged { samples, tokens } = outcome {
            let key = UsageKey {
                customer: row.customer.clone(),
                service: row.service.clone(),
            };
            let figure = UsageFigure {
                samples,
                tokens,
                ..UsageFigure::default()
            };
            self.usage.charge(key, &figure);
        }
        outcome
    }
}
