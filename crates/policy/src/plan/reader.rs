//! Reads a sheet and checks it whole.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::CustomerRow;
use super::KeyHash;
use super::KeyRole;
use super::KeyRow;
use super::MAX_SHEET_BYTES;
use super::PlanSheet;
use super::PoolRow;
use super::ServiceKind;
use super::ServiceRow;
use super::TrainerRow;
use super::row::ColumnMap;
use super::row::SheetRow;
use crate::finding::Finding;

/// Most findings reported; a file of another kind would give one a row.
const MAX_FINDINGS: usize = 1_000;

/// Longest deadline of a service, in milliseconds.
const MAX_DEADLINE_MS: u32 = 3_600_000;

/// Reads a sheet.
///
/// The first row after the header is `plan` with the number that the sheet was exported
/// from, the last one is `end` with the number of rows between.
///
/// # Errors
///
/// Returns every finding with its row and column, sorted by place.
pub fn read_sheet(bytes: &[u8]) -> Result<PlanSheet, Vec<Finding>> {
    if bytes.len() > MAX_SHEET_BYTES {
        let message = format!("sheet is larger than {MAX_SHEET_BYTES} bytes");
        return Err(vec![Finding::whole(message)]);
    }
    let mut findings = Vec::new();
    let mut reader = csv::ReaderBuilder::new()
        .flexible(true)
        .has_headers(false)
        .from_reader(bytes);
    let mut draft = SheetDraft::default();
    let mut columns = None;
    for (place, record) in reader.byte_records().enumerate() {
        let number = place as u64 + 1;
        let record = match record {
            Ok(record) => record,
            Err(error) => {
                findings.push(Finding::cell(number, "*", format!("not CSV: {error}")));
                break;
            }
        };
        let Some(record) = read_text(&record, number, &mut findings) else {
            continue;
        };
        let Some(columns) = &columns else {
            columns = Some(ColumnMap::read(&record, &mut findings));
            continue;
        };
        let mut row = SheetRow {
            number,
            columns,
            record: &record,
            findings: &mut findings,
        };
        draft.add(&mut row);
        if findings.len() > MAX_FINDINGS {
            break;
        }
    }
    if columns.is_none() {
        findings.push(Finding::whole("sheet is empty"));
    }
    draft.check(&mut findings);
    findings.sort();
    findings.dedup();
    match findings.is_empty() {
        true => Ok(draft.sheet),
        false => Err(findings),
    }
}

fn read_text(
    record: &csv::ByteRecord,
    number: u64,
    findings: &mut Vec<Finding>,
) -> Option<csv::StringRecord> {
    let mut clean = true;
    for (place, cell) in record.iter().enumerate() {
        let column = super::row::COLUMNS.get(place).unwrap_or(&"*");
        if std::str::from_utf8(cell).is_err() {
            findings.push(Finding::cell(number, column, "not UTF-8"));
            clean = false;
        } else if cell.contains(&0) {
            findings.push(Finding::cell(number, column, "contains a NUL"));
            clean = false;
        }
    }
    if !clean {
        return None;
    }
    csv::StringRecord::from_byte_record(record.clone()).ok()
}

/// A reference that must name an entity of the sheet.
#[derive(Debug)]
struct OpenReference {
    row: u64,
    column: &'static str,
    kind: EntityKind,
    id: String,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum EntityKind {
    Zone,
    Customer,
    Service,
    Engine,
    Trainer,
    Key,
    Pool,
}

#[derive(Debug, Default)]
struct SheetDraft {
    sheet: PlanSheet,
    rows: u64,
    has_plan: bool,
    has_end: bool,
    first_rows: BTreeMap<(EntityKind, String), u64>,
    references: Vec<OpenReference>,
}

impl SheetDraft {
    fn add(&mut self, row: &mut SheetRow<'_>) {
        if self.has_end {
            row.find("kind", "stands after the end row");
            return;
        }
        let kind = row.cell("kind").to_owned();
        if !self.has_plan && kind != "plan" {
            row.find("kind", "the first row must be plan");
            self.has_plan = true;
        }
        match kind.as_str() {
            "plan" => return self.add_plan(row),
            "end" => return self.add_end(row),
            "zone" => self.add_zone(row),
            "customer" => self.add_customer(row),
            "key" => self.add_key(row),
            "service" => self.add_service(row),
            "pool" => self.add_pool(row),
            "trainer" => self.add_trainer(row),
            _ => row.find("kind", "unknown kind"),
        }
        self.rows += 1;
    }

