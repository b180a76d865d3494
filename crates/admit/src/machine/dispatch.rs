//! The choice of what runs next.

use crate::{
    machine::AdmitMachine,
    messages::{AdmitAction, AdmitRefusal},
    work::WorkState,
};
use std::time::Duration;
use wagtail_core::{service::WorkClass, units::LocalMoment, verdict::RunVerdict};

impl AdmitMachine {
    /// Dispatches waiting work while slots are free.
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

    /// Sends one order, or gives it up when its deadline cannot be met any more.
    fn dispatch_one(&mut self, now: LocalMoment, ticket: u64) {
        let idle = self.running.is_empty();
        let Some(work) = self.works.get_mut(&ticket) else {
            return;
        };

        self.give_ups.remove(&(work.give_up, ticket));

        let covered = self
            .estimates
            .covered(&work.arrival.operation, work.arrival.class);

        // Work that was on time at entry runs if it is likely to end in time.
        if now + covered.min(work.expected * 2) > work.arrival.deadline {
            self.end(
                ticket,
                AdmitRefusal::DeadlinePassed,
                RunVerdict::NotRun,
                Duration::ZERO,
            );

            return;
        }

        work.state = WorkState::Running(now);
        work.give_up = work.arrival.deadline;

        if !work.closed {
            self.give_ups.insert((work.give_up, ticket));
        }

        if idle {
            self.progress = now;
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

    /// Returns the most slots that long work takes.
    pub(super) fn long_cap(&self) -> u32 {
        let limit = self.limit.current();
        let free = limit.saturating_sub(self.options.reserved());

        // A lowered limit still lets one long order run beside a short one, or alone at a target
        // that is idle: without an answer the limit would never rise again.
        let one = limit > 1 || self.options.max_running() == 1 || self.occupied() == 0;

        free.max(u32::from(one))
    }
}
