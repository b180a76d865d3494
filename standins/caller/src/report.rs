//! The counts and the last lines.

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

/// The findings of one kind that are printed.
const MAX_FINDINGS: usize = 20;

/// The significant digits of a latency.
const LATENCY_DIGITS: u8 = 3;

/// `RunReport` is the result of a run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RunReport {
    /// The requests that were sent.
    pub sent: usize,
    /// The requests with a whole answer of their own.
    pub answered: usize,
    /// The requests that were refused as not run, to the end.
    pub refused: usize,
    /// The requests that may have run.
    pub unknown: usize,
    /// What the comparison with the logs found.
    pub audit: AuditReport,
    /// The longest time that a slice was not served.
    pub unserved: Option<UnservedSpan>,
}

impl RunReport {
    /// Counts the records. The probes count for the unserved time alone, which they make exact.
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

    /// Returns whether every promise held.
    pub fn passes(&self) -> bool {
        let unserved_us = self.unserved.as_ref().map_or(0, UnservedSpan::length_us);

        self.audit.wrong.is_empty()
            && self.audit.doubled.is_empty()
            && unserved_us <= MAX_UNSERVED_US
    }

    /// Writes the findings and the counts; the last line is the summary.
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

/// Writes the latency of the answered requests of one class, retries and waits included.
///
/// # Panics
///
/// Panics when the histogram cannot be made, which its constant digits exclude.
pub fn describe_latency(records: &[RequestRecord], class: WorkClass, name: &str) -> String {
    let mut histogram = Histogram::<u64>::new(LATENCY_DIGITS).expect("the digits are in range");
    for record in records {
        let answered = matches!(record.outcome(), Some(AttemptOutcome::Answered { .. }));
        if answered && record.request.kind.class() == class {
            // The histogram grows to any latency of a run.
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

/// Writes the first findings of one kind.
fn describe_findings(text: &mut String, kind: &str, findings: &[std::sync::Arc<str>]) {
    for finding in findings.iter().take(MAX_FINDINGS) {
        let _written = writeln!(text, "{kind}: {finding}");
    }

    let more = findings.len().saturating_sub(MAX_FINDINGS);
    if more > 0 {
        let _written = writeln!(text, "{kind}: and {more} more");
    }
}
