//! Formats a plan as a plan sheet.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::KeyRole;
use super::PlanSheet;
use super::ServiceKind;
use super::row::COLUMNS;
use super::row::LIST_SEPARATOR;

/// Formats `sheet` as CSV that [`super::read_sheet`] accepts.
///
/// # Panics
///
/// Never panics, since writing CSV to memory can't fail.
pub fn write_sheet(sheet: &PlanSheet) -> Vec<u8> {
    let mut rows = entity_rows(sheet);
    let count = rows.len().to_string();
    rows.insert(0, row("plan", &sheet.based_on.to_string(), []));
    rows.push(row("end", &count, []));
    let mut writer = csv::Writer::from_writer(Vec::new());
    writer
        .write_record(COLUMNS)
        .expect("writing CSV to memory can't fail");
    for cells in rows {
        let record = COLUMNS.map(|column| cells.get(column).cloned().unwrap_or_default());
        writer
            .write_record(record)
            .expect("writing CSV to memory can't fail");
    }
    writer
        .into_inner()
        .expect("writing CSV to memory can't fail")
}

/// Non-empty cells of a row, by column.
type RowCells = BTreeMap<&'static str, String>;

fn row<const N: usize>(kind: &str, id: &str, cells: [(&'static str, String); N]) -> RowCells {
    let mut row = RowCells::from(cells);
    row.insert("kind", kind.to_owned());
    row.insert("id", id.to_owned());
    row
}

fn entity_rows(sheet: &PlanSheet) -> Vec<RowCells> {
    let mut rows: Vec<RowCells> = Vec::new();
    rows.extend(sheet.zones.iter().map(|id| row("zone", id, [])));
    rows.extend(sheet.customers.iter().map(|(id, it)| {
        let cells = [
            ("weight", it.weight.to_string()),
            ("rate", it.rate_per_s.to_string()),
            ("concurrency", it.concurrency.to_string()),
        ];
        row("customer", id, cells)
    }));
    rows.extend(service_rows(sheet));
    rows.extend(pool_rows(sheet));
    rows.extend(trainer_rows(sheet));
    rows.extend(sheet.keys.iter().map(|(hash, it)| {
        let cells = [
            ("role", role_word(it.role).to_owned()),
            ("owner", it.owner.clone()),
            ("hash", hash.to_hex()),
        ];
        row("key", &it.id, cells)
    }));
    rows
}

fn service_rows(sheet: &PlanSheet) -> impl Iterator<Item = RowCells> {
    sheet.services.iter().map(|(id, it)| {
        let kind = match it.kind {
            ServiceKind::Engine => "engine",
            ServiceKind::Plain => "plain",
        };
        let cells = [
            ("service_kind", kind.to_owned()),
            ("customers", list_text(&it.customers)),
            ("repeatable", flag_word(it.repeatable)),
            ("open", flag_word(it.open)),
            ("deadline_ms", it.deadline_ms.to_string()),
            ("target_slots", it.target_slots.to_string()),
            ("cold_slots", it.cold_slots.to_string()),
            ("zones", list_text(&it.zones)),
        ];
        row("service", id, cells)
    })
}

fn pool_rows(sheet: &PlanSheet) -> impl Iterator<Item = RowCells> {
    sheet.pools.iter().map(|(id, it)| {
        let cells = [
            ("service", it.service.clone()),
            ("zone", it.zone.clone()),
            ("steady_min", it.steady_min.to_string()),
            ("steady_max", it.steady_max.to_string()),
            ("reclaimable_max", it.reclaimable_max.to_string()),
            ("steady_price", it.steady_price.to_string()),
            ("reclaimable_price", it.reclaimable_price.to_string()),
        ];
        row("pool", id, cells)
    })
}

fn trainer_rows(sheet: &PlanSheet) -> impl Iterator<Item = RowCells> {
    sheet.trainers.iter().map(|(id, it)| {
        let cells = [
            ("owner", it.customer.clone()),
            ("service", it.service.clone()),
            ("scorer", it.scorer.clone().unwrap_or_default()),
            ("group_size", it.group_size.to_string()),
            ("step_samples", it.step_samples.to_string()),
            ("max_age", it.max_age.to_string()),
            ("suffices_percent", it.suffices_percent.to_string()),
        ];
        row("trainer", id, cells)
    })
}

fn role_word(role: KeyRole) -> &'static str {
    match role {
        KeyRole::Caller => "caller",
        KeyRole::Target => "target",
        KeyRole::Trainer => "trainer",
    }
}

fn flag_word(flag: bool) -> String {
    if flag { "yes" } else { "no" }.to_owned()
}

fn list_text(items: &BTreeSet<String>) -> String {
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    items.join(&LIST_SEPARATOR.to_string())
}
