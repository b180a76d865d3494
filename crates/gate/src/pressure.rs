//! Backpressure: how much new work the callers of an overloaded service should start.
//!
//! Work whose calls fail is wasted. A service therefore asks its callers to start less new work if
//! its slots do not suffice for the calls and its own new work. All work of the same urgency gets the
//! same share: the slots divided by the work that would arrive if callers started everything. Callers
//! state the share that they admit with each call, so the work that they hold back is known, and a
//! report may be old without the share oscillating.

use std::time::Duration;
use wagtail_core::units::LocalMoment;

/// The share of the slots that is planned for. Arrivals are random, and a call is of use only if it
/// hardly waits.
const PLANNED_USE: f32 = 0.95;

/// The time constant in seconds over which work is averaged. With 1 s, the share follows a wave of
/// arrivals so late that the calls queue up at its rise (`tests/gate/call_tree.rs`).
const WORK_SECONDS: f32 = 0.3;

/// The part of less urgent own work for which slots are planned, relative to that of other work. It is
/// above a quarter, so that such work does not starve behind calls.
const LESS_URGENT_PART: f32 = 0.3;

/// The lowest share of new work. It is not zero because callers learn of the service's state only
/// through the calls that they still make.
const MIN_SHARE: f32 = 0.05;

/// `WorkArrival` describes a request that arrives at the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkArrival {
    /// Whether running work of another service sends it.
    pub is_call: bool,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The expected service time.
    pub service_time: Duration,
    /// The share of the work that would make such calls that the caller's target admits, from 0 to 1.
    pub begun_share: f32,
}

/// `CallPressure` computes the share of new work that the callers of this service should start.
#[derive(Debug)]
pub struct CallPressure {
    /// The slots that calls would take if callers started all of their work.
    calls: f32,
    /// The slots that own new work takes which is at least as urgent as the work that calls.
    urgent_work: f32,
    /// The slots that less urgent own work takes.
    other_work: f32,
    counted_to: LocalMoment,
    /// The priority of the work that called last; `u32::MAX`, the least urgent, before any call.
    caller_priority: u32,
}

impl Default for CallPressure {
    fn default() -> Self {
        Self {
            calls: 0.0,
            urgent_work: 0.0,
            other_work: 0.0,
            counted_to: LocalMoment::ZERO,
            caller_priority: u32::MAX,
        }
    }
}

impl CallPressure {
    /// Records the priority of work that has just called this service.
    pub fn called(&mut self, caller_priority: u32) {
        self.caller_priority = caller_priority;
    }

    /// Records an arrival, also one that is then refused.
    pub fn arrived(&mut self, arrival: &WorkArrival, now: LocalMoment) {
        let decay = self.decay(now);
        for work in [&mut self.calls, &mut self.urgent_work, &mut self.other_work] {
            *work *= decay;
        }
        self.counted_to = now;

        let slots = arrival.service_time.as_secs_f32() / WORK_SECONDS;
        if arrival.is_call {
            self.calls += slots / arrival.begun_share.clamp(MIN_SHARE, 1.0);
        } else if arrival.priority <= self.caller_priority {
            self.urgent_work += slots;
        } else {
            self.other_work += slots;
        }
    }

    /// Returns the share of new work that callers should start, from `MIN_SHARE` to 1.
    pub fn share(&self, slots: u32, now: LocalMoment) -> f32 {
        let slots = f32::from(u16::try_from(slots).unwrap_or(u16::MAX));
        let decay = self.decay(now);
        let other_work = (self.other_work * decay).min(slots) * LESS_URGENT_PART;
        let work = (self.calls + self.urgent_work) * decay + other_work;

        (slots * PLANNED_USE / work.max(f32::MIN_POSITIVE)).clamp(MIN_SHARE, 1.0)
    }

    /// Returns the factor by which the work has decayed since the last arrival.
    fn decay(&self, now: LocalMoment) -> f32 {
        (-now.since(self.counted_to).as_secs_f32() / WORK_SECONDS).exp()
    }
}
