//! The header fields of a request.

use http::HeaderMap;
use standin_net::reply::{header_number, header_text};
use std::sync::Arc;

/// The default time in milliseconds that a request holds its slot.
const DEFAULT_WORK_MS: u64 = 1;

/// Microseconds per millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// `RequestFields` holds the parsed header fields of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestFields {
    /// The identifier of the request.
    pub id: Arc<str>,
    /// The key of a keyed service.
    pub key: Option<Arc<str>>,
    /// The slice of the key.
    pub slice: Option<u32>,
    /// The epoch of the ownership.
    pub epoch: Option<u64>,
    /// The name of the operation.
    pub operation: Arc<str>,
    /// The deadline in microseconds of `CLOCK_BOOTTIME`.
    pub deadline_us: Option<u64>,
    /// The time in milliseconds that the request holds its slot.
    pub work_ms: u64,
    /// The minimum size of the response body in bytes.
    pub response_bytes: usize,
}

impl RequestFields {
    /// Parses the header fields of a request that arrived at the time `now_us`, in microseconds of
    /// `CLOCK_BOOTTIME`.
    ///
    /// # Errors
    ///
    /// Returns a message that names the missing field.
    pub fn read(headers: &HeaderMap, now_us: u64) -> Result<Self, &'static str> {
        let text = |name: &str| header_text(headers, name).map(Arc::from);
        let number = |name: &str| header_number(headers, name);

        let id = text("wagtail-request-id").ok_or("wagtail-request-id is missing")?;
        let operation = text("wagtail-operation").ok_or("wagtail-operation is missing")?;
        let key = text("wagtail-key");
        let slice = number("wagtail-slice").and_then(|slice| u32::try_from(slice).ok());
        let epoch = number("wagtail-epoch");
        if key.is_some() && (slice.is_none() || epoch.is_none()) {
            return Err("wagtail-key needs wagtail-slice and wagtail-epoch");
        }

        // The time left counts from the send time, so that waiting in a socket does not extend it.
        let sent_us = number("wagtail-sent-us").map_or(now_us, |sent_us| sent_us.min(now_us));
        let deadline_us = number("wagtail-time-left-ms")
            .map(|left_ms| sent_us.saturating_add(left_ms.saturating_mul(MICROS_PER_MILLI)));
        let response_bytes = number("standin-bytes").unwrap_or(0);

        Ok(Self {
            id,
            key,
            slice,
            epoch,
            operation,
            deadline_us,
            work_ms: number("standin-work-ms").unwrap_or(DEFAULT_WORK_MS),
            response_bytes: usize::try_from(response_bytes).unwrap_or(usize::MAX),
        })
    }

    /// Returns the time left in microseconds until the deadline, at most `limit_us`.
    pub fn left_us(&self, now_us: u64, limit_us: u64) -> u64 {
        self.deadline_us
            .map_or(limit_us, |end| end.saturating_sub(now_us).min(limit_us))
    }
}
