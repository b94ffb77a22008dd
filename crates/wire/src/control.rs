//! Wire types of the control state, its commands and their outcomes.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use bytes::Bytes;

use crate::codec::WireError;
use crate::mirror::Mirror;
use crate::mirror::mirror_conversions;
use crate::mirror::mirror_enum;
use crate::mirror::mirror_struct;
use bergamotlane_coordination::ident::RunId;
use bergamotlane_policy::control::AttemptId;
use bergamotlane_policy::control::AttemptRecord;
use bergamotlane_policy::control::BatchRecord;
use bergamotlane_policy::control::ChangeBody;
use bergamotlane_policy::control::ChangeOutcome;
use bergamotlane_policy::control::ChangeRecord;
use bergamotlane_policy::control::ClaimCommand;
use bergamotlane_policy::control::ClaimId;
use bergamotlane_policy::control::ClaimOutcome;
use bergamotlane_policy::control::ClaimRecord;
use bergamotlane_policy::control::ClaimState;
use bergamotlane_policy::control::ClaimTable;
use bergamotlane_policy::control::ClosedWindow;
use bergamotlane_policy::control::ConfigChange;
use bergamotlane_policy::control::ConfigState;
use bergamotlane_policy::control::ControlCommand;
use bergamotlane_policy::control::ControlOutcome;
use bergamotlane_policy::control::ControlState;
use bergamotlane_policy::control::FetchOutcome;
use bergamotlane_policy::control::GroupRecord;
use bergamotlane_policy::control::KeyGrant;
use bergamotlane_policy::control::NewGroup;
use bergamotlane_policy::control::OrderCommand;
use bergamotlane_policy::control::OrderKey;
use bergamotlane_policy::control::OrderRecord;
use bergamotlane_policy::control::OrderResult;
use bergamotlane_policy::control::OrderTable;
use bergamotlane_policy::control::PriceClass;
use bergamotlane_policy::control::RolloutCommand;
use bergamotlane_policy::control::RolloutOutcome;
use bergamotlane_policy::control::RunMark;
use bergamotlane_policy::control::SampleKey;
use bergamotlane_policy::control::SampleRecord;
use bergamotlane_policy::control::TrainerState;
use bergamotlane_policy::control::UsageCommand;
use bergamotlane_policy::control::UsageDelta;
use bergamotlane_policy::control::UsageFigure;
use bergamotlane_policy::control::UsageKey;
use bergamotlane_policy::control::UsageTable;
use bergamotlane_policy::finding::Finding;
use bergamotlane_policy::finding::FindingPlace;
use bergamotlane_policy::plan::KeyHash;
use bergamotlane_policy::plan::KeyRow;
use bergamotlane_policy::plan::PlanSheet;

/// Wire type of [`FindingPlace`].
#[derive(Debug, Clone, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum FindingPlaceWire {
    Whole,
    Cell { row: u64, column: String },
    Field(String),
}

impl Mirror for FindingPlace {
    type Wire = FindingPlaceWire;

    fn to_wire(&self) -> FindingPlaceWire {
        match self.clone() {
            Self::Whole => FindingPlaceWire::Whole,
            Self::Cell { row, column } => FindingPlaceWire::Cell { row, column },
            Self::Field(name) => FindingPlaceWire::Field(name),
        }
    }

    fn from_wire(wire: FindingPlaceWire) -> Result<Self, WireError> {
        Ok(match wire {
            FindingPlaceWire::Whole => Self::Whole,
            FindingPlaceWire::Cell { row, column } => Self::Cell { row, column },
            FindingPlaceWire::Field(name) => Self::Field(name),
        })
    }
}

mirror_conversions!(FindingPlaceWire, FindingPlace);

mirror_struct! {
    /// Wire type of [`Finding`].
    FindingWire for Finding { place: FindingPlace, message: String }
}

mirror_enum! {
    /// Wire type of [`ChangeBody`].
    ChangeBodyWire for ChangeBody {
        ReplacePlan { sheet: PlanSheet },
        GrantKey { hash: KeyHash, row: KeyRow },
        WithdrawKey { id: String },
        PullZone { zone: String },
        RestoreZone { zone: String },
    }
}

mirror_struct! {
    /// Wire type of [`ConfigChange`].
    ConfigChangeWire for ConfigChange { number: u64, digest: KeyHash, body: ChangeBody }
}

