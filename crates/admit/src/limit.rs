//! The concurrency limit that adapts to the target.

use crate::{options::AdmitOptions, slowdown::SlowdownSearch};
use serde::{Deserialize, Serialize};
use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The units of the limit that make up one slot.
const HUNDREDTHS_PER_SLOT: u32 = 100;

/// The percentage of the limit that is left after the target shed a request.
const SHED_PERCENT: u32 = 70;

/// The percentage of the slots that a cold target starts with.
const COLD_PERCENT: u32 = 34;

/// The percentage to which a rise takes the limit, if that adds more than one slot.
const RISE_PERCENT: u32 = 150;

/// `SlotLimit` limits how many requests run at the target at a time. The limit is at most the slots
/// of the target; it falls when the target sheds, starts or stalls, and rises again in steps.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct SlotLimit {
    /// The slots of the target.
    max_slots: u32,
    /// The limit in hundredths of a slot.
    hundredths: u32,
    /// The least time from a change of the limit to a rise, or to a reduction for a shed request.
    step: Duration,
    /// The moment of the last change.
    changed_at: LocalMoment,
    /// Whether the target counts as stalled.
    stalled: bool,
    /// The search for a lower concurrency when the target slows down.
    slowdown: SlowdownSearch,
}

impl SlotLimit {
    /// Creates the limit of a warm target.
    pub fn new(options: &AdmitOptions) -> Self {
        Self {
            max_slots: options.max_running(),
            hundredths: options.max_running() * HUNDREDTHS_PER_SLOT,
            step: options.ramp_step,
            changed_at: LocalMoment::ZERO,
            stalled: false,
            slowdown: SlowdownSearch::new(options.max_running()),
        }
    }

    /// Changes the slots of the target. A limit that was at its maximum follows the new one.
    pub fn set_max_slots(&mut self, max_slots: u32) {
        let was_full = self.hundredths >= self.max_slots * HUNDREDTHS_PER_SLOT;

        self.max_slots = max_slots;
        if was_full || self.hundredths > max_slots * HUNDREDTHS_PER_SLOT {
            self.hundredths = max_slots * HUNDREDTHS_PER_SLOT;
        }
    }

    /// Returns how many requests may be at the target now.
    pub fn current(&self) -> u32 {
        let ramped = self.hundredths / HUNDREDTHS_PER_SLOT;

        ramped.min(self.slowdown.cap()).clamp(1, self.max_slots)
    }

    /// Returns whether the target counts as stalled.
    pub fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// Lowers the limit for a target that has just started and clears a stall.
    pub fn start_cold(&mut self, now: LocalMoment) {
        self.stalled = false;
        self.set(now, self.max_slots * COLD_PERCENT);
    }

    /// Lowers the limit for a request that the target shed, at most once per step.
    pub fn record_shed(&mut self, now: LocalMoment) {
        if now.since(self.changed_at) >= self.step || self.changed_at == LocalMoment::ZERO {
            self.set(now, self.hundredths * SHED_PERCENT / 100);
        }
    }

    /// Raises the limit after a response, at most once per step. The first response of a stalled
    /// target ends the stall.
    pub fn record_response(&mut self, now: LocalMoment) {
        if self.stalled {
            self.stalled = false;
            self.set(now, HUNDREDTHS_PER_SLOT);

            return;
        }

        let below = self.hundredths < self.max_slots * HUNDREDTHS_PER_SLOT;

        if below && now.since(self.changed_at) >= self.step {
            let multiplied = self.hundredths * RISE_PERCENT / 100;

            self.set(now, multiplied.max(self.hundredths + HUNDREDTHS_PER_SLOT));
        }
    }

    /// Records the duration of a short request that got its response; `waiting` tells whether other
    /// requests were queued. Durations count only while shed requests, a start or a stall do not
    /// lower the limit.
    pub fn record_duration(&mut self, now: LocalMoment, took: Duration, waiting: bool) {
        if !self.stalled && self.hundredths >= self.max_slots * HUNDREDTHS_PER_SLOT {
            self.slowdown.record(now, took, waiting);
        }
    }

    /// Marks the target as stalled, so that only probes reach it.
    pub fn record_stall(&mut self, now: LocalMoment) {
        self.stalled = true;
        self.set(now, HUNDREDTHS_PER_SLOT);
    }

    /// Sets the limit, which is kept between one slot and all slots of the target.
    fn set(&mut self, now: LocalMoment, hundredths: u32) {
        self.hundredths =
            hundredths.clamp(HUNDREDTHS_PER_SLOT, self.max_slots * HUNDREDTHS_PER_SLOT);
        self.changed_at = now;
    }
}
