//! Whether a request that found no room at a target is sent to another one.
//!
//! Pattern: at the crest of a wave almost all targets of a service are full. A request that asks five of them takes
//! processor time of five more VMs from the work that runs there, and is late when it is refused.

use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// `RoomOptions` are the settings of a [`RoomSearch`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RoomOptions {
    /// The weight of the latest request in the moving averages.
    pub average_weight: f32,
    /// The time in which the odds return half of the way to 1 without requests that show them. Targets that were
    /// full have room again when a wave falls.
    pub half_life: Duration,
    /// The round trip of a request without room that is assumed before the first one.
    pub initial_round_trip: Duration,
    /// The least accepted wait: the precision of the expected waits.
    pub min_accepted_wait: Duration,
    /// The share of the rest of its objective that a request may spend until it finds room.
    pub max_search_share: f32,
}

impl Default for RoomOptions {
    fn default() -> Self {
        Self {
            average_weight: 0.1,
            half_life: Duration::from_secs(1),
            initial_round_trip: Duration::from_millis(3),
            min_accepted_wait: Duration::from_millis(2),
            max_search_share: 0.25,
        }
    }
}

/// `RoomSearch` learns how long requests for one service take to find a target with room, after the first target that
/// they asked had none.
#[derive(Debug, Clone, Copy)]
pub struct RoomSearch {
    options: RoomOptions,
    /// The share of further requests to targets that found room, at `updated_at`.
    odds: f32,
    updated_at: LocalMoment,
    /// The mean time from a request to the reply that the target has no room, in seconds.
    round_trip: f32,
}

impl RoomSearch {
    /// Creates a search that expects room at the next target.
    pub fn new(options: RoomOptions) -> Self {
        Self {
            options,
            odds: 1.0,
            updated_at: LocalMoment::ZERO,
            round_trip: options.initial_round_trip.as_secs_f32(),
        }
    }

    /// Records the time from a request to the reply that the target has no room.
    pub fn record_round_trip(&mut self, round_trip: Duration) {
        let latest = round_trip.as_secs_f32();

        self.round_trip += (latest - self.round_trip) * self.options.average_weight;
    }

    /// Records whether a target had room for a request for which an earlier one had none.
    pub fn record_room(&mut self, has_room: bool, now: LocalMoment) {
        let latest = if has_room { 1.0 } else { 0.0 };
        let odds = self.odds(now);

        self.odds = odds + (latest - odds) * self.options.average_weight;
        self.updated_at = now;
    }

    /// Returns the share of further requests to targets that find room, from 0 to 1.
    pub fn odds(&self, now: LocalMoment) -> f32 {
        let half_lives =
            now.since(self.updated_at).as_secs_f32() / self.options.half_life.as_secs_f32();

        1.0 - (1.0 - self.odds) * 0.5_f32.powf(half_lives)
    }

    /// Returns the wait up to which a request is better off in the queue of a full target: the expected time until
    /// another one has room.
    pub fn accepted_wait(&self, now: LocalMoment) -> Duration {
        self.expected_time(now).max(self.options.min_accepted_wait)
    }

    /// Returns whether a request that found no room is sent to another target, as it is expected to find room within
    /// the allowed share of the rest of its objective.
    pub fn is_worthwhile(&self, objective_left: Duration, now: LocalMoment) -> bool {
        self.expected_time(now) <= objective_left.mul_f32(self.options.max_search_share)
    }

    /// Returns the expected time until a target with room is found.
    fn expected_time(&self, now: LocalMoment) -> Duration {
        // The bound keeps the time finite.
        let odds = self.odds(now).max(0.01);

        Duration::from_secs_f32(self.round_trip / odds)
    }
}
