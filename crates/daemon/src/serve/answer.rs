//! Forwarding of HTTP headers between callers and targets.

use reqwest::header::HeaderMap;
use reqwest::header::HeaderName;
use reqwest::header::HeaderValue;
use salvo::Response;

/// Headers that apply to a single connection and aren't forwarded (RFC 9110, 7.6.1).
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

/// Sets a response header; a value that isn't valid in a header is left out.
pub fn set_header(res: &mut Response, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        res.headers_mut().insert(name, value);
    }
}

/// Returns whether a header applies to one connection only, by its name or because the
/// `connection` header of the same message lists it.
pub fn is_hop_header(name: &HeaderName, headers: &HeaderMap) -> bool {
    if HOP_HEADERS.contains(&name.as_str()) {
        return true;
    }
    let lists = headers.get_all("connection").iter();
    let mut lists = lists.filter_map(|value| value.to_str().ok());
    lists.any(|list| {
        list.split(',')
            .any(|listed| listed.trim().eq_ignore_ascii_case(name.as_str()))
    })
}

/// Copies a target's response headers, except those of its connection.
pub fn copy_headers(headers: &HeaderMap, res: &mut Response) {
    for (name, value) in headers {
        if !is_hop_header(name, headers) {
            res.headers_mut().append(name.clone(), value.clone());
        }
    }
}
