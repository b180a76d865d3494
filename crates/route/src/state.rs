//! The state that one ingress keeps for each target: load, latency and outlier ejection.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::{units::LocalMoment, verdict::RunVerdict};

/// `LoadHint` is the load of a target that its daemon sends with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadHint {
    /// The requests that wait or run at the target.
    pub load: u32,
    /// The requests that the daemon currently admits to the target at the same time.
    pub limit: u32,
}

/// `AttemptResult` is how an attempt at a target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptResult {
    /// The target responded, and its daemon did not refuse the attempt.
    Answered,
    /// The daemon of the target refused because the target has no capacity left.
    Overloaded,
    /// The target or its daemon is draining or stopping, or the node has no target.
    Leaving,
    /// No complete response arrived: the target, its daemon or the network failed.
    Failed {
        /// Whether the attempt may have run.
        verdict: RunVerdict,
    },
    /// The caller disconnected, which says nothing about the target.
    Cancelled,
}

/// The consecutive failures after which a target is ejected.
const EJECTION_FAILURES: u32 = 3;

/// The longest time for which a failing target is ejected.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(10);

/// The reciprocal of the weight of a new sample in the moving average of latencies.
const AVERAGE_GAIN_DIVISOR: u64 = 8;

/// The age from which on a load hint is ignored.
const MAX_HINT_AGE: Duration = Duration::from_millis(100);

/// The concurrent attempts that a half-open target gets.
const HALF_OPEN_ATTEMPTS: u32 = 1;

/// `TargetState` is what one ingress knows of one target, mostly from its own attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetState {
    /// The attempts from this ingress that are in flight.
    pub(crate) pending: u32,
    /// The failed attempts since the last response.
    failures: u32,
    /// The ejections since the last response; each doubles the time of the next one, up to
    /// [`MAX_EJECTION_TIME`].
    ejections: u32,
    /// The moment until which the target gets no attempts.
    ejected_until: LocalMoment,
    /// Whether the target was ejected and has not responded since. It then gets
    /// [`HALF_OPEN_ATTEMPTS`] at a time.
    half_open: bool,
    /// The exponential moving average of the response times in microseconds; 0 before the first
    /// response.
    average_micros: u64,
    /// The moment of the last reply, or of the first attempt in flight if that is later.
    silent_since: LocalMoment,
    /// The moment at which the target joined, if it had just started then.
    cold_since: Option<LocalMoment>,
    /// The last load hint.
    hint: Option<LoadHint>,
    /// The moment at which `hint` arrived.
    hinted: LocalMoment,
    /// Whether the target is draining and gets no new attempts.
    pub(crate) draining: bool,
    /// The last report of the health endpoint.
    pub(crate) healthy: bool,
}

impl TargetState {
    /// Creates the state of a target that joins at `now`. `cold` tells whether the target has just
    /// started.
    pub fn new(now: LocalMoment, cold: bool) -> Self {
        Self {
            pending: 0,
            failures: 0,
            ejections: 0,
            ejected_until: LocalMoment::ZERO,
            half_open: false,
            average_micros: 0,
            silent_since: now,
            cold_since: cold.then_some(now),
            hint: None,
            hinted: LocalMoment::ZERO,
            draining: false,
            healthy: true,
        }
    }

    /// Returns whether the target may get an attempt: it is neither draining nor ejected, and not
    /// busy with its half-open attempt.
    pub fn is_open(&self, now: LocalMoment) -> bool {
        let has_room = !self.half_open || self.pending < HALF_OPEN_ATTEMPTS;

        !self.draining && now >= self.ejected_until && has_room
    }

    /// Returns the expected cost of one more attempt; lower is better.
    ///
    /// The cost is the load times the latency. The time without any reply counts as the latency
    /// if it exceeds the average. An unhealthy report multiplies the cost but does not exclude
    /// the target, because the health endpoint may be wrong in both directions.
    pub fn cost(&self, now: LocalMoment, warmup: Duration) -> u64 {
        let hinted = self.hint.filter(|_| now.since(self.hinted) < MAX_HINT_AGE);
        let load = hinted.map_or(0, |hint| u64::from(hint.load)) + u64::from(self.pending) + 1;
        let latency = self.average_micros.max(self.silent_micros(now)).max(1);
        let health_factor = if self.healthy { 1 } else { 4 };

        load.saturating_mul(latency)
            .saturating_mul(health_factor * self.cold_factor(now, warmup))
    }

    /// Returns the time in microseconds for which attempts have been in flight without any reply.
    fn silent_micros(&self, now: LocalMoment) -> u64 {
        if self.pending == 0 {
            return 0;
        }

        now.since(self.silent_since)
            .as_micros()
            .try_into()
            .unwrap_or(u64::MAX)
    }

    /// Returns the cost factor of a target, which falls linearly from 8 to 1 while it warms up.
    fn cold_factor(&self, now: LocalMoment, warmup: Duration) -> u64 {
        let Some(since) = self.cold_since else {
            return 1;
        };
        let age = now.since(since).as_micros();
        let left = warmup.as_micros().saturating_sub(age);
        let factor = 1 + left * 7 / warmup.as_micros().max(1);

        u64::try_from(factor).unwrap_or(1)
    }

    /// Counts a new attempt in flight.
    pub fn begin(&mut self, now: LocalMoment) {
        if self.pending == 0 {
            self.silent_since = now;
        }

        self.pending += 1;
    }

    /// Records the end of an attempt that took `took`.
    pub fn end(&mut self, now: LocalMoment, result: AttemptResult, took: Duration) {
        self.pending = self.pending.saturating_sub(1);

        if result != AttemptResult::Cancelled {
            self.silent_since = now;
        }

        match result {
            AttemptResult::Answered => self.record_answer(took),
            AttemptResult::Failed { .. } => self.record_failure(now),
            AttemptResult::Leaving => self.draining = true,
            // An overload refusal shows that the daemon works and knows its slots, so it is no
            // failure.
            AttemptResult::Overloaded | AttemptResult::Cancelled => {}
        }
    }

    /// Stores the load hint of a response.
    pub fn record_hint(&mut self, now: LocalMoment, hint: LoadHint) {
        self.hint = Some(hint);
        self.hinted = now;
    }

    /// Adds a response time to the average and resets the count of failures.
    fn record_answer(&mut self, took: Duration) {
        let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);

        self.failures = 0;
        self.ejections = 0;
        self.half_open = false;
        self.average_micros = if self.average_micros == 0 {
            micros
        } else {
            self.average_micros - self.average_micros / AVERAGE_GAIN_DIVISOR
                + micros / AVERAGE_GAIN_DIVISOR
        };
    }

    /// Counts a failure and ejects the target after [`EJECTION_FAILURES`] in a row, or after one
    /// while it is half-open.
    fn record_failure(&mut self, now: LocalMoment) {
        self.failures += 1;

        if self.failures < EJECTION_FAILURES && !self.half_open {
            return;
        }

        let time = Duration::from_millis(500) * 2u32.pow(self.ejections.min(5));

        self.ejected_until = now + time.min(MAX_EJECTION_TIME);
        self.ejections += 1;
        self.half_open = true;
    }
}