mirror_enum! {
    /// Wire type of [`ChangeOutcome`].
    ChangeOutcomeWire for ChangeOutcome {
        Accepted { number: u64, index: u64 },
        Conflict { number: u64, theirs: String, yours: String },
        Gap { next: u64 },
        Forgotten { oldest: u64 },
        Refused { findings: Vec<Finding> },
        Forming {},
    }
}

mirror_struct! {
    /// Wire type of [`ChangeRecord`].
    ChangeRecordWire for ChangeRecord { digest: KeyHash, index: u64, summary: String }
}

mirror_struct! {
    /// Wire type of [`KeyGrant`].
    KeyGrantWire for KeyGrant { row: KeyRow, number: u64 }
}

mirror_struct! {
    /// Wire type of [`ConfigState`].
    ConfigStateWire for ConfigState {
        number: u64,
        plan_number: u64,
        plan: PlanSheet,
        granted: BTreeMap<KeyHash, KeyGrant>,
        withdrawn: BTreeSet<KeyHash>,
        pulled: BTreeSet<String>,
        history: BTreeMap<u64, ChangeRecord>,
    }
}

mirror_struct! {
    /// Wire type of [`UsageKey`].
    UsageKeyWire for UsageKey { customer: String, service: String }
}

mirror_struct! {
    /// Wire type of [`UsageFigure`].
    UsageFigureWire for UsageFigure { requests: u64, tokens: u64, samples: u64, uncharged: u64 }
}

mirror_struct! {
    /// Wire type of [`UsageDelta`].
    UsageDeltaWire for UsageDelta { key: UsageKey, figure: UsageFigure }
}

mirror_enum! {
    /// Wire type of [`UsageCommand`].
    UsageCommandWire for UsageCommand {
        Merge { run: RunId, sequence: u64, deltas: Vec<UsageDelta> },
        Close { window: u64, next_start_ms: u64 },
        Reported { window: u64 },
    }
}

mirror_struct! {
    /// Wire type of [`RunMark`].
    RunMarkWire for RunMark { sequence: u64, window: u64 }
}

mirror_struct! {
    /// Wire type of [`ClosedWindow`].
    ClosedWindowWire for ClosedWindow {
        start_ms: u64,
        end_ms: u64,
        figures: BTreeMap<UsageKey, UsageFigure>,
        reported: bool,
    }
}

mirror_struct! {
    /// Wire type of [`UsageTable`].
    UsageTableWire for UsageTable {
        open_window: u64,
        open_start_ms: u64,
        open: BTreeMap<UsageKey, UsageFigure>,
        closed: BTreeMap<u64, ClosedWindow>,
        marks: BTreeMap<RunId, RunMark>,
    }
}

mirror_enum! {
    /// Wire type of [`PriceClass`].
    PriceClassWire for PriceClass { Steady {}, Reclaimable {} }
}

mirror_struct! {
    /// Wire type of [`OrderKey`].
    OrderKeyWire for OrderKey { service: String, zone: String, class: PriceClass }
}

mirror_enum! {
    /// Wire type of [`OrderResult`].
    OrderResultWire for OrderResult { Taken {}, Refused {} }
}

mirror_struct! {
    /// Wire type of [`OrderRecord`].
    OrderRecordWire for OrderRecord {
        id: u64,
        term: u64,
        count: u32,
        result: Option<OrderResult>,
    }
}

mirror_enum! {
    /// Wire type of [`OrderCommand`].
    OrderCommandWire for OrderCommand {
        Intend { key: OrderKey, term: u64, count: u32 },
        Settle { key: OrderKey, id: u64, result: OrderResult },
    }
}

mirror_struct! {
    /// Wire type of [`OrderTable`].
    OrderTableWire for OrderTable { orders: BTreeMap<OrderKey, OrderRecord> }
}

mirror_struct! {
    /// Wire type of [`ClaimId`].
    ClaimIdWire for ClaimId { customer: String, service: String, request: KeyHash }
}

mirror_enum! {
    /// Wire type of [`ClaimState`].
    ClaimStateWire for ClaimState {
        Running {},
        Answered { status: u16, content_type: String, body: Option<Bytes> },
    }
}

mirror_struct! {
    /// Wire type of [`ClaimRecord`].
    ClaimRecordWire for ClaimRecord {
        run: RunId,
        attempt: u64,
        digest: KeyHash,
        window: u64,
        state: ClaimState,
    }
}

mirror_enum! {
    /// Wire type of [`ClaimCommand`].
    ClaimCommandWire for ClaimCommand {
        Take { id: ClaimId, run: RunId, attempt: u64, digest: KeyHash },
        Finish { id: ClaimId, run: RunId, state: ClaimState },
        Release { id: ClaimId, run: RunId },
    }
}

