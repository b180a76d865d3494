//! How much new work the callers of a busy service should begin.
//!
//! Work whose calls fail was done in vain. A service whose calls wait, or whose new work at least as
//! urgent as the work that calls it does, therefore asks its callers to begin less.

use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The time between two changes of the share.
const STEP_TIME: Duration = Duration::from_millis(100);

/// The wait, as a share of a request's objective, from which on the request meets a crowd.
const CROWDED_WAIT: f32 = 0.5;

/// The share of the arrivals that may meet a crowd while callers still begin more.
const CROWDED_LIMIT: f32 = 0.3;

/// What the share loses, relatively, in a step in which every arrival meets a crowd.
const FALL: f32 = 0.2;

/// What the share gains in a step without a crowd.
const RISE: f32 = 0.025;

/// The lowest share; some work goes on, by whose calls the state is told.
const LOWEST: f32 = 0.05;

/// `CallPressure` is the share of new work that callers should begin.
#[derive(Debug)]
pub struct CallPressure {
    share: f32,
    stepped: LocalMoment,
    arrivals: f32,
    crowded: f32,
    caller_priority: u32,
}

impl Default for CallPressure {
    fn default() -> Self {
        Self {
            share: 1.0,
            stepped: LocalMoment::ZERO,
            arrivals: 0.0,
            crowded: 0.0,
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

        self.arrivals += 1.0;
        if wait > CROWDED_WAIT * objective.as_secs_f32() {
            self.crowded += 1.0;
        }
    }

    /// Returns the share.
    pub fn share(&mut self, now: LocalMoment) -> f32 {
        if now.since(self.stepped) >= STEP_TIME {
            let crowded = self.crowded / self.arrivals.max(1.0);
            self.share = if crowded > CROWDED_LIMIT {
                (self.share * (1.0 - FALL * crowded)).max(LOWEST)
            } else {
                (self.share + RISE).min(1.0)
            };
            self.stepped = now;
            self.arrivals = 0.0;
            self.crowded = 0.0;
        }

        self.share
    }
}

/// The weight of the latest report.
const REPORT_WEIGHT: f32 = 0.1;

/// The time without reports after which the share counts no more.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);

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
