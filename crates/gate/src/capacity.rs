//! How many requests a target handles well at a time.
//!
//! Under load the target always runs as many requests as it may, so the throughput at other levels
//! is not seen. The estimator therefore runs short trials at another level while requests wait, and
//! compares the rate of work per running request at both levels over the same seconds.

use crate::trial::{LevelComparison, RunMark};
use std::{collections::HashMap, sync::Arc, time::Duration};
use wagtail_core::units::LocalMoment;

/// The maximum number of classes with their own mean service time; further ones are not measured.
const MAX_CLASSES: usize = 256;

/// The weight of the latest service time in the mean of its class, once that has settled.
const REFERENCE_WEIGHT: f64 = 0.02;

/// The weight of the latest request in the recent slowness. It reaches [`SHIFT_FACTOR`] at the
/// second request after service times have tripled.
const SLOWNESS_WEIGHT: f64 = 0.12;

/// The factor between the recent and the usual slowness from which the target has changed. Service
/// times with a deviation of 0.3 stay below it by more than four deviations of the recent slowness.
const SHIFT_FACTOR: f64 = 1.4;

/// The share of a run at which the slots were not all taken, above which it is not counted: at light
/// load a slow phase raises the level, and not the level the service time.
const MAX_IDLE_SHARE: f64 = 0.25;

/// The throughput of a trial, as a share of that at the limit, below which the trial ends early.
const CLEAR_FACTOR: f64 = 0.8;

/// `CapacityOptions` sets how the limit of a target is learned.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityOptions {
    /// The share by which the throughput of a lower level may be below that of a higher one.
    pub tolerance: f64,
    /// The lowest limit, as a share of the slots.
    pub min_share: f32,
    /// The lowest limit, in requests.
    pub min_slots: u32,
    /// The half-life of what is known about the level of the limit.
    pub half_life: Duration,
    /// The number of requests that a trial needs.
    pub trial_runs: f64,
    /// The number of requests after which a trial ends early if its result is clear.
    pub clear_runs: f64,
    /// The longest duration of a trial.
    pub max_trial: Duration,
    /// The time between trials of a higher level.
    pub raise_interval: Duration,
    /// The shortest and the longest time between trials of a lower level. It doubles with each trial
    /// that fails, because a trial costs throughput at a target that does not slow down.
    pub lower_intervals: (Duration, Duration),
    /// The time without waiting requests after which the limit returns to the slots.
    pub idle_time: Duration,
}

impl Default for CapacityOptions {
    fn default() -> Self {
        Self {
            tolerance: 0.03,
            min_share: 1.0 / 3.0,
            min_slots: 2,
            half_life: Duration::from_secs(3),
            trial_runs: 8.0,
            clear_runs: 3.0,
            max_trial: Duration::from_secs(1),
            raise_interval: Duration::from_millis(1_500),
            lower_intervals: (Duration::from_secs(3), Duration::from_secs(24)),
            idle_time: Duration::from_secs(30),
        }
    }
}

/// `LevelThroughput` is the throughput of a target while it runs a number of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LevelThroughput {
    /// The number of running requests.
    pub level: u32,
    /// The requests of mean service time that the target completes in the time that one takes.
    pub throughput: f64,
}

/// `CapacityChange` is a change of the limit and the comparison that led to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapacityChange {
    /// The new limit, in requests.
    pub limit: u32,
    /// The number of slots that the target states.
    pub slots: u32,
    /// The throughput at the previous limit.
    pub before: LevelThroughput,
    /// The throughput at the new limit.
    pub after: LevelThroughput,
}

/// `TargetLevel` is what a target does at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TargetLevel {
    /// The number of running requests.
    pub running: u32,
    /// Whether requests wait.
    pub has_waiting: bool,
    /// The time, for the intervals between trials.
    pub now: LocalMoment,
    /// The seconds of work at normal pace until now.
    pub worked: f64,
}

/// `ClassReference` is the mean service time of a class, in seconds at normal pace.
#[derive(Debug, Clone, Copy)]
struct ClassReference {
    mean: f64,
    weight: f64,
}

