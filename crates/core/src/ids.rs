//! Names and numbers that identify nodes, services, tenants and requests.

use crate::errors::{CoreError, Result};
use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc};

/// The maximum length of a name in bytes, which is the length limit of a DNS label.
pub const MAX_NAME_BYTES: usize = 63;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from `text`.
            ///
            /// # Errors
            ///
            /// Returns [`CoreError::InvalidName`] when the text is empty, longer than
            /// [`MAX_NAME_BYTES`] bytes, or holds anything but `a-z`, `0-9`, `-`, `_` and `.`.
            pub fn new(text: impl AsRef<str>) -> Result<Self> {
                check_name(text.as_ref())?;

                Ok(Self(Arc::from(text.as_ref())))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl TryFrom<String> for $name {
            type Error = CoreError;

            fn try_from(text: String) -> Result<Self> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                String::from(&*name.0)
            }
        }
    };
}

name_type!(
    /// `NodeName` identifies a VM and the daemon that runs on it.
    NodeName
);
name_type!(
    /// `ZoneName` identifies an availability zone.
    ZoneName
);
name_type!(
    /// `ServiceName` identifies a declared service.
    ServiceName
);
name_type!(
    /// `TenantName` identifies a customer that shares the services with others.
    TenantName
);
name_type!(
    /// `OperationName` identifies a declared operation within its service.
    OperationName
);

/// Checks the length and the characters of a name.
fn check_name(text: &str) -> Result<()> {
    let allowed =
        |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-_.".contains(&byte);

    let reason = if text.is_empty() {
        "it is empty"
    } else if text.len() > MAX_NAME_BYTES {
        "it is longer than 63 bytes"
    } else if !text.bytes().all(allowed) {
        "only a-z, 0-9, '-', '_' and '.' are allowed"
    } else {
        return Ok(());
    };

    Err(CoreError::InvalidName {
        name: Arc::from(text),
        reason,
    })
}

/// `NodeIncarnation` is the restart counter of the daemon on one VM. It increases with each start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeIncarnation(pub u64);

/// `NodeIdentity` identifies one incarnation of a node: the period from a start of its daemon to
/// the next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeIdentity {
    /// The name of the VM.
    pub name: NodeName,
    /// The restart counter of the daemon.
    pub incarnation: NodeIncarnation,
}

impl NodeIdentity {
    /// Creates the identity of one incarnation of a node.
    pub fn new(name: NodeName, incarnation: NodeIncarnation) -> Self {
        Self { name, incarnation }
    }
}

impl fmt::Display for NodeIdentity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation.0)
    }
}

/// `LeaseEpoch` numbers the successive ownerships of a slice. It serves as the owner's fencing
/// token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseEpoch(pub u64);

/// `RequestId` identifies a request on its way from the caller to the target and in every log line
/// about it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// The maximum length of an identifier in bytes.
    pub const MAX_BYTES: usize = 128;

    /// Creates an identifier from `text`.
    ///
    /// # Errors
    ///
    /// Returns [`CoreError::InvalidRequest`] when the text is empty, longer than
    /// [`Self::MAX_BYTES`] bytes, or holds anything but printable ASCII without spaces.
    pub fn new(text: impl AsRef<str>) -> Result<Self> {
        let text = text.as_ref();
        let printable = text.bytes().all(|byte| byte.is_ascii_graphic());

        if text.is_empty() || text.len() > Self::MAX_BYTES || !printable {
            return Err(CoreError::invalid_request(
                "the request identifier must be 1 to 128 printable ASCII characters",
            ));
        }

        Ok(Self(Arc::from(text)))
    }

    /// Returns the text of the identifier.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
