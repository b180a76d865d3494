//! The expected sizes of responses.

use std::{collections::HashMap, sync::Arc};

/// The weight of the latest response in the moving average of a route's response size.
const SIZE_WEIGHT: f32 = 0.1;

/// `ResponseSizes` holds the mean response size of each route, in bytes.
#[derive(Debug, Default)]
pub struct ResponseSizes {
    means: HashMap<Arc<str>, f32>,
}

impl ResponseSizes {
    /// Records the size of a response.
    #[expect(clippy::cast_precision_loss, reason = "a mean needs few digits")]
    pub fn observe(&mut self, route: &Arc<str>, bytes: u64) {
        let bytes = bytes as f32;
        let mean = self.means.entry(Arc::clone(route)).or_insert(bytes);
        *mean += (bytes - *mean) * SIZE_WEIGHT;
    }

    /// Returns the mean size of a route's responses in bytes, or 0 before the first one.
    pub fn mean(&self, route: &str) -> f32 {
        self.means.get(route).copied().unwrap_or(0.0)
    }

    /// Returns the expected size of a response in whole bytes, or 0 before the first one.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of sizes"
    )]
    pub fn expected(&self, route: &str) -> u64 {
        self.mean(route) as u64
    }
}
