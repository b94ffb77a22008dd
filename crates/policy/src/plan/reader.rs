//! Parses and validates a plan sheet, reporting all errors at once.

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

/// Number of findings after which reading stops, since a file of another kind would give
/// at least one per row.
const MAX_FINDINGS: usize = 1_000;

/// Largest allowed deadline of a service, in milliseconds.
const MAX_DEADLINE_MS: u32 = 3_600_000;

/// Parses a plan sheet and checks every row and reference.
///
/// The first row after the header has the kind `plan` and, as its ID, the number of the
/// configuration from which the sheet was exported. The last row has the kind `end` and,
/// as its ID, the number of rows between the two, by which a truncated file is detected.
///
/// # Errors
///
/// Returns all findings with row and column, sorted by position. Reading stops after
/// about 1,000 findings, and at the first row that isn't CSV.
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
                findings.push(Finding::cell(number, "*", format!("is not CSV: {error}")));
                break;
            }
        };
        let Some(record) = decode_record(&record, number, &mut findings) else {
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

/// Converts a record to text, or returns `None` after adding a finding for every cell
/// that isn't valid.
fn decode_record(
    record: &csv::ByteRecord,
    number: u64,
    findings: &mut Vec<Finding>,
) -> Option<csv::StringRecord> {
    let mut valid = true;
    for (place, cell) in record.iter().enumerate() {
        let column = super::row::COLUMNS.get(place).unwrap_or(&"*");
        if std::str::from_utf8(cell).is_err() {
            findings.push(Finding::cell(number, column, "is not UTF-8"));
            valid = false;
        } else if cell.contains(&0) {
            findings.push(Finding::cell(number, column, "contains a NUL byte"));
            valid = false;
        }
    }
    if !valid {
        return None;
    }
    csv::StringRecord::from_byte_record(record.clone()).ok()
}

/// A reference to another entity, to be checked once all rows are read.
#[derive(Debug)]
struct EntityReference {
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

/// A plan sheet while its rows are being read.
#[derive(Debug, Default)]
struct SheetDraft {
    sheet: PlanSheet,
    /// Rows read between the `plan` row and the `end` row.
    rows: u64,
    has_plan: bool,
    has_end: bool,
    /// Row number at which each entity was first defined.
    first_rows: BTreeMap<(EntityKind, String), u64>,
    references: Vec<EntityReference>,
}

impl SheetDraft {
    fn add(&mut self, row: &mut SheetRow<'_>) {
        if self.has_end {
            row.find("kind", "no row may follow the end row");
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
            _ => row.find("kind", "is not a known kind of row"),
        }
        self.rows += 1;
    }

    fn add_plan(&mut self, row: &mut SheetRow<'_>) {
        if self.has_plan {
            row.find("kind", "there must be only one plan row");
        }
        self.has_plan = true;
        match row.cell("id").parse() {
            Ok(number) => self.sheet.based_on = number,
            Err(_) => row.find(
                "id",
                "must be the number of the configuration that the sheet was exported from",
            ),
        }
    }

    fn add_end(&mut self, row: &mut SheetRow<'_>) {
        self.has_end = true;
        if row.cell("id").parse() != Ok(self.rows) {
            let message = format!(
                "must be the number of rows between plan and end, {}",
                self.rows
            );
            row.find("id", message);
        }
    }

    fn new_id(&mut self, row: &mut SheetRow<'_>, kind: EntityKind) -> String {
        let id = row.id("id");
        let first = *self
            .first_rows
            .entry((kind, id.clone()))
            .or_insert(row.number);
        if first != row.number {
            row.find("id", format!("is already used in row {first}"));
        }
        id
    }

    fn add_reference(&mut self, row: u64, column: &'static str, kind: EntityKind, id: &str) {
        self.references.push(EntityReference {
            row,
            column,
            kind,
            id: id.to_owned(),
        });
    }

    fn add_references(
        &mut self,
        row: u64,
        column: &'static str,
        kind: EntityKind,
        ids: &BTreeSet<String>,
    ) {
        for id in ids {
            self.add_reference(row, column, kind, id);
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
        self.add_reference(row.number, "owner", kind, &owner);
        if let Some(other) = self.sheet.keys.get(&hash) {
            row.find("hash", format!("is already used by key {}", other.id));
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
            row.find("cold_slots", "must not be greater than target_slots");
        }
        if service.kind == ServiceKind::Engine {
            self.first_rows
                .insert((EntityKind::Engine, id.clone()), row.number);
        }
        self.add_references(
            row.number,
            "customers",
            EntityKind::Customer,
            &service.customers,
        );
        self.add_references(row.number, "zones", EntityKind::Zone, &service.zones);
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
            row.find("steady_min", "must not be greater than steady_max");
        }
        let same = |it: &PoolRow| it.service == pool.service && it.zone == pool.zone;
        if self.sheet.pools.values().any(same) {
            row.find("zone", "another pool already has this service and zone");
        }
        self.add_reference(row.number, "service", EntityKind::Service, &pool.service);
        self.add_reference(row.number, "zone", EntityKind::Zone, &pool.zone);
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
        self.add_reference(row.number, "owner", EntityKind::Customer, &trainer.customer);
        self.add_reference(row.number, "service", EntityKind::Engine, &trainer.service);
        if let Some(scorer) = &trainer.scorer {
            self.add_reference(row.number, "scorer", EntityKind::Service, scorer);
        }
        self.sheet.trainers.insert(id, trainer);
    }

    fn check(&self, findings: &mut Vec<Finding>) {
        if !self.has_end {
            findings.push(Finding::whole(
                "the end row is missing; the file may be truncated",
            ));
        }
        for reference in &self.references {
            let entity = (reference.kind, reference.id.clone());
            if !self.first_rows.contains_key(&entity) {
                let kind = match reference.kind {
                    EntityKind::Zone => "zone",
                    EntityKind::Customer => "customer",
                    EntityKind::Service => "service",
                    EntityKind::Engine => "engine service",
                    EntityKind::Trainer => "trainer",
                    EntityKind::Key => "key",
                    EntityKind::Pool => "pool",
                };
                let message = format!("{kind} {:?} is not in the sheet", reference.id);
                findings.push(Finding::cell(reference.row, reference.column, message));
            }
        }
    }
}
