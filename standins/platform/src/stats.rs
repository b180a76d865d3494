//! The call counters by kind.

use serde::{Deserialize, Serialize};

/// `CallKind` is the kind of a call. A watch is one call, however long it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// A read of one value.
    Get,
    /// A read of the values under a prefix.
    List,
    /// A conditional update.
    Update,
    /// A wait for changes.
    Watch,
}

/// `CallStats` counts the calls since the start, including the refused ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallStats {
    /// The reads of one value.
    pub gets: u64,
    /// The reads of a prefix.
    pub lists: u64,
    /// The conditional updates, including those that failed with a conflict.
    pub updates: u64,
    /// The waits for changes.
    pub watches: u64,
    /// The updates refused for a version conflict.
    pub conflicts: u64,
    /// The calls refused for the limit on calls per second.
    pub refused_rate: u64,
    /// The calls refused during an outage.
    pub refused_outage: u64,
    /// The calls whose connection closed before the effect.
    pub dropped_calls: u64,
    /// The calls whose connection closed after the effect.
    pub lost_answers: u64,
}

impl CallStats {
    /// Counts a call.
    pub fn count(&mut self, kind: CallKind) {
        let field = match kind {
            CallKind::Get => &mut self.gets,
            CallKind::List => &mut self.lists,
            CallKind::Update => &mut self.updates,
            CallKind::Watch => &mut self.watches,
        };

        *field += 1;
    }
}
