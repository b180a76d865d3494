//! Log lines and metrics of how requests ended.

use crate::{messages::DispatchHead, ports::ResponseFields};
use std::{cell::RefCell, time::Duration};
use tracing::info;
use wagtail_core::{
    digest::RequestDigest, objects::StoreRevision, routing::RequestKind, units::LocalMoment,
};
use wagtail_net::clock;
use wagtail_telemetry::{
    requests::{RequestClass, RequestMetrics},
    sampling::{LineSampler, SamplingOptions},
};

/// The lowest HTTP status that counts as a failure of the system or of the target.
const MIN_FAILURE_STATUS: u16 = 500;

/// `RequestRecorder` counts requests and logs them: all failures up to a maximum rate, and a sample
/// of the successes.
#[derive(Debug)]
pub struct RequestRecorder {
    sampler: RefCell<LineSampler>,
    metrics: RequestMetrics,
}

impl Default for RequestRecorder {
    fn default() -> Self {
        Self::new(SamplingOptions::default())
    }
}

/// `RequestEnd` describes how a caller's request ended.
#[derive(Debug, Clone, Copy)]
pub struct RequestEnd<'a> {
    /// The head of the request.
    pub dispatch_head: &'a DispatchHead,
    /// The moment at which it arrived at this node.
    pub started_at: LocalMoment,
    /// The HTTP status of the response.
    pub status: u16,
    /// The stable code of the reason if this node made the response; `None` for a target's.
    pub reason: Option<&'a str>,
    /// The nodes that the request was sent to, in order and separated by commas.
    pub asked: &'a str,
    /// The version of the configuration at the end of the request.
    pub config: u64,
    /// The revision of the fleet objects at the end of the request.
    pub fleet: StoreRevision,
}

/// `DispatchEnd` describes how a dispatched request ended at the node of the target.
#[derive(Debug, Clone, Copy)]
pub struct DispatchEnd<'a> {
    /// The head of the request.
    pub dispatch_head: &'a DispatchHead,
    /// The stable code of the outcome.
    pub outcome: &'a str,
    /// The time that the request waited for its key and a slot.
    pub waited: Duration,
    /// The time that the target took, or `None` if the request was not sent to it.
    pub ran: Option<Duration>,
    /// The number of requests that ran at the target.
    pub running: u32,
    /// The number of requests that waited for a slot.
    pub waiting: u32,
    /// The mean time for which a request occupies a slot, in milliseconds.
    pub service_ms: f32,
}

impl RequestRecorder {
    /// Creates a recorder with zero counts.
    pub fn new(options: SamplingOptions) -> Self {
        Self {
            sampler: RefCell::new(LineSampler::new(options, clock::now())),
            metrics: RequestMetrics::new(),
        }
    }

    /// Returns the counters and histograms.
    pub fn metrics(&self) -> &RequestMetrics {
        &self.metrics
    }

    /// Returns the number of failure lines that the rate limit has suppressed since the start.
    pub fn skipped_lines(&self) -> u64 {
        self.sampler.borrow().skipped_total()
    }

    /// Records the end of a caller's request.
    pub fn request_ended(&self, end: &RequestEnd<'_>) {
        let took = clock::now().since(end.started_at);
        let dispatch_head = end.dispatch_head;
        self.metrics
            .count_request(class_of(dispatch_head), end.status, took);
        if let Some(reason) = end.reason {
            self.metrics.count_reason(reason);
        }

        let failed = end.reason.is_some() || end.status >= MIN_FAILURE_STATUS;
        if let Some(skipped) = self.sampled_line(&dispatch_head.id, failed) {
            info!(
                event = "request-ended", request_id = %dispatch_head.id,
                route = %dispatch_head.route, service = %dispatch_head.service,
                key = dispatch_head.key, status = end.status,
                reason = end.reason.unwrap_or("answered"), asked = end.asked,
                took_ms = took.as_millis(), objective_ms = dispatch_head.objective_ms,
                config = end.config, fleet = %end.fleet, skipped
            );
        }
    }

    /// Records a caller's request that was refused before it was sent to any node. `digest` identifies
    /// its content if that is the reason.
    pub fn request_rejected(
        &self,
        request_id: &str,
        path: &str,
        status: u16,
        reason: &str,
        digest: Option<RequestDigest>,
    ) {
        self.metrics.count_reason(reason);

        if let Some(skipped) = self.sampled_line(request_id, true) {
            info!(
                event = "request-refused",
                request_id,
                path,
                status,
                reason,
                digest = digest.map(tracing::field::display),
                skipped
            );
        }
    }

    /// Records a dispatched request that may have run and has no response.
    pub fn dispatch_failed(&self, dispatch_head: &DispatchHead, reason: &str, cause: &str) {
        if let Some(skipped) = self.sampled_line(&dispatch_head.id, true) {
            info!(
                event = "order-failed", request_id = %dispatch_head.id,
                route = %dispatch_head.route, reason, cause, skipped
            );
        }
    }

    /// Records a response of the target that does not name the request that it arrived for.
    pub fn response_unmatched(
        &self,
        dispatch_head: &DispatchHead,
        fields: &ResponseFields,
        status: u16,
    ) {
        self.metrics
            .count_unmatched(fields.not_run, fields.id.is_some());

        if let Some(skipped) = self.sampled_line(&dispatch_head.id, true) {
            info!(
                event = "response-unmatched", request_id = %dispatch_head.id,
                response_id = fields.id.as_deref(), id_count = fields.id_count, status,
                refuses = fields.not_run, skipped
            );
        }
    }

    /// Records the end of a dispatched request at the node of the target.
    pub fn dispatch_ended(&self, end: &DispatchEnd<'_>, failed: bool) {
        let dispatch_head = end.dispatch_head;
        match end.ran {
            Some(ran) if !failed => self.metrics.count_run(end.waited, ran),
            _ => self.metrics.count_reason(end.outcome),
        }

        if let Some(skipped) = self.sampled_line(&dispatch_head.id, failed) {
            info!(
                event = "order-ended", request_id = %dispatch_head.id, route = %dispatch_head.route,
                key = dispatch_head.key, outcome = end.outcome,
                waited_ms = end.waited.as_millis(),
                ran_ms = end.ran.map(|ran| ran.as_millis()),
                elapsed_ms = dispatch_head.elapsed_ms, time_left_ms = dispatch_head.time_left_ms,
                running = end.running, waiting = end.waiting, service_ms = end.service_ms,
                skipped
            );
        }
    }

    /// Decides whether a request gets a log line. Returns the number of lines skipped before it, or
    /// `None` if it is skipped too.
    fn sampled_line(&self, request_id: &str, failed: bool) -> Option<u64> {
        let mut sampler = self.sampler.borrow_mut();

        if failed {
            sampler.take_failure(clock::now())
        } else {
            sampler.keeps_success(request_id).then_some(0)
        }
    }
}

/// Returns the labels under which a request is counted.
fn class_of(dispatch_head: &DispatchHead) -> RequestClass {
    let kind = match dispatch_head.kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::NonIdempotent => "non-idempotent",
        RequestKind::Download => "download",
        RequestKind::Upload => "upload",
    };

    RequestClass {
        service: dispatch_head.service.to_string(),
        kind: kind.to_owned(),
        priority: dispatch_head.priority,
    }
}
