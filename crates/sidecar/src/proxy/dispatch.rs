//! Sends requests to the target and classifies its responses.

use super::{
    TARGET_UNREACHABLE, TargetProxy,
    replies::elsewhere,
    slots::{SlotBody, SlotGuard},
};
use crate::{
    memory::ReservedBuffer,
    messages::{DispatchHead, NotRunFields, PeerReply},
    ports::{RequestFields, ResponseFields},
};
use bytes::Bytes;
use compio::time::timeout;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::Full;
use std::{sync::Arc, time::Duration};
use tracing::warn;
use wagtail_core::{CoreError, Result, ports::BodyStream, units::LocalMoment, verdict::RunVerdict};
use wagtail_gate::{response::ResponseKind, runs::RunEnd};
use wagtail_net::{client::PooledResponse, clock, deadline::DeadlineBody, headers};
use wagtail_peer::{answer::PeerResponse, body::BodyBuffer, stream::WholeBody};

/// The largest response body that is buffered before it is passed on, in bytes. A buffered response
/// that breaks off can still be reported as a failure, so that the request can be retried, and its slot is
/// free as soon as the target has sent it, however narrow the link is. The gate of the link bounds how many
/// large ones are buffered.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 1 << 20;

/// The weight of the latest result in the moving average of failures.
const FAILURE_WEIGHT: f32 = 0.05;

