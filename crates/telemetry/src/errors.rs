//! The errors of logs and metrics.

use std::{fmt, io, sync::Arc};
use thiserror::Error;

/// `Result` is the result of a telemetry operation, which fails with a [`TelemetryError`].
pub type Result<T, E = TelemetryError> = std::result::Result<T, E>;

/// `TelemetryError` is the reason why logs or metrics cannot be started or encoded.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum TelemetryError {
    /// The log filter is malformed.
    #[error("the log filter {filter:?} is malformed: {reason}")]
    Filter {
        /// The filter text that could not be parsed.
        filter: Arc<str>,
        /// The message of the filter's parser.
        reason: Arc<str>,
    },
    /// Logging is already initialized in this process.
    #[error("logging is already initialized in this process")]
    LogsStarted,
    /// The metrics cannot be encoded as text.
    #[error("the metrics cannot be encoded: {0}")]
    Encode(#[source] fmt::Error),
    /// The UDP socket for metrics cannot be opened.
    #[error("the metrics socket cannot be opened: {0}")]
    Socket(#[from] io::Error),
    /// The statsd sink cannot be created.
    #[error("the metrics sink cannot be created: {0}")]
    Sink(#[from] cadence::MetricError),
}
