//! Targets: the leader's registry, selection per request, slot grants, weight updates and
//! desired counts.

mod choice;
mod counters;
mod fleet;
mod grants;
mod life;
mod registry;
mod weights;

#[cfg(test)]
mod tests;

pub use choice::AffinityTable;
pub use choice::ChoiceRequest;
pub use choice::ChoiceTarget;
pub use choice::TargetChooser;
pub use choice::TargetKey;
pub use choice::prefix_digest;
pub use choice::software_digest;
pub use counters::SlotPermit;
pub use counters::TargetCounters;
pub use fleet::FleetConfig;
pub use fleet::FleetPlanner;
pub use fleet::PoolDemand;
pub use grants::GrantTracker;
pub use life::TargetLife;
pub use registry::REGISTRY_EXPIRY_MS;
pub use registry::TargetAnnouncement;
pub use registry::TargetName;
pub use registry::TargetRecord;
pub use registry::TargetRegistry;
pub use weights::WaveConfig;
pub use weights::WavePlanner;
