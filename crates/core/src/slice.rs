//! The division of a keyed service into hash slices.

use crate::ids::ServiceName;
use serde::{Deserialize, Serialize};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// `KeyHash` is the position of a key in the hash space of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(pub u64);

impl KeyHash {
    /// Hashes a key with XXH3, whose output is the same on every machine and version.
    pub fn new(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }

    /// Returns the slice that holds the key when the service has `count` hash slices.
    ///
    /// # Panics
    ///
    /// Panics when `count` is zero; a checked service has at least one slice.
    pub fn slice_index(self, count: u32) -> u32 {
        assert!(count > 0, "a keyed service has at least one slice");

        // The high half of the product spreads the hash space evenly over any count.
        let product = u128::from(self.0) * u128::from(count);

        u32::try_from(product >> 64).unwrap_or(count - 1)
    }
}

/// `SliceId` identifies a slice of a keyed service. An index past the hash slices of the
/// service is a single hot key split out.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceId {
    /// The service of the slice.
    pub service: ServiceName,
    /// The index of the slice in the service.
    pub index: u32,
}

impl SliceId {
    /// Makes the identifier of a slice.
    pub fn new(service: ServiceName, index: u32) -> Self {
        Self { service, index }
    }
}

impl fmt::Display for SliceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}
