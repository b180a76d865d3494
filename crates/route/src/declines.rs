//! How long a request may wait at a full target before it is better sent to another one.
//!
//! Pattern: calls of 20 to 60 ms to targets whose slots are all taken for some milliseconds, over links that
//! are busy themselves. To ask another target costs a round trip, and the target that is asked next may be
//! full as well.

use std::time::Duration;

/// The weight of the latest round trip in the moving average.
const AVERAGE_WEIGHT: f32 = 0.1;

/// The round trip that is assumed before the first one was measured.
const INITIAL_ROUND_TRIP: Duration = Duration::from_millis(3);

/// The bounds of the accepted wait.
const MIN_ACCEPTED_WAIT: Duration = Duration::from_millis(2);
const MAX_ACCEPTED_WAIT: Duration = Duration::from_millis(60);

/// `DeclineTimes` measures what it costs to be declined by a target.
#[derive(Debug, Clone, Copy)]
pub struct DeclineTimes {
    /// The mean round trip of declined requests, in seconds.
    mean: f32,
}

impl Default for DeclineTimes {
    fn default() -> Self {
        Self {
            mean: INITIAL_ROUND_TRIP.as_secs_f32(),
        }
    }
}

impl DeclineTimes {
    /// Records the time from a request to the reply that declines it.
    pub fn record(&mut self, round_trip: Duration) {
        self.mean += (round_trip.as_secs_f32() - self.mean) * AVERAGE_WEIGHT;
    }

    /// Returns the wait up to which a request is better off in the queue of a full target: twice the mean
    /// round trip, as the next target may be full as well.
    pub fn accepted_wait(&self) -> Duration {
        Duration::from_secs_f32(self.mean * 2.0).clamp(MIN_ACCEPTED_WAIT, MAX_ACCEPTED_WAIT)
    }
}
