//! Whether a request may have run, and so whether a retry is safe.

use serde::{Deserialize, Serialize};

/// `RunVerdict` states whether a request may have run at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// The request ran and its complete response was received.
    Done,
    /// The request certainly did not run; a retry is safe.
    NotRun,
    /// The request may have run; a retry is safe only for an idempotent request.
    Unknown,
}

impl RunVerdict {
    /// Returns the value of the `wagtail-verdict` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }

    /// Returns whether the request may be sent again, given whether it is `idempotent`.
    pub const fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::Done => false,
            Self::NotRun => true,
            Self::Unknown => idempotent,
        }
    }
}
