//! The faults that a control call switches.

use serde::{Deserialize, Serialize};

/// `TargetFaults` is the faults in force.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct TargetFaults {
    /// The factor by which work takes longer.
    pub slow_factor: f64,
    /// The share of orders that are refused by `shed`.
    pub shed: f64,
    /// The share of answers whose body is cut short.
    pub truncate: f64,
    /// The time in milliseconds by which an answer follows its work.
    pub late_ms: u64,
    /// The share of answers that are sent twice.
    pub duplicate: f64,
    /// Whether the health report claims an idle and healthy target.
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
    /// Takes over the fields that a change names.
    pub fn apply(&mut self, change: &TargetFaultChange) {
        self.slow_factor = change.slow_factor.unwrap_or(self.slow_factor);
        self.shed = change.shed.unwrap_or(self.shed);
        self.truncate = change.truncate.unwrap_or(self.truncate);
        self.late_ms = change.late_ms.unwrap_or(self.late_ms);
        self.duplicate = change.duplicate.unwrap_or(self.duplicate);
        self.lie_health = change.lie_health.unwrap_or(self.lie_health);
    }
}

/// `TargetFaultChange` names the faults to change; the others stay.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TargetFaultChange {
    /// The time in milliseconds for which the whole process stands still, once.
    pub freeze_ms: Option<u64>,
    /// The factor by which work takes longer.
    pub slow_factor: Option<f64>,
    /// The share of orders that are refused by `shed`.
    pub shed: Option<f64>,
    /// The share of answers whose body is cut short.
    pub truncate: Option<f64>,
    /// The time in milliseconds by which an answer follows its work.
    pub late_ms: Option<u64>,
    /// The share of answers that are sent twice.
    pub duplicate: Option<f64>,
    /// Whether the health report claims an idle and healthy target.
    pub lie_health: Option<bool>,
}
