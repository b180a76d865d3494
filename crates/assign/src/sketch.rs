//! Counts of the keys with the most requests, in bounded memory.

use std::sync::Arc;
use wagtail_core::slice::KeyHash;

/// `KeySketch` counts the most frequent keys by the Space-Saving algorithm (Metwally, Agrawal and
/// El Abbadi, 2005).
///
/// A key that receives more than `1 / capacity` of all requests always has an entry. A count is too
/// high by at most the `error` of its entry.
#[derive(Debug, Clone)]
pub struct KeySketch {
    capacity: usize,
    entries: Vec<SketchEntry>,
}

/// `SketchEntry` is a key with its estimated number of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct SketchEntry {
    /// The hash of the key.
    pub hash: KeyHash,
    /// The index of the slice that holds the key.
    pub slice: u32,
    /// The text of the key, as requests carry it.
    pub key: Arc<str>,
    /// The estimated number of requests, reduced over time by [`KeySketch::decay`].
    pub count: f64,
    /// The upper bound of the overestimate in `count`.
    pub error: f64,
}

impl KeySketch {
    /// Creates a sketch of at most `capacity` keys.
    ///
    /// # Panics
    ///
    /// Panics if `capacity` is zero.
    pub fn new(capacity: usize) -> Self {
        assert!(
            capacity > 0,
            "the capacity of a key sketch must be at least 1"
        );

        Self {
            capacity,
            entries: Vec::with_capacity(capacity),
        }
    }

    /// Counts one request for a key.
    pub fn record(&mut self, slice: u32, key: &str) {
        let hash = KeyHash::new(key.as_bytes());

        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.hash == hash) {
            entry.count += 1.0;

            return;
        }

        let mut entry = SketchEntry {
            hash,
            slice,
            key: Arc::from(key),
            count: 1.0,
            error: 0.0,
        };

        if self.entries.len() < self.capacity {
            self.entries.push(entry);

            return;
        }

        let least_frequent = self
            .entries
            .iter_mut()
            .min_by(|left, right| left.count.total_cmp(&right.count));

        // The new key replaces the least frequent one and continues its count.
        if let Some(least_frequent) = least_frequent {
            entry.error = least_frequent.count;
            entry.count = least_frequent.count + 1.0;
            *least_frequent = entry;
        }
    }

    /// Multiplies every count by `factor`, so that old requests lose weight.
    pub fn decay(&mut self, factor: f64) {
        for entry in &mut self.entries {
            entry.count *= factor;
            entry.error *= factor;
        }
    }

    /// Removes the keys of a slice that is no longer owned.
    pub fn forget(&mut self, slice: u32) {
        self.entries.retain(|entry| entry.slice != slice);
    }

    /// Returns the entries in no particular order.
    pub fn entries(&self) -> &[SketchEntry] {
        &self.entries
    }
}
