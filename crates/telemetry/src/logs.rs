//! One line of key=value pairs for each event.

use crate::errors::{Result, TelemetryError};
use std::{io, sync::Arc};
use tracing::Subscriber;
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
