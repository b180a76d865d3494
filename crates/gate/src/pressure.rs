//! How much new work the callers of a busy service should begin.
//!
//! Work whose calls fail was done in vain. A service whose calls wait, or whose new work at least as
//! urgent as the work that calls it does, therefore asks its callers to begin less.

use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The weight of the latest wait of a call.
const CALL_WEIGHT: f32 = 0.06;

/// The weight of the latest wait of new work, of which there is less.
const WORK_WEIGHT: f32 = 0.12;

/// The share of its objective that new work may wait, as a call may wait all of its own.
const WORK_WAIT: f32 = 0.4;

/// The mean wait, as a share of the objective, up to which callers begin all work.
const FREE_WAIT: f32 = 0.6;

/// The mean wait, as a share of the objective, from which on callers begin the least.
const FULL_WAIT: f32 = 2.0;

/// The lowest share; some work goes on, by whose calls the state is told.
const LOWEST: f32 = 0.1;

/// `CallPressure` is the share of new work that callers should begin.
#[derive(Debug)]
pub struct CallPressure {
    /// The mean wait of calls, as a share of their objective.
    call_wait: f32,
    /// The mean wait of new work that is urgent enough, as a share of the longest sensible one.
    work_wait: f32,
    caller_priority: u32,
}

impl Default for CallPressure {
    fn default() -> Self {
        Self {
            call_wait: 0.0,
            work_wait: 0.0,
            caller_priority: u32::MAX,
        }
    }
}

impl CallPressure {
    /// Takes note of a call by work of a priority.
    pub fn called(&mut self, caller_priority: u32) {
        self.caller_priority = caller_priority;
    }

    /// Takes note of an arrival and its expected wait in seconds. New work that is less urgent
    /// than what calls this service does not count.
    pub fn arrived(&mut self, is_call: bool, priority: u32, wait: f32, objective: Duration) {
        if !is_call && priority > self.caller_priority {
            return;
        }

        let objective = objective.as_secs_f32().max(0.001);
        let (mean, longest, weight) = if is_call {
            (&mut self.call_wait, objective, CALL_WEIGHT)
        } else {
            (&mut self.work_wait, objective * WORK_WAIT, WORK_WEIGHT)
        };
        let relative = (wait / longest).min(FULL_WAIT * 2.0);
        *mean += (relative - *mean) * weight;
    }

    /// Returns the share.
    pub fn share(&self) -> f32 {
        let wait = self.call_wait.max(self.work_wait);
        let over = (wait - FREE_WAIT) / (FULL_WAIT - FREE_WAIT);

        (1.0 - over).clamp(LOWEST, 1.0)
    }
}

/// The weight of the latest report.
const REPORT_WEIGHT: f32 = 0.25;

/// The time without reports after which the share counts no more.
const REPORT_LIFE: Duration = Duration::from_millis(500);

/// `WorkThrottle` lets a share of new work begin, by what the called services report.
#[derive(Debug)]
pub struct WorkThrottle {
    share: f32,
    reported: LocalMoment,
    credit: f32,
}

impl Default for WorkThrottle {
    fn default() -> Self {
        Self {
            share: 1.0,
            reported: LocalMoment::ZERO,
            credit: 1.0,
        }
    }
}

impl WorkThrottle {
    /// Takes note of the share that a called service reports.
    pub fn report(&mut self, share: f32, now: LocalMoment) {
        self.share += (share - self.share) * REPORT_WEIGHT;
        self.reported = now;
    }

    /// Returns whether the next piece of new work may begin.
    pub fn admit(&mut self, now: LocalMoment) -> bool {
        if now.since(self.reported) > REPORT_LIFE {
            self.share = 1.0;
        }

        self.credit = (self.credit + self.share).min(2.0);
        let enough = self.credit >= 1.0;
        if enough {
            self.credit -= 1.0;
        }

        enough
    }

    /// Returns the share.
    pub fn share(&self) -> f32 {
        self.share
    }
}
