//! Wire types of the plan: zones, customers, keys, services, pools and trainers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::mirror::mirror_enum;
use crate::mirror::mirror_struct;
use bergamotlane_policy::plan::CustomerRow;
use bergamotlane_policy::plan::KeyHash;
use bergamotlane_policy::plan::KeyRole;
use bergamotlane_policy::plan::KeyRow;
use bergamotlane_policy::plan::PlanSheet;
use bergamotlane_policy::plan::PoolRow;
use bergamotlane_policy::plan::ServiceKind;
use bergamotlane_policy::plan::ServiceRow;
use bergamotlane_policy::plan::TrainerRow;

mirror_enum! {
    /// Wire type of [`KeyRole`].
    KeyRoleWire for KeyRole { Caller {}, Target {}, Trainer {} }
}

mirror_struct! {
    /// Wire type of [`KeyRow`].
    KeyRowWire for KeyRow { id: String, role: KeyRole, owner: String }
}

mirror_struct! {
    /// Wire type of [`CustomerRow`].
    CustomerRowWire for CustomerRow { weight: u32, rate_per_s: u32, concurrency: u32 }
}

mirror_enum! {
    /// Wire type of [`ServiceKind`].
    ServiceKindWire for ServiceKind { Engine {}, Plain {} }
}

mirror_struct! {
    /// Wire type of [`ServiceRow`].
    ServiceRowWire for ServiceRow {
        kind: ServiceKind,
        customers: BTreeSet<String>,
        repeatable: bool,
        open: bool,
        deadline_ms: u32,
        target_slots: u32,
        cold_slots: u32,
        zones: BTreeSet<String>,
    }
}

mirror_struct! {
    /// Wire type of [`PoolRow`].
    PoolRowWire for PoolRow {
        service: String,
        zone: String,
        steady_min: u32,
        steady_max: u32,
        reclaimable_max: u32,
        steady_price: u32,
        reclaimable_price: u32,
    }
}

mirror_struct! {
    /// Wire type of [`TrainerRow`].
    TrainerRowWire for TrainerRow {
        customer: String,
        service: String,
        scorer: Option<String>,
        group_size: u32,
        step_samples: u32,
        max_age: u32,
        suffices_percent: u32,
    }
}

mirror_struct! {
    /// Wire type of [`PlanSheet`].
    PlanSheetWire for PlanSheet {
        based_on: u64,
        zones: BTreeSet<String>,
        customers: BTreeMap<String, CustomerRow>,
        keys: BTreeMap<KeyHash, KeyRow>,
        services: BTreeMap<String, ServiceRow>,
        pools: BTreeMap<String, PoolRow>,
        trainers: BTreeMap<String, TrainerRow>,
    }
}