/// `CapacityEstimator` learns how many requests a target handles well.
#[derive(Debug)]
pub struct CapacityEstimator {
    options: CapacityOptions,
    slots: u32,
    limit: u32,
    references: HashMap<Arc<str>, ClassReference>,
    comparison: LevelComparison,
    /// The start of the present trial.
    trial_start: Option<LocalMoment>,
    /// The latest requests at the limit: their service time as a multiple of their class's mean.
    recent_slowness: f64,
    raise_at: LocalMoment,
    lower_at: LocalMoment,
    lower_interval: Duration,
    /// Whether the next higher level to try is the number of slots, instead of the next one.
    tries_all_slots: bool,
    last: TargetLevel,
    pressed_at: LocalMoment,
    change: Option<CapacityChange>,
}

impl CapacityEstimator {
    /// Creates an estimator without slots.
    pub fn new(options: CapacityOptions) -> Self {
        Self {
            options,
            slots: 0,
            limit: 0,
            references: HashMap::new(),
            comparison: LevelComparison::default(),
            trial_start: None,
            recent_slowness: 1.0,
            raise_at: LocalMoment::ZERO,
            lower_at: LocalMoment::ZERO,
            lower_interval: options.lower_intervals.0,
            tries_all_slots: true,
            last: TargetLevel {
                running: 0,
                has_waiting: false,
                now: LocalMoment::ZERO,
                worked: 0.0,
            },
            pressed_at: LocalMoment::ZERO,
            change: None,
        }
    }

    /// Sets the number of slots that the target states. If it differs, the limit starts there.
    pub fn set_slots(&mut self, slots: u32) {
        if slots != self.slots {
            self.slots = slots;
            self.restart();
        }
    }

    /// Returns the limit: how many requests the target handles well.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns how many requests may run now: the limit, or the level of a trial.
    pub fn admitted(&self) -> u32 {
        if self.trial_start.is_some() {
            self.comparison.trial_level()
        } else {
            self.limit
        }
    }

    /// Takes the latest change of the limit, for the log.
    pub fn take_change(&mut self) -> Option<CapacityChange> {
        self.change.take()
    }

    /// Records how many requests run and wait from now on, and starts or ends trials.
    pub fn observe(&mut self, level: TargetLevel) {
        self.advance(level.worked);
        self.last = level;
        if level.has_waiting {
            self.pressed_at = level.now;
        } else if level.now.since(self.pressed_at) > self.options.idle_time
            && self.limit < self.slots
        {
            self.restart();
        }

        if let Some(trial_start) = self.trial_start {
            self.judge_trial(level.now.since(trial_start));
        } else if level.has_waiting && self.comparison.base.runs >= self.options.trial_runs {
            self.plan_trial(level.now);
        }
    }

    /// Returns the mark of a request that starts now.
    pub fn started(&self) -> RunMark {
        self.comparison.mark()
    }

    /// Records the end of a request that the target executed. Its class and its mark identify the
    /// work and the levels at which it ran.
    pub fn ended(&mut self, class: &Arc<str>, mark: RunMark, level: TargetLevel) {
        self.advance(level.worked);
        let fade =
            level.now.since(self.last.now).as_secs_f64() / self.options.half_life.as_secs_f64();
        self.comparison.base.fade(0.5_f64.powf(fade));
        self.last.now = level.now;

        let Some(run) = self.comparison.run_since(mark) else {
            return;
        };
        let Some(reference) = self.reference(class, run.total()) else {
            return;
        };
        if reference <= 0.0 || run.idle > MAX_IDLE_SHARE * run.total() {
            return;
        }

        self.comparison.count(&run, reference);
        if run.trial <= MAX_IDLE_SHARE * run.total() {
            let slowness = run.total() / reference;
            self.recent_slowness += (slowness - self.recent_slowness) * SLOWNESS_WEIGHT;
            self.check_shift(level.now);
        }
    }

    /// Adds the time since the last event to the level of that time.
    fn advance(&mut self, worked: f64) {
        let elapsed = (worked - self.last.worked).max(0.0);
        self.last.worked = worked;
        let is_pressed = self.last.running >= self.admitted();

        self.comparison
            .advance(self.limit, self.last.running, is_pressed, elapsed);
    }

    /// Returns the mean service time of a class in seconds, after adding that of a request to it.
    fn reference(&mut self, class: &Arc<str>, seconds: f64) -> Option<f64> {
        if let Some(reference) = self.references.get_mut(class) {
            reference.mean += (seconds - reference.mean) * reference.weight;
            reference.weight = (reference.weight / (1.0 + reference.weight)).max(REFERENCE_WEIGHT);
            return Some(reference.mean);
        }
        if self.references.len() >= MAX_CLASSES {
            return None;
        }
        let reference = ClassReference {
            mean: seconds,
            weight: 0.5,
        };
        self.references.insert(Arc::clone(class), reference);

        Some(seconds)
    }

