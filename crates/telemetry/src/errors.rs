//! Why telemetry cannot start.

use std::{fmt, io, sync::Arc};
use thiserror::Error;

/// `Result` is the result of starting telemetry.
pub type Result<T, E = TelemetryError> = std::result::Result<T, E>;

/// `TelemetryError` is why telemetry cannot start.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum TelemetryError {
    /// The filter of the logs is malformed.
    #[error("the log filter {filter:?} is malformed: {reason}")]
    Filter {
        /// The rejected filter.
        filter: Arc<str>,
        /// What is wrong.
        reason: Arc<str>,
    },
    /// The logs were started before.
    #[error("the logs were started before")]
    LogsStarted,
    /// The metrics cannot be written as text.
    #[error("the metrics cannot be encoded: {0}")]
    Encode(#[source] fmt::Error),
    /// The socket for metrics cannot be opened.
    #[error("the metrics socket cannot be opened: {0}")]
    Socket(#[from] io::Error),
    /// The sink for metrics cannot be made.
    #[error("the metrics sink cannot be made: {0}")]
    Sink(#[from] cadence::MetricError),
}
