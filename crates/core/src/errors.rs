//! The central error enum.

use crate::{ids::NodeName, verdict::RunVerdict};
use std::sync::Arc;
use thiserror::Error;

/// `Result` is the result of a fallible operation of the shared types.
pub type Result<T, E = CoreError> = std::result::Result<T, E>;

/// `CoreError` is every way in which a request or a record can be refused.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum CoreError {
    /// A name is empty, too long, or holds a character outside its alphabet.
    #[error("invalid name {name:?}: {reason}")]
    InvalidName {
        /// The rejected text.
        name: Arc<str>,
        /// The rule that the text breaks.
        reason: &'static str,
    },
    /// A request is malformed.
    #[error("invalid request: {reason}")]
    InvalidRequest {
        /// What is wrong, in words for the caller.
        reason: Arc<str>,
    },
    /// The addressed node does not own the key.
    #[error("not the owner of slice {slice}")]
    NotOwner {
        /// The slice of the key.
        slice: u32,
        /// The owner that the refusing node knows of.
        owner: Option<NodeName>,
    },
    /// The system has no capacity for the request now.
    #[error("overloaded: {reason}")]
    Overloaded {
        /// The limit that was reached.
        reason: Arc<str>,
        /// The time in milliseconds after which a repeat is expected to succeed.
        retry_after_ms: u64,
    },
    /// The deadline of the request has passed.
    #[error("deadline exceeded")]
    DeadlineExceeded {
        /// Whether the request may have run before the deadline passed.
        verdict: RunVerdict,
    },
    /// A process on the path cannot be reached or gave no whole answer.
    #[error("unavailable: {reason}")]
    Unavailable {
        /// What failed.
        reason: Arc<str>,
        /// Whether the request may have run.
        verdict: RunVerdict,
    },
    /// A target refused an order before its start.
    #[error("refused by the target: {reason}")]
    Refused {
        /// The reason that the target gave.
        reason: Arc<str>,
    },
    /// A conditional update met another version than the expected one.
    #[error("version conflict: expected {expected}, found {found}")]
    VersionConflict {
        /// The version that the writer expected.
        expected: u64,
        /// The version that the store holds; zero when the record is absent.
        found: u64,
    },
    /// A message could not be decoded.
    #[error("malformed message: {reason}")]
    Malformed {
        /// What is wrong.
        reason: Arc<str>,
    },
}

impl CoreError {
    /// Makes the error for a malformed request.
    pub fn invalid_request(reason: impl Into<Arc<str>>) -> Self {
        Self::InvalidRequest {
            reason: reason.into(),
        }
    }

    /// Makes the error for an unreachable process.
    pub fn unavailable(reason: impl Into<Arc<str>>, verdict: RunVerdict) -> Self {
        Self::Unavailable {
            reason: reason.into(),
            verdict,
        }
    }

    /// Makes the error for a refusal by a limit.
    pub fn overloaded(reason: impl Into<Arc<str>>, retry_after_ms: u64) -> Self {
        Self::Overloaded {
            reason: reason.into(),
            retry_after_ms,
        }
    }

    /// Makes the error for an undecodable message.
    pub fn malformed(reason: impl Into<Arc<str>>) -> Self {
        Self::Malformed {
            reason: reason.into(),
        }
    }

    /// Returns whether the request that met this error may have run.
    pub fn verdict(&self) -> RunVerdict {
        match self {
            Self::DeadlineExceeded { verdict } | Self::Unavailable { verdict, .. } => *verdict,
            Self::InvalidName { .. }
            | Self::InvalidRequest { .. }
            | Self::NotOwner { .. }
            | Self::Overloaded { .. }
            | Self::Refused { .. }
            | Self::VersionConflict { .. }
            | Self::Malformed { .. } => RunVerdict::NotRun,
        }
    }

    /// Returns the stable code of the error for programs.
    pub fn code(&self) -> &'static str {
        match self {
            Self::InvalidName { .. } => "invalid-name",
            Self::InvalidRequest { .. } => "invalid-request",
            Self::NotOwner { .. } => "not-owner",
            Self::Overloaded { .. } => "overloaded",
            Self::DeadlineExceeded { .. } => "deadline-exceeded",
            Self::Unavailable { .. } => "unavailable",
            Self::Refused { .. } => "refused",
            Self::VersionConflict { .. } => "version-conflict",
            Self::Malformed { .. } => "malformed",
        }
    }
}
