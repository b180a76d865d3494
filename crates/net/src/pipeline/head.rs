//! Parses the head of a request.

use bytes::{Buf, Bytes, BytesMut};
use httparse::{Error as ParseError, Status};
use hyper::{
    HeaderMap, Method, StatusCode, Uri, Version,
    header::{CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, TRANSFER_ENCODING},
};
use std::{mem::MaybeUninit, ops::Range};

/// The maximum number of header fields of a request, as with hyper.
const MAX_FIELDS: usize = 100;

/// The maximum length of a request target in bytes, as with hyper.
const MAX_TARGET_BYTES: usize = 65_534;

/// `Result` is the result of parsing a head. The error is the status with which the request is refused.
pub(crate) type Result<T, E = StatusCode> = std::result::Result<T, E>;

/// `BodyFraming` is how the end of a request body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// The body has this length in bytes.
    Length(u64),
    /// The body is chunked.
    Chunked,
}

/// `RequestHead` is the parsed head of a request.
#[derive(Debug)]
pub(crate) struct RequestHead {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) version: Version,
    pub(crate) headers: HeaderMap,
    pub(crate) framing: BodyFraming,
    /// Whether the caller keeps the connection open after the response.
    pub(crate) keep_alive: bool,
    /// Whether the caller sends the body only after an interim response.
    pub(crate) expects_continue: bool,
    /// The size of the head in bytes.
    pub(crate) size: usize,
}

impl RequestHead {
    /// Returns whether further requests may be read before this one is answered: it is idempotent by
    /// its method and has no body. HTTP/1.0 has no pipelining, and its responses may end with the
    /// connection.
    pub(crate) fn is_safe(&self) -> bool {
        matches!(self.method, Method::GET | Method::HEAD)
            && self.version == Version::HTTP_11
            && !self.has_body()
    }

    /// Returns whether a body follows.
    pub(crate) fn has_body(&self) -> bool {
        self.framing != BodyFraming::Length(0)
    }
}

/// `HeadParser` parses heads from the bytes of one connection.
#[derive(Debug)]
pub(crate) struct HeadParser {
    /// The maximum size of a head in bytes.
    limit: usize,
    /// The number of bytes at the start of the input that are known to hold no complete head.
    scanned: usize,
}

impl HeadParser {
    /// Creates a parser for heads of up to `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, scanned: 0 }
    }

    /// Takes the next head from the input; returns `None` if it is not complete.
    ///
    /// # Errors
    ///
    /// Fails with the status of the refusal if the head is malformed or too large.
    pub(crate) fn next(&mut self, input: &mut BytesMut) -> Result<Option<RequestHead>> {
        if !self.may_be_complete(input) {
            return self.check_size(input);
        }

        let Some(ParsedHead {
            size,
            method,
            target,
            version,
            fields,
        }) = parse(input)?
        else {
            self.scanned = input.len();
            return self.check_size(input);
        };
        if size > self.limit {
            return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }

        self.scanned = 0;
        let bytes = input.split_to(size).freeze();
        if target.len() > MAX_TARGET_BYTES {
            return Err(StatusCode::URI_TOO_LONG);
        }
        let uri = Uri::from_maybe_shared(bytes.slice(target))
            .map_err(|_invalid| StatusCode::BAD_REQUEST)?;

        HeadFields::read(&bytes, &fields, version).map(|fields| {
            Some(RequestHead {
                method,
                uri,
                version,
                headers: fields.headers,
                framing: fields.framing,
                keep_alive: fields.keep_alive,
                expects_continue: fields.expects_continue,
                size,
            })
        })
    }

    /// Returns whether the end of a head may be in the bytes that arrived since the last attempt. A
    /// head that arrives in small pieces would otherwise be parsed again from its start for each piece.
    fn may_be_complete(&mut self, input: &BytesMut) -> bool {
        if self.scanned == 0 {
            return !input.is_empty();
        }

        // The end of a head may begin up to three bytes before the new ones.
        let from = self.scanned.saturating_sub(3).min(input.len());
        let added = &input[from..];
        let is_end =
            |at: usize| matches!(&added[at..], [b'\n', b'\n', ..] | [b'\n', b'\r', b'\n', ..]);
        let found = (0..added.len()).any(is_end);
        self.scanned = input.len();

        found
    }

    /// Checks the size of a head that is not complete.
    fn check_size(&self, input: &BytesMut) -> Result<Option<RequestHead>> {
        if input.remaining() > self.limit {
            Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE)
        } else {
            Ok(None)
        }
    }
}