    /// Discards what is known about the present limit if the target has become slower or faster
    /// there, and lets trials start at once.
    fn check_shift(&mut self, now: LocalMoment) {
        let base = &self.comparison.base;
        if base.runs < self.options.trial_runs {
            self.recent_slowness = base.slowness();
            return;
        }
        let shift = self.recent_slowness / base.slowness();
        if (1.0 / SHIFT_FACTOR..SHIFT_FACTOR).contains(&shift) {
            return;
        }

        self.comparison.forget_base();
        self.trial_start = None;
        self.raise_at = now;
        self.lower_at = now;
        self.lower_interval = self.options.lower_intervals.0;
    }

    /// Starts a trial of a higher or a lower level if one is due.
    fn plan_trial(&mut self, now: LocalMoment) {
        let level = if self.limit < self.slots && now >= self.raise_at {
            let tries_all_slots = self.tries_all_slots;
            self.tries_all_slots = !tries_all_slots;
            if tries_all_slots {
                self.slots
            } else {
                self.limit + 1
            }
        } else if self.limit > self.min_limit() && now >= self.lower_at {
            (self.limit * 2 / 3).max(self.min_limit())
        } else {
            return;
        };

        self.comparison.begin_trial(level);
        self.trial_start = Some(now);
    }

    /// Ends the present trial if its result is clear or its time is over.
    fn judge_trial(&mut self, elapsed: Duration) {
        let is_over = elapsed >= self.options.max_trial;
        let (base_level, level) = (self.limit, self.comparison.trial_level());
        let runs = self.comparison.trial.runs;
        let Some(rates) = self
            .comparison
            .rates()
            .filter(|_| runs >= self.options.clear_runs)
        else {
            if is_over {
                self.reject_trial(false);
            }
            return;
        };

        let before = LevelThroughput {
            level: base_level,
            throughput: f64::from(base_level) * rates.base,
        };
        let after = LevelThroughput {
            level,
            throughput: f64::from(level) * rates.trial,
        };
        let is_clear = after.throughput < CLEAR_FACTOR * before.throughput;
        if !(is_over || is_clear || runs >= self.options.trial_runs) {
            return;
        }

        let least = 1.0 - self.options.tolerance;
        let is_better = if level < base_level {
            after.throughput >= least * before.throughput
        } else {
            after.throughput * least > before.throughput
        };
        if !is_better {
            self.reject_trial(true);
            return;
        }
        self.accept_trial(before, after);
    }

    /// Makes the level of the trial the limit.
    fn accept_trial(&mut self, before: LevelThroughput, after: LevelThroughput) {
        let now = self.last.now;
        self.trial_start = None;
        self.limit = after.level;
        self.comparison.adopt_trial();
        self.recent_slowness = self.comparison.base.slowness();
        self.lower_interval = self.options.lower_intervals.0;
        self.raise_at = now + self.options.raise_interval;
        self.lower_at = if after.level < before.level {
            now
        } else {
            now + self.lower_interval
        };
        self.change = Some(CapacityChange {
            limit: self.limit,
            slots: self.slots,
            before,
            after,
        });
    }

    /// Ends a trial and keeps the limit. `is_known` says whether the trial had enough requests.
    fn reject_trial(&mut self, is_known: bool) {
        let now = self.last.now;
        self.trial_start = None;

        if self.comparison.trial_level() > self.limit {
            self.raise_at = now + self.options.raise_interval;
            return;
        }
        self.lower_at = now + self.lower_interval;
        if is_known {
            let (_, longest) = self.options.lower_intervals;
            self.lower_interval = (self.lower_interval * 2).min(longest);
        }
    }

    /// Returns the limit to the slots and discards what is known about levels.
    fn restart(&mut self) {
        self.limit = self.slots;
        self.comparison.forget();
        self.trial_start = None;
        self.recent_slowness = 1.0;
        self.raise_at = self.last.now;
        self.lower_at = self.last.now;
        self.lower_interval = self.options.lower_intervals.0;
    }

    /// Returns the lowest limit.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a small number of slots"
    )]
    fn min_limit(&self) -> u32 {
        let slots = f32::from(u16::try_from(self.slots).unwrap_or(u16::MAX));
        let share = (slots * self.options.min_share).ceil() as u32;

        share.max(self.options.min_slots).min(self.slots)
    }
}
