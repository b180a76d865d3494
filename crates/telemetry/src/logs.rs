//! Log events, written as lines of key=value pairs (logfmt).

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

/// Installs the global subscriber of the process, which logs to standard error.
///
/// # Errors
///
/// Returns an error if the filter is malformed or logging is already initialized.
pub fn init_logs(filter: &str) -> Result<()> {
    log_subscriber(filter, io::stderr)?
        .try_init()
        .map_err(|_started| TelemetryError::LogsStarted)
}

/// The capacity of the log queue in lines. Further lines are dropped until the writer catches up.
const QUEUED_LINES: usize = 4_096;

/// `LogQueue` owns the queue between the process and the thread that writes its logs. Lines that
/// arrive while the queue is full are dropped and counted. Dropping the `LogQueue` writes the
/// remaining lines.
#[derive(Debug)]
pub struct LogQueue {
    /// The counter of dropped lines.
    dropped: ErrorCounter,
    /// The guard that writes the remaining lines when it is dropped.
    _guard: WorkerGuard,
}

impl LogQueue {
    /// Creates a queue in front of `output`, and returns it with the writer that fills it and never
    /// blocks.
    pub fn new(output: impl io::Write + Send + 'static) -> (Self, NonBlocking) {
        let (lines, writer) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(QUEUED_LINES)
            .thread_name("logs")
            .finish(output);
        let queue = Self {
            dropped: lines.error_counter(),
            _guard: writer,
        };

        (queue, lines)
    }

    /// Returns the number of lines dropped since the queue was created.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.dropped_lines()
    }
}

/// Creates a subscriber that writes the events that pass `filter` as logfmt lines to `writer`. The
/// filter has the syntax of [`EnvFilter`].
///
/// # Errors
///
/// Returns an error if the filter is malformed.
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
