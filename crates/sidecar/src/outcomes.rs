//! Lines and counters of how requests ended.

use crate::messages::DispatchHead;
use std::{cell::RefCell, time::Duration};
use tracing::info;
use wagtail_core::{routing::RequestKind, units::LocalMoment};
use wagtail_net::clock;
use wagtail_telemetry::{
    requests::{RequestClass, RequestMetrics},
    sampling::{LineSampler, SamplingOptions},
};

/// The lowest status that is a failure of the system or of the target.
const FIRST_FAILURE: u16 = 500;

/// `RequestRecorder` counts the requests and writes their lines: those of all failures up to a
/// rate, and those of a sample of the requests that end well.
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

/// `RequestEnd` is how a caller's request ended.
#[derive(Debug, Clone, Copy)]
pub struct RequestEnd<'a> {
    /// The request.
    pub dispatch_head: &'a DispatchHead,
    /// The moment at which it began.
    pub began: LocalMoment,
    /// The status of the answer.
    pub status: u16,
    /// The stable code of the reason, for an answer of this node.
    pub reason: Option<&'a str>,
    /// The nodes that were asked, in order.
    pub asked: &'a str,
    /// The version of the configuration by which it was routed.
    pub config: u64,
    /// The revision of the fleet by which targets were chosen.
    pub fleet: u64,
}

/// `DispatchEnd` is how a request ended beside a target.
#[derive(Debug, Clone, Copy)]
pub struct DispatchEnd<'a> {
    /// The request.
    pub dispatch_head: &'a DispatchHead,
    /// The stable code of the outcome.
    pub outcome: &'a str,
    /// The time that it waited for a key and a slot.
    pub waited: Duration,
    /// The time that the target took, or nothing when it was not asked.
    pub ran: Option<Duration>,
    /// The requests that ran at the target.
    pub running: u32,
    /// The requests that waited for the target.
    pub waiting: u32,
    /// The mean time in milliseconds that a request holds a slot.
    pub service_ms: f32,
}

impl RequestRecorder {
    /// Makes a recorder.
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

    /// Returns how many lines of failures were skipped since the start.
    pub fn skipped_lines(&self) -> u64 {
        self.sampler.borrow().skipped_total()
    }

    /// Records the end of a caller's request.
    pub fn request_ended(&self, end: &RequestEnd<'_>) {
        let took = clock::now().since(end.began);
        let dispatch_head = end.dispatch_head;
        self.metrics
            .count_request(class_of(dispatch_head), end.status, took);
        if let Some(reason) = end.reason {
            self.metrics.count_reason(reason);
        }

        let failed = end.reason.is_some() || end.status >= FIRST_FAILURE;
        if let Some(skipped) = self.line_for(&dispatch_head.id, failed) {
            info!(
                event = "request-ended", request_id = %dispatch_head.id, route = %dispatch_head.route,
                service = %dispatch_head.service, key = dispatch_head.key, status = end.status,
                reason = end.reason.unwrap_or("answered"), asked = end.asked,
                took_ms = took.as_millis(), objective_ms = dispatch_head.objective_ms,
                config = end.config, fleet = end.fleet, skipped
            );
        }
    }

    /// Records a caller's request that was turned away before a service was found for it.
    pub fn request_rejected(&self, request_id: &str, path: &str, status: u16, reason: &str) {
        self.metrics.count_reason(reason);

        if let Some(skipped) = self.line_for(request_id, true) {
            info!(
                event = "request-refused",
                request_id, path, status, reason, skipped
            );
        }
    }

    /// Records a request that may have run and has no answer.
    pub fn dispatch_failed(&self, dispatch_head: &DispatchHead, reason: &str, cause: &str) {
        if let Some(skipped) = self.line_for(&dispatch_head.id, true) {
            info!(
                event = "order-failed", request_id = %dispatch_head.id, route = %dispatch_head.route,
                reason, cause, skipped
            );
        }
    }

    /// Records the end of a request beside a target.
    pub fn dispatch_ended(&self, end: &DispatchEnd<'_>, failed: bool) {
        let dispatch_head = end.dispatch_head;
        match end.ran {
            Some(ran) if !failed => self.metrics.count_run(end.waited, ran),
            _ => self.metrics.count_reason(end.outcome),
        }

        if let Some(skipped) = self.line_for(&dispatch_head.id, failed) {
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

    /// Returns the count of lines skipped before this one, or nothing when it is skipped.
    fn line_for(&self, request_id: &str, failed: bool) -> Option<u64> {
        let mut sampler = self.sampler.borrow_mut();

        if failed {
            sampler.take_failure(clock::now())
        } else {
            sampler.keeps_success(request_id).then_some(0)
        }
    }
}

/// Returns the class in which a request is counted.
fn class_of(dispatch_head: &DispatchHead) -> RequestClass {
    let kind = match dispatch_head.kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::NonIdempotent => "non-idempotent",
        RequestKind::Download => "download",
    };

    RequestClass {
        service: dispatch_head.service.to_string(),
        kind: kind.to_owned(),
        priority: dispatch_head.priority,
    }
}
