//! Logs, metrics and latency histograms.
//!
//! - [`logs`]: one line of key=value pairs for each event.
//! - [`metrics`]: counters, gauges and timers, sent as statsd.
//! - [`latency`]: histograms for each tenant and class.
//! - [`sampling`]: which requests get a line.
//! - [`requests`]: counters and histograms of requests, as text.
//! - [`errors`]: why telemetry cannot start.

pub mod errors;
pub mod latency;
pub mod logs;
pub mod metrics;
pub mod requests;
pub mod sampling;

pub use errors::{Result, TelemetryError};
