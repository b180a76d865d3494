//! The responses to requests.

use crate::fields::RequestFields;
use bytes::Bytes;
use http::{Response, StatusCode, header::HeaderValue};
use serde::Serialize;
use standin_net::{
    Result,
    body::ResponseBody,
    reply::{StandinResponse, error_reply},
};

/// `RequestRefusal` is the reason that a request was refused before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestRefusal {
    /// All slots are taken and the queue is full, or the fault `shed` took effect.
    Shed,
    /// The target is draining.
    Draining,
    /// The deadline of the request, or the longest wait for a slot, has passed.
    Deadline,
    /// No valid grant covers the slice and epoch of the request.
    Fenced,
}

impl RequestRefusal {
    /// Returns the value of the `wagtail-refused` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Shed => "shed",
            Self::Draining => "draining",
            Self::Deadline => "deadline",
            Self::Fenced => "fenced",
        }
    }
}

/// `ResponseContent` is the JSON line in the body of a response.
#[derive(Debug)]
#[derive(Serialize)]
struct ResponseContent<'a> {
    /// The identifier of the request.
    id: &'a str,
    /// The key of the request.
    key: Option<&'a str>,
    /// The announced address of the target.
    target: &'a str,
    /// The index of the execution in the log.
    run: usize,
}

/// Creates the response to a request that was refused before it started.
pub(crate) fn refusal_reply(fields: &RequestFields, refusal: RequestRefusal) -> StandinResponse {
    let mut reply = error_reply(
        StatusCode::SERVICE_UNAVAILABLE,
        refusal.as_str(),
        "the order was refused before its start",
    );
    let refused = HeaderValue::from_static(refusal.as_str());
    reply.headers_mut().insert("wagtail-refused", refused);

    // The identifier was read from a header, so it is a valid header value.
    let _named = name_request(&mut reply, fields);

    reply
}

/// Sets the identifier of the request in the header of its response.
pub(crate) fn name_request(
    response: &mut Response<ResponseBody>,
    fields: &RequestFields,
) -> Result<()> {
    let id = HeaderValue::from_str(&fields.id).map_err(http::Error::from)?;
    response.headers_mut().insert("wagtail-request-id", id);

    Ok(())
}

/// Formats the JSON line of a response, padded to the requested size.
pub(crate) fn format_content(fields: &RequestFields, target: &str, run: usize) -> Bytes {
    let content = ResponseContent {
        id: &fields.id,
        key: fields.key.as_deref(),
        target,
        run,
    };
    let mut text = serde_json::to_vec(&content).unwrap_or_default();

    if text.len() + 1 < fields.response_bytes {
        text.resize(fields.response_bytes - 1, b' ');
    }
    text.push(b'\n');

    Bytes::from(text)
}
