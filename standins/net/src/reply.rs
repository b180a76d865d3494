//! Answers and the reading of requests.

use crate::{body::AnswerBody, errors::Result};
use bytes::Bytes;
use http::{
    HeaderMap, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};

/// `AnswerResponse` is an answer of a stand-in.
pub type AnswerResponse = Response<AnswerBody>;

/// `ErrorReport` is the content of an answer that refuses a call.
#[derive(Debug)]
#[derive(Serialize)]
struct ErrorReport<'a> {
    /// The stable code.
    code: &'a str,
    /// The explanation.
    message: &'a str,
}

/// Makes an answer with JSON content.
pub fn json_reply(status: StatusCode, content: &impl Serialize) -> AnswerResponse {
    let text = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(AnswerBody::new(text));

    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));

    response
}

/// Makes an answer that refuses a call.
pub fn error_reply(status: StatusCode, code: &str, message: &str) -> AnswerResponse {
    json_reply(status, &ErrorReport { code, message })
}

/// Reads a whole body.
///
/// # Errors
///
/// Fails when the connection ends before the body is whole.
pub async fn read_body(body: Incoming) -> Result<Bytes> {
    Ok(body.collect().await?.to_bytes())
}

/// Decodes JSON content, or returns the answer that refuses it.
///
/// # Errors
///
/// Returns an answer with status 400 when the content does not fit the type.
pub fn decode_json<T: DeserializeOwned>(content: &[u8]) -> Result<T, Box<AnswerResponse>> {
    serde_json::from_slice(content).map_err(|error| {
        let message = error.to_string();
        Box::new(error_reply(StatusCode::BAD_REQUEST, "malformed", &message))
    })
}

/// Returns a header field as text, or nothing when it is absent or not ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header field as a number, or nothing when it is absent or not a number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

/// Returns a decoded parameter of a query.
pub fn query_text(query: &str, name: &str) -> Option<String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| decode_percent(value))
}

/// Returns a parameter of a query as a number.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query_text(query, name)?.parse().ok()
}

/// Decodes the percent escapes of a path or query; an incomplete escape stays as it is.
pub fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;

    while index < bytes.len() {
        let escape = text.get(index + 1..index + 3);
        let code = escape.and_then(|digits| u8::from_str_radix(digits, 16).ok());

        if let Some(byte) = code.filter(|_| bytes[index] == b'%') {
            decoded.push(byte);
            index += 3;
        } else {
            decoded.push(bytes[index]);
            index += 1;
        }
    }

    String::from_utf8_lossy(&decoded).into_owned()
}
