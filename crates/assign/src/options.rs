//! The limits, margins and intervals of the assignment machine.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// `AssignOptions` holds the limits, margins and intervals of an
/// [`AssignMachine`](crate::AssignMachine).
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AssignOptions {
    /// The interval between load reports to peers.
    pub report_period: Duration,
    /// The age above which a peer's load report is discarded.
    pub report_age: Duration,
    /// The fraction of the fair load by which a target must be below it to request load.
    pub low_margin: f64,
    /// The fraction of the fair load by which a target must be above it to hand slices over.
    pub high_margin: f64,
    /// The fraction of the fair load by which a target must be above it to count as overloaded.
    /// Any peer with headroom requests load from an overloaded target, however small the peer's
    /// own shortage is.
    pub overload_margin: f64,
    /// The time that the load must stay below the margin before the target requests load.
    pub settle_time: Duration,
    /// The time constant of the measured rates; shorter ones are noisier.
    pub rate_window: Duration,
    /// The load in requests a second that is added to the measured rate of each slice, so that idle
    /// slices are balanced too.
    pub idle_slice_rate: f64,
    /// The time for which a slice is not moved again after it arrived, and the least time between
    /// two splits of hot keys.
    pub slice_cooldown: Duration,
    /// The time for which no slices are moved to a target after a move to it failed.
    pub avoid_time: Duration,
    /// The most moves in flight at a time while load is balanced.
    pub max_moves: usize,
    /// The most moves in flight at a time while the VM is drained.
    pub max_drain_moves: usize,
    /// The most moves in a burst, that is, the capacity of the move budget.
    pub budget_moves: u32,
    /// The interval at which the move budget regains one move.
    pub budget_period: Duration,
    /// The time after the start during which no slices are claimed.
    pub claim_delay: Duration,
    /// The time after which the target of the next rank may also claim a slice that is still
    /// unowned.
    pub claim_step: Duration,
    /// The share of the fair load of a target from which on a key is worth a slice of its own.
    pub split_share: f64,
}

impl Default for AssignOptions {
    fn default() -> Self {
        Self {
            report_period: Duration::from_secs(1),
            report_age: Duration::from_secs(20),
            low_margin: 0.08,
            high_margin: 0.04,
            overload_margin: 0.15,
            settle_time: Duration::from_secs(3),
            rate_window: Duration::from_secs(5),
            idle_slice_rate: 0.1,
            slice_cooldown: Duration::from_secs(30),
            avoid_time: Duration::from_secs(5),
            max_moves: 2,
            max_drain_moves: 16,
            budget_moves: 24,
            budget_period: Duration::from_secs(2),
            claim_delay: Duration::from_secs(2),
            claim_step: Duration::from_secs(3),
            split_share: 0.2,
        }
    }
}
