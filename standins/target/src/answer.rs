//! The answers to orders.

use crate::order::OrderFields;
use bytes::Bytes;
use http::{Response, StatusCode, header::HeaderValue};
use serde::Serialize;
use standin_net::{
    Result,
    body::AnswerBody,
    reply::{AnswerResponse, error_reply},
};

/// `OrderRefusal` is why an order was refused before its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderRefusal {
    /// The target has no room.
    Shed,
    /// The target leaves.
    Draining,
    /// The time for the order is over.
    Deadline,
    /// No grant allows the order.
    Fenced,
}

impl OrderRefusal {
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

/// `AnswerContent` is the JSON line of an answer's body.
#[derive(Debug)]
#[derive(Serialize)]
struct AnswerContent<'a> {
    /// The identifier of the request.
    id: &'a str,
    /// The key.
    key: Option<&'a str>,
    /// The target.
    target: &'a str,
    /// The ordinal of the execution.
    run: usize,
}

/// Makes the answer to an order that was refused before its start.
pub(crate) fn refusal_reply(order: &OrderFields, refusal: OrderRefusal) -> AnswerResponse {
    let mut reply = error_reply(
        StatusCode::SERVICE_UNAVAILABLE,
        refusal.as_str(),
        "the order was refused before its start",
    );
    let refused = HeaderValue::from_static(refusal.as_str());
    reply.headers_mut().insert("wagtail-refused", refused);

    // The identifier came in a header, so it fits into one.
    let _named = name_request(&mut reply, order);

    reply
}

/// Names the request in its answer.
pub(crate) fn name_request(response: &mut Response<AnswerBody>, order: &OrderFields) -> Result<()> {
    let id = HeaderValue::from_str(&order.id).map_err(http::Error::from)?;
    response.headers_mut().insert("wagtail-request-id", id);

    Ok(())
}

/// Writes the JSON line of an answer, padded to the asked size.
pub(crate) fn format_content(order: &OrderFields, target: &str, run: usize) -> Bytes {
    let content = AnswerContent {
        id: &order.id,
        key: order.key.as_deref(),
        target,
        run,
    };
    let mut text = serde_json::to_vec(&content).unwrap_or_default();

    if text.len() + 1 < order.answer_bytes {
        text.resize(order.answer_bytes - 1, b' ');
    }
    text.push(b'\n');

    Bytes::from(text)
}
