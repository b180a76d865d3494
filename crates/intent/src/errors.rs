//! Why an intent or a confirmation fails.

use crate::change::PlannedChange;
use serde::{Deserialize, Serialize};
use std::fmt;
use thiserror::Error;

/// `Result` is the result of a fallible operation on intents.
pub type Result<T, E = IntentError> = std::result::Result<T, E>;

/// `DocumentFault` is one fault of a document, with its place.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentFault {
    /// The path in the document, such as `services[0].operations[2].path`; empty for the root.
    pub path: String,
    /// What is accepted there, with the range and the unit.
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

/// `IntentRefusal` is one reason why a change would break a promise.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IntentRefusal {
    /// The stable code of the rule.
    pub code: String,
    /// The service or VM in question.
    pub subject: String,
    /// Which promise would break, and why.
    pub reason: String,
    /// What the operator can do instead.
    pub what_to_do: String,
}

impl fmt::Display for IntentRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.subject, self.reason, self.what_to_do)
    }
}

/// `ConfirmConflict` tells what came between a plan and its confirmation.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmConflict {
    /// The version that the plan was made for.
    pub base_version: u64,
    /// The version in force.
    pub found_version: u64,
    /// The plan that made the version in force.
    pub found_plan: String,
    /// What changed from the version of the plan to the one in force.
    pub changes: Vec<PlannedChange>,
}

/// `IntentError` is every way in which a plan or a confirmation fails.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum IntentError {
    /// The document has faults.
    #[error("the document has {} fault(s)", faults.len())]
    Faults {
        /// Every fault.
        faults: Vec<DocumentFault>,
    },
    /// The change would break a promise.
    #[error("refused: the change would break {} promise(s)", refusals.len())]
    Refused {
        /// Every broken promise.
        refusals: Vec<IntentRefusal>,
    },
    /// The intent states what is in force already.
    #[error("nothing would change: version {version} already says so")]
    NoChange {
        /// The version in force.
        version: u64,
    },
    /// Another plan was confirmed first.
    #[error(
        "conflict: the plan was made for version {}, version {} is in force",
        conflict.base_version, conflict.found_version
    )]
    Conflict {
        /// What came between.
        conflict: Box<ConfirmConflict>,
    },
    /// The confirmation names another version than the plan.
    #[error("the plan was made for version {planned}, not for version {named}")]
    WrongVersion {
        /// The version of the plan.
        planned: u64,
        /// The version that the confirmation named.
        named: u64,
    },
    /// No plan has this identifier.
    #[error("no plan {plan}")]
    UnknownPlan {
        /// The identifier.
        plan: String,
    },
    /// Another plan has the identifier that this one drew.
    #[error("another plan is called {plan}")]
    PlanExists {
        /// The identifier.
        plan: String,
    },
    /// So many versions followed that nobody can tell whether the plan was accepted.
    #[error(
        "plan {plan} is too old to tell whether it was accepted; version {version} is in force"
    )]
    ExpiredPlan {
        /// The identifier.
        plan: String,
        /// The version in force.
        version: u64,
    },
    /// The platform holds an older configuration than this node has in force.
    #[error("the platform holds version {found}, older than version {held} in force here")]
    PlatformReverted {
        /// The version in the platform.
        found: u64,
        /// The version in force at this node.
        held: u64,
    },
    /// The platform is out of reach, and nothing was changed.
    #[error("the platform is out of reach; nothing was changed")]
    Unavailable,
    /// The platform gave no answer, and the change may be in force.
    #[error("the platform gave no answer; the plan may be in force")]
    OutcomeUnknown {
        /// The identifier.
        plan: String,
    },
}

impl IntentError {
    /// Returns the stable code of the error for programs.
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

    /// Returns the HTTP status of the error in the administration API.
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
