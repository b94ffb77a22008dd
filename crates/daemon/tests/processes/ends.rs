//! Targets whose answers state no end.

use reqwest::Method;
use rstest::rstest;

use crate::faults::outcome;
use crate::raw_target::RawTarget;
use crate::support::Cluster;

/// Answer without a length, which ends with a close.
const ENDLESS: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart of it";

/// Guards against a caller that gets part of an answer as a whole one, since a close ended it.
#[rstest]
#[case::repeatable_elsewhere("proof-desk", true, &["answered"])]
#[case::repeatable("proof-desk", false, &["truncated", "502 may-have-run"])]
#[case::unrepeatable("strike-ledger", false, &["502 may-have-run"])]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_states_no_end_is_never_taken_as_whole(
    #[case] service: &str,
    #[case] has_sound_target: bool,
    #[case] expected: &[&str],
) {
    let mut cluster = Cluster::start(1, 1, 1).await;
    RawTarget::start(&cluster, service, ENDLESS, true).await;
    if has_sound_target {
        cluster.target("plain", service, &["--name", "sound"]).await;
    }
    for number in 0..4 {
        let request = cluster.call(0, Method::POST, &format!("/s/{service}/{number}"));
        let id = format!("call-{number}");
        let outcome = outcome(request.header("x-request-id", id).body("x")).await;
        assert!(expected.contains(&outcome.as_str()), "{outcome}");
    }
}
