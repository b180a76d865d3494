//! The log of executions.

use serde::{Deserialize, Serialize};
use std::{
    fs::{File, OpenOptions},
    io::{self, Write},
    path::Path,
    sync::Arc,
};

/// `ExecutionEntry` is one execution of a request, a JSON line of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExecutionEntry {
    /// The identifier of the request.
    pub id: Arc<str>,
    /// The key; absent for a service that is not keyed.
    pub key: Option<Arc<str>>,
    /// The slice of the key.
    pub slice: Option<u32>,
    /// The ownership epoch under which the request was sent.
    pub epoch: Option<u64>,
    /// The name of the operation that was executed.
    pub operation: Arc<str>,
    /// The start time in microseconds of `CLOCK_MONOTONIC`.
    pub started_us: u64,
    /// The end time in microseconds of `CLOCK_MONOTONIC`; absent while the execution runs.
    pub ended_us: Option<u64>,
    /// Whether the execution ended before its work was complete.
    pub cancelled: bool,
    /// The announced address of the target.
    pub target: Arc<str>,
    /// The start of the target's process in milliseconds since the Unix epoch.
    pub process: u64,
    /// The index of the execution in its process, from 0.
    pub run: usize,
}

/// `ExecutionLog` keeps the executions in memory and appends them to a file. The file gets one
/// line at the start and another at the end of an execution, so that it is complete after a kill.
#[derive(Debug)]
pub struct ExecutionLog {
    /// The executions by index.
    entries: Vec<ExecutionEntry>,
    /// The file to append to, if any.
    file: Option<File>,
}

impl ExecutionLog {
    /// Creates a log that is kept in memory only.
    pub fn new() -> Self {
        Self {
            entries: Vec::new(),
            file: None,
        }
    }

    /// Appends the log to a file as well.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened.
    pub fn with_file(mut self, path: &Path) -> io::Result<Self> {
        self.file = Some(OpenOptions::new().create(true).append(true).open(path)?);

        Ok(self)
    }

    /// Records the start of an execution and returns its index.
    pub fn start(&mut self, mut entry: ExecutionEntry) -> usize {
        let run = self.entries.len();
        entry.run = run;

        self.append(&entry);
        self.entries.push(entry);

        run
    }

    /// Records the end of an execution.
    pub fn end(&mut self, run: usize, ended_us: u64, cancelled: bool) {
        let entry = &mut self.entries[run];
        entry.ended_us = Some(ended_us);
        entry.cancelled = cancelled;

        let entry = entry.clone();
        self.append(&entry);
    }

    /// Returns the executions.
    pub fn entries(&self) -> &[ExecutionEntry] {
        &self.entries
    }

    /// Writes an entry to the file in one call, so that lines never interleave.
    ///
    /// # Panics
    ///
    /// Panics when the file cannot be written, since a gap in the log would hide an execution.
    fn append(&mut self, entry: &ExecutionEntry) {
        if let Some(file) = &mut self.file {
            let line = format_entry(entry);
            file.write_all(line.as_bytes())
                .expect("the execution log must be complete");
        }
    }
}

impl Default for ExecutionLog {
    fn default() -> Self {
        Self::new()
    }
}

/// Formats an entry as a JSON line.
pub fn format_entry(entry: &ExecutionEntry) -> String {
    let mut line = serde_json::to_string(entry).unwrap_or_default();
    line.push('\n');

    line
}
