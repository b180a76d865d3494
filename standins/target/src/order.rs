//! The header fields of an order.

use http::HeaderMap;
use standin_net::reply::{header_number, header_text};
use std::sync::Arc;

/// The time in milliseconds that an order holds its slot when it names none.
const DEFAULT_WORK_MS: u64 = 1;

/// The microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

/// `OrderFields` is what the header fields of an order say.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderFields {
    /// The identifier of the request.
    pub id: Arc<str>,
    /// The key of a keyed service.
    pub key: Option<Arc<str>>,
    /// The slice of the key.
    pub slice: Option<u32>,
    /// The epoch of the ownership.
    pub epoch: Option<u64>,
    /// The operation.
    pub operation: Arc<str>,
    /// The end of the time for the order in microseconds of `CLOCK_BOOTTIME`.
    pub deadline_us: Option<u64>,
    /// The time in milliseconds that the order holds its slot.
    pub work_ms: u64,
    /// The least size of the answer's body in bytes.
    pub answer_bytes: usize,
}

impl OrderFields {
    /// Reads the fields of an order that arrived at a moment of `CLOCK_BOOTTIME`.
    ///
    /// # Errors
    ///
    /// Names the field that is missing.
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

        // An order that waited in a socket has less time left than its header says.
        let sent_us = number("wagtail-sent-us").map_or(now_us, |sent_us| sent_us.min(now_us));
        let deadline_us = number("wagtail-time-left-ms")
            .map(|left_ms| sent_us.saturating_add(left_ms.saturating_mul(MICROS_PER_MILLI)));
        let answer_bytes = number("standin-bytes").unwrap_or(0);

        Ok(Self {
            id,
            key,
            slice,
            epoch,
            operation,
            deadline_us,
            work_ms: number("standin-work-ms").unwrap_or(DEFAULT_WORK_MS),
            answer_bytes: usize::try_from(answer_bytes).unwrap_or(usize::MAX),
        })
    }

    /// Returns the time left in microseconds at a moment, at most `limit_us`.
    pub fn left_us(&self, now_us: u64, limit_us: u64) -> u64 {
        self.deadline_us
            .map_or(limit_us, |end| end.saturating_sub(now_us).min(limit_us))
    }
}
