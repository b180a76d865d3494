//! The concurrency limit that adapts to the target.

use crate::{options::AdmitOptions, slowdown::SlowdownSearch};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The parts of the limit in which it is counted.
const PARTS: u32 = 100;

/// The percentage of the limit that is left after the target shed an order.
const SHED_PERCENT: u32 = 70;

/// The percentage of the slots at which a cold target starts.
const COLD_PERCENT: u32 = 34;

/// The percentage of the limit after a rise, when that is more than one slot.
const RISE_PERCENT: u32 = 150;

/// `SlotLimit` is the count of orders that may be at the target now: at most its slots, fewer
/// after it shed, started or stalled, rising again step by step.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SlotLimit {
    /// The slots of the target.
    most: u32,
    /// The limit in hundredths of a slot.
    parts: u32,
    /// The time between two rises.
    step: Duration,
    /// The moment of the last change.
    changed: LocalMoment,
    /// Whether the target counts as stalled.
    stalled: bool,
    /// The search for fewer orders when the target slows.
    slowdown: SlowdownSearch,
}

impl SlotLimit {
    /// Makes the limit of a warm target.
    pub fn new(options: &AdmitOptions) -> Self {
        Self {
            most: options.max_running(),
            parts: options.max_running() * PARTS,
            step: options.ramp_step,
            changed: LocalMoment::ZERO,
            stalled: false,
            slowdown: SlowdownSearch::new(options.max_running()),
        }
    }

    /// Changes the slots of the target.
    pub fn set_most(&mut self, most: u32) {
        let was_full = self.parts >= self.most * PARTS;

        self.most = most;
        if was_full || self.parts > most * PARTS {
            self.parts = most * PARTS;
        }
    }

    /// Returns the orders that may be at the target now.
    pub fn current(&self) -> u32 {
        let ramped = self.parts / PARTS;

        ramped.min(self.slowdown.cap()).clamp(1, self.most)
    }

    /// Returns whether the target counts as stalled.
    pub fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// Lowers the limit for a target that has just started.
    pub fn start_cold(&mut self, now: LocalMoment) {
        self.stalled = false;
        self.set(now, self.most * COLD_PERCENT);
    }

    /// Lowers the limit after a shed order, once for each step.
    pub fn record_shed(&mut self, now: LocalMoment) {
        if now.since(self.changed) >= self.step || self.changed == LocalMoment::ZERO {
            self.set(now, self.parts * SHED_PERCENT / 100);
        }
    }

    /// Raises the limit after an answer, once for each step.
    pub fn record_answer(&mut self, now: LocalMoment) {
        if self.stalled {
            self.stalled = false;
            self.set(now, PARTS);

            return;
        }

        let below = self.parts < self.most * PARTS;

        if below && now.since(self.changed) >= self.step {
            let multiplied = self.parts * RISE_PERCENT / 100;

            self.set(now, multiplied.max(self.parts + PARTS));
        }
    }

    /// Takes in the duration of a short order that was answered.
    pub fn record_duration(&mut self, now: LocalMoment, took: Duration, waiting: bool) {
        if !self.stalled && self.parts >= self.most * PARTS {
            self.slowdown.record(now, took, waiting);
        }
    }

    /// Closes the target to all but trials.
    pub fn record_stall(&mut self, now: LocalMoment) {
        self.stalled = true;
        self.set(now, PARTS);
    }

    /// Sets the limit within its bounds.
    fn set(&mut self, now: LocalMoment, parts: u32) {
        self.parts = parts.clamp(PARTS, self.most * PARTS);
        self.changed = now;
    }
}
