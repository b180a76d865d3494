//! The predicted wait, and how long a queue may be.

use crate::{
    machine::AdmitMachine,
    messages::{AdmitRefusal, WorkArrival},
};
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment, verdict::RunVerdict};

/// The multiple of the class mean up to which a standing queue may always wait.
const STANDING_MEANS: u32 = 2;

/// The waiting arrivals up to which a tenant counts as modest.
const MODEST_WAITING: usize = 8;

/// The multiple of a standing queue up to which modest tenants may fill it.
const MODEST_BACKLOGS: u32 = 2;

impl AdmitMachine {
    /// Returns whether a tenant has so little waiting that a standing queue does not count: its
    /// few calls come unevenly, and its share of the slots may be less than one.
    pub(super) fn is_modest(&self, arrival: &WorkArrival, class: WorkClass) -> bool {
        let room = self.standing_wait(class) * self.short_slots() * MODEST_BACKLOGS;

        class == WorkClass::Short
            && self.short.waiting(&arrival.tenant) < MODEST_WAITING
            && self.short.backlog() < room
    }

    /// Predicts how long an arrival would wait for a slot.
    pub(super) fn predicted_wait(&self, arrival: &WorkArrival, class: WorkClass) -> Duration {
        let weight = self.options.weight(&arrival.tenant);

        match class {
            WorkClass::Short => {
                let slots = self.short_slots();

                self.short.predicted_wait(&arrival.tenant, weight, slots)
            }
            WorkClass::Long => {
                // Long work gets only its floor while short work keeps the slots busy.
                let cap = self.long_cap();
                let floor = self.options.long_floor.min(cap);
                let slots = if self.short.is_empty() { cap } else { floor };

                self.long.predicted_wait(&arrival.tenant, weight, slots)
            }
        }
    }

    /// Returns the longest wait that the queue of a class allows now.
    ///
    /// A queue absorbs a burst up to the deadlines; one that stands in an overload only adds its
    /// length to every answer, so it is kept short.
    pub(super) fn longest_wait(&self, now: LocalMoment, class: WorkClass) -> Duration {
        if class == WorkClass::Short && !self.pressure.is_standing(now) {
            return Duration::MAX;
        }

        self.standing_wait(class)
    }

    /// Returns the longest wait in a standing queue.
    fn standing_wait(&self, class: WorkClass) -> Duration {
        let means = self.estimates.class_mean(class) * STANDING_MEANS;

        self.options.queue_target.max(means)
    }

    /// Returns the slots that short work has now.
    fn short_slots(&self) -> u32 {
        let long = self.running_long().min(self.long_cap());

        self.limit.current().saturating_sub(long).max(1)
    }

    /// Takes in that short work was offered, and cuts the queue when an overload begins to
    /// count.
    pub(super) fn record_offer(&mut self, now: LocalMoment, arrival: &WorkArrival) {
        let cost = self
            .estimates
            .expected(&arrival.operation, WorkClass::Short);
        let slots = self.short_slots();
        let target = self.standing_wait(WorkClass::Short);
        let waiting = self.short.backlog() > target * slots;

        if self.pressure.record(now, cost, waiting, slots) {
            self.cut_queue(target * slots);
        }
    }

    /// Refuses the oldest waiting short work down to a backlog, as what waits behind it would be
    /// answered as late.
    fn cut_queue(&mut self, backlog: Duration) {
        while self.short.backlog() > backlog
            && let Some(ticket) = self.short.pop_oldest()
        {
            let retry_after = self.options.queue_interval;

            self.end(
                ticket,
                AdmitRefusal::QueueCut,
                RunVerdict::NotRun,
                retry_after,
            );
        }
    }
}
