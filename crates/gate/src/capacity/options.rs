//! How the limit of a target is learned.

use std::time::Duration;

/// `CapacityOptions` sets how the limit of a target is learned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityOptions {
    /// Whether a limit is learned; otherwise all slots are used.
    pub is_enabled: bool,
    /// The share by which the throughput of a lower level may be below that of a higher one.
    pub tolerance: f64,
    /// The lowest limit, as a share of the slots.
    pub min_share: f32,
    /// The lowest limit, in requests.
    pub min_slots: u32,
    /// The half-life of what is known about the level of the limit.
    pub half_life: Duration,
    /// The number of requests at the limit that a trial is compared with, at least.
    pub base_runs: f64,
    /// The number of requests at the limit that have to confirm the result of a trial.
    pub confirming_runs: f64,
    /// The number of requests in a trial from which it is judged even if its result is not clear.
    pub trial_runs: f64,
    /// The number of requests after which a trial ends early if its result is clear.
    pub clear_runs: f64,
    /// The same at the next lower level, whose throughput differs little: with 4 requests, a trial was
    /// wrong in one of three seeds where classes differ in length by a factor of 30.
    pub near_runs: f64,
    /// The longest duration of a trial from the time at which its level is reached.
    pub max_trial: Duration,
    /// The longest time until the level of a trial is reached.
    pub max_approach: Duration,
    /// The time between trials of a higher level.
    pub raise_interval: Duration,
    /// The shortest and the longest time between trials of a lower level. It doubles with each trial
    /// that fails, because a trial costs throughput at a target that does not slow down.
    pub lower_intervals: (Duration, Duration),
    /// The shortest and the longest time between trials that start because service times have changed.
    /// It doubles each time: a VM that does not state its pace changes all the time.
    pub shift_intervals: (Duration, Duration),
    /// The time without waiting requests after which the limit returns to the slots.
    pub idle_time: Duration,
}

impl Default for CapacityOptions {
    fn default() -> Self {
        Self {
            is_enabled: true,
            tolerance: 0.03,
            min_share: 1.0 / 3.0,
            min_slots: 2,
            half_life: Duration::from_secs(3),
            base_runs: 5.0,
            confirming_runs: 4.0,
            trial_runs: 24.0,
            clear_runs: 4.0,
            near_runs: 12.0,
            max_trial: Duration::from_secs(2),
            max_approach: Duration::from_secs(5),
            raise_interval: Duration::from_millis(1_500),
            lower_intervals: (Duration::from_secs(1), Duration::from_mins(1)),
            shift_intervals: (Duration::from_secs(1), Duration::from_secs(16)),
            idle_time: Duration::from_secs(30),
        }
    }
}
