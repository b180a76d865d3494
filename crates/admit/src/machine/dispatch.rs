//! The choice of the next request to dispatch.

use crate::{
    machine::AdmitMachine,
    messages::{AdmitAction, AdmitRefusal},
    work::WorkState,
};
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment, verdict::RunVerdict};

impl AdmitMachine {
    /// Dispatches queued requests while slots are free.
    pub(super) fn dispatch(&mut self, now: LocalMoment) {
        while let Some(class) = self.next_class() {
            let Some(ticket) = self.queue(class).pop() else {
                break;
            };

            self.dispatch_one(now, ticket);
        }

        if self.short.is_empty() {
            self.pressure.record_empty();
        }
    }

    /// Dispatches one request, or refuses it if its deadline cannot be met any more.
    fn dispatch_one(&mut self, now: LocalMoment, ticket: u64) {
        let idle = self.running.is_empty();
        let Some(work) = self.entries.get_mut(&ticket) else {
            return;
        };

        self.expiries.remove(&(work.expires_at, ticket));

        let upper_estimate = self
            .estimates
            .upper_estimate(&work.arrival.operation, work.arrival.class);

        // The upper estimate is capped here, so that a request that was admitted in time still runs
        // if it will probably end in time.
        if now + upper_estimate.min(work.expected * 2) > work.arrival.deadline {
            self.refuse_with_followers(
                ticket,
                AdmitRefusal::DeadlinePassed,
                RunVerdict::NotRun,
                Duration::ZERO,
            );

            return;
        }

        work.state = WorkState::Running(now);
        work.expires_at = work.arrival.deadline;

        if !work.closed {
            self.expiries.insert((work.expires_at, ticket));
        }

        if idle {
            self.last_progress = now;
        }

        self.running.insert(ticket);
        self.counters.dispatched += 1;
        self.actions.push(AdmitAction::Dispatch { ticket });
    }

    /// Returns the class whose queue gets the next free slot.
    fn next_class(&self) -> Option<WorkClass> {
        if self.occupied() >= self.limit.current() {
            return None;
        }

        let long = self.running_long();
        let cap = self.long_cap();
        let long_waits = !self.long.is_empty() && long < cap;

        if long_waits && long < self.options.long_floor.min(cap) {
            Some(WorkClass::Long)
        } else if !self.short.is_empty() {
            Some(WorkClass::Short)
        } else {
            long_waits.then_some(WorkClass::Long)
        }
    }

    /// Returns how many slots long requests may take at most.
    pub(super) fn long_cap(&self) -> u32 {
        let limit = self.limit.current();
        let free = limit.saturating_sub(self.options.reserved());

        // Even under a lowered limit, one long request may run along with a short one, or alone at
        // an idle target: without a response the limit would never rise again.
        let allows_one = limit > 1 || self.options.max_running() == 1 || self.occupied() == 0;

        free.max(u32::from(allows_one))
    }
}
