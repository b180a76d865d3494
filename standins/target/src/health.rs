//! The health report, which lags and can be falsified.

use serde::{Deserialize, Serialize};

/// `HealthReport` is the state that a target reports; it is only a hint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HealthReport {
    /// Whether the target accepts requests.
    pub healthy: bool,
    /// The number of running requests.
    pub load: u32,
    /// The number of requests that can run concurrently.
    pub slots: u32,
}

/// `HealthMonitor` returns a sampled report until the next sample is due.
#[derive(Debug, Clone, Default)]
pub struct HealthMonitor {
    /// The report sampled last, which is returned until the next sample.
    sampled: HealthReport,
    /// The time of the last sample in microseconds; absent before the first.
    sampled_us: Option<u64>,
}

impl HealthMonitor {
    /// The interval between two samples in microseconds, by which the report lags at most.
    pub const LAG_US: u64 = 1_000_000;

    /// Creates a monitor without a sample.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the report at the time `now_us` in microseconds, which may be out of date. With
    /// `lies`, it claims a healthy target without load.
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
