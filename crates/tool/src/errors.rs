//! The errors of commands, their exit codes and messages.

use std::{fmt::Write, io, path::PathBuf};
use thiserror::Error;
use wagtail_intent::{DocumentFault, reports::ErrorReport};

/// `Result` is the result of a fallible operation of the tool.
pub type Result<T, E = ToolError> = std::result::Result<T, E>;

/// `ExitStatus` is the exit code of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command did what it was asked to and printed its output.
    Done,
    /// The system refused, or another plan was confirmed first. Nothing was changed.
    Refused,
    /// The command line, the environment or a file is invalid. Nothing was changed.
    BadInput,
    /// The node is unreachable, or the node cannot reach the platform. Nothing was changed.
    Unreachable,
    /// No complete response arrived, and the change may be in force.
    Unknown,
    /// The token is missing or wrong. Nothing was changed.
    Unauthorized,
}

impl ExitStatus {
    /// Returns the exit code of the process.
    pub const fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::BadInput => 2,
            Self::Unreachable => 3,
            Self::Unknown => 4,
            Self::Unauthorized => 5,
        }
    }
}

/// `ToolError` is the reason for which a command failed.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum ToolError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// A file is not YAML.
    #[error("{}: not YAML: {reason}", path.display())]
    Syntax {
        /// The path of the file.
        path: PathBuf,
        /// The error of the parser, with line and column.
        reason: String,
    },
    /// An intent file is YAML but no valid intent.
    #[error("{}: the intent has {} fault(s)", path.display(), faults.len())]
    Faults {
        /// The path of the file.
        path: PathBuf,
        /// Every fault of the file, each with the path of the field.
        faults: Vec<DocumentFault>,
    },
    /// A value on the command line or in the environment is missing or invalid.
    #[error("{argument}: {reason}")]
    Usage {
        /// The name of the argument or value.
        argument: &'static str,
        /// What is wrong with the value, or which values are accepted.
        reason: String,
    },
    /// The node could not be called or sent no usable response, for a call that changes nothing.
    #[error("node {node} does not answer: {reason}")]
    Unreachable {
        /// The address of the node.
        node: String,
        /// Why the node could not be called, or why its response is unusable.
        reason: String,
    },
    /// The node sent no usable response to a confirmation, which may have taken effect.
    #[error("node {node} gave no answer: {reason}; the plan may be in force")]
    NoAnswer {
        /// The address of the node.
        node: String,
        /// Why there is no usable response.
        reason: String,
    },
    /// The node responded with an HTTP status other than success.
    #[error("{}", report.message)]
    Answered {
        /// The HTTP status.
        status: u16,
        /// The error from the body of the response.
        report: Box<ErrorReport>,
    },
    /// The output cannot be written, or the async runtime cannot be started.
    #[error("the output cannot be written: {source}")]
    Output {
        /// The I/O error.
        source: io::Error,
    },
}

impl ToolError {
    /// Returns the exit status for the error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::File { .. }
            | Self::Syntax { .. }
            | Self::Faults { .. }
            | Self::Usage { .. }
            | Self::Output { .. } => ExitStatus::BadInput,
            Self::Unreachable { .. } => ExitStatus::Unreachable,
            Self::NoAnswer { .. } => ExitStatus::Unknown,
            Self::Answered { status, .. } => http_exit_status(*status),
        }
    }

    /// Returns the stable code of the error, by which programs tell errors apart.
    pub fn code(&self) -> &str {
        match self {
            Self::File { .. } => "file-unreadable",
            Self::Syntax { .. } => "not-yaml",
            Self::Faults { .. } => "invalid-document",
            Self::Usage { .. } => "usage",
            Self::Unreachable { .. } => "unreachable",
            Self::NoAnswer { .. } => "outcome-unknown",
            Self::Answered { report, .. } => &report.code,
            Self::Output { .. } => "output-failed",
        }
    }

    /// Returns the error as a report of the administration API, which is printed in JSON output.
    pub fn report(&self) -> ErrorReport {
        match self {
            Self::Answered { report, .. } => ErrorReport::clone(report),
            Self::Faults { faults, .. } => {
                let mut report = ErrorReport::new(self.code(), self.to_string());
                report.detail.faults.clone_from(faults);

                report
            }
            _ => ErrorReport::new(self.code(), self.to_string()),
        }
    }
}

/// Returns the exit status for the HTTP status of an error response.
const fn http_exit_status(status: u16) -> ExitStatus {
    match status {
        400 | 405 | 413 | 431 => ExitStatus::BadInput,
        401 | 403 => ExitStatus::Unauthorized,
        502 | 503 => ExitStatus::Unreachable,
        504 => ExitStatus::Unknown,
        _ => ExitStatus::Refused,
    }
}

/// Returns the message for an error: what failed, each detail, and the next step.
///
/// With `json` set it is the error report in JSON.
pub fn explain(error: &ToolError, json: bool) -> String {
    let report = error.report();

    if json {
        return serde_json::to_string_pretty(&report).unwrap_or(report.message);
    }

    let mut text = format!("wagtail: {} [{}]", report.message, report.code);
    let mut push_line = |entry: String| {
        // Writing to a string cannot fail.
        let _ = write!(text, "\n  {entry}");
    };

    for fault in &report.detail.faults {
        push_line(fault.to_string());
    }
    for refusal in &report.detail.refusals {
        push_line(format!("{refusal} [{}]", refusal.code));
    }
    if let Some(conflict) = &report.detail.conflict {
        push_line(format!(
            "version {} was made by {}; changed since version {}:",
            conflict.found_version, conflict.found_plan, conflict.base_version
        ));
        for change in &conflict.changes {
            push_line(format!("  {change}"));
        }
    }
    if let Some(step) = next_step(error) {
        push_line(format!("next: {step}"));
    }

    text
}

/// Returns what the operator can do about an error, where there is something to do.
fn next_step(error: &ToolError) -> Option<&'static str> {
    let step = match error.code() {
        "version-conflict" | "expired-plan" | "wrong-version" => {
            "read what changed, run `wagtail plan` again and confirm the new plan"
        }
        "outcome-unknown" => {
            "run the same `wagtail confirm` again, at any node; it takes effect once at most"
        }
        "unknown-plan" => "check the identifier, or run `wagtail plan` again",
        "plan-exists" => "run the command again; the next plan draws another identifier",
        "no-change" => "nothing is needed",
        "not-found" => "`wagtail services` shows what is declared",
        "invalid-document" | "not-yaml" => "mend the file and run the command again",
        "platform-reverted" => {
            "the platform lost a configuration; restore it before changing anything"
        }
        "unavailable" => "wait until the platform answers, then run the command again",
        "unreachable" => "check --node, or ask another node; every node answers every command",
        _ => match error.exit_status() {
            ExitStatus::Unauthorized => {
                "give the node's token by --token-file FILE or the variable WAGTAIL_TOKEN"
            }
            ExitStatus::Unreachable => "run the command again, or ask another node",
            _ => return None,
        },
    };

    Some(step)
}
