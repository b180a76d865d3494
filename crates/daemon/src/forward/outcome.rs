//! What an attempt ended with.

use crate::forward::forwarder::RequestRoute;
use std::{sync::Arc, time::Duration};
use wagtail_core::{
    CoreError, Result, ports::TargetResponse, request::TargetLoad, verdict::RunVerdict,
};
use wagtail_route::{AttemptResult, LoadHint};

/// The time after which a repeat is expected to find an owner.
const NO_OWNER_RETRY: Duration = Duration::from_millis(500);

/// The code of a refusal by a node that does not own the key.
pub(super) const NOT_OWNER: &str = "not-owner";

/// Returns whether a node said that it does not own the key, or could not be reached at all.
pub(super) fn is_redirection(outcome: &Result<TargetResponse>) -> bool {
    match outcome {
        Ok(answer) => answer.head.refusal.as_deref() == Some(NOT_OWNER),
        Err(error) => error.verdict() == RunVerdict::NotRun,
    }
}

/// Makes the hint of a load that came along with an answer.
pub(super) fn load_hint(load: TargetLoad) -> LoadHint {
    LoadHint {
        load: load.load,
        limit: load.limit,
    }
}

/// Returns what an outcome says of the target.
pub(super) fn attempt_result(outcome: &Result<TargetResponse>) -> AttemptResult {
    match outcome {
        Ok(answer) => match answer.head.refusal.as_deref() {
            None => AttemptResult::Answered,
            Some("stopping" | "target-draining" | "no-target") => AttemptResult::Leaving,
            Some("target-stalled" | "target-failed") => AttemptResult::Failed {
                verdict: answer.head.verdict,
            },
            Some(_) => AttemptResult::Overloaded,
        },
        Err(error) => AttemptResult::Failed {
            verdict: error.verdict(),
        },
    }
}

/// Returns the reason of a failed attempt, for the log.
pub(super) fn reason_of(outcome: &Result<TargetResponse>) -> Arc<str> {
    match outcome {
        Ok(answer) => answer
            .head
            .refusal
            .clone()
            .unwrap_or_else(|| Arc::from("answered")),
        Err(error) => Arc::from(error.to_string()),
    }
}

/// Makes the error of a request that no node is left for.
pub(super) fn no_owner(route: &RequestRoute) -> CoreError {
    let reason = match &route.slice {
        Some(slice) => format!("no node serves slice {slice} now"),
        None => "no target of the service takes work now".to_owned(),
    };
    let retry_after_ms = u64::try_from(NO_OWNER_RETRY.as_millis()).unwrap_or(0);

    CoreError::overloaded(reason, retry_after_ms)
}