mirror_enum! {
    /// Wire type of [`ClaimOutcome`].
    ClaimOutcomeWire for ClaimOutcome {
        Granted {},
        MayHaveRun {},
        Kept { state: ClaimState },
        OtherRequest {},
        Recorded {},
    }
}

mirror_struct! {
    /// Wire type of [`ClaimTable`].
    ClaimTableWire for ClaimTable { claims: BTreeMap<ClaimId, ClaimRecord> }
}

mirror_struct! {
    /// Wire type of [`SampleKey`].
    SampleKeyWire for SampleKey { group: String, place: u32 }
}

mirror_struct! {
    /// Wire type of [`AttemptId`].
    AttemptIdWire for AttemptId { run: RunId, number: u64 }
}

mirror_struct! {
    /// Wire type of [`AttemptRecord`].
    AttemptRecordWire for AttemptRecord {
        attempt: AttemptId,
        holders: Vec<RunId>,
        oldest_version: u64,
        tokens: u32,
    }
}

mirror_struct! {
    /// Wire type of [`SampleRecord`].
    SampleRecordWire for SampleRecord {
        order: u64,
        attempt: Option<AttemptRecord>,
        dropped: BTreeSet<AttemptId>,
    }
}

mirror_struct! {
    /// Wire type of [`NewGroup`].
    NewGroupWire for NewGroup { id: String, prompt: Bytes, count: u32 }
}

mirror_struct! {
    /// Wire type of [`GroupRecord`].
    GroupRecordWire for GroupRecord {
        prompt: Bytes,
        count: u32,
        left: u32,
        finished_at: Option<u64>,
    }
}

mirror_struct! {
    /// Wire type of [`BatchRecord`].
    BatchRecordWire for BatchRecord {
        cursor: u64,
        revision: u32,
        needed: u32,
        samples: BTreeMap<SampleKey, AttemptRecord>,
    }
}

mirror_enum! {
    /// Wire type of [`RolloutCommand`].
    RolloutCommandWire for RolloutCommand {
        Submit { groups: Vec<NewGroup> },
        Version { version: u64 },
        Finish { sample: SampleKey, record: AttemptRecord },
        Fetch { cursor: u64, version: u64 },
        Acknowledge { cursor: u64, revision: u32 },
        Lose { sample: SampleKey, attempt: AttemptId },
    }
}

mirror_enum! {
    /// Wire type of [`FetchOutcome`].
    FetchOutcomeWire for FetchOutcome {
        Ready { batch: BatchRecord },
        NotReady { ready: u32, needed: u32 },
        BadCursor { next: u64 },
    }
}

mirror_enum! {
    /// Wire type of [`RolloutOutcome`].
    RolloutOutcomeWire for RolloutOutcome {
        UnknownTrainer {},
        Done {},
        GroupConflict { group: String },
        Kept {},
        Useless {},
        Fetched { fetch: FetchOutcome },
        Acknowledged { samples: u64, tokens: u64 },
        Revised { revision: u32 },
        BadCursor { next: u64 },
    }
}

mirror_struct! {
    /// Wire type of [`TrainerState`].
    TrainerStateWire for TrainerState {
        version: u64,
        acknowledged: u64,
        delivered: u64,
        batch: Option<BatchRecord>,
        groups: BTreeMap<String, GroupRecord>,
        samples: BTreeMap<SampleKey, SampleRecord>,
    }
}

mirror_enum! {
    /// Wire type of [`ControlCommand`].
    ControlCommandWire for ControlCommand {
        MarkFormed {},
        Change { change: ConfigChange },
        Usage { command: UsageCommand },
        Order { command: OrderCommand },
        Claim { command: ClaimCommand },
        Rollout { trainer: String, command: RolloutCommand },
    }
}

mirror_enum! {
    /// Wire type of [`ControlOutcome`].
    ControlOutcomeWire for ControlOutcome {
        Done {},
        Change { outcome: ChangeOutcome },
        Claim { outcome: ClaimOutcome },
        Rollout { outcome: RolloutOutcome },
    }
}

mirror_struct! {
    /// Wire type of [`ControlState`].
    ControlStateWire for ControlState {
        index: u64,
        formed: bool,
        config: ConfigState,
        usage: UsageTable,
        orders: OrderTable,
        claims: ClaimTable,
        trainers: BTreeMap<String, TrainerState>,
    }
}
