//! What the attempts of a request have come to, and whether its caller may be told that it did not run.

use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The reason of a request that is given up while a node has yet to reply.
const NODE_SILENT: &str = "node-silent";

/// `AttemptRecord` holds the evidence whether a request has run. What an attempt may have done is not taken
/// back by a later refusal.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptRecord {
    /// The number of ended attempts that reached a target, or may have.
    at_targets: u32,
    /// The number of attempts in flight whose node has fallen silent.
    silent: u32,
    /// The reason of the last ended attempt that may have run.
    failure: Option<Arc<str>>,
}

impl AttemptRecord {
    /// Records an attempt that did not run. `reached_target` tells whether the target itself refused it.
    pub fn record_refusal(&mut self, reached_target: bool) {
        self.at_targets += u32::from(reached_target);
    }

    /// Records an attempt that may have run and has no response.
    pub fn record_failure(&mut self, reason: Arc<str>) {
        self.at_targets += 1;
        self.failure = Some(reason);
    }

    /// Records that the node of an attempt in flight has fallen silent.
    pub fn record_silence(&mut self) {
        self.silent += 1;
    }

    /// Records that the attempt of a silent node has ended. How it ended is recorded on its own.
    pub fn record_silence_end(&mut self) {
        self.silent = self.silent.saturating_sub(1);
    }

    /// Returns the number of attempts that reached a target, or may have.
    pub fn at_targets(&self) -> u32 {
        self.at_targets + self.silent
    }

    /// Returns why the request may have run, or `None` if it has not run and no attempt is in flight that
    /// may run it.
    pub fn failure(&self) -> Option<Arc<str>> {
        let silence = || (self.silent > 0).then(|| Arc::from(NODE_SILENT));

        self.failure.clone().or_else(silence)
    }

    /// Returns whether an ended attempt may have run and has no response.
    pub fn has_failed(&self) -> bool {
        self.failure.is_some()
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.failure.is_some() || self.silent > 0
    }
}

/// Returns whether the response of a target that ran a request may be relayed. A caller whose request runs
/// at most once would take some statuses for the promise that it has not run and never will.
pub const fn may_relay(status: u16, is_idempotent: bool) -> bool {
    is_idempotent || !matches!(status, 408 | 421 | 429 | 503)
}
