//! Whether a request may have run.

use serde::{Deserialize, Serialize};

/// `RunVerdict` states whether a request may have run at a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunVerdict {
    /// The request ran and its whole answer is here.
    Done,
    /// The request certainly did not run; a repeat is safe.
    NotRun,
    /// The request may have run; only an idempotent one may be repeated.
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

    /// Returns whether another attempt can run the request no more than allowed.
    pub const fn allows_retry(self, idempotent: bool) -> bool {
        match self {
            Self::Done => false,
            Self::NotRun => true,
            Self::Unknown => idempotent,
        }
    }
}
