//! Wire types of target announcements and target states.

use crate::mirror::mirror_enum;
use crate::mirror::mirror_struct;
use bergamotlane_policy::control::PriceClass;
use bergamotlane_policy::targets::TargetAnnouncement;
use bergamotlane_policy::targets::TargetLife;
use bergamotlane_policy::targets::TargetName;

mirror_enum! {
    /// Wire type of [`TargetLife`].
    TargetLifeWire for TargetLife { Cold {}, Warm {}, Leaving {}, Gone {} }
}

mirror_struct! {
    /// Wire type of [`TargetName`].
    TargetNameWire for TargetName { service: String, name: String }
}

mirror_struct! {
    /// Wire type of [`TargetAnnouncement`].
    TargetAnnouncementWire for TargetAnnouncement {
        target: TargetName,
        boot: u64,
        address: String,
        zone: String,
        class: PriceClass,
        warm: bool,
        leaving: bool,
        version: u64,
        #[serde(default)]
        software: u64,
        load: u32,
    }
}
