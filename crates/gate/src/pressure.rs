//! Backpressure: how much new work the callers of an overloaded service should start.
//!
//! Work whose calls fail is wasted. A service therefore asks its callers to start less new work if
//! the calls to it wait too long, or if its own new work does that is at least as urgent as the
//! work that calls it.

use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The weight of the latest wait of a call in the moving average.
const CALL_AVERAGE_WEIGHT: f32 = 0.06;

/// The weight of the latest wait of new work in the moving average; higher than
/// [`CALL_AVERAGE_WEIGHT`] because there is less new work than calls.
const WORK_AVERAGE_WEIGHT: f32 = 0.12;

/// The share of its objective that new work may wait; a call may wait its full objective.
const WORK_WAIT_SHARE: f32 = 0.4;

/// The mean wait up to which callers start all new work, relative to the allowed wait.
const UNTHROTTLED_WAIT: f32 = 0.6;

/// The mean wait from which callers start only [`MIN_SHARE`] of their new work, relative to the
/// allowed wait.
const FULLY_THROTTLED_WAIT: f32 = 2.0;

/// The lowest share of new work. It is not zero because callers learn of the service's state only
/// through the calls that they still make.
const MIN_SHARE: f32 = 0.1;

/// `CallPressure` computes the share of new work that the callers of this service should start.
#[derive(Debug)]
pub struct CallPressure {
    /// The mean expected wait of calls, as a share of their objective.
    call_wait: f32,
    /// The mean expected wait of new work that is at least as urgent as the callers' work, as a
    /// share of the wait that [`WORK_WAIT_SHARE`] allows.
    work_wait: f32,
    /// The priority of the work that called last; `u32::MAX`, the least urgent, before any call.
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
    /// Records the priority of work that has just called this service.
    pub fn called(&mut self, caller_priority: u32) {
        self.caller_priority = caller_priority;
    }

    /// Records an arrival and its expected wait in seconds. New work that is less urgent than the
    /// work that calls this service is ignored.
    pub fn arrived(&mut self, is_call: bool, priority: u32, wait: f32, objective: Duration) {
        if !is_call && priority > self.caller_priority {
            return;
        }

        let objective = objective.as_secs_f32().max(0.001);
        let (mean, allowed_wait, weight) = if is_call {
            (&mut self.call_wait, objective, CALL_AVERAGE_WEIGHT)
        } else {
            (
                &mut self.work_wait,
                objective * WORK_WAIT_SHARE,
                WORK_AVERAGE_WEIGHT,
            )
        };
        let relative = (wait / allowed_wait).min(FULLY_THROTTLED_WAIT * 2.0);
        *mean += (relative - *mean) * weight;
    }

    /// Returns the share of new work that callers should start, from `MIN_SHARE` to 1.
    pub fn share(&self) -> f32 {
        let wait = self.call_wait.max(self.work_wait);
        let excess = (wait - UNTHROTTLED_WAIT) / (FULLY_THROTTLED_WAIT - UNTHROTTLED_WAIT);

        (1.0 - excess).clamp(MIN_SHARE, 1.0)
    }
}

/// The weight of the latest report in the moving average.
const REPORT_AVERAGE_WEIGHT: f32 = 0.25;

/// The time without reports after which all new work may start again.
const MAX_REPORT_AGE: Duration = Duration::from_millis(500);

/// `WorkThrottle` admits the share of new work that the called services report.
#[derive(Debug)]
pub struct WorkThrottle {
    share: f32,
    reported_at: LocalMoment,
    credit: f32,
}

impl Default for WorkThrottle {
    fn default() -> Self {
        Self {
            share: 1.0,
            reported_at: LocalMoment::ZERO,
            credit: 1.0,
        }
    }
}

impl WorkThrottle {
    /// Records the share of new work that a called service asks for, from 0 to 1.
    pub fn report(&mut self, share: f32, now: LocalMoment) {
        self.share += (share - self.share) * REPORT_AVERAGE_WEIGHT;
        self.reported_at = now;
    }

    /// Returns whether the next request of new work may start. Each request adds the share to a
    /// credit of at most 2, and an admitted one takes 1 from it.
    pub fn admit(&mut self, now: LocalMoment) -> bool {
        if now.since(self.reported_at) > MAX_REPORT_AGE {
            self.share = 1.0;
        }

        self.credit = (self.credit + self.share).min(2.0);
        let is_admitted = self.credit >= 1.0;
        if is_admitted {
            self.credit -= 1.0;
        }

        is_admitted
    }

    /// Returns the share of new work that is admitted at present, from 0 to 1.
    pub fn share(&self) -> f32 {
        self.share
    }
}
