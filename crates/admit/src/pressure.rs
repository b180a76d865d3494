//! The detection of overloads, in which more work is offered than the slots can do.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The time constant of the moving average of the offered work.
const RATE_WINDOW: Duration = Duration::from_millis(30);

/// The fraction of the capacity of the slots below which the offered work ends an overload.
const RECOVERY_RATIO: f64 = 0.8;

/// `QueuePressure` distinguishes a burst, which the slots can absorb, from an overload, in which a
/// longer queue only delays every response.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct QueuePressure {
    /// How long an overload must last before it counts.
    interval: Duration,
    /// The offered work, as the count of slots that it would keep busy.
    rate: f64,
    /// The moment of the last arrival.
    updated: LocalMoment,
    /// The moment since which more work is offered than the slots can do.
    since: Option<LocalMoment>,
    /// Whether the last arrival found the overload to have lasted long enough to count.
    was_standing: bool,
}

impl QueuePressure {
    /// Creates the state of an idle target.
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            rate: 0.0,
            updated: LocalMoment::ZERO,
            since: None,
            was_standing: false,
        }
    }

    /// Records an arrival, admitted or not, and returns whether an overload begins to count with
    /// it.
    ///
    /// `waiting` tells whether the backlog exceeds that of a standing queue, `slots` how many slots
    /// serve the queue.
    pub fn record(&mut self, now: LocalMoment, cost: Duration, waiting: bool, slots: u32) -> bool {
        let window = RATE_WINDOW.as_secs_f64();
        let age = now.since(self.updated).as_secs_f64();

        self.rate = self.rate * (-age / window).exp() + cost.as_secs_f64() / window;
        self.updated = now;

        let slots = f64::from(slots.max(1));

        if self.rate < slots * RECOVERY_RATIO {
            self.since = None;
        } else if self.since.is_none() && waiting && self.rate > slots {
            self.since = Some(now);
        }

        let begins = !self.was_standing && self.is_standing(now);

        self.was_standing = self.is_standing(now);

        begins
    }

    /// Returns whether an overload has lasted long enough to count.
    pub fn is_standing(&self, now: LocalMoment) -> bool {
        self.since
            .is_some_and(|since| now.since(since) >= self.interval)
    }

    /// Ends an overload, because the queue is empty.
    pub fn record_empty(&mut self) {
        self.since = None;
    }
}
