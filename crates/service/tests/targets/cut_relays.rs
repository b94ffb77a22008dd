//! Requests that are sent through other entries, whose links break before they reply.

use std::sync::Arc;
use std::sync::Mutex;

use rstest::rstest;

use crate::forward::forwarder;
use crate::forward::request;
use crate::group::DeadAddress;
use crate::group::PathFault;
use crate::support::view;
use bergamotlane_service::plain::PlainOutcome;
use bergamotlane_service::plan::RouteKind;
use bergamotlane_service::relay::RelayClient;
use bergamotlane_service::relay::RelayReply;
use bergamotlane_service::relay::RelayResult;
use bergamotlane_storage::clock::now;

/// Time limit of a request, in milliseconds.
const LIMIT_MS: u64 = 2_000;

/// Guards against a request that counts as one that did not run, and is refused as such or sent on, since
/// one helper refused it or there is none any more, although another one, whose link broke, may have run
/// it.
#[rstest]
#[case::no_helper_is_left(2, RelayResult::Exhausted, false, 2)]
#[case::the_next_refuses(2, RelayResult::Replied(RelayReply::NotRun), false, 2)]
#[case::the_next_has_a_limit(2, RelayResult::Replied(RelayReply::Limited(9)), false, 2)]
#[case::one_attempt_is_allowed(1, RelayResult::Replied(RelayReply::NotRun), false, 1)]
#[case::none_was_cut(2, RelayResult::Exhausted, true, 1)]
#[tokio::test]
async fn a_request_that_a_cut_helper_may_have_run_is_not_called_not_run(
    #[case] max_attempts: u32,
    #[case] last: RelayResult,
    #[case] is_last_first: bool,
    #[case] expected_calls: usize,
) {
    let dead = DeadAddress::new(PathFault::Refused).await;
    let (relay, mut queue) = RelayClient::new();
    let forwarder = forwarder(5_000).with_relay(relay);
    let views = ["t0", "t1"].map(|id| view(id, dead.address));
    forwarder.chooser().update(now(), &views);
    let calls: Arc<Mutex<Vec<String>>> = Arc::default();
    let seen = Arc::clone(&calls);
    let mut results = vec![last];
    if !is_last_first {
        results.insert(0, RelayResult::Broken);
    }
    tokio::spawn(async move {
        for result in results {
            let Some(call) = queue.recv().await else {
                return;
            };
            seen.lock().unwrap().push(call.request.service().to_owned());
            call.reply.send(result).unwrap();
        }
    });
    let mut request = request(RouteKind::Safe, LIMIT_MS);
    request.max_attempts = max_attempts;
    let outcome = forwarder.forward(&request).await.outcome;
    let may_have_run = matches!(outcome, PlainOutcome::Failed | PlainOutcome::Late);
    assert_eq!(may_have_run, !is_last_first, "{outcome:?}");
    assert_eq!(calls.lock().unwrap().len(), expected_calls);
}
