//! Whether a queue stands because more work is offered than the slots can do.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The time constant of the moving average of the offered work.
const RATE_WINDOW: Duration = Duration::from_millis(30);

/// The part of what the slots can do under which the offered work ends an overload.
const CALM_PART: f64 = 0.8;

/// `QueuePressure` tells a burst, which the slots will work off, from an overload, in which a
/// longer queue only delays every answer.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueuePressure {
    /// The time for which an overload must last.
    interval: Duration,
    /// The offered work in slots: seconds of work a second.
    rate: f64,
    /// The moment of the last arrival.
    updated: LocalMoment,
    /// The moment since which more is offered than the slots can do.
    since: Option<LocalMoment>,
    /// Whether the overload was found to have lasted for its interval.
    counted: bool,
}

impl QueuePressure {
    /// Makes the pressure of an idle target.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            rate: 0.0,
            updated: LocalMoment::ZERO,
            since: None,
            counted: false,
        }
    }

    /// Takes in an arrival, admitted or not, and returns whether an overload begins to count.
    ///
    /// `waiting` says that the wait is past its target, `slots` how many slots do the work.
    pub fn record(&mut self, now: LocalMoment, cost: Duration, waiting: bool, slots: u32) -> bool {
        let window = RATE_WINDOW.as_secs_f64();
        let age = now.since(self.updated).as_secs_f64();

        self.rate = self.rate * (-age / window).exp() + cost.as_secs_f64() / window;
        self.updated = now;

        let slots = f64::from(slots.max(1));

        if self.rate < slots * CALM_PART {
            self.since = None;
        } else if self.since.is_none() && waiting && self.rate > slots {
            self.since = Some(now);
        }

        let begins = !self.counted && self.is_standing(now);

        self.counted = self.is_standing(now);

        begins
    }

    /// Returns whether an overload has lasted for its interval.
    pub fn is_standing(&self, now: LocalMoment) -> bool {
        self.since
            .is_some_and(|since| now.since(since) >= self.interval)
    }

    /// Ends an overload, as nothing waits any more.
    pub fn record_empty(&mut self) {
        self.since = None;
    }
}
