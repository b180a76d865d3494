//! Logs, metrics and latency histograms.
//!
//! - [`logs`]: log events as lines of key=value pairs.
//! - [`metrics`]: counters, gauges and timers, sent to a statsd server.
//! - [`latency`]: latency histograms by tenant and work class.
//! - [`sampling`]: the choice of the requests that are logged.
//! - [`requests`]: counters and histograms of requests in the `OpenMetrics` text format.
//! - [`errors`]: the errors of logs and metrics.

pub mod errors;
pub mod latency;
pub mod logs;
pub mod metrics;
pub mod requests;
pub mod sampling;

pub use errors::{Result, TelemetryError};
