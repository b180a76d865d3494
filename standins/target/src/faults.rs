//! The faults that a control call injects.

use serde::{Deserialize, Serialize};

/// `TargetFaults` holds the active faults.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct TargetFaults {
    /// The factor by which the work of a request takes longer.
    pub slow_factor: f64,
    /// The probability that a request is refused with the reason `shed`.
    pub shed: f64,
    /// The probability that the body of a response is truncated.
    pub truncate: f64,
    /// The delay in milliseconds of a response after its work is complete.
    pub late_ms: u64,
    /// The probability that a response is sent twice.
    pub duplicate: f64,
    /// Whether the health report claims a healthy target without load.
    pub lie_health: bool,
}

impl Default for TargetFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            shed: 0.0,
            truncate: 0.0,
            late_ms: 0,
            duplicate: 0.0,
            lie_health: false,
        }
    }
}

impl TargetFaults {
    /// Applies the fields that are set in `change`; the others keep their values.
    pub fn apply(&mut self, change: &TargetFaultChange) {
        self.slow_factor = change.slow_factor.unwrap_or(self.slow_factor);
        self.shed = change.shed.unwrap_or(self.shed);
        self.truncate = change.truncate.unwrap_or(self.truncate);
        self.late_ms = change.late_ms.unwrap_or(self.late_ms);
        self.duplicate = change.duplicate.unwrap_or(self.duplicate);
        self.lie_health = change.lie_health.unwrap_or(self.lie_health);
    }
}

/// `TargetFaultChange` holds the faults to change; absent ones keep their values.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaultChange {
    /// The time in milliseconds for which the process freezes, once per control call.
    pub freeze_ms: Option<u64>,
    /// The factor by which the work of a request takes longer.
    pub slow_factor: Option<f64>,
    /// The probability that a request is refused with the reason `shed`.
    pub shed: Option<f64>,
    /// The probability that the body of a response is truncated.
    pub truncate: Option<f64>,
    /// The delay in milliseconds of a response after its work is complete.
    pub late_ms: Option<u64>,
    /// The probability that a response is sent twice.
    pub duplicate: Option<f64>,
    /// Whether the health report claims a healthy target without load.
    pub lie_health: Option<bool>,
}
