//! The error type of requests, records and messages.

use crate::{ids::NodeName, verdict::RunVerdict};
use std::sync::Arc;
use thiserror::Error;

/// `Result` is a result whose error defaults to [`CoreError`].
pub type Result<T, E = CoreError> = std::result::Result<T, E>;

/// `CoreError` is the reason why a request, a record or a message was refused or failed.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Error)]
#[non_exhaustive]
pub enum CoreError {
    /// A name is empty, too long, or contains a character that is not allowed.
    #[error("invalid name {name:?}: {reason}")]
    InvalidName {
        /// The text that was to be used as a name.
        name: Arc<str>,
        /// The rule for names that the text violates.
        reason: &'static str,
    },
    /// A request is malformed.
    #[error("invalid request: {reason}")]
    InvalidRequest {
        /// What is wrong with the request, in a text for the caller.
        reason: Arc<str>,
    },
    /// The addressed node does not own the key.
    #[error("not the owner of slice {slice}")]
    NotOwner {
        /// The index of the key's slice.
        slice: u32,
        /// The owner according to the refusing node, if it knows one.
        owner: Option<NodeName>,
    },
    /// A limit leaves no capacity for the request at present.
    #[error("overloaded: {reason}")]
    Overloaded {
        /// The limit that was reached.
        reason: Arc<str>,
        /// The time in milliseconds after which a retry is expected to succeed.
        retry_after_ms: u64,
    },
    /// The deadline of the request has passed.
    #[error("deadline exceeded")]
    DeadlineExceeded {
        /// Whether the request may have run.
        verdict: RunVerdict,
    },
    /// A process on the request's path is unreachable or sent no complete response.
    #[error("unavailable: {reason}")]
    Unavailable {
        /// The cause of the failure.
        reason: Arc<str>,
        /// Whether the request may have run.
        verdict: RunVerdict,
    },
    /// A target refused a request without running it.
    #[error("refused by the target: {reason}")]
    Refused {
        /// The reason stated by the target.
        reason: Arc<str>,
    },
    /// A conditional update found another version than expected.
    #[error("version conflict: expected {expected}, found {found}")]
    VersionConflict {
        /// The version that the writer expected.
        expected: u64,
        /// The version in the store; zero when the record does not exist.
        found: u64,
    },
    /// A message could not be decoded.
    #[error("malformed message: {reason}")]
    Malformed {
        /// The error of the codec, or the limit that the message exceeds.
        reason: Arc<str>,
    },
}

impl CoreError {
    /// Creates the error for a malformed request.
    pub fn invalid_request(reason: impl Into<Arc<str>>) -> Self {
        Self::InvalidRequest {
            reason: reason.into(),
        }
    }

    /// Creates the error for a process that is unreachable or sent no complete response.
    pub fn unavailable(reason: impl Into<Arc<str>>, verdict: RunVerdict) -> Self {
        Self::Unavailable {
            reason: reason.into(),
            verdict,
        }
    }

    /// Creates the error for a request that exceeds a limit.
    pub fn overloaded(reason: impl Into<Arc<str>>, retry_after_ms: u64) -> Self {
        Self::Overloaded {
            reason: reason.into(),
            retry_after_ms,
        }
    }

    /// Creates the error for a message that could not be decoded.
    pub fn malformed(reason: impl Into<Arc<str>>) -> Self {
        Self::Malformed {
            reason: reason.into(),
        }
    }

    /// Returns whether the request that failed with this error may have run.
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

    /// Returns the stable, machine-readable code of the error.
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