    fn add_plan(&mut self, row: &mut SheetRow<'_>) {
        if self.has_plan {
            row.find("kind", "plan stands twice");
        }
        self.has_plan = true;
        match row.cell("id").parse() {
            Ok(number) => self.sheet.based_on = number,
            Err(_) => row.find("id", "must be the number that the sheet was exported from"),
        }
    }

    fn add_end(&mut self, row: &mut SheetRow<'_>) {
        self.has_end = true;
        if row.cell("id").parse() != Ok(self.rows) {
            row.find("id", format!("must be the number of rows, {}", self.rows));
        }
    }

    fn new_id(&mut self, row: &mut SheetRow<'_>, kind: EntityKind) -> String {
        let id = row.id("id");
        let first = *self
            .first_rows
            .entry((kind, id.clone()))
            .or_insert(row.number);
        if first != row.number {
            row.find("id", format!("stands in row {first} already"));
        }
        id
    }

    fn refer(&mut self, row: u64, column: &'static str, kind: EntityKind, id: &str) {
        self.references.push(OpenReference {
            row,
            column,
            kind,
            id: id.to_owned(),
        });
    }

    fn refer_all(
        &mut self,
        row: u64,
        column: &'static str,
        kind: EntityKind,
        ids: &BTreeSet<String>,
    ) {
        for id in ids {
            self.refer(row, column, kind, id);
        }
    }

    fn add_zone(&mut self, row: &mut SheetRow<'_>) {
        let id = self.new_id(row, EntityKind::Zone);
        self.sheet.zones.insert(id);
    }

    fn add_customer(&mut self, row: &mut SheetRow<'_>) {
        let id = self.new_id(row, EntityKind::Customer);
        let customer = CustomerRow {
            weight: row.number("weight", 1..=1_000),
            rate_per_s: row.number("rate", 1..=1_000_000),
            concurrency: row.number("concurrency", 1..=1_000_000),
        };
        self.sheet.customers.insert(id, customer);
    }

    fn add_key(&mut self, row: &mut SheetRow<'_>) {
        let id = self.new_id(row, EntityKind::Key);
        let roles = [
            ("caller", KeyRole::Caller),
            ("target", KeyRole::Target),
            ("trainer", KeyRole::Trainer),
        ];
        let role = row.word("role", &roles);
        let owner = row.id("owner");
        let Some(hash) = KeyHash::from_hex(row.cell("hash")) else {
            row.find("hash", "must be 64 hexadecimal digits");
            return;
        };
        let Some(role) = role else {
            return;
        };
        let kind = match role {
            KeyRole::Caller => EntityKind::Customer,
            KeyRole::Target => EntityKind::Service,
            KeyRole::Trainer => EntityKind::Trainer,
        };
        self.refer(row.number, "owner", kind, &owner);
        if let Some(other) = self.sheet.keys.get(&hash) {
            row.find("hash", format!("is the hash of key {} too", other.id));
            return;
        }
        self.sheet.keys.insert(hash, KeyRow { id, role, owner });
    }

