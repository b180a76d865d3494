//! The heartbeats of targets, and the key ranges granted in reply.
//!
//! The keys of a sharded service are the numbers from 0 to 65535. Ranges include both ends.

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};

/// `TargetIncarnation` identifies one run of a target process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// The start time in milliseconds since the Unix epoch, by the target's clock.
    pub started_ms: u64,
    /// The identifier of the target. A restarted target may reuse it, so it does not identify a run
    /// without the start time.
    pub id: Arc<str>,
}

impl fmt::Display for TargetIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_ms)
    }
}

/// `TargetDeparture` states that a target has announced its leave, by a message of its own or by a
/// draining heartbeat. A target that has done so never returns to service in the same run.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetDeparture {
    /// The identifier of the target.
    pub id: Arc<str>,
    /// The latest start time of a run that this covers, in milliseconds since the Unix epoch. A
    /// leave message names no run, so a run that is not known is covered if it started before the
    /// message arrived.
    pub started_until_ms: u64,
}

impl TargetDeparture {
    /// Returns whether an incarnation of a target has announced its leave by this.
    pub fn covers(&self, life: &TargetIncarnation) -> bool {
        self.id == life.id && life.started_ms <= self.started_until_ms
    }
}

impl From<&TargetIncarnation> for TargetDeparture {
    fn from(life: &TargetIncarnation) -> Self {
        Self {
            id: Arc::clone(&life.id),
            started_until_ms: life.started_ms,
        }
    }
}

/// `HeldRange` is a key range that a target holds, or for which it still runs requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldRange {
    /// The lowest key of the range.
    pub from: u16,
    /// The highest key of the range, which is included.
    pub to: u16,
    /// The fencing token under which the target holds the range.
    pub token: u64,
}

/// `ReleasedRange` is a key range that a target released since its last acknowledged heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReleasedRange {
    /// The lowest key of the range.
    pub from: u16,
    /// The highest key of the range, which is included.
    pub to: u16,
    /// The state that lets the next holder serve the range without a warm-up.
    pub handover: Arc<str>,
}

/// `GrantedRange` is a key range that is granted to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantedRange {
    /// The lowest key of the range.
    pub from: u16,
    /// The highest key of the range, which is included.
    pub to: u16,
    /// The fencing token of the grant.
    pub token: u64,
    /// The state that the previous holder left, or an empty text.
    pub handover: Arc<str>,
}

/// `TargetHeartbeat` is the periodic report of a target to its daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetHeartbeat {
    /// The run of the target that sends the heartbeat.
    pub life: TargetIncarnation,
    /// The service that the target serves.
    pub service: Arc<str>,
    /// The address at which the target accepts requests, as `ADDRESS:PORT`.
    pub address: Arc<str>,
    /// The version of the target's software.
    pub version: Arc<str>,
    /// The number of requests that the target can run concurrently.
    pub slots: u32,
    /// Whether the target is about to stop.
    pub draining: bool,
    /// The sequence number of the heartbeat within this run of the target.
    pub sequence: u64,
    /// The time until the target has warmed up after its start; it is slow until then.
    pub warm_up_left: Duration,
    /// Whether the heartbeat has the two lists of ranges, which may be empty.
    pub reports_ranges: bool,
    /// The ranges that the target holds, or for which it still runs requests.
    pub holds: Vec<HeldRange>,
    /// The ranges released since the last acknowledged heartbeat.
    pub released: Vec<ReleasedRange>,
}

/// `HeartbeatReply` is the response to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The complete set of ranges granted to the target. `None` leaves the previous grant to expire
    /// without renewal.
    pub grant: Option<RangeGrant>,
}

/// `RangeGrant` grants key ranges for a limited time. It replaces all earlier grants of the target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeGrant {
    /// All ranges that the target may hold.
    pub ranges: Vec<GrantedRange>,
    /// The validity of the grant, counted from the time at which the target sent its heartbeat.
    pub hold: Duration,
}
