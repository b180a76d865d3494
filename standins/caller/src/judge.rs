//! What one answer says, and whether it is the request's own and whole.

use crate::{plan::PlannedRequest, record::AttemptOutcome};
use serde::Deserialize;
use standin_net::{
    client::WholeAnswer,
    reply::{header_number, header_text},
};
use std::sync::Arc;

/// The wait in milliseconds before a repeat when the refusal names none.
const DEFAULT_RETRY_MS: u64 = 100;

/// The shortest wait in milliseconds before a repeat.
const MIN_RETRY_MS: u64 = 10;

/// The longest wait in milliseconds before a repeat.
const MAX_RETRY_MS: u64 = 10_000;

/// The milliseconds in a second.
const MILLIS_PER_SECOND: u64 = 1_000;

/// `AnswerContent` is the JSON line of a target's answer.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AnswerContent {
    /// The identifier of the request.
    id: Arc<str>,
    /// The key.
    key: Option<Arc<str>>,
    /// The target.
    target: Arc<str>,
    /// The ordinal of the execution.
    run: usize,
}

/// Judges the answer to an attempt.
pub fn judge_answer(request: &PlannedRequest, id: &str, answer: &WholeAnswer) -> AttemptOutcome {
    if header_text(&answer.headers, "wagtail-request-id") != Some(id) {
        return wrong(id, "the answer names another request");
    }

    match header_text(&answer.headers, "wagtail-verdict") {
        Some("done") => judge_content(request, id, &answer.body),
        Some("not-run") => AttemptOutcome::NotRun {
            retry_after_ms: retry_after_ms(answer),
        },
        Some("unknown") => AttemptOutcome::Unknown,
        _ => wrong(id, "the answer has no verdict"),
    }
}

/// Judges the body of an answer that is presented as whole.
fn judge_content(request: &PlannedRequest, id: &str, body: &[u8]) -> AttemptOutcome {
    let Ok(content) = serde_json::from_slice::<AnswerContent>(body) else {
        return wrong(id, "the body is no target's answer");
    };

    if &*content.id != id {
        return wrong(id, "the body belongs to another request");
    }
    if content.key != request.key {
        return wrong(id, "the body belongs to another key");
    }
    if body.len() != request.answer_bytes {
        return wrong(id, "the body has another size");
    }

    AttemptOutcome::Answered {
        target: content.target,
        run: content.run,
    }
}

/// Returns the wait before a repeat. The field in milliseconds goes before the one in seconds.
fn retry_after_ms(answer: &WholeAnswer) -> u64 {
    let millis = header_number(&answer.headers, "wagtail-retry-after-ms");
    let seconds = header_number(&answer.headers, "retry-after");

    millis
        .or(seconds.map(|seconds| seconds.saturating_mul(MILLIS_PER_SECOND)))
        .unwrap_or(DEFAULT_RETRY_MS)
        .clamp(MIN_RETRY_MS, MAX_RETRY_MS)
}

/// Makes the outcome of a wrong answer.
fn wrong(id: &str, reason: &str) -> AttemptOutcome {
    AttemptOutcome::Wrong {
        reason: Arc::from(format!("{id}: {reason}")),
    }
}
