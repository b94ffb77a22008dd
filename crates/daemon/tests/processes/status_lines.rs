//! Targets whose answers have a status line that ends no request.

use reqwest::Method;
use rstest::rstest;

use crate::faults::outcome;
use crate::raw_target::RawTarget;
use crate::support::Cluster;

/// Returns an answer with a status line, whose connection stays open.
fn answer(line: &str) -> String {
    format!("HTTP/1.1 {line}\r\ncontent-length: 5\r\n\r\nwhole")
}

/// Guards against a caller that gets an answer whose status line ends no request: where another target has
/// one, where none has, and for a call that must not run twice.
#[rstest]
#[case::repeatable_elsewhere("proof-desk", true, &["answered"])]
#[case::repeatable("proof-desk", false, &["502 may-have-run"])]
#[case::unrepeatable("strike-ledger", false, &["502 may-have-run"])]
#[tokio::test(flavor = "multi_thread")]
async fn a_status_line_that_ends_no_request_reaches_no_caller(
    #[case] service: &str,
    #[case] has_sound_target: bool,
    #[case] expected: &[&str],
    #[values("000", "101 Switching Protocols", "600 Unknown", "999 Unknown")] line: &str,
) {
    let mut cluster = Cluster::start(1, 1, 1).await;
    let target = RawTarget::start(&cluster, service, answer(line), false).await;
    if has_sound_target {
        cluster.target("plain", service, &["--name", "sound"]).await;
    }
    for number in 0..4 {
        let request = cluster.call(0, Method::POST, &format!("/s/{service}/{number}"));
        let id = format!("call-{number}");
        let outcome = outcome(request.header("x-request-id", id).body("x")).await;
        assert!(expected.contains(&outcome.as_str()), "{outcome}");
    }
    let requests = target.requests();
    assert!(
        requests.iter().all(|it| *it <= 1),
        "{requests:?} requests by connection"
    );
}
