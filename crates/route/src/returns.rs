//! When a refused caller should return.
//!
//! Pattern: an overload of seconds at a service whose requests are refused by their expected wait. Those that
//! return after that wait meet the same queue, are refused again, and are late in any case by then.

use std::time::Duration;

/// `ReturnOptions` holds the limits of the pause that a refused caller is asked for.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReturnOptions {
    /// The share of the time left within which a pause is of use; callers wait no longer than this.
    pub max_share: f64,
    /// The bounds of the random factor on the expected wait, which spreads callers that were refused
    /// together.
    pub spread: (f64, f64),
}

impl Default for ReturnOptions {
    fn default() -> Self {
        Self {
            max_share: 1.0 / 3.0,
            spread: (0.8, 1.6),
        }
    }
}

impl ReturnOptions {
    /// Returns a wait with the random factor that spreads callers, for a number `drawn` from 0 to 1.
    pub fn spread(&self, wait: Duration, drawn: f64) -> Duration {
        let (low, high) = self.spread;

        wait.mul_f64(low + (high - low) * drawn)
    }
}

/// `RefusedRequest` describes a request that was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RefusedRequest {
    /// The expected wait for room at the target that refused it.
    pub expected_wait: Duration,
    /// The expected time for which the target works on it.
    pub service_time: Duration,
    /// The part of its objective that is left.
    pub objective_left: Duration,
    /// The time until the deadline of its caller.
    pub time_left: Duration,
}

impl RefusedRequest {
    /// Returns whether it can be in time if it returns after the expected wait and then waits as long
    /// again.
    pub fn may_be_in_time(&self) -> bool {
        self.expected_wait * 2 + self.service_time <= self.objective_left
    }

    /// Returns the pause that its caller is asked for. `drawn` is a random number from 0 to 1.
    ///
    /// A request that may still be in time returns after the expected wait. For any other one it does not
    /// matter when it is served, so it returns as late as its caller waits: the overload is more likely to
    /// be over by then.
    pub fn pause(&self, options: &ReturnOptions, drawn: f64) -> Duration {
        if self.may_be_in_time() {
            return options.spread(self.expected_wait, drawn);
        }
        let latest = self.time_left.mul_f64(options.max_share);

        // Earlier by up to a quarter, so that callers who were refused together do not return together.
        latest.mul_f64(1.0 - drawn / 4.0)
    }
}