    fn add_service(&mut self, row: &mut SheetRow<'_>) {
        let id = self.new_id(row, EntityKind::Service);
        let kinds = [
            ("engine", ServiceKind::Engine),
            ("plain", ServiceKind::Plain),
        ];
        let kind = row.word("service_kind", &kinds);
        let service = ServiceRow {
            kind: kind.unwrap_or(ServiceKind::Plain),
            customers: row.list("customers"),
            repeatable: row.flag("repeatable"),
            open: row.flag("open"),
            deadline_ms: row.number("deadline_ms", 1..=MAX_DEADLINE_MS),
            target_slots: row.number("target_slots", 1..=100_000),
            cold_slots: row.number("cold_slots", 1..=100_000),
            zones: row.list("zones"),
        };
        if service.kind == ServiceKind::Engine && !service.repeatable {
            row.find("repeatable", "must be yes for an engine");
        }
        if service.cold_slots > service.target_slots {
            row.find("cold_slots", "must not be above target_slots");
        }
        if service.kind == ServiceKind::Engine {
            self.first_rows
                .insert((EntityKind::Engine, id.clone()), row.number);
        }
        self.refer_all(
            row.number,
            "customers",
            EntityKind::Customer,
            &service.customers,
        );
        self.refer_all(row.number, "zones", EntityKind::Zone, &service.zones);
        self.sheet.services.insert(id, service);
    }

    fn add_pool(&mut self, row: &mut SheetRow<'_>) {
        let id = self.new_id(row, EntityKind::Pool);
        let pool = PoolRow {
            service: row.id("service"),
            zone: row.id("zone"),
            steady_min: row.number("steady_min", 0..=100_000),
            steady_max: row.number("steady_max", 0..=100_000),
            reclaimable_max: row.number("reclaimable_max", 0..=100_000),
            steady_price: row.number("steady_price", 0..=1_000_000_000),
            reclaimable_price: row.number("reclaimable_price", 0..=1_000_000_000),
        };
        if pool.steady_min > pool.steady_max {
            row.find("steady_min", "must not be above steady_max");
        }
        let same = |it: &PoolRow| it.service == pool.service && it.zone == pool.zone;
        if self.sheet.pools.values().any(same) {
            row.find("zone", "another pool has this service and zone");
        }
        self.refer(row.number, "service", EntityKind::Service, &pool.service);
        self.refer(row.number, "zone", EntityKind::Zone, &pool.zone);
        self.sheet.pools.insert(id, pool);
    }

    fn add_trainer(&mut self, row: &mut SheetRow<'_>) {
        let id = self.new_id(row, EntityKind::Trainer);
        let scorer = row.cell("scorer").to_owned();
        let trainer = TrainerRow {
            customer: row.id("owner"),
            service: row.id("service"),
            scorer: (!scorer.is_empty()).then_some(scorer),
            group_size: row.number("group_size", 1..=1_024),
            step_samples: row.number("step_samples", 1..=1_000_000),
            max_age: row.number("max_age", 0..=1_000),
            suffices_percent: row.number("suffices_percent", 1..=100),
        };
        self.refer(row.number, "owner", EntityKind::Customer, &trainer.customer);
        self.refer(row.number, "service", EntityKind::Engine, &trainer.service);
        if let Some(scorer) = &trainer.scorer {
            self.refer(row.number, "scorer", EntityKind::Service, scorer);
        }
        self.sheet.trainers.insert(id, trainer);
    }

    fn check(&self, findings: &mut Vec<Finding>) {
        if !self.has_end {
            findings.push(Finding::whole(
                "the end row is missing: is this half a file?",
            ));
        }
        for open in &self.references {
            if !self.first_rows.contains_key(&(open.kind, open.id.clone())) {
                let kind = match open.kind {
                    EntityKind::Zone => "zone",
                    EntityKind::Customer => "customer",
                    EntityKind::Service => "service",
                    EntityKind::Engine => "engine service",
                    EntityKind::Trainer => "trainer",
                    EntityKind::Key => "key",
                    EntityKind::Pool => "pool",
                };
                let message = format!("{kind} {:?} is not in the sheet", open.id);
                findings.push(Finding::cell(open.row, open.column, message));
            }
        }
    }
}
