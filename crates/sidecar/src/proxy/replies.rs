//! Builds the replies to other nodes.

use super::TargetProxy;
use crate::{
    memory::MEMORY_FULL,
    messages::{CompletedFields, DispatchHead, NotRunFields, PauseKind, PeerReply, ReplyBody},
};
use http::StatusCode;
use std::{sync::Arc, time::Duration};
use wagtail_core::{ports::BodyStream, request::HeaderField};
use wagtail_net::clock;
use wagtail_peer::{answer::PeerResponse, stream::EmptyBody};
use wagtail_route::pick::LoadReport;

/// The delay after which a refused caller may retry, in milliseconds, while a key has no holder.
pub(super) const NO_HOLDER_RETRY_AFTER_MS: u32 = 300;

impl TargetProxy {
    /// Returns the load that is reported to the caller of a request on a route.
    pub(super) fn load_for(&self, route: &str) -> LoadReport {
        let load = self.load();
        let state = self.state.borrow();
        let route_time = state.gate.class_seconds(route, clock::now());

        LoadReport {
            route_ms: route_time.unwrap_or(0.0) * 1_000.0,
            ..load
        }
    }

    /// Creates the reply that relays a response of the target, with a body of `body_bytes` if that is
    /// known.
    pub(super) fn relayed_response(
        &self,
        route: &str,
        status: StatusCode,
        headers: Vec<HeaderField>,
        body: Box<dyn BodyStream>,
        body_bytes: Option<u64>,
    ) -> PeerResponse<PeerReply> {
        let fields = CompletedFields {
            status: status.as_u16(),
            headers,
            body_bytes,
            load: self.load_for(route),
        };

        PeerResponse::new(self.reply(ReplyBody::Completed(fields)), body)
    }

    /// Creates the reply for a request that did not run.
    pub(super) fn not_run(&self, fields: NotRunFields) -> PeerResponse<PeerReply> {
        PeerResponse::new(self.reply(ReplyBody::NotRun(fields)), Box::new(EmptyBody))
    }

    /// Creates the reply for a request whose body does not fit into the memory of this node, and records it.
    pub fn refuse_body(
        &self,
        dispatch_head: &DispatchHead,
        retry_after: Duration,
    ) -> PeerResponse<PeerReply> {
        let response = self.not_run(NotRunFields {
            pause_ms: millis_up(retry_after),
            elsewhere: dispatch_head.key.is_none(),
            load: Some(self.load_for(&dispatch_head.route)),
            ..elsewhere(MEMORY_FULL)
        });

        self.record(dispatch_head, &response.head.body, clock::now(), None);
        response
    }

    /// Creates the reply for a request that may have run and logs the failure.
    pub(super) fn failed(
        &self,
        dispatch_head: &DispatchHead,
        reason: &str,
        cause: &str,
    ) -> PeerResponse<PeerReply> {
        self.recorder.dispatch_failed(dispatch_head, reason, cause);
        let body = ReplyBody::Failed {
            reason: Arc::from(reason),
            load: self.load_for(&dispatch_head.route),
        };

        PeerResponse::new(self.reply(body), Box::new(EmptyBody))
    }

    /// Creates a reply that also carries what this node knows of objects and of its target.
    pub fn reply(&self, body: ReplyBody) -> PeerReply {
        PeerReply {
            versions: self.view.versions(),
            notice: self.notice_report(),
            body,
        }
    }
}

/// Creates the refusal of a request that another target may run.
pub(super) fn elsewhere(reason: &str) -> NotRunFields {
    NotRunFields {
        reason: Arc::from(reason),
        pause_ms: NO_HOLDER_RETRY_AFTER_MS,
        reached_target: false,
        elsewhere: true,
        pause_kind: PauseKind::Estimate,
        holder: None,
        load: None,
    }
}

/// Returns a duration in milliseconds, rounded up.
pub(super) fn millis_up(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}
