//! The search for a lower concurrency when a target slows down.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The count of responses that are measured together.
const WINDOW_RESPONSES: u32 = 60;

/// The percentage of the best mean duration above which a target counts as slow.
const SLOW_PERCENT: u32 = 200;

/// The percentage of the best mean duration up to which a target counts as recovered.
const RECOVERED_PERCENT: u32 = 150;

/// The percentage of the concurrent requests that a trial with fewer requests leaves.
const TRIAL_PERCENT: u32 = 70;

/// The percentage of the throughput that a trial with fewer requests must keep.
const MIN_THROUGHPUT_PERCENT: u32 = 90;

/// The percentage by which the best mean duration rises with each window, so that it follows a
/// lasting change.
const DRIFT_PERCENT: u32 = 2;

/// The time after a failed trial before the next one.
const FAILED_TRIAL_PAUSE: Duration = Duration::from_secs(5);

/// `TrialState` is a trial with another count of concurrent requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct TrialState {
    /// The cap before the trial.
    previous_cap: u32,
    /// The mean time between two responses before the trial.
    response_interval: Duration,
}

/// `SlowdownSearch` finds how many concurrent requests are best for a slow target: fewer if that
/// costs no throughput, and more again as the target recovers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlowdownSearch {
    /// The slots of the target.
    max_slots: u32,
    /// How many requests may be at the target.
    cap: u32,
    /// The shortest mean duration of a recent window.
    best_mean: Option<Duration>,
    /// The count of responses in the window.
    responses: u32,
    /// How many of the next responses to leave out, as their requests began before a change of the
    /// cap.
    skipped: u32,
    /// The sum of the durations in the window.
    sum: Duration,
    /// The start of the window.
    started: LocalMoment,
    /// The trial in progress.
    trial: Option<TrialState>,
    /// The moment before which no trial begins.
    next_trial: LocalMoment,
}

impl SlowdownSearch {
    /// Creates the search for a target that may take requests in all its slots.
    pub fn new(max_slots: u32) -> Self {
        Self {
            max_slots,
            cap: max_slots,
            best_mean: None,
            responses: 0,
            skipped: 0,
            sum: Duration::ZERO,
            started: LocalMoment::ZERO,
            trial: None,
            next_trial: LocalMoment::ZERO,
        }
    }

    /// Returns how many requests may be at the target.
    pub fn cap(&self) -> u32 {
        self.cap
    }

    /// Records the response to a short request; `waiting` tells whether other requests were queued.
    pub fn record(&mut self, now: LocalMoment, took: Duration, waiting: bool) {
        if self.skipped > 0 {
            self.skipped -= 1;
            self.started = now;

            return;
        }

        self.responses += 1;
        self.sum += took;

        if self.responses >= WINDOW_RESPONSES {
            self.close_window(now, waiting);
        }
    }

    /// Evaluates a full window.
    fn close_window(&mut self, now: LocalMoment, waiting: bool) {
        let mean = self.sum / self.responses;
        let response_interval = now.since(self.started) / self.responses;
        let best_mean = self.best_mean.map_or(mean, |best_mean| {
            mean.min(best_mean * (100 + DRIFT_PERCENT) / 100)
        });

        self.best_mean = Some(best_mean);
        self.restart(now);

        let recovered = mean * 100 <= best_mean * RECOVERED_PERCENT;
        let slow = mean * 100 > best_mean * SLOW_PERCENT;

        if let Some(trial) = self.trial.take() {
            let fewer = self.cap < trial.previous_cap;

            self.evaluate_trial(
                now,
                trial,
                response_interval,
                recovered || (fewer && !waiting),
            );
        } else if now >= self.next_trial && (waiting || recovered) {
            self.begin_trial(slow, response_interval);
        }
    }

    /// Keeps a trial or restores the cap before it. If the target has not recovered, a trial with
    /// more requests must gain throughput; one with fewer must lose none, unless no requests are
    /// queued.
    fn evaluate_trial(
        &mut self,
        now: LocalMoment,
        trial: TrialState,
        response_interval: Duration,
        acceptable: bool,
    ) {
        let fewer = self.cap < trial.previous_cap;
        let kept = response_interval * MIN_THROUGHPUT_PERCENT < trial.response_interval * 100;
        let gained = response_interval * 100 < trial.response_interval * MIN_THROUGHPUT_PERCENT;

        if acceptable || (fewer && kept) || (!fewer && gained) {
            return;
        }

        self.set(trial.previous_cap);
        self.next_trial = now + FAILED_TRIAL_PAUSE;
    }

    /// Begins a trial: with fewer requests if the target is slow, otherwise with one more if the
    /// cap is below the slots.
    fn begin_trial(&mut self, slow: bool, response_interval: Duration) {
        let previous_cap = self.cap;
        let fewer = (previous_cap * TRIAL_PERCENT / 100).max(1);

        if slow && fewer < previous_cap {
            self.set(fewer);
        } else if previous_cap < self.max_slots {
            self.set(previous_cap + 1);
        } else {
            return;
        }

        self.trial = Some(TrialState {
            previous_cap,
            response_interval,
        });
    }

    /// Sets the cap and leaves out the responses to requests that began before.
    fn set(&mut self, cap: u32) {
        if cap != self.cap {
            self.skipped = self.cap;
        }

        self.cap = cap;
        self.trial = None;
        self.responses = 0;
        self.sum = Duration::ZERO;
    }

    /// Begins a new window.
    fn restart(&mut self, now: LocalMoment) {
        self.responses = 0;
        self.sum = Duration::ZERO;
        self.started = now;
    }
}
