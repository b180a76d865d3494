//! Makers of the values that the tests use.

use std::{sync::Arc, time::Duration};
use wagtail_core::heartbeat::{HeldRange, ReleasedRange, TargetHeartbeat, TargetIncarnation};
use wagtail_shard::{planner::TargetStatus, table::RangeHolder};

/// Makes a life of a target.
pub fn life(name: &str, started_ms: u64) -> TargetIncarnation {
    TargetIncarnation {
        started_ms,
        id: Arc::from(name),
    }
}

/// Makes the holder beside a node of the same name.
pub fn holder(name: &str, started_ms: u64) -> RangeHolder {
    RangeHolder {
        node: Arc::from(name),
        life: life(name, started_ms),
    }
}

/// Makes a heartbeat.
pub fn beat(
    name: &str,
    started_ms: u64,
    sequence: u64,
    holds: Vec<HeldRange>,
    released: Vec<ReleasedRange>,
) -> TargetHeartbeat {
    TargetHeartbeat {
        life: life(name, started_ms),
        service: Arc::from("agenda"),
        slots: 6,
        draining: false,
        sequence,
        warm_up_left: Duration::ZERO,
        holds,
        released,
    }
}

/// Makes the state of a target that is ready.
pub fn status(name: &str, started_ms: u64, capacity: f32) -> TargetStatus {
    TargetStatus {
        node: Arc::from(name),
        life: Some(life(name, started_ms)),
        ready: true,
        capacity,
        pieces: Vec::new(),
    }
}
