//! Counters of platform calls by kind.

use serde::{Deserialize, Serialize};

/// `CallKind` is a kind of platform call. Calls of every kind count against the rate limits of the
/// platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallKind {
    /// A read of one value.
    Get,
    /// A read of all values under a prefix.
    List,
    /// A write on the condition that the value still has the expected version.
    Update,
    /// A long poll for changes under a prefix.
    Watch,
}

/// `CallCounts` counts the calls since the start of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallCounts {
    /// The number of reads of one value.
    pub gets: u64,
    /// The number of reads of all values under a prefix.
    pub lists: u64,
    /// The number of conditional writes.
    pub updates: u64,
    /// The number of long polls for changes.
    pub watches: u64,
    /// The number of calls of any kind that failed, timed out or were refused by the platform.
    pub failures: u64,
}

impl CallCounts {
    /// Increments the counter of a kind by one call.
    pub fn record(&mut self, kind: CallKind) {
        match kind {
            CallKind::Get => self.gets += 1,
            CallKind::List => self.lists += 1,
            CallKind::Update => self.updates += 1,
            CallKind::Watch => self.watches += 1,
        }
    }
}
