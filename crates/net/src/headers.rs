//! Selects the end-to-end header fields of requests and responses.

use bytes::Bytes;
use http::HeaderMap;
use std::sync::Arc;
use wagtail_core::request::HeaderField;

/// The names of the header fields that are valid for one connection only.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the end-to-end header fields: all but the hop-by-hop ones and those that the
/// `Connection` field lists.
pub fn end_to_end(headers: &HeaderMap) -> Vec<HeaderField> {
    let connection_options: Vec<String> = headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();

    headers
        .iter()
        .filter(|(name, _)| {
            !HOP_BY_HOP.contains(&name.as_str())
                && !connection_options
                    .iter()
                    .any(|option| option == name.as_str())
        })
        .map(|(name, value)| HeaderField {
            name: Arc::from(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Returns the value of the `Content-Length` field, or `None` if it is missing or invalid.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(http::header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Returns the host of a request, from its URI or its `host` header field.
pub fn host_of(parts: &http::request::Parts) -> Option<&str> {
    parts
        .uri
        .host()
        .or_else(|| parts.headers.get(http::header::HOST)?.to_str().ok())
}
