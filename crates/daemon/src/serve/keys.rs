//! Callers' keys: found wherever they may come in, hashed, and never passed on.

use reqwest::header::HeaderMap;
use reqwest::header::HeaderValue;

use super::answer::is_hop_header;
use bergamotlane_policy::plan::KeyHash;

/// Headers that may carry a key.
const KEY_HEADERS: [&str; 4] = [
    "authorization",
    "x-api-key",
    "api-key",
    "proxy-authorization",
];

/// Query parameters and cookies that may carry a key.
const KEY_NAMES: [&str; 4] = ["api_key", "api-key", "key", "access_token"];

/// What is left of a request's head once every key has been taken out.
#[derive(Debug)]
pub struct StrippedHead {
    /// Hash of the key, if there was one.
    pub key: Option<KeyHash>,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Query to pass on.
    pub query: Option<String>,
}

/// Takes the key out of headers, query and cookies.
///
/// All places that may carry a key are stripped, also those that were not used. The
/// first key found counts: authorization, then the other headers, query, cookies.
pub fn strip_head(headers: &HeaderMap, query: Option<&str>) -> StrippedHead {
    let mut keys: Vec<KeyHash> = KEY_HEADERS
        .iter()
        .filter_map(|name| headers.get(*name))
        .filter_map(header_key)
        .collect();
    let mut passed = HeaderMap::new();
    for (name, value) in headers {
        let carries_key = KEY_HEADERS.contains(&name.as_str()) || name == "cookie";
        if !carries_key && !is_hop_header(name, headers) && name != "content-length" {
            passed.append(name.clone(), value.clone());
        }
    }
    let query = query.map(|query| strip_pairs(query, '&', &mut keys));
    for cookie in headers.get_all("cookie") {
        let Ok(text) = cookie.to_str() else {
            continue;
        };
        let rest = strip_pairs(text, ';', &mut keys);
        if let Ok(rest) = HeaderValue::from_str(&rest)
            && !rest.is_empty()
        {
            passed.append("cookie", rest);
        }
    }
    StrippedHead {
        key: keys.first().copied(),
        headers: passed,
        query: query.filter(|it| !it.is_empty()),
    }
}

fn header_key(value: &HeaderValue) -> Option<KeyHash> {
    let bytes = value.as_bytes().trim_ascii();
    let key = match bytes.iter().position(|it| *it == b' ') {
        Some(space) if bytes[..space].eq_ignore_ascii_case(b"bearer") => &bytes[space + 1..],
        Some(_) => return None,
        None if bytes.eq_ignore_ascii_case(b"bearer") => return None,
        None => bytes,
    };
    (!key.is_empty()).then(|| KeyHash::of(key.trim_ascii()))
}

/// Takes key pairs out of `a=b` pairs, collecting their hashes.
fn strip_pairs(text: &str, separator: char, keys: &mut Vec<KeyHash>) -> String {
    let kept = text.split(separator).filter(|pair| {
        let (name, value) = pair.trim().split_once('=').unwrap_or((pair.trim(), ""));
        let name = percent_decode(name);
        let name = String::from_utf8_lossy(&name);
        let carries_key = KEY_NAMES.iter().any(|it| name.eq_ignore_ascii_case(it));
        if carries_key && !value.is_empty() {
            keys.push(KeyHash::of(&percent_decode(value)));
        }
        !carries_key
    });
    let kept: Vec<&str> = kept.collect();
    kept.join(&separator.to_string()).trim().to_owned()
}

fn percent_decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut place = 0;
    while place < bytes.len() {
        let escape = bytes.get(place + 1..place + 3);
        let value = escape
            .filter(|_| bytes[place] == b'%')
            .and_then(|it| std::str::from_utf8(it).ok())
            .and_then(|it| u8::from_str_radix(it, 16).ok());
        match value {
            Some(value) => {
                decoded.push(value);
                place += 3;
            }
            None => {
                decoded.push(bytes[place]);
                place += 1;
            }
        }
    }
    decoded
}

/// Takes keys out of the top level of a JSON body.
pub fn strip_json(body: &mut serde_json::Value) -> Option<KeyHash> {
    let object = body.as_object_mut()?;
    let mut key = None;
    for name in KEY_NAMES {
        if let Some(value) = object.remove(name)
            && let Some(text) = value.as_str()
        {
            key.get_or_insert(KeyHash::of(text.as_bytes()));
        }
    }
    key
}
