//! The limits on the rate of requests to one target: the one that it names, and the one while it is cold.

use crate::{
    limit::{LimitOptions, LimitedArrival, RateLimiter},
    warmup::{TargetWarmth, WarmupOptions, WarmupTracker},
};
use std::time::Duration;
use wagtail_core::{notice::RequestRate, units::LocalMoment};

/// `TargetLimits` decides which requests the limits of a target admit. Each request that starts counts
/// against both, and the lower one decides when a refused caller may return.
#[derive(Debug)]
pub struct TargetLimits {
    stated: RateLimiter,
    cold: RateLimiter,
    warmup: WarmupTracker,
}

impl TargetLimits {
    /// Creates limits of which none is in force until a service states the rate of cold targets, or the
    /// target a limit.
    pub fn new(stated: LimitOptions, warmup: WarmupOptions) -> Self {
        Self {
            stated: RateLimiter::new(stated),
            cold: RateLimiter::new(LimitOptions::for_cold_targets(stated)),
            warmup: WarmupTracker::new(warmup),
        }
    }

    /// Returns the limit that the target names.
    pub fn stated(&self) -> Option<RequestRate> {
        self.stated.limit()
    }

    /// Replaces the limit that the target names.
    pub fn set_stated(&mut self, limit: Option<RequestRate>, now: LocalMoment) {
        self.refresh(now);
        self.stated.set_limit(limit, now);
    }

    /// Sets the rate that a cold target tolerates, `None` if it needs no protection.
    pub fn set_cold_rate(&mut self, cold_rate: Option<RequestRate>, now: LocalMoment) {
        self.refresh(now);
        self.warmup.set_cold_rate(cold_rate);
        self.refresh(now);
    }

    /// Records a heartbeat, which states the time until the target has warmed up.
    pub fn heard(&mut self, warm_up_left: Duration, now: LocalMoment) {
        self.refresh(now);
        self.warmup.heard(warm_up_left, now);
        self.refresh(now);
    }

    /// Records that the process of the target has ended, so that the requests which it got do not count
    /// against the next one.
    pub fn target_ended(&mut self, now: LocalMoment) {
        self.cold.reset(now);
    }

    /// Returns whether the target is cold, and why.
    pub fn warmth(&self, now: LocalMoment) -> TargetWarmth {
        self.warmup.warmth(now)
    }

    /// Returns for how long the target stays cold, as far as it states that.
    pub fn cold_left(&self, now: LocalMoment) -> Duration {
        self.warmup.cold_left(now)
    }

    /// Returns the limit while the target is cold, `None` if it is warm.
    pub fn cold_limit(&self, now: LocalMoment) -> Option<RequestRate> {
        self.warmup.limit(now)
    }

    /// Returns the limit in force: the lower one.
    pub fn in_force(&self, now: LocalMoment) -> Option<RequestRate> {
        match (self.stated.limit(), self.cold_limit(now)) {
            (Some(stated), Some(cold)) if cold < stated => Some(cold),
            (Some(stated), _) => Some(stated),
            (None, cold) => cold,
        }
    }

    /// Decides on a request while `queued` admitted ones have not started yet.
    ///
    /// # Errors
    ///
    /// Returns the time after which a token is expected if the request is not admitted.
    pub fn admit(
        &mut self,
        arrival: LimitedArrival,
        queued: usize,
        now: LocalMoment,
    ) -> Result<(), Duration> {
        self.refresh(now);
        let (lower, higher) = self.ordered();

        // A token that is reserved at the lower limit must not be lost to the higher one.
        let other_wait = higher.expected_wait(arrival.is_call, now);
        if !other_wait.is_zero() {
            return Err(other_wait.max(lower.expected_wait(arrival.is_call, now)));
        }
        lower.admit(arrival, queued, now)
    }

    /// Returns the time until a request without a reservation is expected to be admitted.
    pub fn expected_wait(&mut self, is_call: bool, now: LocalMoment) -> Duration {
        self.refresh(now);
        let stated = self.stated.expected_wait(is_call, now);

        stated.max(self.cold.expected_wait(is_call, now))
    }

    /// Takes the tokens of a request that is about to start. Returns `false` if there is none.
    pub fn take(&mut self, now: LocalMoment) -> bool {
        self.refresh(now);
        if !self.stated.has_token(now) || !self.cold.has_token(now) {
            return false;
        }

        self.stated.take(now) && self.cold.take(now)
    }

    /// Puts the cold limit in force or lifts it, as time has passed since the last heartbeat.
    fn refresh(&mut self, now: LocalMoment) {
        self.cold.set_limit(self.warmup.limit(now), now);
    }

    /// Returns the limiter with the lower limit, and the other one.
    fn ordered(&mut self) -> (&mut RateLimiter, &mut RateLimiter) {
        let is_cold_lower = match (self.cold.limit(), self.stated.limit()) {
            (Some(cold), Some(stated)) => cold < stated,
            (Some(_), None) => true,
            (None, _) => false,
        };

        if is_cold_lower {
            (&mut self.cold, &mut self.stated)
        } else {
            (&mut self.stated, &mut self.cold)
        }
    }
}
