//! Encodes responses.

use crate::{clock, pipeline::output::OutputBuffer, server::KEEP_ALIVE};
use bytes::Bytes;
use hyper::{
    StatusCode, Version,
    header::{CONNECTION, CONTENT_LENGTH, DATE, HeaderMap, HeaderValue, TRANSFER_ENCODING},
    http::response::Parts,
};
use std::{
    cell::RefCell,
    io::Write,
    time::{Duration, UNIX_EPOCH},
};

/// The start of every response, in each version of HTTP/1.
pub(crate) const RESPONSE_PREFIX: &[u8] = b"HTTP/1.";

/// Milliseconds per second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// `BodyEncoding` is how the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyEncoding {
    /// The response has no body.
    Absent,
    /// This number of bytes follows.
    Length(u64),
    /// The body is chunked.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// `BrokenBody` is the error of a body that ended before its stated length.
#[derive(Debug)]
pub(crate) struct BrokenBody;

impl BodyEncoding {
    /// Chooses the encoding of a body whose length is `length`, if it is known.
    pub(crate) fn choose(
        parts: &Parts,
        length: Option<u64>,
        is_head: bool,
        version: Version,
    ) -> Self {
        let bodiless = matches!(
            parts.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        if is_head || bodiless || parts.status.is_informational() {
            return Self::Absent;
        }

        match stated_length(&parts.headers).or(length) {
            Some(length) => Self::Length(length),
            None if version == Version::HTTP_10 => Self::UntilClose,
            None => Self::Chunked,
        }
    }

    /// Encodes a chunk of a body. Bytes beyond the stated length are dropped.
    pub(crate) fn put(&mut self, mut chunk: Bytes, output: &mut OutputBuffer) {
        match self {
            _ if chunk.is_empty() => {}
            Self::Absent => {}
            Self::Length(left) => {
                chunk.truncate(usize::try_from(*left).unwrap_or(usize::MAX));
                *left -= u64::try_from(chunk.len()).unwrap_or(u64::MAX);
                output.put_chunk(chunk);
            }
            Self::Chunked => {
                put_formatted(output, format_args!("{:x}\r\n", chunk.len()));
                output.put_chunk(chunk);
                output.put(b"\r\n");
            }
            Self::UntilClose => output.put_chunk(chunk),
        }
    }

    /// Encodes the end of a body.
    ///
    /// # Errors
    ///
    /// Fails if the body is shorter than stated.
    pub(crate) fn finish(self, output: &mut OutputBuffer) -> Result<(), BrokenBody> {
        match self {
            Self::Absent | Self::UntilClose | Self::Length(0) => Ok(()),
            Self::Length(_) => Err(BrokenBody),
            Self::Chunked => {
                output.put(b"0\r\n\r\n");
                Ok(())
            }
        }
    }
}

/// `ResponseFrame` is what a response states besides what its handler set.
#[derive(Debug)]
pub(crate) struct ResponseFrame<'a> {
    pub(crate) version: Version,
    pub(crate) encoding: BodyEncoding,
    /// The length of the body, if it is known.
    pub(crate) length: Option<u64>,
    /// Whether the connection closes after the response.
    pub(crate) closes: bool,
    /// The value of the header field that announces the idle timeout.
    pub(crate) keep_alive: &'a HeaderValue,
    pub(crate) dates: &'a DateCache,
}

impl ResponseFrame<'_> {
    /// Encodes the status line, without [`RESPONSE_PREFIX`] if that was written before, and the header
    /// fields.
    pub(crate) fn put_head(&self, parts: &Parts, prefix_sent: bool, output: &mut OutputBuffer) {
        if !prefix_sent {
            output.put(RESPONSE_PREFIX);
        }
        let is_old = self.version == Version::HTTP_10;
        output.put(if is_old { b"0 " } else { b"1 " });
        output.put(parts.status.as_str().as_bytes());
        output.put(b" ");
        output.put(
            parts
                .status
                .canonical_reason()
                .unwrap_or_default()
                .as_bytes(),
        );
        output.put(b"\r\n");

        // Fields of the connection and the framing are those of this server, whatever the handler set.
        let own = [CONNECTION, KEEP_ALIVE, TRANSFER_ENCODING, CONTENT_LENGTH];
        for (name, value) in &parts.headers {
            if !own.contains(name) {
                put_field(output, name.as_str(), value.as_bytes());
            }
        }

        self.put_framing(parts, output);
        if self.closes {
            output.put(b"connection: close\r\n");
        } else {
            if is_old {
                output.put(b"connection: keep-alive\r\n");
            }
            // A response that states options of its own for the connection announces no timeout.
            if !parts.headers.contains_key(CONNECTION) {
                put_field(output, KEEP_ALIVE.as_str(), self.keep_alive.as_bytes());
            }
        }
        if !parts.headers.contains_key(DATE) {
            self.dates.put(output);
        }
        output.put(b"\r\n");
    }

    /// Encodes the header field that states how the body ends.
    fn put_framing(&self, parts: &Parts, output: &mut OutputBuffer) {
        let length = match self.encoding {
            BodyEncoding::Chunked => {
                output.put(b"transfer-encoding: chunked\r\n");
                return;
            }
            BodyEncoding::Length(length) => Some(length),
            BodyEncoding::Absent if may_state_length(parts.status) => {
                // A response to HEAD states the length that the body would have.
                let known = self
                    .length
                    .filter(|length| *length > 0 && parts.status != StatusCode::NOT_MODIFIED);
                stated_length(&parts.headers).or(known)
            }
            BodyEncoding::UntilClose | BodyEncoding::Absent => None,
        };

        if let Some(length) = length {
            put_formatted(output, format_args!("content-length: {length}\r\n"));
        }
    }
}

/// `DateCache` holds the `date` header field of the current second.
#[derive(Debug, Default)]
pub(crate) struct DateCache(RefCell<(u64, String)>);

impl DateCache {
    /// Encodes the header field.
    fn put(&self, output: &mut OutputBuffer) {
        let seconds = clock::unix_millis() / MILLIS_PER_SECOND;
        let mut cached = self.0.borrow_mut();
        if cached.0 != seconds {
            let date = httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(seconds));
            *cached = (seconds, date);
        }

        put_field(output, DATE.as_str(), cached.1.as_bytes());
    }
}

/// Returns whether a response without a body may state a length.
fn may_state_length(status: StatusCode) -> bool {
    status != StatusCode::NO_CONTENT && !status.is_informational()
}

/// Returns the length that the handler of a response stated.
fn stated_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Encodes a header field.
fn put_field(output: &mut OutputBuffer, name: &str, value: &[u8]) {
    output.put(name.as_bytes());
    output.put(b": ");
    output.put(value);
    output.put(b"\r\n");
}

/// Encodes a short formatted text.
fn put_formatted(output: &mut OutputBuffer, text: std::fmt::Arguments<'_>) {
    let mut buffer = [0_u8; 64];
    let mut rest = buffer.as_mut_slice();
    let written = rest.write_fmt(text);
    let unused = rest.len();
    debug_assert!(written.is_ok(), "the text is longer than the buffer");

    output.put(&buffer[..buffer.len() - unused]);
}
