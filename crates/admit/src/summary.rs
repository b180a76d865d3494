//! The state for the status page.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// `AdmitCounters` counts what an admission machine has done since its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdmitCounters {
    /// The count of arrivals.
    pub arrived: u64,
    /// The count of dispatched requests.
    pub dispatched: u64,
    /// The count of arrivals that got a response of the target.
    pub answered: u64,
    /// The count of refusals.
    pub refused: u64,
    /// The count of replayed responses.
    pub replayed: u64,
    /// The count of requests that were cancelled at the target.
    pub cancelled: u64,
    /// The count of requests that the target shed.
    pub shed: u64,
    /// How often the internal invariants were checked.
    pub checked: u64,
}

/// `AdmitSummary` is the state of an admission machine at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdmitSummary {
    /// The count of queued short requests.
    pub queued_short: usize,
    /// The count of queued long requests.
    pub queued_long: usize,
    /// The total expected duration of the queued requests.
    pub backlog: Duration,
    /// The count of slots in use at the target, including those of abandoned requests.
    pub running: u32,
    /// The count of long requests at the target.
    pub running_long: u32,
    /// How many requests may be at the target now.
    pub limit: u32,
    /// Whether the target counts as stalled.
    pub stalled: bool,
    /// Whether the daemon is stopping.
    pub stopping: bool,
    /// The mean duration of short requests.
    pub short_mean: Duration,
    /// The count of remembered identifiers.
    pub remembered: usize,
    /// The total size of the kept responses in bytes.
    pub kept_bytes: u64,
    /// The counters since the start of the machine.
    pub counters: AdmitCounters,
}
