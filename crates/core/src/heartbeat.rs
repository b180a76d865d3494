//! What a target says of itself, and the ranges of keys that it is granted in return.

use serde::{Deserialize, Serialize};
use std::{fmt, sync::Arc, time::Duration};

/// `TargetIncarnation` is one start of a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct TargetIncarnation {
    /// The start in milliseconds since the Unix epoch, by the target's clock.
    pub started_ms: u64,
    /// The identifier; a target may start again under the one that it had.
    pub id: Arc<str>,
}

impl fmt::Display for TargetIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.id, self.started_ms)
    }
}

/// `HeldRange` is a range of keys that a target holds or still works on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldRange {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The fencing token.
    pub token: u64,
}

/// `ReleasedRange` is a range that a target gave up since its last acknowledged heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReleasedRange {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The state that lets the next holder start warm.
    pub handover: Arc<str>,
}

/// `GrantedRange` is a range that a target is to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantedRange {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The fencing token.
    pub token: u64,
    /// The state of the last holder, empty when there is none.
    pub handover: Arc<str>,
}

/// `TargetHeartbeat` is one heartbeat of a target.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetHeartbeat {
    /// The start that sends it.
    pub life: TargetIncarnation,
    /// The service that the target serves.
    pub service: Arc<str>,
    /// The requests that the target runs at a time.
    pub slots: u32,
    /// Whether the target is about to leave.
    pub draining: bool,
    /// The ordinal of the heartbeat in this life.
    pub sequence: u64,
    /// How much longer the target is slow after its start.
    pub warm_up_left: Duration,
    /// The ranges that the target holds or still works on.
    pub holds: Vec<HeldRange>,
    /// The ranges that the target released.
    pub released: Vec<ReleasedRange>,
}

/// `HeartbeatReply` is the answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Everything that the target is to hold; nothing renews nothing.
    pub grant: Option<RangeGrant>,
}

/// `RangeGrant` replaces all that a target holds.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeGrant {
    /// The ranges.
    pub ranges: Vec<GrantedRange>,
    /// The time for which they are held, from the sending of the heartbeat.
    pub hold: Duration,
}
