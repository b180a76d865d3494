//! Hash partitioning of the keys of a service into slices.

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
    /// Hashes a key with XXH3, whose output is stable across platforms and library versions.
    pub fn new(key: &[u8]) -> Self {
        Self(xxh3_64(key))
    }

    /// Returns the index of the key's slice when the service has `count` hash slices.
    ///
    /// # Panics
    ///
    /// Panics when `count` is zero, which the validation of a service rules out.
    pub fn slice_index(self, count: u32) -> u32 {
        assert!(
            count > 0,
            "the slice count of a keyed service must be at least 1"
        );

        // The high 64 bits of the product spread the hash space evenly over any slice count.
        let product = u128::from(self.0) * u128::from(count);

        u32::try_from(product >> 64).unwrap_or(count - 1)
    }
}

/// `SliceId` identifies a slice of a keyed service.
///
/// An index at or above the service's number of hash slices denotes a slice that holds a single
/// hot key, split off from its hash slice.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceId {
    /// The service that the slice is part of.
    pub service: ServiceName,
    /// The index of the slice within the service.
    pub index: u32,
}

impl SliceId {
    /// Creates the identifier of the slice at `index` of a service.
    pub fn new(service: ServiceName, index: u32) -> Self {
        Self { service, index }
    }
}

impl fmt::Display for SliceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}
