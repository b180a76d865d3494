//! The audit that compares the request records with the execution logs.

use crate::{
    logs::LoggedRun,
    record::{AttemptOutcome, RequestRecord},
};
use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

/// `AuditReport` holds the findings of an audit.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AuditReport {
    /// The violations other than repeated executions, one line each.
    pub wrong: Vec<Arc<str>>,
    /// The non-idempotent requests that ran more than once, one line each.
    pub doubled: Vec<Arc<str>>,
}

/// Compares the records of requests with the executions of all targets.
pub fn audit_run<'a>(
    records: impl IntoIterator<Item = &'a RequestRecord>,
    runs: &[LoggedRun],
) -> AuditReport {
    let mut report = AuditReport::default();
    let mut by_id: HashMap<&str, Vec<&LoggedRun>> = HashMap::new();
    for run in runs {
        by_id.entry(&run.entry.id).or_default().push(run);
    }

    for record in records {
        check_attempts(record, &by_id, &mut report);
        check_doubled(record, &by_id, &mut report);
    }
    check_keys(runs, &mut report);

    report
}

/// Checks that no attempt ran that was refused as not run, and that each response has an execution.
fn check_attempts(
    record: &RequestRecord,
    by_id: &HashMap<&str, Vec<&LoggedRun>>,
    report: &mut AuditReport,
) {
    for attempt in &record.attempts {
        let runs = by_id.get(&*attempt.id).map_or(&[][..], |runs| runs);

        match &attempt.outcome {
            AttemptOutcome::Wrong { reason } => report.wrong.push(Arc::clone(reason)),
            AttemptOutcome::NotRun { .. } => {
                if let Some(run) = runs.first() {
                    let target = &run.entry.target;
                    push(
                        &mut report.wrong,
                        format!("{}: refused as not run, but ran at {target}", attempt.id),
                    );
                }
            }
            AttemptOutcome::Answered { target, run } => {
                let known = runs.iter().any(|logged| {
                    logged.entry.target == *target
                        && logged.entry.run == *run
                        && !logged.entry.cancelled
                });
                if !known {
                    push(
                        &mut report.wrong,
                        format!(
                            "{}: answered by {target}, which has no such execution",
                            attempt.id
                        ),
                    );
                }
            }
            AttemptOutcome::Unknown => {}
        }
    }
}

/// Checks that a non-idempotent request ran at most once over all its attempts.
fn check_doubled(
    record: &RequestRecord,
    by_id: &HashMap<&str, Vec<&LoggedRun>>,
    report: &mut AuditReport,
) {
    if record.request.kind.is_idempotent() {
        return;
    }

    let count: usize = record
        .attempts
        .iter()
        .filter_map(|attempt| by_id.get(&*attempt.id))
        .map(Vec::len)
        .sum();
    if count > 1 {
        push(
            &mut report.doubled,
            format!("{}: ran {count} times", record.request.id),
        );
    }
}

/// Checks that no key ran at two targets concurrently, or under an older epoch after a newer one.
fn check_keys(runs: &[LoggedRun], report: &mut AuditReport) {
    let mut by_key: BTreeMap<&str, Vec<&LoggedRun>> = BTreeMap::new();
    for run in runs {
        if let Some(key) = &run.entry.key {
            by_key.entry(key).or_default().push(run);
        }
    }

    for (key, mut runs) in by_key {
        runs.sort_by_key(|run| run.entry.started_us);
        check_overlap(key, &runs, report);
        check_epochs(key, &runs, report);
    }
}

/// Checks that executions of one key, sorted by start time, do not overlap at two processes.
fn check_overlap(key: &str, runs: &[&LoggedRun], report: &mut AuditReport) {
    // The execution that ended last of each process so far. A linear search suffices, as a key has
    // few owners.
    let mut ends: Vec<&LoggedRun> = Vec::new();

    for run in runs {
        let overlap = ends.iter().find(|earlier| {
            earlier.process != run.process && earlier.ended_us > run.entry.started_us
        });
        if let Some(earlier) = overlap {
            push(
                &mut report.wrong,
                format!(
                    "key {key}: {} at {} (epoch {:?}) overlaps {} at {} (epoch {:?})",
                    run.entry.id,
                    run.entry.target,
                    run.entry.epoch,
                    earlier.entry.id,
                    earlier.entry.target,
                    earlier.entry.epoch,
                ),
            );
        }

        match ends.iter_mut().find(|end| end.process == run.process) {
            Some(end) if end.ended_us >= run.ended_us => {}
            Some(end) => *end = run,
            None => ends.push(run),
        }
    }
}

/// Checks that the epochs of one key, sorted by start time, never decrease.
fn check_epochs(key: &str, runs: &[&LoggedRun], report: &mut AuditReport) {
    let mut newest = 0;

    for run in runs {
        let epoch = run.entry.epoch.unwrap_or(0);
        if epoch < newest {
            push(
                &mut report.wrong,
                format!(
                    "key {key}: {} ran under epoch {epoch} after {newest}",
                    run.entry.id
                ),
            );
        }
        newest = newest.max(epoch);
    }
}

/// Adds a finding to a list.
fn push(findings: &mut Vec<Arc<str>>, line: String) {
    findings.push(Arc::from(line));
}
