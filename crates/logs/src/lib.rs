//! Reads the log lines of nodes and sums up what became of requests.
//!
//! - [`line`]: one line of key=value pairs.
//! - [`request`]: how a request ended, as a line tells it.
//! - [`report`]: the sums over all lines, and the way of one request across nodes.
//! - [`plot`]: rates and latencies as an SVG image.

pub mod line;
pub mod plot;
pub mod report;
pub mod request;

pub use report::{LogReport, ReportOptions};
