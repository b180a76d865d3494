//! The latencies for each tenant and class.

use std::time::Duration;
use wagtail_core::{ids::TenantName, service::WorkClass};

/// `LatencyHandle` records latencies in the book of this daemon.
#[derive(Debug, Clone, Default)]
pub struct LatencyHandle;

impl LatencyHandle {
    /// Records the latency of an answered request.
    pub fn record(&self, _tenant: &TenantName, _class: WorkClass, _took: Duration) {}
}
