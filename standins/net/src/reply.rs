//! Helpers that build responses and parse requests.

use crate::{body::ResponseBody, errors::Result};
use bytes::Bytes;
use http::{
    HeaderMap, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};

/// `StandinResponse` is a response of a stand-in.
pub type StandinResponse = Response<ResponseBody>;

/// `ErrorReport` is the JSON content of an error response.
#[derive(Debug)]
#[derive(Serialize)]
struct ErrorReport<'a> {
    /// The stable error code.
    code: &'a str,
    /// The explanation for a person.
    message: &'a str,
}

/// Creates a response with JSON content.
pub fn json_reply(status: StatusCode, content: &impl Serialize) -> StandinResponse {
    let text = serde_json::to_vec(content).unwrap_or_default();
    let mut response = Response::new(ResponseBody::new(text));

    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));

    response
}

/// Creates an error response with a JSON object of a code and a message.
pub fn error_reply(status: StatusCode, code: &str, message: &str) -> StandinResponse {
    json_reply(status, &ErrorReport { code, message })
}

/// Reads a complete body.
///
/// # Errors
///
/// Returns an error when the connection ends before the body is complete.
pub async fn read_body(body: Incoming) -> Result<Bytes> {
    Ok(body.collect().await?.to_bytes())
}

/// Decodes JSON content.
///
/// # Errors
///
/// Returns the response with status 400 when the content does not match the type.
pub fn decode_json<T: DeserializeOwned>(content: &[u8]) -> Result<T, Box<StandinResponse>> {
    serde_json::from_slice(content).map_err(|error| {
        let message = error.to_string();
        Box::new(error_reply(StatusCode::BAD_REQUEST, "malformed", &message))
    })
}

/// Returns a header field as text, or `None` when it is absent or not ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Returns a header field as a number, or `None` when it is absent or not a number.
pub fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

/// Returns a parameter of a query string with its percent escapes decoded.
pub fn query_text(query: &str, name: &str) -> Option<String> {
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| decode_percent(value))
}

/// Returns a parameter of a query string as a number.
pub fn query_number(query: &str, name: &str) -> Option<u64> {
    query_text(query, name)?.parse().ok()
}

/// Decodes the percent escapes of a path or query string; an invalid escape stays as it is.
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
