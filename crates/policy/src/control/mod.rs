//! The replicated control state.
//!
//! [`ControlState::apply`] is deterministic: every node that applies the same commands
//! holds the same state. Nothing in it reads a clock; the open usage window serves as a
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

/// A command to the control state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCommand {
    /// The group has reached its size for the first time; changes may be taken.
    MarkFormed {},
    /// Changes the configuration.
    Change {
        /// The change.
        change: ConfigChange,
    },
    /// Merges, closes or settles usage.
    Usage {
        /// The command.
        command: UsageCommand,
    },
    /// Intends or settles an order to the platform.
    Order {
        /// The command.
        command: OrderCommand,
    },
    /// Claims a call that may not be repeated.
    Claim {
        /// The command.
        command: ClaimCommand,
    },
    /// Submits, completes, fetches or acknowledges samples.
    Rollout {
        /// Trainer.
        trainer: String,
        /// The command.
        command: RolloutCommand,
    },
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlOutcome {
    /// Done, with nothing to tell.
    Done {},
    /// Result of a configuration change.
    Change {
        /// The result.
        outcome: ChangeOutcome,
    },
    /// Result of a claim command.
    Claim {
        /// The result.
        outcome: ClaimOutcome,
    },
    /// Result of a rollout command.
    Rollout {
        /// The result.
        outcome: RolloutOutcome,
    },
}

/// The whole replicated state. Changed by [`ControlState::apply`] only.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ControlState {
    /// Index of the last command applied.
    pub index: u64,
    /// Whether the group has reached its size once.
    pub formed: bool,
    /// Configuration.
    pub config: ConfigState,
    /// Usage windows.
    pub usage: UsageTable,
    /// Orders to the platform.
    pub orders: OrderTable,
    /// Claimed calls.
    pub claims: ClaimTable,
    /// Rollouts by trainer.
    pub trainers: BTreeMap<String, TrainerState>,
}

impl ControlState {
    /// Applies the command committed at `index`.
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

    /// Takes note of an entry without a command.
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
        let book = self.trainers.entry(trainer.to_owned()).or_default();
        let outcome = book.apply(index, row, command);
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
