//! How many requests a target handles well at a time.
//!
//! Under load the target always runs as many requests as it may, so the throughput at other levels
//! is not seen. The estimator therefore runs short trials at another level while requests wait, and
//! compares the rate of work per running request at both levels over the same seconds.
//!
//! - [`options`]: how the limit is learned.
//! - [`trial`]: compares the rates of work at two levels.

pub mod options;
pub mod trial;

pub use options::CapacityOptions;

use crate::estimate::ClassMeans;
use std::{sync::Arc, time::Duration};
use trial::{LevelComparison, RunGroup, RunMark};
use wagtail_core::units::LocalMoment;

/// The weight of the latest request in the recent slowness. It reaches [`SHIFT_FACTOR`] at the
/// fourth request after service times have tripled.
const SLOWNESS_WEIGHT: f64 = 0.06;

/// The factor between the recent and the usual slowness from which the target has changed. Service
/// times with a deviation of 0.3 stay below it by more than four deviations of the recent slowness.
const SHIFT_FACTOR: f64 = 1.4;

/// The share of a run at which the slots were not all taken, above which it is not counted: at light
/// load a slow phase raises the level, and not the level the service time.
const MAX_IDLE_SHARE: f64 = 0.25;

/// The number of standard deviations from the needed throughput at which a trial ends early.
const CLEAR_DEVIATIONS: f64 = 1.7;

/// One in this many trials of a higher level is of the next one; the others are of twice the limit.
const NEAR_RAISES: u32 = 3;

/// The factor by which a clear result against a lower level lengthens the interval to the next trial.
/// A target that changes later is noticed by its service times.
const CLEAR_BACKOFF: u32 = 24;

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

/// `TrialStage` is the progress of the latest trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TrialStage {
    /// No trial has begun, or the latest one has a result.
    Idle,
    /// A trial has begun at this time; its level is not reached yet.
    Approaching(LocalMoment),
    /// The level of the trial was reached at this time.
    Reached(LocalMoment),
    /// The trial of a lower level has won, and requests run at the limit again since this time, to
    /// exclude that the whole target has become faster meanwhile.
    Confirming(LocalMoment),
    /// The trial has ended without a result. Requests that ran in it may still yield one.
    Open,
}

impl TrialStage {
    /// Returns whether a trial is under way.
    const fn is_running(self) -> bool {
        matches!(self, Self::Approaching(_) | Self::Reached(_))
    }
}

/// `CapacityEstimator` learns how many requests a target handles well.
#[derive(Debug)]
pub struct CapacityEstimator {
    options: CapacityOptions,
    slots: u32,
    limit: u32,
    references: ClassMeans,
    comparison: LevelComparison,
    stage: TrialStage,
    /// The latest requests at the limit: their service time as a multiple of their class's mean.
    recent_slowness: f64,
    raise_at: LocalMoment,
    lower_at: LocalMoment,
    lower_interval: Duration,
    shifted_at: LocalMoment,
    shift_interval: Duration,
    /// The trials of a higher level, up to [`NEAR_RAISES`].
    raises: u32,
    /// Whether the next lower level to try is half the limit, instead of the next one.
    tries_half: bool,
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
            references: ClassMeans::default(),
            comparison: LevelComparison::default(),
            stage: TrialStage::Idle,
            recent_slowness: 1.0,
            raise_at: LocalMoment::ZERO,
            lower_at: LocalMoment::ZERO,
            lower_interval: options.lower_intervals.0,
            shifted_at: LocalMoment::ZERO,
            shift_interval: Duration::ZERO,
            raises: 0,
            tries_half: true,
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

    /// Discards everything that is known; the limit starts at the slots.
    pub fn reset(&mut self) {
        self.references = ClassMeans::default();
        self.change = None;
        self.restart();
    }

