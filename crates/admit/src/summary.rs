//! The state for the status page.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// `AdmitCounters` counts what an admission machine has done since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdmitCounters {
    /// The arrivals.
    pub arrived: u64,
    /// The dispatched orders.
    pub dispatched: u64,
    /// The arrivals that got a target's answer.
    pub answered: u64,
    /// The refusals.
    pub refused: u64,
    /// The replays of kept answers.
    pub replayed: u64,
    /// The orders that were cancelled at the target.
    pub cancelled: u64,
    /// The orders that the target shed.
    pub shed: u64,
    /// The times at which the internal invariants were checked.
    pub checked: u64,
}

/// `AdmitSummary` is the state of an admission machine at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdmitSummary {
    /// The waiting short arrivals.
    pub queued_short: usize,
    /// The waiting long arrivals.
    pub queued_long: usize,
    /// The expected duration of all that waits.
    pub backlog: Duration,
    /// The orders at the target.
    pub running: u32,
    /// The long orders at the target.
    pub running_long: u32,
    /// The orders that may be at the target now.
    pub limit: u32,
    /// Whether the target counts as stalled.
    pub stalled: bool,
    /// Whether the daemon is stopping.
    pub stopping: bool,
    /// The mean duration of short work.
    pub short_mean: Duration,
    /// The remembered identifiers.
    pub remembered: usize,
    /// The bytes of the kept answers.
    pub kept_bytes: u64,
    /// The counters.
    pub counters: AdmitCounters,
}
