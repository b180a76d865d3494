//! The bounds of the machine.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// `AssignOptions` sets the bounds of an [`AssignMachine`](crate::AssignMachine).
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AssignOptions {
    /// The time between two reports to peers.
    pub report_period: Duration,
    /// The age at which a peer's report no longer counts.
    pub report_age: Duration,
    /// The fraction of the mean load below which a target asks for more.
    pub low_margin: f64,
    /// The fraction of the mean load above which a target hands slices over.
    pub high_margin: f64,
    /// The fraction of the mean load above which a target is relieved by any that is not loaded
    /// above the mean, however little that one lacks.
    pub hot_margin: f64,
    /// The time that a load must stay low before the target asks for more.
    pub settle_time: Duration,
    /// The time constant of the measured rates; shorter ones carry more noise.
    pub rate_window: Duration,
    /// The load of a slice without requests, in requests a second. It spreads idle slices.
    pub slice_base: f64,
    /// The time that a slice stays where it came to.
    pub slice_rest: Duration,
    /// The time for which a target is avoided after a move to it failed.
    pub avoid_time: Duration,
    /// The most moves in flight at a time.
    pub max_moves: usize,
    /// The most moves in flight at a time while the VM is drained.
    pub max_drain_moves: usize,
    /// The most moves that follow each other without a pause.
    pub budget_moves: u32,
    /// The time after which the budget allows one more move.
    pub budget_period: Duration,
    /// The time after the start before slices are claimed.
    pub claim_delay: Duration,
    /// The time after which the next target in rank may claim a slice that stays unowned.
    pub claim_step: Duration,
    /// The share of a node's mean load above which a key is worth a slice of its own.
    pub split_share: f64,
}

impl Default for AssignOptions {
    fn default() -> Self {
        Self {
            report_period: Duration::from_secs(1),
            report_age: Duration::from_secs(20),
            low_margin: 0.08,
            high_margin: 0.04,
            hot_margin: 0.15,
            settle_time: Duration::from_secs(3),
            rate_window: Duration::from_secs(5),
            slice_base: 0.1,
            slice_rest: Duration::from_secs(30),
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