    /// Returns the limit: how many requests the target handles well.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Returns how many requests may run now: the limit, or the level of a trial.
    pub fn admitted(&self) -> u32 {
        if self.stage.is_running() {
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
        let is_idle = level.now.since(self.pressed_at) > self.options.idle_time;
        if is_idle && self.limit < self.slots {
            self.restart();
        }
        // A request that has just arrived counts as waiting until it starts.
        let is_pressed = level.has_waiting && level.running >= self.admitted();
        if is_pressed {
            self.pressed_at = level.now;
        }

        self.check_reached(level);
        if self.stage != TrialStage::Idle {
            self.judge_trial();
        }
        let may_begin = matches!(self.stage, TrialStage::Idle | TrialStage::Open);
        if may_begin && is_pressed && self.comparison.base.runs >= self.options.base_runs {
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
        self.comparison.fade(0.5_f64.powf(fade));
        self.last.now = level.now;

        let Some(run) = self.comparison.run_since(mark) else {
            return;
        };
        if run.idle > MAX_IDLE_SHARE * run.total() {
            return;
        }
        let is_at_limit = run.trial <= MAX_IDLE_SHARE * run.total();
        if is_at_limit {
            self.references.add(class, run.total());
        }
        let Some(reference) = self.references.settled(class) else {
            return;
        };

        self.comparison.count(&run, reference);
        if is_at_limit {
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

    /// Discards what is known about the present limit if the target has become slower or faster
    /// there, and lets trials start at once.
    fn check_shift(&mut self, now: LocalMoment) {
        let base = &self.comparison.base;
        if base.runs < self.options.base_runs {
            self.recent_slowness = base.slowness();
            return;
        }
        let shift = self.recent_slowness / base.slowness();
        if (1.0 / SHIFT_FACTOR..SHIFT_FACTOR).contains(&shift) {
            return;
        }

        self.references.scale(self.recent_slowness);
        self.recent_slowness = 1.0;
        self.comparison.forget();
        self.stage = TrialStage::Idle;
        self.tries_half = true;
        self.raises = 0;
        self.raise_at = now;

        let (shortest, longest) = self.options.shift_intervals;
        let since_shift = now.since(self.shifted_at);
        if since_shift >= longest * 2 {
            self.shift_interval = Duration::ZERO;
        }
        if since_shift >= self.shift_interval {
            self.shifted_at = now;
            self.shift_interval = (self.shift_interval * 2).clamp(shortest, longest);
            self.lower_at = now;
            self.lower_interval = self.options.lower_intervals.0;
        }
    }

    /// Starts a trial of a higher or a lower level if one is due.
    fn plan_trial(&mut self, now: LocalMoment) {
        let level = if self.limit < self.slots && now >= self.raise_at {
            self.raises = (self.raises + 1) % NEAR_RAISES;
            if self.raises == 0 {
                self.limit + 1
            } else {
                (self.limit * 2).min(self.slots)
            }
        } else if self.limit > self.min_limit() && now >= self.lower_at {
            let tries_half = self.tries_half;
            self.tries_half = !tries_half;
            if tries_half {
                (self.limit / 2).max(self.min_limit())
            } else {
                self.limit - 1
            }
        } else {
            return;
        };

        self.comparison.begin_trial(level);
        self.stage = TrialStage::Approaching(now);
    }

    /// Starts the time of a trial anew when its level is reached.
    fn check_reached(&mut self, level: TargetLevel) {
        let trial_level = self.comparison.trial_level();
        let is_there = if trial_level < self.limit {
            level.running <= trial_level
        } else {
            level.running >= trial_level
        };

        if is_there && matches!(self.stage, TrialStage::Approaching(_)) {
            self.stage = TrialStage::Reached(level.now);
        }
    }

    /// Ends the present trial if its result is clear or its time is over.
    fn judge_trial(&mut self) {
        let now = self.last.now;
        let is_over = match self.stage {
            TrialStage::Approaching(start) => now.since(start) >= self.options.max_approach,
            TrialStage::Reached(start) | TrialStage::Confirming(start) => {
                now.since(start) >= self.options.max_trial
            }
            TrialStage::Idle | TrialStage::Open => false,
        };
        let (base_level, level) = (self.limit, self.comparison.trial_level());
        let runs = self.comparison.trial.runs;
        let rates = self.comparison.rates();
        let least_runs = if level + 1 == base_level {
            self.options.near_runs
        } else {
            self.options.clear_runs
        };
        let Some(rates) = rates.filter(|_| runs >= least_runs) else {
            if is_over {
                self.repeat_trial();
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
        let least = 1.0 - self.options.tolerance;
        let needed = if level < base_level {
            least
        } else {
            1.0 / least
        };
        let excess = (after.throughput / before.throughput.max(f64::MIN_POSITIVE) / needed).ln();
        let is_clear = excess.abs() > CLEAR_DEVIATIONS * self.comparison.deviation();
        if matches!(self.stage, TrialStage::Confirming(_)) {
            if self.comparison.base.runs < self.options.confirming_runs {
                if is_over {
                    self.reject_trial(2);
                }
            } else if excess >= 0.0 {
                self.accept_trial(before, after);
            } else {
                self.reject_trial(2);
            }
            return;
        }
        let is_known = is_clear || runs >= self.options.trial_runs;
        if !(is_over || is_known) {
            return;
        }

        // Below the slots, a wrong step is found by the next trial of a higher level.
        let needs_confirming = level < base_level && base_level == self.slots;
        if excess >= 0.0 && (level > base_level || is_known && !needs_confirming) {
            self.accept_trial(before, after);
        } else if excess >= 0.0 && is_known {
            self.comparison.base = RunGroup::default();
            self.stage = TrialStage::Confirming(now);
        } else if is_known {
            self.reject_trial(CLEAR_BACKOFF);
        } else {
            self.repeat_trial();
        }
    }

    /// Ends a trial without a result. The same level is tried again.
    fn repeat_trial(&mut self) {
        if self.comparison.trial_level() < self.limit {
            self.tries_half = !self.tries_half;
        }
        self.reject_trial(1);
        self.stage = TrialStage::Open;
    }

    /// Makes the level of the trial the limit.
    fn accept_trial(&mut self, before: LevelThroughput, after: LevelThroughput) {
        let now = self.last.now;
        self.stage = TrialStage::Idle;
        self.limit = after.level;
        let slowness = self.comparison.adopt_trial();
        self.references.scale(slowness);
        self.recent_slowness = 1.0;
        self.lower_interval = self.options.lower_intervals.0;
        (self.raise_at, self.lower_at) = if after.level < before.level {
            (now + self.options.raise_interval, now)
        } else {
            (now, now + self.lower_interval)
        };
        self.change = Some(CapacityChange {
            limit: self.limit,
            slots: self.slots,
            before,
            after,
        });
    }

    /// Ends a trial and keeps the limit. The interval between trials of a lower level is multiplied
    /// by the given factor.
    fn reject_trial(&mut self, backoff: u32) {
        let now = self.last.now;
        self.stage = TrialStage::Idle;

        if self.comparison.trial_level() > self.limit {
            self.raise_at = now + self.options.raise_interval;
            return;
        }
        let (_, longest) = self.options.lower_intervals;
        self.lower_interval = (self.lower_interval * backoff).min(longest);
        self.lower_at = now + self.lower_interval;
    }

    /// Returns the limit to the slots and discards what is known about levels.
    fn restart(&mut self) {
        self.limit = self.slots;
        self.comparison.forget();
        self.stage = TrialStage::Idle;
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
