//! Exit statuses and messages of the command line, without a running daemon.

use std::fs;
use std::path::Path;
use std::process::Command;
use std::process::Output;

use rstest::rstest;

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bergamotlane"));
    command.env_clear().args(arguments).output().unwrap()
}

fn example_sheet(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/sheets");
    root.join(name).to_str().unwrap().to_owned()
}

#[rstest]
#[case::help(&["--help"], 0, "sheet check FILE")]
#[case::version(&["--version"], 0, "bergamotlane 0.1.0")]
#[case::no_command(&[], 2, "unknown command")]
#[case::unknown_command(&["zone", "explode"], 2, "unknown command")]
#[case::unknown_option(&["--frobnicate"], 2, "frobnicate")]
#[case::no_key(&["status"], 2, "--operator-key-file")]
#[case::no_key_file(&["status", "--operator-key-file", "/nonexistent"], 2, "could not read /nonexistent")]
#[case::bad_number(&["zone", "pull", "a", "--number", "x"], 2, "--number: \"x\" is not a number")]
#[case::bad_wait(&["zone", "pull", "a", "--wait", "x"], 2, "--wait: must be in-force")]
#[case::no_argument(&["zone", "pull"], 2, "expected one ZONE")]
#[case::no_file(&["sheet", "check", "/nonexistent"], 2, "could not read /nonexistent")]
fn commands_exit_with_the_documented_status(
    #[case] arguments: &[&str],
    #[case] status: i32,
    #[case] expected: &str,
) {
    let output = run(arguments);
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8(text).unwrap();
    assert_eq!(output.status.code(), Some(status), "{text}");
    assert!(text.contains(expected), "{text}");
}

#[test]
fn an_unreachable_daemon_gives_exit_status_3() {
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("key");
    fs::write(&key, "0123456789abcdef").unwrap();
    let key = key.to_str().unwrap();
    let output = run(&[
        "status",
        "--server",
        "127.0.0.1:1",
        "--operator-key-file",
        key,
    ]);
    assert_eq!(output.status.code(), Some(3));
}

#[test]
fn a_sheet_is_checked_without_a_daemon_and_every_finding_is_printed() {
    let output = run(&["sheet", "check", &example_sheet("nilecraft.csv")]);
    assert_eq!(output.status.code(), Some(0));
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("bad.csv");
    let sheet = fs::read_to_string(example_sheet("nilecraft.csv")).unwrap();
    let sheet = sheet
        .replace(",2000,400,", ",none,0,")
        .replace("\nend,", "\n#end,");
    fs::write(&path, sheet).unwrap();
    let output = run(&["sheet", "check", path.to_str().unwrap()]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert_eq!(text.matches("column rate").count(), 2, "{text}");
    assert_eq!(text.matches("column concurrency").count(), 2, "{text}");
    assert!(text.contains("the end row is missing"), "{text}");
}
