//! Classification of the outcomes of attempts.

use crate::forward::forwarder::RequestRoute;
use std::{sync::Arc, time::Duration};
use wagtail_core::{
    CoreError, Result, ports::TargetResponse, request::TargetLoad, verdict::RunVerdict,
};
use wagtail_route::{AttemptResult, LoadHint};

/// The delay after which a retry is expected to find an owner.
const NO_OWNER_RETRY: Duration = Duration::from_millis(500);

/// The code with which a node refuses a request for a key that it does not own.
pub(super) const NOT_OWNER: &str = "not-owner";

/// Returns whether the node does not own the key, or the attempt failed without running the
/// request, as when the node is unreachable.
pub(super) fn is_redirection(outcome: &Result<TargetResponse>) -> bool {
    match outcome {
        Ok(response) => response.head.refusal.as_deref() == Some(NOT_OWNER),
        Err(error) => error.verdict() == RunVerdict::NotRun,
    }
}

/// Converts the load in a response into a hint for the choice of targets.
pub(super) fn load_hint(load: TargetLoad) -> LoadHint {
    LoadHint {
        load: load.load,
        limit: load.limit,
    }
}

/// Converts an outcome into the result that the choice of targets records.
pub(super) fn attempt_result(outcome: &Result<TargetResponse>) -> AttemptResult {
    match outcome {
        Ok(response) => match response.head.refusal.as_deref() {
            None => AttemptResult::Answered,
            Some("stopping" | "target-draining" | "no-target") => AttemptResult::Leaving,
            Some("target-stalled" | "target-failed") => AttemptResult::Failed {
                verdict: response.head.verdict,
            },
            Some(_) => AttemptResult::Overloaded,
        },
        Err(error) => AttemptResult::Failed {
            verdict: error.verdict(),
        },
    }
}

/// Returns the reason of a failed attempt for the log.
pub(super) fn failure_reason(outcome: &Result<TargetResponse>) -> Arc<str> {
    match outcome {
        Ok(response) => response
            .head
            .refusal
            .clone()
            .unwrap_or_else(|| Arc::from("answered")),
        Err(error) => Arc::from(error.to_string()),
    }
}

/// Creates the error of a request that has no node left to try.
pub(super) fn no_owner(route: &RequestRoute) -> CoreError {
    let reason = match &route.slice {
        Some(slice) => format!("no node serves slice {slice} now"),
        None => "no target of the service takes work now".to_owned(),
    };
    let retry_after_ms = u64::try_from(NO_OWNER_RETRY.as_millis()).unwrap_or(0);

    CoreError::overloaded(reason, retry_after_ms)
}
