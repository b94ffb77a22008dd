//! Callers' keys are found wherever they come in, and nothing of them is passed on.

use proptest::prelude::*;
use reqwest::header::HeaderMap;
use reqwest::header::HeaderName;
use reqwest::header::HeaderValue;
use rstest::rstest;
use serde_json::json;

use super::keys::strip_head;
use super::keys::strip_json;
use bergamotlane_policy::plan::KeyHash;

const KEY: &str = "secret-caller-key";

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        headers.append(name, HeaderValue::from_str(value).unwrap());
    }
    headers
}

#[rstest]
#[case::bearer(&[("authorization", "Bearer secret-caller-key")], None)]
#[case::bearer_in_lower_case(&[("authorization", "bearer  secret-caller-key ")], None)]
#[case::api_key_header(&[("x-api-key", "secret-caller-key")], None)]
#[case::query(&[], Some("a=1&api_key=secret-caller-key&b=2"))]
#[case::escaped_query(&[], Some("api%5fkey=secret%2Dcaller%2dkey"))]
#[case::cookie(&[("cookie", "theme=dark; api_key=secret-caller-key")], None)]
#[case::both(&[("authorization", "Bearer secret-caller-key")], Some("key=other"))]
fn a_key_is_found_and_stripped(#[case] pairs: &[(&str, &str)], #[case] query: Option<&str>) {
    let head = strip_head(&headers(pairs), query);
    assert_eq!(head.key, Some(KeyHash::of(KEY.as_bytes())));
    let left = format!("{:?} {:?}", head.headers, head.query);
    assert!(!left.contains("secret"), "{left}");
    assert!(!left.contains("other"), "{left}");
}

#[rstest]
#[case::none(&[], None)]
#[case::basic(&[("authorization", "Basic c2VjcmV0")], None)]
#[case::empty(&[("authorization", "Bearer ")], Some("api_key="))]
fn what_is_no_key_is_not_taken_for_one(
    #[case] pairs: &[(&str, &str)],
    #[case] query: Option<&str>,
) {
    assert_eq!(strip_head(&headers(pairs), query).key, None);
}

#[test]
fn what_belongs_to_the_connection_is_not_passed_on() {
    let pairs = [
        ("connection", "close, x-private"),
        ("x-private", "1"),
        ("transfer-encoding", "chunked"),
        ("x-public", "2"),
    ];
    let head = strip_head(&headers(&pairs), Some("page=1"));
    assert_eq!(head.headers, headers(&[("x-public", "2")]));
    assert_eq!(head.query.as_deref(), Some("page=1"));
}

#[test]
fn a_key_in_a_json_body_is_taken_out() {
    let mut body = json!({ "api_key": KEY, "model": "m" });
    assert_eq!(strip_json(&mut body), Some(KeyHash::of(KEY.as_bytes())));
    assert_eq!(body, json!({ "model": "m" }));
}

proptest! {
    #[test]
    fn no_place_that_may_carry_a_key_reaches_a_target(
        places in prop::collection::vec(0_usize..8, 1..6),
        filler in "[a-z]{1,8}",
    ) {
        let mut map = HeaderMap::new();
        let mut query = format!("{filler}=1");
        for place in places {
            let names = ["authorization", "x-api-key", "api-key", "proxy-authorization"];
            match place {
                0..4 => {
                    let name = HeaderName::from_static(names[place]);
                    let value = HeaderValue::from_str(&format!("Bearer {KEY}")).unwrap();
                    map.append(name, value);
                }
                4 => query.push_str(&format!("&api_key={KEY}")),
                5 => query.push_str(&format!("&Access_Token={KEY}")),
                6 => query.insert_str(0, &format!("key={KEY}&")),
                _ => {
                    let value = format!("{filler}=1;api-key={KEY}");
                    map.append("cookie", HeaderValue::from_str(&value).unwrap());
                }
            }
        }
        let head = strip_head(&map, Some(&query));
        prop_assert!(head.key.is_some());
        let left = format!("{:?} {:?}", head.headers, head.query);
        prop_assert!(!left.contains(KEY), "{}", left);
    }
}
