//! The keys with the most requests, in bounded memory.

use std::sync::Arc;
use wagtail_core::slice::KeyHash;

/// `KeySketch` counts the most frequent keys by the Space-Saving algorithm (Metwally, Agrawal and
/// El Abbadi, 2005).
///
/// A key with more than one in `capacity` of all requests is always held. A count is too high by
/// at most the `error` of its entry.
#[derive(Debug, Clone)]
pub struct KeySketch {
    capacity: usize,
    entries: Vec<SketchEntry>,
}

/// `SketchEntry` is one counted key.
#[derive(Debug, Clone, PartialEq)]
pub struct SketchEntry {
    /// The hash of the key.
    pub hash: KeyHash,
    /// The slice of the key.
    pub slice: u32,
    /// The key.
    pub key: Arc<str>,
    /// The counted requests.
    pub count: f64,
    /// The most by which the count is too high.
    pub error: f64,
}

impl KeySketch {
    /// Makes a sketch of at most `capacity` keys.
    ///
    /// # Panics
    ///
    /// Panics when the capacity is zero.
    pub fn new(capacity: usize) -> Self {
        assert!(capacity > 0, "a sketch counts at least one key");

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

        let least = self
            .entries
            .iter_mut()
            .min_by(|left, right| left.count.total_cmp(&right.count));

        // The newcomer takes the place and the count of the least frequent key.
        if let Some(least) = least {
            entry.error = least.count;
            entry.count = least.count + 1.0;
            *least = entry;
        }
    }

    /// Multiplies every count, so that old requests fade.
    pub fn fade(&mut self, factor: f64) {
        for entry in &mut self.entries {
            entry.count *= factor;
            entry.error *= factor;
        }
    }

    /// Forgets the keys of a slice that is no longer owned.
    pub fn forget(&mut self, slice: u32) {
        self.entries.retain(|entry| entry.slice != slice);
    }

    /// Returns the counted keys in no order.
    pub fn entries(&self) -> &[SketchEntry] {
        &self.entries
    }
}
