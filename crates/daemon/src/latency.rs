//! Recording of latencies by tenant and class.

use std::{cell::RefCell, rc::Rc, time::Duration};
use wagtail_core::{ids::TenantName, service::WorkClass};
use wagtail_telemetry::{
    latency::{LatencyRecorder, LatencySnapshot},
    metrics::MetricSink,
};

/// `LatencyHandle` records latencies in the recorder of this daemon and sends them as metrics.
#[derive(Debug, Clone)]
pub struct LatencyHandle {
    recorder: Rc<RefCell<LatencyRecorder>>,
    metrics: Rc<MetricSink>,
}

impl LatencyHandle {
    /// Creates a handle with an empty recorder.
    pub fn new(metrics: Rc<MetricSink>) -> Self {
        Self {
            recorder: Rc::default(),
            metrics,
        }
    }

    /// Records the latency of a completed request.
    pub fn record(&self, tenant: &TenantName, class: WorkClass, took: Duration) {
        let name = match class {
            WorkClass::Short => "request.short",
            WorkClass::Long => "request.long",
        };

        self.metrics.time(name, took);
        self.recorder.borrow_mut().record(tenant, class, took);
    }

    /// Returns the quantiles of the latencies recorded so far.
    pub fn snapshot(&self) -> LatencySnapshot {
        self.recorder.borrow().snapshot()
    }
}
