//! What two requests with the same content have in common.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};
use xxhash_rust::xxh3::Xxh3;

/// `RequestContent` is the part of a request that stays the same when a caller sends it again. The
/// request identifier and the deadline are not part of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestContent {
    /// The service of the target on the caller's VM.
    pub caller: Arc<str>,
    /// The HTTP method.
    pub method: Arc<str>,
    /// The path and query of the URI.
    pub path: Arc<str>,
    /// The complete body.
    pub body: Bytes,
}

impl RequestContent {
    /// Returns the digest of the content.
    pub fn digest(&self) -> RequestDigest {
        let mut hasher = Xxh3::new();
        for field in [
            self.caller.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            &self.body,
        ] {
            // With its length, a field cannot continue in the next one.
            hasher.update(&field.len().to_le_bytes());
            hasher.update(field);
        }

        RequestDigest(hasher.digest128())
    }
}

/// `RequestDigest` identifies the content of a request. It is written as 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct RequestDigest(u128);

impl RequestDigest {
    /// Creates a digest with a known value.
    pub const fn new(value: u128) -> Self {
        Self(value)
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl From<RequestDigest> for String {
    fn from(digest: RequestDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for RequestDigest {
    type Error = std::num::ParseIntError;

    /// Parses hexadecimal digits.
    ///
    /// # Errors
    ///
    /// Fails when the text is not a hexadecimal number of 128 bits.
    fn try_from(text: String) -> std::result::Result<Self, Self::Error> {
        u128::from_str_radix(&text, 16).map(Self)
    }
}
