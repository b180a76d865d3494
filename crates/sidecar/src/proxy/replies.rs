//! What other nodes are told.

use super::TargetProxy;
use crate::messages::{DispatchHead, NotRunFields, PeerReply, ReplyBody, ResponseHead};
use http::StatusCode;
use std::sync::Arc;
use wagtail_core::{ports::BodyStream, request::HeaderField};
use wagtail_peer::{answer::PeerResponse, stream::EmptyBody};
use wagtail_route::pick::LoadReport;

/// The pause that is asked for while a key has no holder, in milliseconds.
pub(super) const NO_HOLDER_PAUSE_MS: u32 = 300;

impl TargetProxy {
    /// Returns the load that is told to the caller of a request.
    pub(super) fn load_for(&self, is_call: bool) -> LoadReport {
        let begin_share = is_call.then(|| self.state.borrow().pressure.share());

        LoadReport {
            begin_share,
            ..self.load()
        }
    }

    /// Makes the answer that passes the target's on.
    pub(super) fn answered(
        &self,
        status: StatusCode,
        headers: Vec<HeaderField>,
        body: Box<dyn BodyStream>,
    ) -> PeerResponse<PeerReply> {
        let fields = ResponseHead {
            status: status.as_u16(),
            headers,
            load: self.load(),
        };

        PeerResponse::new(self.reply(ReplyBody::Completed(fields)), body)
    }

    /// Makes the answer of a request that did not run.
    pub(super) fn not_run(&self, fields: NotRunFields) -> PeerResponse<PeerReply> {
        PeerResponse::new(self.reply(ReplyBody::NotRun(fields)), Box::new(EmptyBody))
    }

    /// Makes the answer of a request that may have run.
    pub(super) fn failed(
        &self,
        dispatch_head: &DispatchHead,
        reason: &str,
        cause: &str,
    ) -> PeerResponse<PeerReply> {
        self.recorder.dispatch_failed(dispatch_head, reason, cause);
        let body = ReplyBody::Failed {
            reason: Arc::from(reason),
            load: self.load(),
        };

        PeerResponse::new(self.reply(body), Box::new(EmptyBody))
    }

    /// Adds the versions of what this node knows.
    pub(super) fn reply(&self, body: ReplyBody) -> PeerReply {
        PeerReply {
            versions: self.view.versions(),
            body,
        }
    }
}

/// Replaces the load that an answer tells.
pub(super) fn tell_load(body: &mut ReplyBody, told: LoadReport) {
    match body {
        ReplyBody::Completed(fields) => fields.load = told,
        ReplyBody::NotRun(fields) => fields.load = Some(told),
        ReplyBody::Failed { load, .. } => *load = told,
        ReplyBody::Status(_)
        | ReplyBody::Store(_)
        | ReplyBody::Snapshot { .. }
        | ReplyBody::Changes(_)
        | ReplyBody::Acknowledged => {}
    }
}

/// Makes a refusal of a request that another target may run.
pub(super) fn elsewhere(reason: &str) -> NotRunFields {
    NotRunFields {
        reason: Arc::from(reason),
        pause_ms: NO_HOLDER_PAUSE_MS,
        reached_target: false,
        elsewhere: true,
        holder: None,
        load: None,
    }
}
