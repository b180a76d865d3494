//! The faults that are injected into the targets of a run.

use crate::requests::score;
use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// `FaultSpan` is an interval in which one target misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultSpan {
    /// The node of the target.
    pub node: usize,
    /// The moment at which the fault starts.
    pub from: LocalMoment,
    /// The moment at which the fault ends, no longer part of the interval.
    pub to: LocalMoment,
}

impl FaultSpan {
    /// Creates a fault interval of one node.
    pub fn new(node: usize, from: LocalMoment, to: LocalMoment) -> Self {
        Self { node, from, to }
    }

    /// Returns whether the fault affects a node at a moment.
    fn covers(&self, node: usize, now: LocalMoment) -> bool {
        self.node == node && self.from <= now && now < self.to
    }
}

/// `FaultPlan` holds all faults of a run.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FaultPlan {
    /// The intervals in which a target makes no progress at all.
    pub frozen: Vec<FaultSpan>,
    /// The intervals in which a target takes [`SLOW_FACTOR`] times as long.
    pub slow: Vec<FaultSpan>,
    /// The intervals in which a target slows with the square of its running requests over
    /// [`STRAIN_ORDERS`].
    pub strained: Vec<FaultSpan>,
    /// The intervals after a restart, in which the slowdown falls linearly from [`SLOW_FACTOR`] to
    /// none.
    pub cold: Vec<FaultSpan>,
    /// The fraction of requests that a target sheds.
    pub shed: f64,
    /// The fraction of responses that are truncated.
    pub truncate: f64,
    /// The fraction of responses that are delayed.
    pub late: f64,
    /// The fraction of completions that are reported twice.
    pub duplicate: f64,
}

/// The concurrent requests that a strained target runs without slowing.
const STRAIN_ORDERS: usize = 2;

/// The factor on the duration of work at a slow target, and at a cold one right after its start.
const SLOW_FACTOR: f64 = 5.0;

impl FaultPlan {
    /// Returns the moment at which a frozen target resumes, or `None` when it is not frozen.
    pub fn frozen_until(&self, node: usize, now: LocalMoment) -> Option<LocalMoment> {
        self.frozen
            .iter()
            .find(|span| span.covers(node, now))
            .map(|span| span.to)
    }

    /// Returns the time for which work that starts now holds a slot, without freezes.
    pub fn work(&self, node: usize, now: LocalMoment, work: Duration, running: usize) -> Duration {
        let strained = self.strained.iter().any(|span| span.covers(node, now));

        if strained {
            let strain = (score::ratio(running, STRAIN_ORDERS)).max(1.0);

            return work.mul_f64(strain * strain);
        }

        let slow = self.slow.iter().any(|span| span.covers(node, now));
        let cold = self.cold.iter().find(|span| span.covers(node, now));

        if slow {
            return work.mul_f64(SLOW_FACTOR);
        }

        let Some(span) = cold else {
            return work;
        };
        let left = span.to.since(now).as_secs_f64() / span.to.since(span.from).as_secs_f64();

        work.mul_f64(1.0 + (SLOW_FACTOR - 1.0) * left)
    }

    /// Returns the moment at which work that starts now ends; it pauses while the target is frozen.
    pub fn end(
        &self,
        node: usize,
        now: LocalMoment,
        work: Duration,
        running: usize,
    ) -> LocalMoment {
        let end = now + self.work(node, now, work, running);
        let pause = self
            .frozen
            .iter()
            .find(|span| span.node == node && span.from >= now && span.from < end);

        match pause {
            Some(span) => end + span.to.since(span.from),
            None => end,
        }
    }
}
