//! A rate limit on moves.

use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// `MoveBudget` is a token bucket that allows a burst of moves and then one per period.
#[derive(Debug, Clone)]
pub struct MoveBudget {
    capacity: u32,
    period: Duration,
    available: u32,
    refilled_at: LocalMoment,
}

impl MoveBudget {
    /// Creates a full budget of `capacity` moves that regains one move per `period`.
    pub fn new(now: LocalMoment, capacity: u32, period: Duration) -> Self {
        Self {
            capacity,
            period,
            available: capacity,
            refilled_at: now,
        }
    }

    /// Spends one move and returns whether one was available.
    pub fn try_spend(&mut self, now: LocalMoment) -> bool {
        self.refill(now);

        let allowed = self.available > 0;
        self.available = self.available.saturating_sub(1);

        allowed
    }

    /// Adds one move for each period since the last refill. A full budget begins a new period only
    /// when a move is taken from it.
    fn refill(&mut self, now: LocalMoment) {
        let period = self.period.max(Duration::from_micros(1));

        while self.available < self.capacity && now.since(self.refilled_at) >= period {
            self.available += 1;
            self.refilled_at = self.refilled_at + period;
        }

        if self.available == self.capacity {
            self.refilled_at = now;
        }
    }
}
