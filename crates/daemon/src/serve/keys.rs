//! Extraction of API keys from requests.
//!
//! Keys are accepted in several headers, query parameters, cookies and JSON fields. They are
//! removed from all of these places, so that no target ever gets a caller's key, and only
//! their hashes are kept.

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

/// Head of a request, without any key and without headers of its connection.
#[derive(Debug)]
pub struct StrippedHead {
    /// Hash of the key that the request came with.
    pub key: Option<KeyHash>,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Query to forward; `None` if nothing is left of it.
    pub query: Option<String>,
}

/// Removes keys from headers, query and cookies.
///
/// All places that can carry a key are stripped, even if another one supplied the key. The
/// first key counts, in this order: `authorization`, the other headers, query, cookies.
pub fn strip_head(headers: &HeaderMap, query: Option<&str>) -> StrippedHead {
    let mut keys: Vec<KeyHash> = KEY_HEADERS
        .iter()
        .filter_map(|name| headers.get(*name))
        .filter_map(header_key)
        .collect();
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        let carries_key = KEY_HEADERS.contains(&name.as_str()) || name == "cookie";
        if !carries_key && !is_hop_header(name, headers) && name != "content-length" {
            forwarded.append(name.clone(), value.clone());
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
            forwarded.append("cookie", rest);
        }
    }
    StrippedHead {
        key: keys.first().copied(),
        headers: forwarded,
        query: query.filter(|query| !query.is_empty()),
    }
}

/// Returns the hash of a header's key: a bearer token, or a bare value without a scheme.
fn header_key(value: &HeaderValue) -> Option<KeyHash> {
    let bytes = value.as_bytes().trim_ascii();
    let key = match bytes.iter().position(|byte| *byte == b' ') {
        Some(space) if bytes[..space].eq_ignore_ascii_case(b"bearer") => &bytes[space + 1..],
        Some(_) => return None,
        None if bytes.eq_ignore_ascii_case(b"bearer") => return None,
        None => bytes,
    };
    (!key.is_empty()).then(|| KeyHash::of(key.trim_ascii()))
}

/// Removes pairs whose name can carry a key from a list of `name=value` pairs, and adds the
/// hashes of their values to `keys`.
fn strip_pairs(text: &str, separator: char, keys: &mut Vec<KeyHash>) -> String {
    let kept = text.split(separator).filter(|pair| {
        let (name, value) = pair.trim().split_once('=').unwrap_or((pair.trim(), ""));
        let name = percent_decode(name);
        let name = String::from_utf8_lossy(&name);
        let carries_key = KEY_NAMES
            .iter()
            .any(|key_name| name.eq_ignore_ascii_case(key_name));
        if carries_key && !value.is_empty() {
            keys.push(KeyHash::of(&percent_decode(value)));
        }
        !carries_key
    });
    let kept: Vec<&str> = kept.collect();
    kept.join(&separator.to_string()).trim().to_owned()
}

/// Decodes percent escapes; an invalid escape stays as it is.
fn percent_decode(text: &str) -> Vec<u8> {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut position = 0;
    while position < bytes.len() {
        let escape = bytes.get(position + 1..position + 3);
        let value = escape
            .filter(|_| bytes[position] == b'%')
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match value {
            Some(value) => {
                decoded.push(value);
                position += 3;
            }
            None => {
                decoded.push(bytes[position]);
                position += 1;
            }
        }
    }
    decoded
}

/// Removes keys from the top level of a JSON body; returns the hash of the first one.
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
