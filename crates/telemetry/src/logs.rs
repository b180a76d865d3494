//! One line of key=value pairs for each event.

use crate::errors::{Result, TelemetryError};
use std::{io, sync::Arc};
use tracing::Subscriber;
use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_logfmt::{EventsFormatter, FieldsFormatter};
use tracing_subscriber::{
    EnvFilter,
    fmt::{self, MakeWriter},
    layer::SubscriberExt,
    util::SubscriberInitExt,
};

/// Starts the logs of the process on the standard error.
///
/// # Errors
///
/// Fails when the filter is malformed or the logs were started before.
pub fn init_logs(filter: &str) -> Result<()> {
    log_subscriber(filter, io::stderr)?
        .try_init()
        .map_err(|_started| TelemetryError::LogsStarted)
}

/// The lines that wait for a slow reader of the logs.
const QUEUED_LINES: usize = 4_096;

/// `LogQueue` is the queue between the process and the writer of its logs. A line that finds the
/// queue full is dropped and counted. Dropping the queue writes what is left.
#[derive(Debug)]
pub struct LogQueue {
    dropped: ErrorCounter,
    _writer: WorkerGuard,
}

impl LogQueue {
    /// Makes a queue, and the writer that never waits for it.
    pub fn new(output: impl io::Write + Send + 'static) -> (Self, NonBlocking) {
        let (lines, writer) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUED_LINES)
            .thread_name("logs")
            .finish(output);
        let queue = Self {
            dropped: lines.error_counter(),
            _writer: writer,
        };

        (queue, lines)
    }

    /// Returns the lines that were dropped since the start.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Makes the subscriber that writes events as lines.
///
/// # Errors
///
/// Fails when the filter is malformed.
pub fn log_subscriber<W>(filter: &str, writer: W) -> Result<impl Subscriber + Send + Sync>
where
    W: for<'a> MakeWriter<'a> + Send + Sync + 'static,
{
    let filter = EnvFilter::try_new(filter).map_err(|error| TelemetryError::Filter {
        filter: Arc::from(filter),
        reason: Arc::from(error.to_string()),
    })?;
    let layer = fmt::layer()
        .with_writer(writer)
        .event_format(EventsFormatter::default())
        .fmt_fields(FieldsFormatter::default());

    Ok(tracing_subscriber::registry().with(filter).with(layer))
}
