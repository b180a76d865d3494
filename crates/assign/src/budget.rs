//! The budget of moves over time.

use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// `MoveBudget` allows a burst of moves and then one a period.
#[derive(Debug, Clone)]
pub struct MoveBudget {
    most: u32,
    period: Duration,
    left: u32,
    filled: LocalMoment,
}

impl MoveBudget {
    /// Makes a full budget.
    pub fn new(now: LocalMoment, most: u32, period: Duration) -> Self {
        Self {
            most,
            period,
            left: most,
            filled: now,
        }
    }

    /// Takes one move off the budget, if one is left.
    pub fn spend(&mut self, now: LocalMoment) -> bool {
        self.refill(now);

        let allowed = self.left > 0;
        self.left = self.left.saturating_sub(1);

        allowed
    }

    /// Adds the moves of the periods that have passed.
    fn refill(&mut self, now: LocalMoment) {
        let period = self.period.max(Duration::from_micros(1));

        while self.left < self.most && now.since(self.filled) >= period {
            self.left += 1;
            self.filled = self.filled + period;
        }

        if self.left == self.most {
            self.filled = now;
        }
    }
}
