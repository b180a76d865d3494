//! What one ingress knows of one target.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::{units::LocalMoment, verdict::RunVerdict};

/// `LoadHint` is the load that the daemon beside a target sends along with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadHint {
    /// The arrivals that wait or run at the target.
    pub load: u32,
    /// The orders that may be at the target now.
    pub limit: u32,
}

/// `AttemptResult` is how an attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// The target answered.
    Answered,
    /// The daemon beside the target refused for want of capacity.
    Overloaded,
    /// The daemon beside the target or the target is leaving.
    Leaving,
    /// No whole answer came: the target, its daemon or the path failed.
    Failed {
        /// Whether the attempt may have run.
        verdict: RunVerdict,
    },
    /// The caller went away; this says nothing of the target.
    Cancelled,
}

/// The failures in a row after which a target is left.
const LEAVE_FAILURES: u32 = 3;

/// The longest time for which a failing target is left.
const MAX_LEAVE: Duration = Duration::from_secs(10);

/// The weight of a new duration in the moving average, as a divisor.
const GAIN_DIVISOR: u64 = 8;

/// The time after which a load hint says nothing any more.
const HINT_LIFE: Duration = Duration::from_millis(100);

/// The attempts at a time that a target on trial gets.
const TRIAL_ATTEMPTS: u32 = 1;

/// `TargetStanding` is what one ingress knows of one target from its own attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetStanding {
    /// The attempts that are under way from here.
    pub(crate) pending: u32,
    /// The failures since the last answer.
    failures: u32,
    /// The times in a row that the target was left.
    leaves: u32,
    /// The moment until which the target is left.
    left_until: LocalMoment,
    /// Whether the target must answer one trial before it gets more.
    on_trial: bool,
    /// The moving average of the answer times in microseconds.
    average: u64,
    /// The moment of the last reply, or since which an attempt has been under way.
    heard: LocalMoment,
    /// The moment at which the target became known, while it is cold.
    cold_since: Option<LocalMoment>,
    /// The latest hint.
    hint: Option<LoadHint>,
    /// The moment of the latest hint.
    hinted: LocalMoment,
    /// Whether the target is to receive no new work.
    pub(crate) draining: bool,
    /// What the health endpoint last said.
    pub(crate) healthy: bool,
}

impl TargetStanding {
    /// Makes the standing of a target that has just become known.
    pub fn new(now: LocalMoment, cold: bool) -> Self {
        Self {
            pending: 0,
            failures: 0,
            leaves: 0,
            left_until: LocalMoment::ZERO,
            on_trial: false,
            average: 0,
            heard: now,
            cold_since: cold.then_some(now),
            hint: None,
            hinted: LocalMoment::ZERO,
            draining: false,
            healthy: true,
        }
    }

    /// Returns whether the target may get an attempt.
    pub fn is_open(&self, now: LocalMoment) -> bool {
        let tried = !self.on_trial || self.pending < TRIAL_ATTEMPTS;

        !self.draining && now >= self.left_until && tried
    }

    /// Returns the expected cost of one more attempt; lower is better.
    ///
    /// The cost is the load over the speed; a target that keeps silent counts as slow as its
    /// silence is long. A bad word of the health endpoint only adds to it:
    /// the endpoint may be wrong both ways.
    pub fn cost(&self, now: LocalMoment, warmup: Duration) -> u64 {
        let hinted = self.hint.filter(|_| now.since(self.hinted) < HINT_LIFE);
        let load = hinted.map_or(0, |hint| u64::from(hint.load)) + u64::from(self.pending) + 1;
        let speed = self.average.max(self.silence(now)).max(1);
        let doubt = if self.healthy { 1 } else { 4 };

        load.saturating_mul(speed)
            .saturating_mul(doubt * self.cold_factor(now, warmup))
    }

    /// Returns the time in microseconds for which attempts are under way without any reply.
    fn silence(&self, now: LocalMoment) -> u64 {
        if self.pending == 0 {
            return 0;
        }

        now.since(self.heard)
            .as_micros()
            .try_into()
            .unwrap_or(u64::MAX)
    }

    /// Returns the factor on the cost of a target that is still warming up, from 8 to 1.
    fn cold_factor(&self, now: LocalMoment, warmup: Duration) -> u64 {
        let Some(since) = self.cold_since else {
            return 1;
        };
        let age = now.since(since).as_micros();
        let left = warmup.as_micros().saturating_sub(age);
        let factor = 1 + left * 7 / warmup.as_micros().max(1);

        u64::try_from(factor).unwrap_or(1)
    }

    /// Counts an attempt as under way.
    pub fn begin(&mut self, now: LocalMoment) {
        if self.pending == 0 {
            self.heard = now;
        }

        self.pending += 1;
    }

    /// Takes in the end of an attempt.
    pub fn end(&mut self, now: LocalMoment, result: AttemptResult, took: Duration) {
        self.pending = self.pending.saturating_sub(1);

        if result != AttemptResult::Cancelled {
            self.heard = now;
        }

        match result {
            AttemptResult::Answered => self.record_answer(took),
            AttemptResult::Failed { .. } => self.record_failure(now),
            AttemptResult::Leaving => self.draining = true,
            // The daemon beside the target lives and knows its slots; it is no failure.
            AttemptResult::Overloaded | AttemptResult::Cancelled => {}
        }
    }

    /// Takes in a hint.
    pub fn record_hint(&mut self, now: LocalMoment, hint: LoadHint) {
        self.hint = Some(hint);
        self.hinted = now;
    }

    /// Takes in an answer.
    fn record_answer(&mut self, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);

        self.failures = 0;
        self.leaves = 0;
        self.on_trial = false;
        self.average = if self.average == 0 {
            micros
        } else {
            self.average - self.average / GAIN_DIVISOR + micros / GAIN_DIVISOR
        };
    }

    /// Takes in a failure, and leaves the target after some in a row. A failed trial counts
    /// alone.
    fn record_failure(&mut self, now: LocalMoment) {
        self.failures += 1;

        if self.failures < LEAVE_FAILURES && !self.on_trial {
            return;
        }

        let time = Duration::from_millis(500) * 2u32.pow(self.leaves.min(5));

        self.left_until = now + time.min(MAX_LEAVE);
        self.leaves += 1;
        self.on_trial = true;
    }
}
