//! Framings of bodies, each cut after each byte of a small answer.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;

use crate::cut;
use crate::cut::all_cuts;
use crate::cut::expected_end;
use crate::cut::is_cut;
use crate::support::unrepeated;
use bergamotlane_service::answer_body::read_body;
use bergamotlane_service::carried::RequestMark;
use bergamotlane_service::pool::TargetAnswer;
use bergamotlane_service::pool::TargetPool;
use bergamotlane_wire::body_end::BodyEnd;

/// Guards against a reader that takes a cut body for one with an end, or an end for another one.
#[tokio::test]
async fn each_framing_has_its_end_and_each_cut_of_it_shows() {
    for answer in all_cuts("body") {
        let address = cut::start(vec![answer.clone()]).await;
        let request = Request::get("/").body(Full::new(Bytes::new())).unwrap();
        let request = unrepeated(request, RequestMark::WITHOUT_ID);
        let sent = TargetPool::new().send(address, request, |_| false).await;
        let TargetAnswer {
            response,
            connection: _connection,
            ..
        } = sent.ok().unwrap();
        let (head, body) = response.into_parts();
        let body = read_body(&head.headers, body, 100).await;
        let end = expected_end(answer.framing);
        match end {
            BodyEnd::Length | BodyEnd::LastChunk if is_cut(&answer) => {
                assert!(body.is_err(), "{answer:?}: {body:?}");
            }
            BodyEnd::Length | BodyEnd::LastChunk | BodyEnd::Close => {
                let body = body.unwrap();
                let read = answer.cut.min(answer.body.len());
                assert_eq!(body.bytes, answer.body.as_bytes()[..read], "{answer:?}");
                assert_eq!(body.end, end, "{answer:?}");
            }
        }
    }
}
