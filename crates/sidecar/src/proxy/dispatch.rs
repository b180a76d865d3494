//! The exchange with the target.

use super::{
    TargetProxy, headers,
    replies::elsewhere,
    slots::{SlotBody, SlotGuard},
};
use crate::{
    messages::{DispatchHead, NotRunFields, PeerReply},
    ports::RequestFields,
};
use bytes::{Bytes, BytesMut};
use compio::time::{sleep, timeout};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use std::{sync::Arc, time::Duration};
use tracing::warn;
use wagtail_core::{CoreError, Result, ports::BodyStream, units::LocalMoment, verdict::RunVerdict};
use wagtail_net::{client::PooledResponse, clock};
use wagtail_peer::{answer::PeerResponse, stream::WholeBody};

/// The largest answer that is read whole before it is passed on, so that a broken one can be
/// tried again, in bytes.
const WHOLE_ANSWER_BYTES: u64 = 32 << 10;

/// The weight of the latest answer in the share of failures.
const FAILURE_WEIGHT: f32 = 0.05;

/// The time between two refused connections after which the target's process has ended.
const REFUSED_INTERVAL: Duration = Duration::from_millis(60);

impl TargetProxy {
    /// Sends a request to the target and turns what comes back into an answer.
    pub(super) async fn dispatch(
        &self,
        dispatch_head: &DispatchHead,
        body: Bytes,
        deadline: LocalMoment,
        guard: SlotGuard,
    ) -> PeerResponse<PeerReply> {
        let time_left = deadline.since(clock::now());
        let request = match self.request(dispatch_head, body, time_left) {
            Ok(request) => request,
            Err(reason) => {
                warn!(event = "order-malformed", request_id = %dispatch_head.id, reason = %reason);
                return self.not_run(elsewhere("malformed"));
            }
        };

        let sent = timeout(time_left, self.pool.send(request)).await;
        let answer = match sent {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) if error.verdict() == RunVerdict::NotRun => {
                drop(guard);
                self.check_process();
                return self.not_run(elsewhere("target-unreachable"));
            }
            Ok(Err(error)) => {
                self.note_result(true);
                return self.failed(dispatch_head, "target-broke-off", &error.to_string());
            }
            Err(_elapsed) => return self.failed(dispatch_head, "target-too-late", ""),
        };

        self.judge(dispatch_head, answer, guard).await
    }

    /// Tells a whole answer from a refusal and from what belongs to another request.
    pub(super) async fn judge(
        &self,
        dispatch_head: &DispatchHead,
        mut answer: PooledResponse,
        guard: SlotGuard,
    ) -> PeerResponse<PeerReply> {
        let parts = answer.parts();
        let status = parts.status;
        let fields = self.dialect.read_response(status, &parts.headers);

        if fields.not_run {
            self.note_result(status != StatusCode::MISDIRECTED_REQUEST);
            let refusal = NotRunFields {
                reached_target: true,
                load: Some(self.load()),
                ..elsewhere("target-refused")
            };
            return self.not_run(refusal);
        }
        if fields.id.as_ref() != Some(&dispatch_head.id) {
            self.note_result(true);
            return self.failed(dispatch_head, "other-answer", "");
        }
        if status.is_success() && !fields.is_genuine {
            self.note_result(true);
            return self.failed(dispatch_head, "answer-not-genuine", "");
        }

        guard.worked.set(true);
        self.note_result(status.is_server_error());
        let headers = headers::end_to_end(&parts.headers);
        let length = headers::content_length(&parts.headers);
        if status != StatusCode::OK || length.is_none_or(|length| length > WHOLE_ANSWER_BYTES) {
            let body = SlotBody {
                answer,
                guard: Some(guard),
            };
            return self.answered(status, headers, Box::new(body));
        }

        match read_whole(&mut answer).await {
            Ok(whole) => {
                drop(guard);
                self.answered(status, headers, Box::new(WholeBody::new(whole)))
            }
            Err(error) => {
                self.note_result(true);
                self.failed(dispatch_head, "answer-cut-short", &error.to_string())
            }
        }
    }

    /// Makes the HTTP request to the target.
    pub(super) fn request(
        &self,
        dispatch_head: &DispatchHead,
        body: Bytes,
        time_left: Duration,
    ) -> std::result::Result<Request<Full<Bytes>>, String> {
        let method =
            Method::from_bytes(dispatch_head.method.as_bytes()).map_err(|e| e.to_string())?;
        let path: Uri = dispatch_head
            .path
            .parse()
            .map_err(|error: http::uri::InvalidUri| error.to_string())?;
        let mut headers = HeaderMap::with_capacity(dispatch_head.headers.len() + 4);
        for field in &dispatch_head.headers {
            let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|e| e.to_string())?;
            let value = HeaderValue::from_maybe_shared(field.value.clone())
                .map_err(|error| error.to_string())?;
            headers.append(name, value);
        }

        let target_id = {
            let state = self.state.borrow();
            let life = state.keeper.life().ok_or("no target")?;
            Arc::clone(&life.id)
        };
        self.dialect.write_request(
            &mut headers,
            &RequestFields {
                time_left,
                caller_service: &dispatch_head.caller_service,
                target_id: &target_id,
            },
        );

        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path;
        *request.headers_mut() = headers;

        Ok(request)
    }

    /// Finds out whether the target's process has ended. Its keys are free at once then.
    pub(super) fn check_process(&self) {
        let proxy = self.clone();
        let life = self.state.borrow().keeper.life().cloned();

        compio::runtime::spawn(async move {
            if !proxy.pool.refuses_connections().await {
                return;
            }
            sleep(REFUSED_INTERVAL).await;
            if !proxy.pool.refuses_connections().await {
                return;
            }

            let mut state = proxy.state.borrow_mut();
            // A target that leaves may close its port while it still works.
            if state.keeper.life() == life.as_ref() && state.leaving_since.is_none() && !state.ended
            {
                warn!(event = "target-ended", reason = "connections are refused");
                state.ended = true;
                state.keeper.target_ended();
                let actions = state.gate.set_closed(true);
                drop(state);
                proxy.carry_out(actions);
            }
        })
        .detach();
    }

    /// Takes note of how a request ended.
    pub(super) fn note_result(&self, failed: bool) {
        let mut state = self.state.borrow_mut();
        let latest = if failed { 1.0 } else { 0.0 };
        state.failed_share += (latest - state.failed_share) * FAILURE_WEIGHT;
    }
}

/// Reads the whole body of an answer.
async fn read_whole(answer: &mut PooledResponse) -> Result<Bytes, CoreError> {
    let mut whole = BytesMut::new();
    while let Some(part) = answer.next().await? {
        whole.extend_from_slice(&part);
    }

    Ok(whole.freeze())
}
