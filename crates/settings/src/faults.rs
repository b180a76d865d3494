//! What can be wrong with a settings file.

use std::{fmt, sync::Arc};
use thiserror::Error;

/// `Result` is the result of reading settings.
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

/// `SettingsError` is why a settings file was refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The text is not YAML.
    #[error("the settings are not YAML: {reason}")]
    Syntax {
        /// The parser's message with its line and column.
        reason: Arc<str>,
    },
    /// Fields are missing, unknown or outside their range.
    #[error("{}", join_faults(faults))]
    Invalid {
        /// Every fault of the file, in the order in which the fields are checked.
        faults: Vec<SettingFault>,
    },
}

/// `SettingFault` is one fault with the path of its field.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("{path}: {kind}")]
pub struct SettingFault {
    /// The dotted path of the field, such as `lease.renew_ms`.
    pub path: Arc<str>,
    /// What is wrong with the field.
    pub kind: FaultKind,
}

/// `FaultKind` is what is wrong with one field.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// A required field is absent.
    Missing {
        /// What the field accepts.
        expected: Arc<str>,
    },
    /// The section has no such field.
    Unknown {
        /// The fields that the section has.
        allowed: Arc<str>,
    },
    /// The value has the wrong form.
    Malformed {
        /// The rejected value.
        found: Arc<str>,
        /// What the field accepts.
        expected: Arc<str>,
    },
    /// The number lies outside its range.
    OutOfRange {
        /// The rejected number.
        found: u64,
        /// The accepted range.
        range: Arc<str>,
        /// The unit of the number and of the range.
        unit: &'static str,
    },
    /// The value is well formed but clashes with another field.
    Conflicting {
        /// The rejected value.
        found: Arc<str>,
        /// The rule that it breaks.
        rule: Arc<str>,
    },
}

impl fmt::Display for FaultKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing { expected } => write!(f, "is missing; expected {expected}"),
            Self::Unknown { allowed } => write!(f, "is unknown; the fields here are {allowed}"),
            Self::Malformed { found, expected } => write!(f, "{found} is not {expected}"),
            Self::OutOfRange { found, range, unit } => {
                write!(f, "{found} is outside {range} {unit}")
            }
            Self::Conflicting { found, rule } => write!(f, "{found} is refused: {rule}"),
        }
    }
}

/// Writes the count of the faults, and each on a line of its own.
fn join_faults(faults: &[SettingFault]) -> String {
    let head = format!("the settings have {} fault(s)", faults.len());
    let lines: Vec<String> = faults.iter().map(|fault| format!("\n  {fault}")).collect();

    head + &lines.concat()
}
