//! The errors of a settings file.

use std::{fmt, sync::Arc};
use thiserror::Error;

/// `Result` is the result of reading settings, which fails with a [`SettingsError`].
pub type Result<T, E = SettingsError> = std::result::Result<T, E>;

/// `SettingsError` is the reason why a settings file is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum SettingsError {
    /// The text is not valid YAML, or a mapping has a duplicate field.
    #[error("the settings are not YAML: {reason}")]
    Syntax {
        /// The parser's message with its line and column.
        reason: Arc<str>,
    },
    /// Fields are missing, unknown, malformed, outside their range or in conflict with others.
    #[error("{}", join_faults(faults))]
    Invalid {
        /// All faults of the file, in the order in which the fields are checked.
        faults: Vec<SettingFault>,
    },
}

/// `SettingFault` is one fault of a settings file, with the path of its field.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[error("{path}: {kind}")]
pub struct SettingFault {
    /// The dotted path of the field, such as `lease.renew_ms`.
    pub path: Arc<str>,
    /// The rule that the field violates, with the value found and the values accepted.
    pub kind: FaultKind,
}

/// `FaultKind` tells what is wrong with one field.
#[derive(Debug, Clone, PartialEq, Eq)]
#[non_exhaustive]
pub enum FaultKind {
    /// A required field is absent.
    Missing {
        /// The form of value that the field accepts.
        expected: Arc<str>,
    },
    /// The section has no such field.
    Unknown {
        /// The names of the fields of the section, separated by commas.
        allowed: Arc<str>,
    },
    /// The value has the wrong type or syntax.
    Malformed {
        /// The rejected value, as it is shown to the operator.
        found: Arc<str>,
        /// The form of value that the field accepts.
        expected: Arc<str>,
    },
    /// The number is outside the accepted range.
    OutOfRange {
        /// The number in the file.
        found: u64,
        /// The accepted range, with the rule behind a bound that depends on another field.
        range: Arc<str>,
        /// The unit of the number and of the range.
        unit: &'static str,
    },
    /// The value is well formed but conflicts with another field or with its purpose.
    Conflicting {
        /// The rejected value, as it is shown to the operator.
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

/// Returns a message with the number of faults, followed by one indented line for each.
fn join_faults(faults: &[SettingFault]) -> String {
    let head = format!("the settings have {} fault(s)", faults.len());
    let lines: Vec<String> = faults.iter().map(|fault| format!("\n  {fault}")).collect();

    head + &lines.concat()
}
