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

    /// Returns the expected size of a response in bytes, or 0 before the first one.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of sizes"
    )]
    pub fn expected(&self, route: &str) -> u64 {
        self.means.get(route).map_or(0, |mean| *mean as u64)
    }
}
