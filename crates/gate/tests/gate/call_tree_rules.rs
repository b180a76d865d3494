//! The classes and the counts of the call tree model, and the rule before shares were kept by callee.

use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// `WorkKind` describes requests of one class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkKind {
    pub name: &'static str,
    /// 0 for requests to targets that call, 1 for those to targets that are called.
    pub tier: usize,
    pub per_second: f64,
    pub priority: u32,
    pub objective_millis: u64,
    pub service_millis: u64,
}

/// The classes: lookups call, entries do not, and the called service has work of its own.
pub const KINDS: [WorkKind; 4] = [
    WorkKind {
        name: "lookup",
        tier: 0,
        per_second: 1_084.0,
        priority: 1,
        objective_millis: 400,
        service_millis: 20,
    },
    WorkKind {
        name: "entry",
        tier: 0,
        per_second: 477.0,
        priority: 1,
        objective_millis: 400,
        service_millis: 30,
    },
    WorkKind {
        name: "own-entry",
        tier: 1,
        per_second: 152.0,
        priority: 1,
        objective_millis: 400,
        service_millis: 40,
    },
    WorkKind {
        name: "download",
        tier: 1,
        per_second: 145.0,
        priority: 2,
        objective_millis: 800,
        service_millis: 120,
    },
];

/// `ModelCounts` holds the outcomes: requests and requests in time by class, runs that failed, and
/// requests that ended with a failed run.
#[derive(Debug, Default, Clone, Copy)]
pub struct ModelCounts {
    pub offered: [u32; 4],
    pub in_time: [u32; 4],
    pub wasted_runs: u32,
    pub failures: u32,
    pub entries_held_back: u32,
}

impl ModelCounts {
    /// Returns the share of each class that was served in time.
    pub fn shares(&self) -> [f64; 4] {
        std::array::from_fn(|kind| {
            f64::from(self.in_time[kind]) / f64::from(self.offered[kind].max(1))
        })
    }
}

/// `SingleShare` is the rule before shares were kept by callee: an average of the waits of calls and
/// of urgent work at the callee.
#[derive(Debug, Default)]
pub struct SingleShare {
    pub call_wait: f32,
    pub work_wait: f32,
}

impl SingleShare {
    /// Records the expected wait of an arrival.
    pub fn arrived(&mut self, is_call: bool, wait: f32, objective: f32) {
        let (mean, allowed, weight) = if is_call {
            (&mut self.call_wait, objective, 0.06)
        } else {
            (&mut self.work_wait, objective * 0.4, 0.12)
        };
        *mean += ((wait / allowed).min(4.0) - *mean) * weight;
    }

    /// Returns the share of new work to begin.
    pub fn share(&self) -> f32 {
        (1.0 - (self.call_wait.max(self.work_wait) - 0.6) / 1.4).clamp(0.1, 1.0)
    }
}

/// `SingleThrottle` is the throttle of that rule.
#[derive(Debug, Default)]
pub struct SingleThrottle {
    pub held_back: f32,
    pub reported_at: LocalMoment,
    pub credit: f32,
}

impl SingleThrottle {
    /// Decides on the next request.
    pub fn admit(&mut self, now: LocalMoment) -> bool {
        if now.since(self.reported_at) > Duration::from_millis(500) {
            self.held_back = 0.0;
        }
        self.credit = (self.credit + 1.0 - self.held_back).min(2.0);
        let admitted = self.credit >= 1.0;
        self.credit -= f32::from(u8::from(admitted));
        admitted
    }
}
