//! The validation of one response: its verdict, and whether it is complete and matches the request.

use crate::{plan::PlannedRequest, record::AttemptOutcome};
use serde::Deserialize;
use standin_net::{
    client::CompleteResponse,
    reply::{header_number, header_text},
};
use std::sync::Arc;

/// The delay in milliseconds before a retry when the refusal states none.
const DEFAULT_RETRY_MS: u64 = 100;

/// The minimum delay in milliseconds before a retry.
const MIN_RETRY_MS: u64 = 10;

/// The maximum delay in milliseconds before a retry.
const MAX_RETRY_MS: u64 = 10_000;

/// Milliseconds per second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// `ResponseContent` is the JSON line in the response body of a target.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ResponseContent {
    /// The identifier of the request.
    id: Arc<str>,
    /// The key of the request.
    key: Option<Arc<str>>,
    /// The announced address of the target.
    target: Arc<str>,
    /// The index of the execution in the target's process.
    run: usize,
}

/// Validates the response to an attempt with the identifier `id`.
pub fn validate_response(
    request: &PlannedRequest,
    id: &str,
    response: &CompleteResponse,
) -> AttemptOutcome {
    if header_text(&response.headers, "wagtail-request-id") != Some(id) {
        return wrong(id, "the answer names another request");
    }

    match header_text(&response.headers, "wagtail-verdict") {
        Some("done") => validate_content(request, id, &response.body),
        Some("not-run") => AttemptOutcome::NotRun {
            retry_after_ms: retry_after_ms(response),
        },
        Some("unknown") => AttemptOutcome::Unknown,
        _ => wrong(id, "the answer has no verdict"),
    }
}

/// Validates the body of a response whose verdict is `done`.
fn validate_content(request: &PlannedRequest, id: &str, body: &[u8]) -> AttemptOutcome {
    let Ok(content) = serde_json::from_slice::<ResponseContent>(body) else {
        return wrong(id, "the body is no target's answer");
    };

    if &*content.id != id {
        return wrong(id, "the body belongs to another request");
    }
    if content.key != request.key {
        return wrong(id, "the body belongs to another key");
    }
    if body.len() != request.response_bytes {
        return wrong(id, "the body has another size");
    }

    AttemptOutcome::Answered {
        target: content.target,
        run: content.run,
    }
}

/// Returns the delay in milliseconds before a retry. The header field in milliseconds takes
/// precedence over the one in seconds.
fn retry_after_ms(response: &CompleteResponse) -> u64 {
    let millis = header_number(&response.headers, "wagtail-retry-after-ms");
    let seconds = header_number(&response.headers, "retry-after");

    millis
        .or(seconds.map(|seconds| seconds.saturating_mul(MILLIS_PER_SECOND)))
        .unwrap_or(DEFAULT_RETRY_MS)
        .clamp(MIN_RETRY_MS, MAX_RETRY_MS)
}

/// Creates the outcome of an invalid response.
fn wrong(id: &str, reason: &str) -> AttemptOutcome {
    AttemptOutcome::Wrong {
        reason: Arc::from(format!("{id}: {reason}")),
    }
}
