//! Lines and counters of how requests ended.

use crate::messages::OrderHead;
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
    pub order: &'a OrderHead,
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

/// `OrderEnd` is how a request ended beside a target.
#[derive(Debug, Clone, Copy)]
pub struct OrderEnd<'a> {
    /// The request.
    pub order: &'a OrderHead,
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
        let order = end.order;
        self.metrics
            .count_request(class_of(order), end.status, took);
        if let Some(reason) = end.reason {
            self.metrics.count_reason(reason);
        }

        let failed = end.reason.is_some() || end.status >= FIRST_FAILURE;
        if let Some(skipped) = self.line_for(&order.id, failed) {
            info!(
                event = "request-ended", request_id = %order.id, route = %order.route,
                service = %order.service, key = order.key, status = end.status,
                reason = end.reason.unwrap_or("answered"), asked = end.asked,
                took_ms = took.as_millis(), objective_ms = order.objective_ms,
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
    pub fn order_failed(&self, order: &OrderHead, reason: &str, cause: &str) {
        if let Some(skipped) = self.line_for(&order.id, true) {
            info!(
                event = "order-failed", request_id = %order.id, route = %order.route,
                reason, cause, skipped
            );
        }
    }

    /// Records the end of a request beside a target.
    pub fn order_ended(&self, end: &OrderEnd<'_>, failed: bool) {
        let order = end.order;
        match end.ran {
            Some(ran) if !failed => self.metrics.count_run(end.waited, ran),
            _ => self.metrics.count_reason(end.outcome),
        }

        if let Some(skipped) = self.line_for(&order.id, failed) {
            info!(
                event = "order-ended", request_id = %order.id, route = %order.route,
                key = order.key, outcome = end.outcome,
                waited_ms = end.waited.as_millis(),
                ran_ms = end.ran.map(|ran| ran.as_millis()),
                elapsed_ms = order.elapsed_ms, time_left_ms = order.time_left_ms,
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
fn class_of(order: &OrderHead) -> RequestClass {
    let kind = match order.kind {
        RequestKind::Idempotent => "idempotent",
        RequestKind::NonIdempotent => "non-idempotent",
        RequestKind::Download => "download",
    };

    RequestClass {
        service: order.service.to_string(),
        kind: kind.to_owned(),
        priority: order.priority,
    }
}
