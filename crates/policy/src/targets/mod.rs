//! Targets: who is there, which one takes a request, what versions they load, and how
//! many there should be.

mod asked;
mod cell;
mod choice;
mod fleet;
mod life;
mod registry;
mod weights;

#[cfg(test)]
mod tests;

pub use asked::GrantTracker;
pub use cell::SlotPermit;
pub use cell::TargetCounters;
pub use choice::AffinityTable;
pub use choice::ChoiceRequest;
pub use choice::ChoiceTarget;
pub use choice::TargetChooser;
pub use choice::TargetKey;
pub use choice::prefix_digest;
pub use fleet::FleetConfig;
pub use fleet::FleetPlanner;
pub use fleet::PoolDemand;
pub use life::TargetLife;
pub use registry::REGISTRY_EXPIRY_MS;
pub use registry::TargetAnnouncement;
pub use registry::TargetName;
pub use registry::TargetRecord;
pub use registry::TargetRegistry;
pub use weights::WaveConfig;
pub use weights::WavePlanner;