impl TargetProxy {
    /// Sends a request to the target and returns the reply for the caller's node.
    pub(super) async fn dispatch(
        &self,
        dispatch_head: &DispatchHead,
        body: Bytes,
        deadline: LocalMoment,
        guard: SlotGuard,
    ) -> PeerResponse<PeerReply> {
        let time_left = deadline.since(clock::now());
        let life = self.state.borrow().keeper.life().cloned();
        let http_request = match self.http_request(dispatch_head, body, time_left) {
            Ok(http_request) => http_request,
            Err(reason) => {
                guard.run_end.set(RunEnd::Settled);
                warn!(event = "order-malformed", request_id = %dispatch_head.id, reason = %reason);
                return self.not_run(elsewhere("malformed"));
            }
        };

        self.recorder.metrics().count_sent();
        let sent = timeout(time_left, self.pool.send(http_request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.verdict() == RunVerdict::NotRun => {
                guard.run_end.set(RunEnd::Settled);
                drop(guard);
                self.check_process();
                return self.not_run(elsewhere(TARGET_UNREACHABLE));
            }
            Ok(Err(error)) => {
                self.record_result(true);
                self.check_process();
                return self.failed(dispatch_head, "target-broke-off", &error.to_string());
            }
            Err(_elapsed) => return self.failed(dispatch_head, "target-too-late", ""),
        };
        let parts = response.parts();
        let fields = self.dialect.read_response(parts.status, &parts.headers);
        let is_named = fields.id.as_ref() == Some(&dispatch_head.id);
        if !is_named {
            let status = parts.status.as_u16();
            self.recorder
                .response_unmatched(dispatch_head, &fields, status);
        }
        if let Some(life) = life {
            self.record_notice(&life, &fields, is_named);
        }

        self.classify_response(dispatch_head, response, &fields, deadline, guard)
            .await
    }

    /// Classifies a response of the target: it is relayed, or the request was refused or has
    /// failed. It counts as failed if the response does not name the request, if a successful
    /// response is not genuine or if a body that is to be buffered breaks off.
    pub(super) async fn classify_response(
        &self,
        dispatch_head: &DispatchHead,
        mut response: PooledResponse,
        fields: &ResponseFields,
        deadline: LocalMoment,
        guard: SlotGuard,
    ) -> PeerResponse<PeerReply> {
        let parts = response.parts();
        let status = parts.status;

        match fields.claim(status).classify(&dispatch_head.id) {
            ResponseKind::Answer => {}
            ResponseKind::Refusal => {
                response.recycle();
                guard.run_end.set(RunEnd::Settled);
                self.record_result(status != StatusCode::MISDIRECTED_REQUEST);
                return self.not_run(NotRunFields {
                    reached_target: true,
                    load: Some(self.load_for(&dispatch_head.route)),
                    ..elsewhere("target-refused")
                });
            }
            ResponseKind::Foreign => {
                self.record_result(true);
                return self.failed(dispatch_head, "other-answer", "");
            }
            ResponseKind::NotGenuine => {
                self.record_result(true);
                return self.failed(dispatch_head, "answer-not-genuine", "");
            }
        }

        guard.executed.set(true);
        let whole_end = if status.is_success() {
            RunEnd::Succeeded
        } else {
            RunEnd::Settled
        };
        self.record_result(status.is_server_error());
        let headers = headers::end_to_end(&parts.headers);
        let length = headers::content_length(&parts.headers);
        let buffer = match length {
            Some(length) if length > MAX_BUFFERED_RESPONSE_BYTES as u64 => None,
            // Without memory for it, the response is streamed.
            _ => self.memory.spare_buffer(length),
        };

        let time_left = deadline.since(clock::now());
        match timeout(time_left, read_into(&mut response, buffer)).await {
            Ok(Ok(BufferedBody { bytes, is_whole })) if is_whole => {
                guard.run_end.set(whole_end);
                drop(guard);
                let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                self.observe_size(dispatch_head, length);
                self.relayed_response(
                    &dispatch_head.route,
                    status,
                    headers,
                    Box::new(WholeBody::new(bytes)),
                    Some(length),
                )
            }
            Ok(Ok(BufferedBody { bytes, .. })) => {
                let body = SlotBody {
                    buffered: bytes,
                    response,
                    guard: Some(guard),
                    whole_end,
                };
                let id = Arc::clone(&dispatch_head.id);
                let body = DeadlineBody::new(id, Box::new(body), deadline).with_watch();
                self.relayed_response(
                    &dispatch_head.route,
                    status,
                    headers,
                    Box::new(body),
                    length,
                )
            }
            Err(_elapsed) => self.failed(dispatch_head, "target-too-late", "the body did not end"),
            Ok(Err(error)) => {
                self.record_result(true);
                self.check_process();
                self.failed(dispatch_head, "answer-cut-short", &error.to_string())
            }
        }
    }

    /// Builds the HTTP request to the target.
    ///
    /// # Errors
    ///
    /// Returns the reason if the method, the path or a header field is invalid or if no target is
    /// known.
    pub(super) fn http_request(
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

        let mut http_request = Request::new(Full::new(body));
        *http_request.method_mut() = method;
        *http_request.uri_mut() = path;
        *http_request.headers_mut() = headers;

        Ok(http_request)
    }

    /// Updates the moving average of failures with the result of a request.
    pub(super) fn record_result(&self, failed: bool) {
        let mut state = self.state.borrow_mut();
        let latest = if failed { 1.0 } else { 0.0 };
        state.failed_share += (latest - state.failed_share) * FAILURE_WEIGHT;
    }
}

/// `BufferedBody` is the beginning of a response body, or all of it.
#[derive(Debug)]
struct BufferedBody {
    bytes: Bytes,
    is_whole: bool,
}

/// Reads the body of a response into a buffer until it ends, more than [`MAX_BUFFERED_RESPONSE_BYTES`] were read
/// or there is no memory for more. Without a buffer, nothing is read.
async fn read_into(
    response: &mut PooledResponse,
    buffer: Option<ReservedBuffer>,
) -> Result<BufferedBody, CoreError> {
    let Some(mut buffer) = buffer else {
        return Ok(BufferedBody {
            bytes: Bytes::new(),
            is_whole: false,
        });
    };
    let mut is_whole = false;
    while buffer.len() <= MAX_BUFFERED_RESPONSE_BYTES {
        let Some(chunk) = response.next().await? else {
            is_whole = true;
            break;
        };
        if buffer.append(&chunk).is_err() {
            buffer.append_unreserved(&chunk);
            break;
        }
    }

    Ok(BufferedBody {
        bytes: buffer.into_bytes(),
        is_whole,
    })
}
