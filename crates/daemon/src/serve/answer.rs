//! Headers of requests and answers that are passed on.

use reqwest::header::HeaderMap;
use reqwest::header::HeaderName;
use reqwest::header::HeaderValue;
use salvo::Response;

/// Headers that belong to one connection.
const HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
];

/// Sets a header whose value is known to be valid.
pub fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}

/// Returns whether a header belongs to one connection, also by the connection header.
pub fn is_hop_header(name: &HeaderName, headers: &HeaderMap) -> bool {
    if HOP_HEADERS.contains(&name.as_str()) {
        return true;
    }
    let named = headers.get_all("connection").iter();
    let mut named = named.filter_map(|it| it.to_str().ok());
    named.any(|it| {
        it.split(',')
            .any(|part| part.trim().eq_ignore_ascii_case(name.as_str()))
    })
}

/// Copies a target's headers into an answer.
pub fn copy_headers(from: &HeaderMap, res: &mut Response) {
    for (name, value) in from {
        if !is_hop_header(name, from) {
            res.headers_mut().append(name.clone(), value.clone());
        }
    }
}
