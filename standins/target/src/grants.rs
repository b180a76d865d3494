//! The grants that fence requests by slice and epoch.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// `GrantBatch` is the JSON content of a renewal by the daemon.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantBatch {
    /// The slices to grant or to revoke; slices that are not listed keep their grants.
    pub grants: Vec<SliceGrant>,
    /// The send time in microseconds of `CLOCK_BOOTTIME`. A grant is valid from this time, so that
    /// waiting in a socket does not extend it.
    #[serde(default)]
    pub sent_us: Option<u64>,
}

/// `SliceGrant` allows requests for one slice for a limited time.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SliceGrant {
    /// The index of the slice.
    pub slice: u32,
    /// The epoch of the ownership.
    pub epoch: u64,
    /// The validity of the grant in milliseconds; zero revokes it.
    pub valid_ms: u64,
}

/// `GrantReport` is the JSON content of the response to a renewal.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantReport {
    /// The grants that were refused, with the highest epoch seen for their slice.
    pub refused: Vec<RefusedGrant>,
}

/// `RefusedGrant` is a grant whose epoch is below the highest one seen for its slice.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RefusedGrant {
    /// The index of the slice.
    pub slice: u32,
    /// The highest epoch seen for the slice.
    pub epoch: u64,
}

/// `HeldGrant` is the newest grant of a slice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct HeldGrant {
    /// The epoch, which never decreases.
    epoch: u64,
    /// The time in microseconds since which the slice has been granted without a gap.
    since_us: u64,
    /// The time in microseconds at which the grant expires.
    until_us: u64,
}

/// `GrantTable` holds the newest grant of each slice.
#[derive(Debug, Clone, Default)]
pub struct GrantTable {
    /// The grants by the index of their slice.
    held: BTreeMap<u32, HeldGrant>,
}

impl GrantTable {
    /// Creates a table without grants.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the grants of a renewal that arrived at the time `now_us` in microseconds, and
    /// returns those refused for an older epoch.
    pub fn renew(&mut self, batch: &GrantBatch, now_us: u64) -> GrantReport {
        let start_us = batch.sent_us.map_or(now_us, |sent_us| sent_us.min(now_us));
        let mut report = GrantReport::default();

        for grant in &batch.grants {
            let highest = self.held.get(&grant.slice).map_or(0, |held| held.epoch);
            if grant.epoch < highest {
                report.refused.push(RefusedGrant {
                    slice: grant.slice,
                    epoch: highest,
                });
                continue;
            }

            let earlier = self
                .held
                .get(&grant.slice)
                .filter(|held| start_us < held.until_us);
            let held = HeldGrant {
                epoch: grant.epoch,
                since_us: earlier.map_or(start_us, |held| held.since_us),
                until_us: start_us.saturating_add(grant.valid_ms.saturating_mul(1_000)),
            };
            self.held.insert(grant.slice, held);
        }

        report
    }

    /// Returns the time in microseconds until which a request that started at `started_us` may take
    /// effect: the end of the grant, or `started_us` when the slice has not been granted without a
    /// gap since then, so that another target may have owned it.
    pub fn effect_until(&self, slice: u32, started_us: u64) -> u64 {
        self.held.get(&slice).map_or(started_us, |held| {
            if held.since_us <= started_us {
                held.until_us
            } else {
                started_us
            }
        })
    }

    /// Returns whether a grant allows a request for a slice and epoch at the time `now_us` in
    /// microseconds.
    pub fn allows(&self, slice: u32, epoch: u64, now_us: u64) -> bool {
        self.held
            .get(&slice)
            .is_some_and(|held| held.epoch == epoch && now_us < held.until_us)
    }
}
