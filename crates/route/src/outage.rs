//! Whether a node makes a call to the store for another one.
//!
//! Pattern: the store is away for all nodes. Each of them retries its own calls, and also sends them through three
//! peers, which cannot reach the store either: four calls to a store that is away, or has just returned, for one.

use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The time after a failed call within which a node makes none for others. Its own next call shows whether the store
/// is back.
const FAILURE_MEMORY: Duration = Duration::from_secs(1);

/// `StoreOutage` is what a node knows of the reachability of the store from its own calls.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreOutage {
    failed_at: Option<LocalMoment>,
}

impl StoreOutage {
    /// Records that the store responded.
    pub fn answered(&mut self) {
        self.failed_at = None;
    }

    /// Records that a call failed without a response of the store, or with its refusal.
    pub fn failed(&mut self, now: LocalMoment) {
        self.failed_at = Some(now);
    }

    /// Returns whether a call for another node may reach the store.
    pub fn may_relay(&self, now: LocalMoment) -> bool {
        self.failed_at
            .is_none_or(|failed_at| now.since(failed_at) >= FAILURE_MEMORY)
    }
}
