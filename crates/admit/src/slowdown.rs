//! The search for fewer concurrent orders when a target slows.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The answers that are measured together.
const WINDOW_ANSWERS: u32 = 60;

/// The percentage of the best duration from which a target counts as slow.
const SLOW_PERCENT: u32 = 200;

/// The percentage of the best duration up to which a target counts as recovered.
const SOUND_PERCENT: u32 = 150;

/// The percentage of the orders that a trial leaves.
const TRIAL_PERCENT: u32 = 70;

/// The percentage of the throughput that a trial with fewer orders must keep.
const KEEP_PERCENT: u32 = 90;

/// The percentage by which the best duration rises with each measurement, so that it follows a
/// lasting change.
const DRIFT_PERCENT: u32 = 2;

/// The time between two trials.
const TRIAL_PAUSE: Duration = Duration::from_secs(5);

/// `TrialState` is a trial of another count of orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct TrialState {
    /// The count before the trial.
    from: u32,
    /// The time for each answer before the trial.
    pace: Duration,
}

/// `SlowdownSearch` finds how many orders a slow target takes: fewer, when that costs no
/// throughput, and more again after a pause.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlowdownSearch {
    /// The slots of the target.
    most: u32,
    /// The orders that may be at the target.
    cap: u32,
    /// The shortest mean duration lately.
    best: Option<Duration>,
    /// The answers in the window.
    answers: u32,
    /// The answers to leave out, as their orders began before a change.
    skipped: u32,
    /// The sum of the durations in the window.
    sum: Duration,
    /// The start of the window.
    started: LocalMoment,
    /// The trial under way.
    trial: Option<TrialState>,
    /// The moment before which no trial begins.
    next_trial: LocalMoment,
}

impl SlowdownSearch {
    /// Makes the search at a target that takes all its orders.
    pub fn new(most: u32) -> Self {
        Self {
            most,
            cap: most,
            best: None,
            answers: 0,
            skipped: 0,
            sum: Duration::ZERO,
            started: LocalMoment::ZERO,
            trial: None,
            next_trial: LocalMoment::ZERO,
        }
    }

    /// Returns the orders that may be at the target.
    pub fn cap(&self) -> u32 {
        self.cap
    }

    /// Takes in the answer of a short order; `waiting` says that others waited for its slot.
    pub fn record(&mut self, now: LocalMoment, took: Duration, waiting: bool) {
        if self.skipped > 0 {
            self.skipped -= 1;
            self.started = now;

            return;
        }

        self.answers += 1;
        self.sum += took;

        if self.answers >= WINDOW_ANSWERS {
            self.close_window(now, waiting);
        }
    }

    /// Judges a full window.
    fn close_window(&mut self, now: LocalMoment, waiting: bool) {
        let mean = self.sum / self.answers;
        let pace = now.since(self.started) / self.answers;
        let best = self
            .best
            .map_or(mean, |best| mean.min(best * (100 + DRIFT_PERCENT) / 100));

        self.best = Some(best);
        self.restart(now);

        let sound = mean * 100 <= best * SOUND_PERCENT;
        let slow = mean * 100 > best * SLOW_PERCENT;

        if let Some(trial) = self.trial.take() {
            let fewer = self.cap < trial.from;

            self.judge(now, trial, pace, sound || (fewer && !waiting));
        } else if now >= self.next_trial && (waiting || sound) {
            self.begin_trial(slow, pace);
        }
    }

    /// Keeps or takes back a trial. One with more orders that slows the target must gain
    /// throughput; one with fewer must lose none, if others wait.
    fn judge(&mut self, now: LocalMoment, trial: TrialState, pace: Duration, easy: bool) {
        let fewer = self.cap < trial.from;
        let kept = pace * KEEP_PERCENT < trial.pace * 100;
        let gained = pace * 100 < trial.pace * KEEP_PERCENT;

        if easy || (fewer && kept) || (!fewer && gained) {
            return;
        }

        self.set(trial.from);
        self.next_trial = now + TRIAL_PAUSE;
    }

    /// Begins a trial: with more orders if fewer are in force, else with fewer if it is slow.
    fn begin_trial(&mut self, slow: bool, pace: Duration) {
        let from = self.cap;
        let fewer = (from * TRIAL_PERCENT / 100).max(1);

        if slow && fewer < from {
            self.set(fewer);
        } else if from < self.most {
            self.set(from + 1);
        } else {
            return;
        }

        self.trial = Some(TrialState { from, pace });
    }

    /// Sets the count of orders and leaves out the answers of orders that began before.
    fn set(&mut self, cap: u32) {
        if cap != self.cap {
            self.skipped = self.cap;
        }

        self.cap = cap;
        self.trial = None;
        self.answers = 0;
        self.sum = Duration::ZERO;
    }

    /// Begins a new window.
    fn restart(&mut self, now: LocalMoment) {
        self.answers = 0;
        self.sum = Duration::ZERO;
        self.started = now;
    }
}
