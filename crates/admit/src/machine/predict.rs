//! The predicted wait and the limit of the queue length.

use crate::{
    machine::AdmitMachine,
    messages::{AdmitRefusal, WorkArrival},
};
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment, verdict::RunVerdict};

/// A standing queue may always hold this multiple of the mean duration of its class.
const STANDING_WAIT_MEANS: u32 = 2;

/// The count of queued arrivals from which a tenant is no longer a light one.
const LIGHT_TENANT_ARRIVALS: usize = 8;

/// Light tenants may fill the queue up to this multiple of a standing queue.
const LIGHT_TENANT_BACKLOGS: u32 = 2;

impl AdmitMachine {
    /// Returns whether a tenant has so little queued that the limit of a standing queue does not
    /// apply to it: its few requests arrive unevenly, and its share of the slots may be less than
    /// one.
    pub(super) fn is_light_tenant(&self, arrival: &WorkArrival, class: WorkClass) -> bool {
        let max_backlog = self.standing_wait(class) * self.short_slots() * LIGHT_TENANT_BACKLOGS;

        class == WorkClass::Short
            && self.short.waiting(&arrival.tenant) < LIGHT_TENANT_ARRIVALS
            && self.short.backlog() < max_backlog
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
                // Long requests get only their floor while short ones keep the slots busy.
                let cap = self.long_cap();
                let floor = self.options.long_floor.min(cap);
                let slots = if self.short.is_empty() { cap } else { floor };

                self.long.predicted_wait(&arrival.tenant, weight, slots)
            }
        }
    }

    /// Returns the longest wait that the queue of a class allows now.
    ///
    /// A queue may absorb a burst up to the deadlines. In an overload a standing queue only adds
    /// its length to every response time, so it is kept short.
    pub(super) fn longest_wait(&self, now: LocalMoment, class: WorkClass) -> Duration {
        if class == WorkClass::Short && !self.pressure.is_standing(now) {
            return Duration::MAX;
        }

        self.standing_wait(class)
    }

    /// Returns the longest wait that a standing queue allows.
    fn standing_wait(&self, class: WorkClass) -> Duration {
        let means = self.estimates.class_mean(class) * STANDING_WAIT_MEANS;

        self.options.queue_target.max(means)
    }

    /// Returns the slots that short requests have now.
    fn short_slots(&self) -> u32 {
        let long = self.running_long().min(self.long_cap());

        self.limit.current().saturating_sub(long).max(1)
    }

    /// Records the load that a short arrival adds, and shortens the queue when an overload is
    /// detected.
    pub(super) fn record_offered_load(&mut self, now: LocalMoment, arrival: &WorkArrival) {
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

    /// Refuses the oldest queued short requests until the backlog is down to `backlog`. Otherwise
    /// all requests behind them would be as late.
    fn cut_queue(&mut self, backlog: Duration) {
        while self.short.backlog() > backlog
            && let Some(ticket) = self.short.pop_oldest()
        {
            let retry_after = self.options.queue_interval;

            self.refuse_with_followers(
                ticket,
                AdmitRefusal::QueueCut,
                RunVerdict::NotRun,
                retry_after,
            );
        }
    }
}