/// `ParsedHead` is a head with the positions of its parts in the input.
struct ParsedHead {
    size: usize,
    method: Method,
    target: Range<usize>,
    version: Version,
    /// The name and the position of the value of each header field.
    fields: Vec<(HeaderName, Range<usize>)>,
}

/// Parses a head without taking it from the input; returns `None` if it is not complete.
fn parse(input: &[u8]) -> Result<Option<ParsedHead>> {
    let mut slots = [const { MaybeUninit::uninit() }; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut []);
    let size = match request.parse_with_uninit_headers(input, &mut slots) {
        Ok(Status::Complete(size)) => size,
        Ok(Status::Partial) => return Ok(None),
        Err(ParseError::TooManyHeaders) => {
            return Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
        }
        Err(_malformed) => return Err(StatusCode::BAD_REQUEST),
    };

    let position = |part: &[u8]| {
        let start = part.as_ptr().addr() - input.as_ptr().addr();
        start..start + part.len()
    };
    let method = Method::from_bytes(request.method.unwrap_or_default().as_bytes())
        .map_err(|_invalid| StatusCode::BAD_REQUEST)?;
    let version = if request.version == Some(0) {
        Version::HTTP_10
    } else {
        Version::HTTP_11
    };
    let mut fields = Vec::with_capacity(request.headers.len());
    for field in request.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes())
            .map_err(|_invalid| StatusCode::BAD_REQUEST)?;
        fields.push((name, position(field.value)));
    }

    Ok(Some(ParsedHead {
        size,
        method,
        target: position(request.path.unwrap_or_default().as_bytes()),
        version,
        fields,
    }))
}

/// `HeadFields` holds the header fields of a request and what they say about the connection.
struct HeadFields {
    headers: HeaderMap,
    framing: BodyFraming,
    keep_alive: bool,
    expects_continue: bool,
}

impl HeadFields {
    /// Reads the header fields, whose values are at the given positions of `bytes`.
    fn read(
        bytes: &Bytes,
        positions: &[(HeaderName, Range<usize>)],
        version: Version,
    ) -> Result<Self> {
        let is_old = version == Version::HTTP_10;
        let mut headers = HeaderMap::with_capacity(positions.len());
        let (mut length, mut chunked, mut expects_continue) = (None, false, false);
        let (mut close, mut stay_open) = (false, false);

        for (name, range) in positions {
            let value = HeaderValue::from_maybe_shared(bytes.slice(range.clone()))
                .map_err(|_invalid| StatusCode::BAD_REQUEST)?;
            if *name == CONTENT_LENGTH {
                let stated = parse_length(value.as_bytes()).ok_or(StatusCode::BAD_REQUEST)?;
                if length.replace(stated).is_some_and(|other| other != stated) {
                    return Err(StatusCode::BAD_REQUEST);
                }
                // The same length stated twice is passed on once.
                headers.insert(CONTENT_LENGTH, value);
                continue;
            } else if *name == TRANSFER_ENCODING {
                // A second coding would not be decoded, and HTTP/1.0 has no codings.
                if is_old || chunked || !value.as_bytes().eq_ignore_ascii_case(b"chunked") {
                    return Err(StatusCode::BAD_REQUEST);
                }
                chunked = true;
            } else if *name == CONNECTION {
                close |= has_token(&value, "close");
                stay_open |= has_token(&value, "keep-alive");
            } else if *name == EXPECT {
                expects_continue =
                    !is_old && value.as_bytes().eq_ignore_ascii_case(b"100-continue");
            }
            headers.append(name.clone(), value);
        }

        let framing = match (length, chunked) {
            // Two framings would let two servers disagree about where the next request begins.
            (Some(_), true) => return Err(StatusCode::BAD_REQUEST),
            (None, true) => BodyFraming::Chunked,
            (length, false) => BodyFraming::Length(length.unwrap_or(0)),
        };

        Ok(Self {
            headers,
            framing,
            keep_alive: if is_old { stay_open && !close } else { !close },
            expects_continue,
        })
    }
}

/// Parses the value of a `content-length` header field, which holds only digits.
fn parse_length(value: &[u8]) -> Option<u64> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }

    std::str::from_utf8(value).ok()?.parse().ok()
}

/// Returns whether a comma-separated header field contains a token.
pub(crate) fn has_token(value: &HeaderValue, token: &str) -> bool {
    value.to_str().is_ok_and(|value| {
        value
            .split(',')
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    })
}
