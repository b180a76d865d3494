//! The faults that a control call injects.

use serde::{Deserialize, Serialize};

/// The default limit on writes per second.
const WRITES_PER_SECOND: u64 = 500;

/// The default limit on reads per second.
const READS_PER_SECOND: u64 = 2_000;

/// `PlatformFaults` holds the active faults.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize)]
pub struct PlatformFaults {
    /// Whether each call is refused with status 503.
    pub outage: bool,
    /// The delay in milliseconds before each call takes effect.
    pub latency_ms: u64,
    /// The probability that a connection closes after its call took effect.
    pub lose_answers: f64,
    /// The probability that a connection closes before its call takes effect.
    pub drop_calls: f64,
    /// The limit on writes per second.
    pub writes_per_second: u64,
    /// The limit on reads per second.
    pub reads_per_second: u64,
}

impl Default for PlatformFaults {
    fn default() -> Self {
        Self {
            outage: false,
            latency_ms: 0,
            lose_answers: 0.0,
            drop_calls: 0.0,
            writes_per_second: WRITES_PER_SECOND,
            reads_per_second: READS_PER_SECOND,
        }
    }
}

impl PlatformFaults {
    /// Applies the fields that are set in `change`; the others keep their values.
    pub fn apply(&mut self, change: &PlatformFaultChange) {
        self.outage = change.outage.unwrap_or(self.outage);
        self.latency_ms = change.latency_ms.unwrap_or(self.latency_ms);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
        self.drop_calls = change.drop_calls.unwrap_or(self.drop_calls);
        self.writes_per_second = change.writes_per_second.unwrap_or(self.writes_per_second);
        self.reads_per_second = change.reads_per_second.unwrap_or(self.reads_per_second);
    }
}

/// `PlatformFaultChange` holds the faults to change; absent ones keep their values.
#[derive(Debug, Clone, PartialEq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformFaultChange {
    /// Whether each call is refused with status 503.
    pub outage: Option<bool>,
    /// The delay in milliseconds before each call takes effect.
    pub latency_ms: Option<u64>,
    /// The probability that a connection closes after its call took effect.
    pub lose_answers: Option<f64>,
    /// The probability that a connection closes before its call takes effect.
    pub drop_calls: Option<f64>,
    /// The limit on writes per second.
    pub writes_per_second: Option<u64>,
    /// The limit on reads per second.
    pub reads_per_second: Option<u64>,
}
