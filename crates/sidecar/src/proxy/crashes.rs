//! What ran at the target when its process ended.

use super::TargetProxy;
use crate::messages::DispatchHead;
use bytes::Bytes;
use tracing::warn;
use wagtail_core::{
    digest::{RequestContent, RequestDigest},
    heartbeat::TargetIncarnation,
};
use wagtail_gate::runs::RunEnd;
use wagtail_net::clock;

impl TargetProxy {
    /// Records that a request is about to be sent to the target.
    pub(super) fn begin_run(&self, ticket: u64, dispatch_head: &DispatchHead, body: &Bytes) {
        let state = &mut *self.state.borrow_mut();

        if let Some(life) = state.keeper.life() {
            let content = dispatch_head.content(body.clone());
            state.runs.begin(ticket, life.clone(), content);
        }
    }

    /// Records how a request at the target ended.
    pub(super) fn finish_run(&self, ticket: u64, end: RunEnd) {
        let now = clock::now();

        self.state.borrow_mut().runs.finish(ticket, end, now);
    }

    /// Records that the process of an incarnation of the target has ended without a leave.
    pub(super) fn record_crash(&self, life: &TargetIncarnation, reason: &str) {
        let now = clock::now();
        let ended = self.state.borrow_mut().runs.end_incarnation(life, now);
        let mut digests: Vec<RequestDigest> = ended.iter().map(RequestContent::digest).collect();
        digests.sort_unstable();
        digests.dedup();

        let names: Vec<String> = digests.iter().map(ToString::to_string).collect();
        warn!(
            event = "target-ended", life = %life, reason, running = ended.len(),
            digests = names.join(",")
        );
    }

    /// Records that another incarnation of the target has started. The one before has ended, which
    /// is a crash unless it was leaving or is known to have ended.
    pub(super) fn record_replaced(&self, next_life: &TargetIncarnation) {
        let previous = {
            let mut state = self.state.borrow_mut();
            let is_known = state.ended || state.leaving_since.is_some();
            let previous = state.incarnation.replace(next_life.clone());
            previous.filter(|_| !is_known)
        };

        if let Some(life) = previous {
            self.record_crash(&life, "another incarnation has started");
        }
    }
}
