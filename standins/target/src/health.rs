//! The health report, which lags or lies.

use serde::{Deserialize, Serialize};

/// `HealthReport` is what a target says of itself. It is a hint only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthReport {
    /// Whether the target takes orders.
    pub healthy: bool,
    /// The orders that run.
    pub load: u32,
    /// The orders that can run at a time.
    pub slots: u32,
}

/// `HealthMonitor` repeats the report that it sampled last.
#[derive(Debug, Clone, Default)]
pub struct HealthMonitor {
    /// The last sample.
    sampled: HealthReport,
    /// The moment of the last sample in microseconds; absent before the first.
    sampled_us: Option<u64>,
}

impl HealthMonitor {
    /// The time in microseconds by which the report lags.
    pub const LAG_US: u64 = 1_000_000;

    /// Makes a monitor without a sample.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the report at a moment, which may be out of date.
    pub fn report(&mut self, current: HealthReport, now_us: u64, lies: bool) -> HealthReport {
        if lies {
            return HealthReport {
                healthy: true,
                load: 0,
                slots: current.slots,
            };
        }

        let due = self
            .sampled_us
            .is_none_or(|sampled_us| now_us >= sampled_us + Self::LAG_US);
        if due {
            self.sampled = current;
            self.sampled_us = Some(now_us);
        }

        self.sampled
    }
}
