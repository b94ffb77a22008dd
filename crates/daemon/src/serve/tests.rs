//! Extraction of keys from requests, and their removal from what is forwarded.

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

fn header_map(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).unwrap();
        map.append(name, HeaderValue::from_str(value).unwrap());
    }
    map
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
    let head = strip_head(&header_map(pairs), query);
    assert_eq!(head.key, Some(KeyHash::of(KEY.as_bytes())));
    let forwarded = format!("{:?} {:?}", head.headers, head.query);
    assert!(!forwarded.contains("secret"), "{forwarded}");
    assert!(!forwarded.contains("other"), "{forwarded}");
}

#[rstest]
#[case::none(&[], None)]
#[case::basic(&[("authorization", "Basic c2VjcmV0")], None)]
#[case::empty(&[("authorization", "Bearer ")], Some("api_key="))]
fn other_credentials_and_empty_values_are_not_keys(
    #[case] pairs: &[(&str, &str)],
    #[case] query: Option<&str>,
) {
    assert_eq!(strip_head(&header_map(pairs), query).key, None);
}

#[test]
fn headers_of_the_connection_are_not_forwarded() {
    let pairs = [
        ("connection", "close, x-private"),
        ("x-private", "1"),
        ("transfer-encoding", "chunked"),
        ("x-public", "2"),
    ];
    let head = strip_head(&header_map(&pairs), Some("page=1"));
    assert_eq!(head.headers, header_map(&[("x-public", "2")]));
    assert_eq!(head.query.as_deref(), Some("page=1"));
}

#[test]
fn a_key_in_a_json_body_is_removed() {
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
            let header_names = ["authorization", "x-api-key", "api-key", "proxy-authorization"];
            match place {
                0..4 => {
                    let name = HeaderName::from_static(header_names[place]);
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
        let forwarded = format!("{:?} {:?}", head.headers, head.query);
        prop_assert!(!forwarded.contains(KEY), "{}", forwarded);
    }
}
