//! The summary of a run.

use crate::{
    audit::AuditReport,
    record::{AttemptOutcome, RequestRecord},
    unserved::{UnservedSpan, longest_unserved},
};
use hdrhistogram::Histogram;
use std::fmt::Write;
use wagtail_core::service::WorkClass;

/// The longest time in microseconds that a slice may stay unserved after a loss.
pub const MAX_UNSERVED_US: u64 = 3_000_000;

/// The maximum number of printed findings of each kind.
const MAX_FINDINGS: usize = 20;

/// The significant digits of a latency in the histogram.
const LATENCY_DIGITS: u8 = 3;

/// `RunReport` is the summary of a run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RunReport {
    /// The number of requests that were sent.
    pub sent: usize,
    /// The number of requests that got their complete response.
    pub answered: usize,
    /// The number of requests whose last attempt was refused as not run.
    pub refused: usize,
    /// The number of requests that may have run.
    pub unknown: usize,
    /// The findings of the audit.
    pub audit: AuditReport,
    /// The longest time that a slice was not served; absent when no attempt failed.
    pub unserved: Option<UnservedSpan>,
}

impl RunReport {
    /// Counts the records by outcome. The probes are used only for the unserved time, which they
    /// make exact.
    pub fn new(records: &[RequestRecord], probes: &[RequestRecord], audit: AuditReport) -> Self {
        let mut report = Self {
            sent: records.len(),
            audit,
            unserved: longest_unserved(records.iter().chain(probes)),
            ..Self::default()
        };

        for record in records {
            match record.outcome() {
                Some(AttemptOutcome::Answered { .. }) => report.answered += 1,
                Some(AttemptOutcome::NotRun { .. }) => report.refused += 1,
                Some(AttemptOutcome::Unknown) => report.unknown += 1,
                Some(AttemptOutcome::Wrong { .. }) | None => {}
            }
        }

        report
    }

    /// Returns whether the run had no findings and no slice was unserved for more than
    /// [`MAX_UNSERVED_US`].
    pub fn passes(&self) -> bool {
        let unserved_us = self.unserved.as_ref().map_or(0, UnservedSpan::length_us);

        self.audit.wrong.is_empty()
            && self.audit.doubled.is_empty()
            && unserved_us <= MAX_UNSERVED_US
    }

    /// Formats the findings and the counts; the last line is the summary that scripts read.
    pub fn describe(&self) -> String {
        let mut text = String::new();
        describe_findings(&mut text, "wrong", &self.audit.wrong);
        describe_findings(&mut text, "doubled", &self.audit.doubled);

        match &self.unserved {
            Some(span) => {
                let length_ms = span.length_us() / 1_000;
                let slice = &span.slice;
                let _written = writeln!(text, "longest unserved: {length_ms} ms (slice {slice})");
            }
            None => text.push_str("longest unserved: 0 ms\n"),
        }
        let _written = writeln!(
            text,
            "demo: {} sent, {} answered, {} refused as not run, {} unknown, {} wrong, {} doubled",
            self.sent,
            self.answered,
            self.refused,
            self.unknown,
            self.audit.wrong.len(),
            self.audit.doubled.len(),
        );

        text
    }
}

/// Formats the latency of the requests of one class that got a complete response, including retries
/// and their delays.
///
/// # Panics
///
/// Panics when the histogram cannot be created, which its constant digits rule out.
pub fn describe_latency(records: &[RequestRecord], class: WorkClass, name: &str) -> String {
    let mut histogram = Histogram::<u64>::new(LATENCY_DIGITS).expect("the digits are in range");
    for record in records {
        let answered = matches!(record.outcome(), Some(AttemptOutcome::Answered { .. }));
        if answered && record.request.kind.class() == class {
            // The histogram resizes automatically, so that recording never fails.
            let _recorded = histogram.record(record.latency_us());
        }
    }

    format!(
        "latency of {} {name} answers: p50 {} us, p99 {} us, max {} us",
        histogram.len(),
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.99),
        histogram.max(),
    )
}

/// Formats the first [`MAX_FINDINGS`] findings of one kind.
fn describe_findings(text: &mut String, kind: &str, findings: &[std::sync::Arc<str>]) {
    for finding in findings.iter().take(MAX_FINDINGS) {
        let _written = writeln!(text, "{kind}: {finding}");
    }

    let more = findings.len().saturating_sub(MAX_FINDINGS);
    if more > 0 {
        let _written = writeln!(text, "{kind}: and {more} more");
    }
}
