//! Answers to weight orders.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderValue;
use http::StatusCode;
use rstest::rstest;

use super::*;

/// Guards against an order that counts as carried out by a late copy of the answer to a request that its
/// connection carried before.
#[rstest]
#[case::own(202, false, OrderAnswer::Taken)]
#[case::own_refusal(409, false, OrderAnswer::Conflict)]
#[case::copy(202, true, OrderAnswer::Unclear)]
#[case::copy_of_a_success(200, true, OrderAnswer::Unclear)]
fn an_answer_with_a_request_id_is_not_that_of_an_order(
    #[case] status: u16,
    #[case] has_id: bool,
    #[case] expected: OrderAnswer,
) {
    let mut headers = HeaderMap::new();
    if has_id {
        headers.insert("x-id", HeaderValue::from_static("i1"));
    }
    let answer = DutyAnswer {
        status: StatusCode::from_u16(status).unwrap(),
        headers,
        body: Bytes::new(),
    };
    let result = own_answer(Ok(answer), |it| it.contains_key("x-id"));
    assert_eq!(order_answer(&result), expected);
}
