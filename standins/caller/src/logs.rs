//! Reads the execution logs of targets.

use std::{collections::BTreeMap, sync::Arc};
use target_standin::execution::ExecutionEntry;
use thiserror::Error;

/// `Result` is the result of reading a log.
pub type Result<T, E = LogError> = std::result::Result<T, E>;

/// `LogError` is the reason that a log cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum LogError {
    /// A line is not an execution entry.
    #[error("line {line} is no execution: {reason}")]
    Malformed {
        /// The number of the line, from 1.
        line: usize,
        /// The parser's message.
        reason: Arc<str>,
    },
}

/// `ProcessId` identifies one process of a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// The announced address of the target.
    pub target: Arc<str>,
    /// The start time of the process in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// `LoggedRun` is one execution with a known end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoggedRun {
    /// The process that ran it.
    pub process: ProcessId,
    /// The log entry of the execution.
    pub entry: ExecutionEntry,
    /// The end time in microseconds of `CLOCK_MONOTONIC`. For an execution that was cut short by a
    /// kill, it is the time of the last log line of its process.
    pub ended_us: u64,
}

/// Reads the executions of one log. An incomplete last line, left by a kill, is skipped.
///
/// # Errors
///
/// Returns [`LogError::Malformed`] when another line is not an execution entry.
pub fn read_log(text: &str) -> Result<Vec<LoggedRun>> {
    let mut entries = BTreeMap::new();
    let mut last_seen = BTreeMap::new();

    for (index, line) in text.lines().enumerate() {
        let entry: ExecutionEntry = match serde_json::from_str(line) {
            Ok(entry) => entry,
            Err(_) if is_cut_line(text, index) => continue,
            Err(error) => {
                return Err(LogError::Malformed {
                    line: index + 1,
                    reason: Arc::from(error.to_string()),
                });
            }
        };

        let process = ProcessId {
            target: Arc::clone(&entry.target),
            started_ms: entry.process,
        };
        let stamp = entry.ended_us.unwrap_or(entry.started_us);
        let seen = last_seen.entry(process.clone()).or_insert(0);
        *seen = stamp.max(*seen);

        // The line written at the end of an execution replaces the one written at its start.
        entries.insert((process, entry.run), entry);
    }

    let runs = entries.into_iter().map(|((process, _), entry)| LoggedRun {
        ended_us: entry.ended_us.unwrap_or(last_seen[&process]),
        process,
        entry,
    });

    Ok(runs.collect())
}

/// Returns whether a line is the last one and lacks its line feed.
fn is_cut_line(text: &str, index: usize) -> bool {
    !text.ends_with('\n') && index + 1 == text.lines().count()
}
