//! Whether a target is cold, and how many requests it tolerates meanwhile.
//!
//! A cold target needs protection after it has started, and whenever it states that it warms up. It may
//! have become cold unnoticed while no heartbeat arrives.

use std::time::Duration;
use wagtail_core::{notice::RequestRate, units::LocalMoment};

/// The part of the bound of a second at which a cold target gets requests. The bucket holds as much as
/// it gains in a second, so that no second, wherever it begins, has more than twice this part.
const RATE_SHARE: f64 = 0.45;

/// The lowest bound in requests per second. With a lower one no request would ever be admitted.
const MIN_BOUND: f64 = 1.0;

/// `WarmupOptions` holds the terms on which a target counts as cold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupOptions {
    /// The time without a heartbeat after which the target may have become cold.
    pub silence: Duration,
    /// The factor on the rate that a cold target tolerates, for the most requests in a second.
    pub factor: f64,
    /// The requests in a second on top of that.
    pub slack: f64,
}

impl Default for WarmupOptions {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(1_300),
            factor: 1.0,
            slack: 0.0,
        }
    }
}

impl WarmupOptions {
    /// Creates options for a target whose heartbeats come at `interval`. One that is late by half of it
    /// is missing.
    #[must_use]
    pub fn with_interval(interval: Duration) -> Self {
        Self {
            silence: interval * 3 / 2,
            ..Self::default()
        }
    }

    /// Returns the rate at which a cold target that tolerates `cold_rate` gets requests.
    pub fn rate(&self, cold_rate: RequestRate) -> Option<RequestRate> {
        let bound = cold_rate.per_second() * self.factor + self.slack;

        RequestRate::new(bound.max(MIN_BOUND) * RATE_SHARE)
    }
}

/// `TargetWarmth` states whether a target is cold, and for which reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetWarmth {
    /// The target has warmed up.
    Warm,
    /// The target states that it warms up.
    WarmingUp,
    /// No heartbeat has arrived for a while, or none at all.
    Silent,
}

impl TargetWarmth {
    /// Returns the name for log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Warm => "warm",
            Self::WarmingUp => "warming-up",
            Self::Silent => "no-heartbeat",
        }
    }
}

/// `WarmupTracker` follows whether a target is cold.
#[derive(Debug)]
pub struct WarmupTracker {
    options: WarmupOptions,
    cold_rate: Option<RequestRate>,
    heard_at: Option<LocalMoment>,
    /// When the target has warmed up, as its last heartbeat states.
    warm_at: LocalMoment,
}

impl WarmupTracker {
    /// Creates a tracker of a target that has sent no heartbeat and whose service states no cold rate.
    pub fn new(options: WarmupOptions) -> Self {
        Self {
            options,
            cold_rate: None,
            heard_at: None,
            warm_at: LocalMoment::ZERO,
        }
    }

    /// Sets the rate that a cold target of the service tolerates; with `None` it counts as warm.
    pub fn set_cold_rate(&mut self, cold_rate: Option<RequestRate>) {
        self.cold_rate = cold_rate;
    }

    /// Records a heartbeat, which states the time until the target has warmed up.
    pub fn heard(&mut self, warm_up_left: Duration, now: LocalMoment) {
        self.heard_at = Some(now);
        self.warm_at = now + warm_up_left;
    }

    /// Returns whether the target is cold, and why.
    pub fn warmth(&self, now: LocalMoment) -> TargetWarmth {
        if self.cold_rate.is_none() {
            return TargetWarmth::Warm;
        }

        match self.heard_at {
            Some(_) if now < self.warm_at => TargetWarmth::WarmingUp,
            Some(at) if now.since(at) <= self.options.silence => TargetWarmth::Warm,
            _ => TargetWarmth::Silent,
        }
    }

    /// Returns for how long the target stays cold, as far as it states that.
    pub fn cold_left(&self, now: LocalMoment) -> Duration {
        match self.warmth(now) {
            TargetWarmth::WarmingUp => self.warm_at.since(now),
            TargetWarmth::Warm | TargetWarmth::Silent => Duration::ZERO,
        }
    }

    /// Returns the rate at which the target gets requests while it is cold, or `None` if it is warm.
    pub fn limit(&self, now: LocalMoment) -> Option<RequestRate> {
        if self.warmth(now) == TargetWarmth::Warm {
            return None;
        }

        self.options.rate(self.cold_rate?)
    }
}
