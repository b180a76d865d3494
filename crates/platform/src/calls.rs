//! The count of platform calls by kind.

use serde::{Deserialize, Serialize};

/// `CallKind` is a kind of platform call. Each counts against the platform's rates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A read of one value.
    Get,
    /// A read of all values under a prefix.
    List,
    /// A conditional write.
    Update,
    /// A wait for changes.
    Watch,
}

/// `CallCounts` counts the calls since the start of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallCounts {
    /// Reads of one value.
    pub gets: u64,
    /// Reads of a prefix.
    pub lists: u64,
    /// Conditional writes.
    pub updates: u64,
    /// Waits for changes.
    pub watches: u64,
    /// Calls of any kind that failed.
    pub failures: u64,
}

impl CallCounts {
    /// Counts one call.
    pub fn record(&mut self, kind: CallKind) {
        match kind {
            CallKind::Get => self.gets += 1,
            CallKind::List => self.lists += 1,
            CallKind::Update => self.updates += 1,
            CallKind::Watch => self.watches += 1,
        }
    }
}
