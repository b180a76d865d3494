//! The header fields that travel from end to end.

use bytes::Bytes;
use http::HeaderMap;
use std::sync::Arc;
use wagtail_core::request::HeaderField;

/// The header fields that concern one connection only.
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

/// Returns the header fields that travel from end to end.
pub fn end_to_end(headers: &HeaderMap) -> Vec<HeaderField> {
    let named: Vec<String> = headers
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
                && !named.iter().any(|other| other == name.as_str())
        })
        .map(|(name, value)| HeaderField {
            name: Arc::from(name.as_str()),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Returns the length that an answer announces.
pub fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers
        .get(http::header::CONTENT_LENGTH)?
        .to_str()
        .ok()?
        .parse()
        .ok()
}
