//! Errors that end a connection.

use std::{io, sync::Arc};
use thiserror::Error;

/// `Result` is the result of an operation on a connection.
pub type Result<T, E = NetError> = std::result::Result<T, E>;

/// `NetError` is the reason that an exchange ended without a response.
#[derive(Debug)]
#[derive(Error)]
#[non_exhaustive]
pub enum NetError {
    /// Connecting, accepting or configuring a socket failed.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
    /// The HTTP exchange failed.
    #[error("http: {0}")]
    Http(#[from] hyper::Error),
    /// A request or a response could not be built.
    #[error("message: {0}")]
    Message(#[from] http::Error),
    /// The connection was not accepted in time.
    #[error("no connection")]
    NoConnection,
    /// The exchange took longer than allowed.
    #[error("timeout")]
    Timeout,
    /// An injected fault closed the connection.
    #[error("closed on purpose: {fault}")]
    Injected {
        /// The name of the fault.
        fault: &'static str,
    },
    /// A response violates the protocol.
    #[error("malformed: {reason}")]
    Malformed {
        /// What was received, and what was expected.
        reason: Arc<str>,
    },
}

impl NetError {
    /// Returns whether the server may have received the request that failed with this error.
    pub fn may_have_arrived(&self) -> bool {
        match self {
            Self::Http(error) => !error.is_canceled(),
            Self::Socket(_) | Self::NoConnection | Self::Message(_) => false,
            Self::Timeout | Self::Injected { .. } | Self::Malformed { .. } => true,
        }
    }

    /// Creates the error for a response that violates the protocol.
    pub fn malformed(reason: impl Into<Arc<str>>) -> Self {
        Self::Malformed {
            reason: reason.into(),
        }
    }
}
