//! Constructors of the values that the tests use.

use std::{sync::Arc, time::Duration};
use wagtail_core::{
    heartbeat::{HeldRange, ReleasedRange, TargetHeartbeat, TargetIncarnation},
    objects::StoreRevision,
};
use wagtail_shard::{planner::TargetStatus, table::RangeHolder};

/// Returns the revision with the given number in the first era of the store.
pub fn first_era(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

/// Returns an incarnation of a target.
pub fn life(name: &str, started_ms: u64) -> TargetIncarnation {
    TargetIncarnation {
        started_ms,
        id: Arc::from(name),
    }
}

/// Returns the holder of this name, at a node of the same name.
pub fn holder(name: &str, started_ms: u64) -> RangeHolder {
    RangeHolder {
        node: Arc::from(name),
        life: life(name, started_ms),
    }
}

/// Returns a heartbeat of a target that neither drains nor warms up.
pub fn heartbeat(
    name: &str,
    started_ms: u64,
    sequence: u64,
    holds: Vec<HeldRange>,
    released: Vec<ReleasedRange>,
) -> TargetHeartbeat {
    TargetHeartbeat {
        life: life(name, started_ms),
        service: Arc::from("agenda"),
        address: Arc::from("10.1.0.8:8301"),
        version: Arc::from("v1"),
        slots: 6,
        draining: false,
        sequence,
        warm_up_left: Duration::ZERO,
        reports_ranges: true,
        holds,
        released,
    }
}

/// Returns the status of a ready target without load.
pub fn status(name: &str, started_ms: u64, capacity: f32) -> TargetStatus {
    TargetStatus {
        node: Arc::from(name),
        life: Some(life(name, started_ms)),
        ready: true,
        capacity,
        pieces: Vec::new(),
    }
}
