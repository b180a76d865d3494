//! Why a command fails, and the exit code.

use std::{fmt::Write, io, path::PathBuf};
use thiserror::Error;
use wagtail_intent::{DocumentFault, reports::ErrorReport};

/// `Result` is the result of a fallible operation of the tool.
pub type Result<T, E = ToolError> = std::result::Result<T, E>;

/// `ExitStatus` is the exit code of the program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command did what it was asked.
    Done,
    /// The system refused, or another plan was confirmed first. Nothing was changed.
    Refused,
    /// The command line or a file is at fault. Nothing was changed.
    BadInput,
    /// The node, or the platform behind it, is out of reach. Nothing was changed.
    Unreachable,
    /// No whole answer came, and the change may be in force.
    Unknown,
    /// The token is missing or wrong. Nothing was changed.
    Unauthorized,
}

impl ExitStatus {
    /// Returns the exit code.
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

/// `ToolError` is every way in which a command fails.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum ToolError {
    /// A file cannot be read.
    #[error("{}: {source}", path.display())]
    File {
        /// The path of the file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// A file is not YAML.
    #[error("{}: not YAML: {reason}", path.display())]
    Syntax {
        /// The path of the file.
        path: PathBuf,
        /// Why, with line and column.
        reason: String,
    },
    /// An intent file has faults.
    #[error("{}: the intent has {} fault(s)", path.display(), faults.len())]
    Faults {
        /// The path of the file.
        path: PathBuf,
        /// Every fault.
        faults: Vec<DocumentFault>,
    },
    /// A value on the command line or in the environment is at fault.
    #[error("{what}: {reason}")]
    Usage {
        /// The argument.
        what: &'static str,
        /// What is accepted.
        reason: String,
    },
    /// The node did not answer, and the call changes nothing.
    #[error("node {node} does not answer: {reason}")]
    Unreachable {
        /// The address of the node.
        node: String,
        /// Why.
        reason: String,
    },
    /// The node did not answer a confirmation.
    #[error("node {node} gave no answer: {reason}; the plan may be in force")]
    NoAnswer {
        /// The address of the node.
        node: String,
        /// Why.
        reason: String,
    },
    /// The node answered with an error.
    #[error("{}", report.message)]
    Answered {
        /// The HTTP status.
        status: u16,
        /// The error.
        report: Box<ErrorReport>,
    },
    /// The output cannot be written.
    #[error("the output cannot be written: {source}")]
    Output {
        /// Why.
        source: io::Error,
    },
}

impl ToolError {
    /// Returns the exit status of the error.
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::File { .. }
            | Self::Syntax { .. }
            | Self::Faults { .. }
            | Self::Usage { .. }
            | Self::Output { .. } => ExitStatus::BadInput,
            Self::Unreachable { .. } => ExitStatus::Unreachable,
            Self::NoAnswer { .. } => ExitStatus::Unknown,
            Self::Answered { status, .. } => answered_status(*status),
        }
    }

    /// Returns the stable code of the error for programs.
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

    /// Returns the error in the form of the administration API.
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

/// Returns the exit status for an HTTP status.
const fn answered_status(status: u16) -> ExitStatus {
    match status {
        400 | 405 | 413 | 431 => ExitStatus::BadInput,
        401 | 403 => ExitStatus::Unauthorized,
        502 | 503 => ExitStatus::Unreachable,
        504 => ExitStatus::Unknown,
        _ => ExitStatus::Refused,
    }
}

/// Returns the whole message for an error: what failed, each detail, and what to do next.
pub fn explain(error: &ToolError, json: bool) -> String {
    let report = error.report();

    if json {
        return serde_json::to_string_pretty(&report).unwrap_or(report.message);
    }

    let mut text = format!("wagtail: {} [{}]", report.message, report.code);
    let mut line = |entry: String| {
        // Writing to a text cannot fail.
        let _ = write!(text, "\n  {entry}");
    };

    for fault in &report.detail.faults {
        line(fault.to_string());
    }
    for refusal in &report.detail.refusals {
        line(format!("{refusal} [{}]", refusal.code));
    }
    if let Some(conflict) = &report.detail.conflict {
        line(format!(
            "version {} was made by {}; changed since version {}:",
            conflict.found_version, conflict.found_plan, conflict.base_version
        ));
        for change in &conflict.changes {
            line(format!("  {change}"));
        }
    }
    if let Some(step) = next_step(error) {
        line(format!("next: {step}"));
    }

    text
}

/// Returns what the operator can do after an error.
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
