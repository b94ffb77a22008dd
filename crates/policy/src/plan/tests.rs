//! Plan sheets: round trip through export, and every finding of an invalid sheet.

use rstest::rstest;

use super::*;

const HEADER: &str = "kind,id,role,owner,hash,weight,rate,concurrency,service_kind,customers,\
repeatable,open,deadline_ms,target_slots,cold_slots,zones,service,zone,steady_min,steady_max,\
reclaimable_max,steady_price,reclaimable_price,scorer,group_size,step_samples,max_age,\
suffices_percent";

fn sheet(rows: &[&str]) -> Vec<u8> {
    let mut text = HEADER.to_owned();
    for row in rows {
        text.push('\n');
        text.push_str(row);
    }
    text.into_bytes()
}

fn messages(bytes: &[u8]) -> Vec<String> {
    let findings = read_sheet(bytes).expect_err("sheet is invalid");
    findings.iter().map(ToString::to_string).collect()
}

#[rstest]
#[case::nilecraft(include_bytes!("../../../../examples/sheets/nilecraft.csv"))]
#[case::tallow_ridge(include_bytes!("../../../../examples/sheets/tallow-ridge.csv"))]
fn an_exported_sheet_parses_to_the_same_plan(#[case] bytes: &[u8]) {
    let sheet = read_sheet(bytes).expect("example is valid");
    assert_eq!(sheet.customers.len(), 8);
    assert_eq!(sheet.zones.len(), 3);
    assert_eq!(read_sheet(&write_sheet(&sheet)), Ok(sheet));
}

#[rstest]
#[case::empty(b"", &["sheet is empty", "the end row is missing; the file may be truncated"])]
#[case::no_end_row(&sheet(&["plan,0"]), &["the end row is missing; the file may be truncated"])]
#[case::wrong_row_count(
    &sheet(&["plan,0", "zone,a", "end,3"]),
    &["row 4, column id: must be the number of rows between plan and end, 1"]
)]
#[case::unknown_reference(
    &sheet(&["plan,0", "key,k,caller,ghost,0000000000000000000000000000000000000000000000000000000000000000", "end,1"]),
    &["row 3, column owner: customer \"ghost\" is not in the sheet"]
)]
#[case::duplicate_id(
    &sheet(&["plan,0", "zone,a", "zone,a", "end,2"]),
    &["row 4, column id: is already used in row 3"]
)]
#[case::two_errors_in_one_row(
    &sheet(&["plan,x", "customer,c,,,,0,1,9999999", "end,1"]),
    &[
        "row 2, column id: must be the number of the configuration that the sheet was exported from",
        "row 3, column concurrency: must be a number from 1 to 1000000",
        "row 3, column weight: must be a number from 1 to 1000",
    ]
)]
#[case::not_utf8(&[HEADER.as_bytes(), b"\nplan,0\nzone,\xff\nend,0"].concat(), &["row 3, column id: is not UTF-8"])]
#[case::nul_byte(&[HEADER.as_bytes(), b"\nplan,0\nzone,a\0\nend,0"].concat(), &["row 3, column id: contains a NUL byte"])]
#[case::no_plan_row(&sheet(&["zone,a", "end,1"]), &["row 2, column kind: the first row must be plan"])]
#[case::row_after_the_end(
    &sheet(&["plan,0", "end,0", "zone,a"]),
    &["row 4, column kind: no row may follow the end row"]
)]
fn an_invalid_sheet_reports_every_finding(#[case] bytes: &[u8], #[case] expected: &[&str]) {
    assert_eq!(messages(bytes), expected);
}

#[test]
fn a_missing_column_is_reported_by_name() {
    let text = String::from_utf8(sheet(&["plan,0", "end,0"])).unwrap();
    let text = text.replace(",weight", ",wait");
    let expected = [
        "row 1, column wait: unknown column",
        "row 1, column weight: column is missing",
    ];
    assert_eq!(messages(text.as_bytes()), expected);
}

#[test]
fn a_sheet_above_the_size_limit_is_rejected_before_it_is_parsed() {
    let bytes = vec![b'a'; 100 * 1024 * 1024];
    assert_eq!(messages(&bytes), ["sheet is larger than 16777216 bytes"]);
}
