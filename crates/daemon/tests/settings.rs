//! Validation of the settings from flags and the environment, run as a separate process.

use std::process::Command;

/// Runs the daemon without environment; returns its exit status and all output.
fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bergamotlaned"));
    let output = command.env_clear().args(arguments).output().unwrap();
    let text = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(text).unwrap())
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let arguments = [
        "--name",
        "a",
        "--peers",
        "localhost",
        "--voters",
        "4",
        "--drain-ms",
        "soon",
        "--log-format",
        "xml",
        "--cluster-key-file",
        "/nonexistent",
        "left-over",
    ];
    let (status, text) = run(&arguments);
    assert_eq!(status, Some(2));
    for expected in [
        "--zone: is required",
        "--callers: is required",
        "--peers: \"localhost\" is not an IP address and port",
        "--voters: must be 1, 3 or 5",
        "--drain-ms: must be a number from 0 to 600000",
        "--log-format: must be one of text, json",
        "--cluster-key-file: could not read /nonexistent",
        "--operator-key-file: is required",
        "left-over: unexpected argument",
    ] {
        assert!(text.contains(expected), "{expected}\n{text}");
    }
}

#[test]
fn help_and_version_need_no_settings() {
    let (status, text) = run(&["--help"]);
    assert_eq!(status, Some(0));
    assert!(text.contains("--voter-lost-ms"));
    assert_eq!(
        run(&["--version"]),
        (Some(0), "bergamotlaned 0.1.0\n".to_owned())
    );
}

#[test]
fn settings_are_read_from_the_environment_and_check_only_validates() {
    let folder = tempfile::tempdir().unwrap();
    let key = folder.path().join("key");
    std::fs::write(&key, "0123456789abcdef").unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_bergamotlaned"));
    command.env_clear().arg("--check");
    for (name, value) in [
        ("NAME", "a"),
        ("ZONE", "z"),
        ("PEERS", "127.0.0.1:1"),
        ("CALLERS", "127.0.0.1:2"),
        ("TARGETS", "127.0.0.1:3"),
        ("OPERATORS", "127.0.0.1:4"),
    ] {
        command.env(format!("BERGAMOTLANE_{name}"), value);
    }
    command.env("BERGAMOTLANE_CLUSTER_KEY_FILE", &key);
    command.env("BERGAMOTLANE_OPERATOR_KEY_FILE", &key);
    let output = command.output().unwrap();
    assert!(output.status.success());
    assert_eq!(output.stdout, b"settings are valid\n");
}
