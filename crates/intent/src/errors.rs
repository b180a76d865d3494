//! The errors of intents and confirmations.

use crate::change::PlannedChange;
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// `Result` is the result of a fallible operation on intents.
pub type Result<T, E = IntentError> = std::result::Result<T, E>;

/// `DocumentFault` is one fault of a document, with its path.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentFault {
    /// The path in the document, such as `services[0].operations[2].path`; empty for the root.
    pub path: String,
    /// What is wrong and which values are accepted, with the range and the unit.
    pub message: String,
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = if self.path.is_empty() {
            "(document)"
        } else {
            &self.path
        };

        write!(f, "{path}: {}", self.message)
    }
}

/// `IntentRefusal` is one reason why a change would break a guarantee of the system.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentRefusal {
    /// The stable code of the violated rule, such as `last-target`.
    pub code: String,
    /// The name of the affected service or VM, or `configuration`.
    pub subject: String,
    /// Which guarantee the change would break, and why.
    pub reason: String,
    /// How the operator can reach the goal without breaking the guarantee.
    pub what_to_do: String,
}

impl fmt::Display for IntentRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.subject, self.reason, self.what_to_do)
    }
}

/// `ConfirmConflict` describes what changed between a plan and its confirmation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmConflict {
    /// The configuration version that the plan was made for.
    pub base_version: u64,
    /// The configuration version in force.
    pub found_version: u64,
    /// The identifier of the plan that created the version in force.
    pub found_plan: String,
    /// The differences from `base_version` to `found_version`.
    pub changes: Vec<PlannedChange>,
}

/// `IntentError` is the reason why an intent or a confirmation failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum IntentError {
    /// The document is invalid.
    #[error("the document has {} fault(s)", faults.len())]
    Faults {
        /// All faults of the document.
        faults: Vec<DocumentFault>,
    },
    /// The change would break a guarantee of the system.
    #[error("refused: the change would break {} promise(s)", refusals.len())]
    Refused {
        /// The reasons, one for each violated rule and subject.
        refusals: Vec<IntentRefusal>,
    },
    /// The configuration in force already matches the intent.
    #[error("nothing would change: version {version} already says so")]
    NoChange {
        /// The configuration version in force.
        version: u64,
    },
    /// Another plan was confirmed first.
    #[error(
        "conflict: the plan was made for version {}, version {} is in force",
        conflict.base_version, conflict.found_version
    )]
    Conflict {
        /// The differences between the versions.
        conflict: Box<ConfirmConflict>,
    },
    /// The confirmation names a different base version than the plan.
    #[error("the plan was made for version {planned}, not for version {named}")]
    WrongVersion {
        /// The base version of the plan.
        planned: u64,
        /// The base version that the confirmation named.
        named: u64,
    },
    /// No plan has this identifier.
    #[error("no plan {plan}")]
    UnknownPlan {
        /// The identifier of the plan.
        plan: String,
    },
    /// The identifier generated for this plan belongs to another plan.
    #[error("another plan is called {plan}")]
    PlanExists {
        /// The identifier of the plan.
        plan: String,
    },
    /// So many versions followed that the configuration no longer records whether the plan was
    /// accepted.
    #[error(
        "plan {plan} is too old to tell whether it was accepted; version {version} is in force"
    )]
    ExpiredPlan {
        /// The identifier of the plan.
        plan: String,
        /// The configuration version in force.
        version: u64,
    },
    /// The configuration stored by the platform is older than the one in force at this node.
    #[error("the platform holds version {found}, older than version {held} in force here")]
    PlatformReverted {
        /// The version stored by the platform.
        found: u64,
        /// The version in force at this node.
        held: u64,
    },
    /// The platform is unreachable, and nothing was changed.
    #[error("the platform is out of reach; nothing was changed")]
    Unavailable,
    /// The platform did not respond to the write, and the change may be in force.
    #[error("the platform gave no answer; the plan may be in force")]
    OutcomeUnknown {
        /// The identifier of the plan.
        plan: String,
    },
}

impl IntentError {
    /// Returns the stable code of the error, for use by programs.
    pub fn code(&self) -> &'static str {
        match self {
            Self::Faults { .. } => "invalid-document",
            Self::Refused { .. } => "promise-broken",
            Self::NoChange { .. } => "no-change",
            Self::Conflict { .. } => "version-conflict",
            Self::WrongVersion { .. } => "wrong-version",
            Self::UnknownPlan { .. } => "unknown-plan",
            Self::PlanExists { .. } => "plan-exists",
            Self::ExpiredPlan { .. } => "expired-plan",
            Self::PlatformReverted { .. } => "platform-reverted",
            Self::Unavailable => "unavailable",
            Self::OutcomeUnknown { .. } => "outcome-unknown",
        }
    }

    /// Returns the HTTP status code of the error in the administration API.
    pub fn status(&self) -> u16 {
        match self {
            Self::Faults { .. } => 400,
            Self::UnknownPlan { .. } => 404,
            Self::Refused { .. }
            | Self::NoChange { .. }
            | Self::Conflict { .. }
            | Self::WrongVersion { .. }
            | Self::PlanExists { .. }
            | Self::ExpiredPlan { .. }
            | Self::PlatformReverted { .. } => 409,
            Self::Unavailable => 503,
            Self::OutcomeUnknown { .. } => 504,
        }
    }
}
