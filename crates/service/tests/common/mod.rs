//! Parts that several test programs share.

use std::collections::BTreeMap;

use bergamotlane_service::registry::TargetAnnouncement;
use bergamotlane_service::registry::TargetStage;
use bergamotlane_service::registry::TargetView;

/// Returns the view of a ready target with six slots in zone "a" of the service "desk".
pub fn target_view(id: &str) -> TargetView {
    TargetView {
        announcement: TargetAnnouncement {
            id: id.to_owned(),
            service: "desk".to_owned(),
            address: "10.0.0.1:80".parse().unwrap(),
            zone: "a".to_owned(),
            capacity: 6,
            is_draining: false,
            cold_left_ms: 0,
            models: BTreeMap::new(),
            software: Some("v1".to_owned()),
            sequence: 1,
            born: 1,
            is_reclaimable: false,
        },
        stage: TargetStage::Ready,
        rate_limit: None,
    }
}
