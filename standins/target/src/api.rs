//! The handlers of the HTTP API.

use crate::{
    execution::format_entry, faults::TargetFaultChange, fields::RequestFields, grants::GrantBatch,
    state::TargetState, work::RequestRunner,
};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use standin_net::{
    Result,
    body::ResponseBody,
    clock::boottime_us,
    reply::{StandinResponse, decode_json, error_reply, json_reply, read_body},
    server::RequestHandler,
};
use std::{cell::RefCell, rc::Rc, thread, time::Duration};
use wagtail_core::ports::LocalFuture;

/// The delay in milliseconds before a freeze, in which the response to its control call is sent.
const FREEZE_DELAY_MS: u64 = 20;

/// `TargetApi` handles requests, renewals of grants and control calls.
#[derive(Debug)]
pub struct TargetApi {
    /// The state of the target.
    state: Rc<RefCell<TargetState>>,
    /// The runner of requests.
    runner: RequestRunner,
}

impl TargetApi {
    /// Creates the API of a target.
    pub fn new(state: Rc<RefCell<TargetState>>, runner: RequestRunner) -> Self {
        Self { state, runner }
    }

    /// Dispatches an HTTP request by method and path; any other path is a request to the service.
    async fn route(&self, request: Request<Incoming>) -> Result<StandinResponse> {
        let (head, body) = request.into_parts();
        let content = read_body(body).await?;

        match (head.method.as_str(), head.uri.path()) {
            ("POST", "/wagtail/grants") => Ok(self.renew(&content)),
            ("POST", "/control/faults") => Ok(self.change_faults(&content)),
            ("GET", "/control/log") => Ok(self.show_log()),
            ("GET", "/health") => Ok(self.show_health()),
            _ => match RequestFields::read(&head.headers, boottime_us()) {
                Ok(fields) => self.runner.run(&fields).await,
                Err(message) => Ok(error_reply(StatusCode::BAD_REQUEST, "malformed", message)),
            },
        }
    }

    /// Applies a renewal of grants.
    fn renew(&self, content: &[u8]) -> StandinResponse {
        match decode_json::<GrantBatch>(content) {
            Ok(batch) => {
                let mut state = self.state.borrow_mut();
                let report = state.grants.renew(&batch, boottime_us());
                json_reply(StatusCode::OK, &report)
            }
            Err(reply) => *reply,
        }
    }

    /// Changes the faults and returns the active ones.
    fn change_faults(&self, content: &[u8]) -> StandinResponse {
        match decode_json::<TargetFaultChange>(content) {
            Ok(change) => {
                if let Some(freeze_ms) = change.freeze_ms {
                    start_freeze(freeze_ms);
                }
                let mut state = self.state.borrow_mut();
                state.faults.apply(&change);
                json_reply(StatusCode::OK, &state.faults)
            }
            Err(reply) => *reply,
        }
    }

    /// Returns the executions, one JSON line each.
    fn show_log(&self) -> StandinResponse {
        let state = self.state.borrow();
        let lines: String = state.log.entries().iter().map(format_entry).collect();

        Response::new(ResponseBody::new(lines))
    }

    /// Returns the health report.
    fn show_health(&self) -> StandinResponse {
        let report = self.state.borrow_mut().health_report(boottime_us());

        json_reply(StatusCode::OK, &report)
    }
}

impl RequestHandler for TargetApi {
    fn handle(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> LocalFuture<'static, Result<StandinResponse>> {
        Box::pin(async move { self.route(request).await })
    }
}

/// Blocks the only thread of the process for `freeze_ms` milliseconds, after the response to the
/// control call.
fn start_freeze(freeze_ms: u64) {
    compio::runtime::spawn(async move {
        compio::time::sleep(Duration::from_millis(FREEZE_DELAY_MS)).await;
        thread::sleep(Duration::from_millis(freeze_ms));
    })
    .detach();
}
