//! Counts the bytes that a process sends.

use std::{cell::Cell, rc::Rc};

/// `TrafficMeter` counts the bytes that were written to the connections which share it. Clones share the
/// count.
#[derive(Debug, Clone, Default)]
pub struct TrafficMeter(Rc<Cell<u64>>);

impl TrafficMeter {
    /// Adds bytes that were written.
    pub fn add(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);

        self.0.set(self.0.get().saturating_add(bytes));
    }

    /// Returns the bytes that were written since the start.
    pub fn total(&self) -> u64 {
        self.0.get()
    }
}
