//! How many requests a target runs at a time, and how long it takes for them.

use crate::{
    capacity::{CapacityChange, CapacityEstimator, CapacityOptions, TargetLevel, trial::RunMark},
    estimate::{PaceClock, ServiceTimes},
};
use std::{sync::Arc, time::Duration};
use wagtail_core::{notice::StatedLoad, units::LocalMoment};

/// `SlotUse` identifies what the target had done when a request started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotUse {
    /// The work that the VM had done, in seconds at normal pace.
    worked: f64,
    mark: RunMark,
}

/// `TargetSlots` holds the slots that a target states, the limit that is learned for it, its stated
/// pace and its service times.
#[derive(Debug)]
pub struct TargetSlots {
    stated: u32,
    pace: PaceClock,
    service_times: ServiceTimes,
    capacity: CapacityEstimator,
    /// Whether the limit is learned once the target has stated its load.
    learns: bool,
    /// Whether the target has stated its load, and its limit is learned.
    states_load: bool,
}

impl TargetSlots {
    /// Creates the state of a target without slots.
    pub fn new(options: CapacityOptions, initial_service_time: Duration) -> Self {
        Self {
            stated: 0,
            pace: PaceClock::default(),
            service_times: ServiceTimes::new(initial_service_time),
            capacity: CapacityEstimator::new(options),
            learns: options.is_enabled,
            states_load: false,
        }
    }

    /// Returns the number of slots that the target states.
    pub fn stated(&self) -> u32 {
        self.stated
    }

    /// Sets the number of slots that the target states.
    pub fn set_stated(&mut self, slots: u32) {
        self.stated = slots;
        self.capacity.set_slots(slots);
    }

    /// Records the load that the target states. From the first statement on, the limit is learned.
    pub fn set_load(&mut self, load: StatedLoad, now: LocalMoment) {
        if let Some(pace) = load.pace {
            self.pace.state(pace, now);
        }
        self.states_load = self.learns;
    }

    /// Discards what was learned of a previous incarnation of the target.
    pub fn forget_load(&mut self, now: LocalMoment) {
        self.states_load = false;
        self.capacity.reset();
        self.pace.forget(now);
    }

    /// Returns the clock of the work at the stated pace.
    pub fn pace(&self) -> &PaceClock {
        &self.pace
    }

    /// Returns the service times at normal pace.
    pub fn service_times(&self) -> &ServiceTimes {
        &self.service_times
    }

    /// Takes the latest change of the learned limit, for the log.
    pub fn take_change(&mut self) -> Option<CapacityChange> {
        self.capacity.take_change()
    }

    /// Returns how many requests the target handles well concurrently: the learned limit, at most the
    /// slots.
    pub fn limit(&self) -> u32 {
        if self.states_load {
            self.capacity.limit().min(self.stated)
        } else {
            self.stated
        }
    }

    /// Returns whether another request may start while `running` run. Calls may use one slot above the
    /// learned limit: the work that sent them holds slots elsewhere until they end.
    pub fn admits(&self, running: usize, is_call: bool) -> bool {
        let admitted = if self.states_load {
            (self.capacity.admitted() + u32::from(is_call)).min(self.stated)
        } else {
            self.stated
        };

        running < admitted as usize
    }

    /// Records how many requests run and whether some wait, from now on.
    pub fn observe(&mut self, running: u32, has_waiting: bool, now: LocalMoment) {
        if self.states_load {
            let level = self.level(running, has_waiting, now);
            self.capacity.observe(level);
        }
    }

    /// Returns the mark of a request that starts now.
    pub fn begin(&self, now: LocalMoment) -> SlotUse {
        SlotUse {
            worked: self.pace.worked(now),
            mark: self.capacity.started(),
        }
    }

    /// Records the end of a request that the target executed.
    pub fn end(&mut self, class: &Arc<str>, slot_use: SlotUse, now: LocalMoment) {
        let worked = (self.pace.worked(now) - slot_use.worked).max(0.0);
        self.service_times
            .record(class, Duration::from_secs_f64(worked));

        if self.states_load {
            let level = self.level(0, false, now);
            self.capacity.ended(class, slot_use.mark, level);
        }
    }

    /// Returns the expected service time of a class from now on, in seconds.
    pub fn expected(&self, class: &str, now: LocalMoment) -> f32 {
        self.pace.time_for(self.service_times.expected(class), now)
    }

    /// Returns the expected rest of the work of a running request, in seconds at normal pace.
    #[expect(clippy::cast_possible_truncation, reason = "an estimate")]
    pub fn work_left(&self, class: &str, slot_use: SlotUse, now: LocalMoment) -> f32 {
        // A running request counts with at least this share of its expected service time, even if
        // it has exceeded that time.
        const MIN_REMAINING_SHARE: f32 = 0.25;

        let expected = self.service_times.expected(class);
        let worked = (self.pace.worked(now) - slot_use.worked) as f32;

        (expected - worked).max(expected * MIN_REMAINING_SHARE)
    }

    /// Returns what the target does now.
    fn level(&self, running: u32, has_waiting: bool, now: LocalMoment) -> TargetLevel {
        TargetLevel {
            running,
            has_waiting,
            now,
            worked: self.pace.worked(now),
        }
    }
}
