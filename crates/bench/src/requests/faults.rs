//! What goes wrong in a run.

use crate::requests::score;
use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// `FaultSpan` is a stretch in which one target misbehaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultSpan {
    /// The node beside the target.
    pub node: usize,
    /// The start.
    pub from: LocalMoment,
    /// The end.
    pub to: LocalMoment,
}

impl FaultSpan {
    /// Makes a stretch.
    pub fn new(node: usize, from: LocalMoment, to: LocalMoment) -> Self {
        Self { node, from, to }
    }

    /// Returns whether the stretch covers a moment at a node.
    fn covers(&self, node: usize, now: LocalMoment) -> bool {
        self.node == node && self.from <= now && now < self.to
    }
}

/// `FaultPlan` is all that goes wrong in a run.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct FaultPlan {
    /// The stretches in which a target does nothing at all.
    pub frozen: Vec<FaultSpan>,
    /// The stretches in which a target takes five times as long.
    pub slow: Vec<FaultSpan>,
    /// The stretches in which a target slows with the square of the orders that it runs beyond
    /// two.
    pub strained: Vec<FaultSpan>,
    /// The stretches after a restart; the target takes five times as long at first.
    pub cold: Vec<FaultSpan>,
    /// The part of the orders that a target sheds.
    pub shed: f64,
    /// The part of the answers that are cut off.
    pub truncate: f64,
    /// The part of the answers that come late.
    pub late: f64,
    /// The part of the reports of ends that come twice.
    pub duplicate: f64,
}

/// The orders that a strained target runs without slowing.
const STRAIN_ORDERS: usize = 2;

/// The factor on the duration of work at a slow or cold target.
const SLOW_FACTOR: f64 = 5.0;

impl FaultPlan {
    /// Returns the moment at which a frozen target goes on, or nothing when it is not frozen.
    pub fn frozen_until(&self, node: usize, now: LocalMoment) -> Option<LocalMoment> {
        self.frozen
            .iter()
            .find(|span| span.covers(node, now))
            .map(|span| span.to)
    }

    /// Returns the time for which work holds a slot when it starts now, without freezes.
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

    /// Returns the end of work that starts now and pauses while the target is frozen.
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
